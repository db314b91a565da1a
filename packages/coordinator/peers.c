#include "coordinator_parts.h"

#include "../core/eventlog.h"
#include "../link/link_pack.h"
#include "../link/spread.h"

/* A host that sends its reports to this one. */
typedef struct
{
  name_t address;
  msec_t last_report;
  uint32_t link_mbps;
} reporter_t;

static void
update_host_count (coordinator_t *self, uint32_t hosts)
{
  proxy_msg_t *msg;

  if (hosts == self->host_count)
    return;
  self->host_count = hosts;
  msg = g_new0 (proxy_msg_t, 1);
  msg->kind = PROXY_HOST_COUNT;
  msg->host_count = hosts;
  discovery_post (self, msg);
}

/* Sends BODY to one host, which forwards it to the N others at FORWARD_TO. */
static void
send_body (coordinator_t *self,
           const name_t *address,
           const GByteArray *body,
           const name_t *forward_to,
           guint n)
{
  const text_t text = { (const char *)body->data, body->len };
  GByteArray *message = link_encode_message (text, forward_to, n);

  link_send (&self->link,
             name_text (address),
             (text_t){ (const char *)message->data, message->len });
  g_byte_array_unref (message);
}

/* Sends BODY to one host, not to be forwarded, and frees it. */
static void
send_and_free (coordinator_t *self, const name_t *address, GByteArray *body)
{
  send_body (self, address, body, NULL, 0);
  g_byte_array_unref (body);
}

/* Sends BODY to all hosts that report to this one. */
static void
broadcast_body (coordinator_t *self, const GByteArray *body)
{
  GArray *hosts = g_array_new (FALSE, FALSE, sizeof (spread_host_t));
  GArray *groups = g_array_new (FALSE, FALSE, sizeof (spread_group_t));
  GArray *forward_to = g_array_new (FALSE, FALSE, sizeof (name_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->reporters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const reporter_t *reporter = value;
      spread_host_t host
          = { reporter->address, reporter->last_report, reporter->link_mbps };
      g_array_append_val (hosts, host);
    }
  spread_plan (hosts, msclock_now (&self->clock), groups);
  for (guint i = 0; i < groups->len; i++)
    {
      const spread_group_t *group = &g_array_index (groups, spread_group_t, i);
      const spread_host_t *at = &g_array_index (hosts, spread_host_t, group->first);
      g_array_set_size (forward_to, 0);
      for (guint k = 1; k < group->n; k++)
        g_array_append_val (forward_to, at[k].address);
      send_body (self,
                 &at->address,
                 body,
                 (const name_t *)(const void *)forward_to->data,
                 forward_to->len);
    }
  g_array_unref (forward_to);
  g_array_unref (groups);
  g_array_unref (hosts);
}

/* Whether sending BYTES to all hosts would occupy the network link of this host, or of
 * one that forwards them, for too long. */
static bool
is_heavy (const coordinator_t *self, size_t bytes)
{
  guint groups = spread_group_count (g_hash_table_size (self->reporters));

  return spread_exceeds_link (bytes, groups, self->settings->link_mbps);
}

static link_freshness_t
freshness (const feed_t *feed)
{
  return (link_freshness_t){ feed->newest_change,
                             MIN (feed_age (feed), LINK_AGE_UNKNOWN) };
}

/* The granter's update for other hosts: the reply to REPORT, or not a reply if that is
 * NULL.  TABLE holds the changes since BASE_VERSION, or
 * the whole table if BASE_VERSION is 0; it may be NULL. */
static GByteArray *
encode_update (const coordinator_t *self,
               const link_report_t *report,
               const key_table_t *table,
               uint64_t base_version)
{
  link_update_t update
      = { .host = self->settings->host,
          .address = self->settings->peers,
          .incarnation = self->incarnation,
          .role_left_ms = self->role.lease_end - msclock_now (&self->clock),
          .n_hosts = self->host_count,
          .report_sent_at = report != NULL ? report->sent_at : 0,
          .configuration = freshness (&self->configuration),
          .targets = freshness (&self->targets),
          .has_table = table != NULL,
          .table_base_version = base_version };

  if (table != NULL)
    update.table = *table;
  return link_encode_update (&update);
}

/* Removes hosts that haven't reported for REPORT_TIMEOUT_MS, and counts the others. */
static void
count_hosts (coordinator_t *self, msec_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->reporters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now - ((reporter_t *)value)->last_report > REPORT_TIMEOUT_MS)
      g_hash_table_iter_remove (&iter);
  update_host_count (self, g_hash_table_size (self->reporters) + 1);
}

/* Packs the newest configuration into PACKED, as a patch of the row of BASE_VERSION if
 * this host still has that. */
static link_row_t
pack_configuration (const coordinator_t *self, uint64_t base_version, GByteArray *packed)
{
  const configuration_row_t *row = &self->configuration_row;
  const configuration_row_t *base = &self->previous_row;
  bool patch = base_version > 0 && base_version == base->version;

  link_pack ((text_t){ row->bytes->str, row->bytes->len },
             patch ? (text_t){ base->bytes->str, base->bytes->len } : TEXT_NONE,
             packed);
  return (link_row_t){ .key = self->deployment->configuration_key,
                       .value = { (const char *)packed->data, packed->len },
                       .version = row->version,
                       .packed = true,
                       .base_version = patch ? base_version : 0 };
}

/* The host of REPORT lacks the newest configuration, and has not just been sent it. */
static bool
lacks_configuration (const coordinator_t *self, const link_report_t *report, msec_t now)
{
  const configuration_row_t *row = &self->configuration_row;

  return report->configuration_row_version < row->version
         && row->bytes->len <= LINK_ROW_MAX_BYTES
         && (report->requests_configuration || now - row->since >= FEED_LAG_MS);
}

/* Sends the newest configuration to a host that lacks it, one host after another within
 * RELAY_LINK_PERCENT of this host's link. */
static void
send_configuration (coordinator_t *self, const link_report_t *report, msec_t now)
{
  if (now < self->next_configuration_send)
    return;
  GByteArray *packed = g_byte_array_new ();
  link_row_t row = pack_configuration (self, report->configuration_row_version, packed);
  link_rows_t part = { .table = STORE_CONFIGURATION,
                       .from_version = report->configuration_row_version,
                       .to_version = row.version,
                       .rows = g_array_new (FALSE, FALSE, sizeof (link_row_t)) };

  g_array_append_val (part.rows, row);
  if (packed->len < LINK_MESSAGE_MAX_BYTES - LINK_OVERHEAD_BYTES)
    {
      send_and_free (self, &report->address, link_encode_rows (&part));
      self->next_configuration_send
          = now
            + (msec_t)(packed->len * 8 / (self->settings->link_mbps * 1000) * 100
                       / RELAY_LINK_PERCENT);
      eventlog_write (EVENT_STATE,
                      "configuration",
                      "sent_again",
                      "to=%.*s row_version=%llu base=%llu bytes=%u",
                      NAME_ARG (report->host),
                      (unsigned long long)row.version,
                      (unsigned long long)row.base_version,
                      packed->len);
    }
  g_array_unref (part.rows);
  g_byte_array_unref (packed);
}

/* Sends the changes of targets that the host of REPORT lacks. */
static void
send_missing_targets (coordinator_t *self, const link_report_t *report, msec_t now)
{
  GPtrArray *missing = g_ptr_array_new ();
  link_rows_t part = { .table = STORE_TARGETS,
                       .from_version = report->targets_version,
                       .to_version = self->relayed_targets.to,
                       .rows = g_array_new (FALSE, FALSE, sizeof (link_row_t)) };

  relay_missing (&self->relayed_targets, report->targets_version, now, missing);
  for (guint i = 0; i < missing->len; i++)
    {
      const store_row_t *row = g_ptr_array_index (missing, i);
      link_row_t copy = { .key = { row->key->str, row->key->len },
                          .value = { row->value->str, row->value->len },
                          .version = row->version,
                          .removed = row->removed };
      g_array_append_val (part.rows, copy);
    }
  if (part.rows->len > 0)
    send_and_free (self, &report->address, link_encode_rows (&part));
  g_array_unref (part.rows);
  g_ptr_array_unref (missing);
}

static void
handle_report (coordinator_t *self, const link_report_t *report)
{
  msec_t now = msclock_now (&self->clock);
  char *host = text_dup_c (name_text (&report->host));
  keys_msg_t msg
      = { .kind = KEYS_LOADS, .service = report->service, .loads = report->loads };
  const key_table_t *table = owners_find (self, &report->service);
  reporter_t *reporter;

  if (self->role.state != ROLE_HELD)
    {
      g_free (host); /* the sender read an outdated role row; it checks again by itself */
      return;
    }
  reporter = g_hash_table_lookup (self->reporters, host);
  if (reporter == NULL)
    {
      reporter = g_new0 (reporter_t, 1);
      g_hash_table_insert (self->reporters, g_strdup (host), reporter);
    }
  *reporter = (reporter_t){ report->address, now, report->link_mbps };
  count_hosts (self, now);
  grants_handle (self, &msg);
  rate_fleet_report (&self->rates, &report->host, report->rates, now);
  bool wants_table = table != NULL && table->version > report->table_version
                     && (report->requests_table || report->table_version == 0
                         || now >= self->table_broadcast_at + TABLE_BROADCAST_MS);
  send_and_free (self,
                 &report->address,
                 encode_update (self, report, wants_table ? table : NULL, 0));
  if (self->role.state == ROLE_HELD && lacks_configuration (self, report, now))
    send_configuration (self, report, now);
  if (self->role.state == ROLE_HELD)
    send_missing_targets (self, report, now);
  g_free (host);
}

/* Requests the table of SERVICE from the granter after changes were missed. */
static void
request_table (coordinator_t *self, const name_t *service, uint64_t version, msec_t now)
{
  GArray *none = g_array_new (FALSE, FALSE, sizeof (key_load_t));
  link_report_t report = { .host = self->settings->host,
                           .address = self->settings->peers,
                           .incarnation = self->incarnation,
                           .sent_at = now,
                           .link_mbps = (uint32_t)self->settings->link_mbps,
                           .service = *service,
                           .table_version = version,
                           .configuration_row_version = self->configuration_row.version,
                           .targets_version = self->targets.version,
                           .requests_table = true,
                           .loads = none };

  if (now >= self->table_requested_at + TABLE_REQUEST_MS)
    {
      self->table_requested_at = now;
      send_and_free (self, &self->granter, link_encode_report (&report));
    }
  g_array_unref (none);
}

/* Applies a whole table, or the changes since the version that this host has. */
static void
apply_table (coordinator_t *self, const link_update_t *update, msec_t now)
{
  const key_table_t *known = owners_find (self, &update->table.service);
  uint64_t version = known != NULL ? known->version : 0;
  key_table_t table;
  fault_t fault;

  if (update->table_base_version == 0)
    {
      owners_update (self, &update->table);
      return;
    }
  if (update->table.version <= version)
    return;
  if (update->table_base_version != version)
    {
      request_table (self, &update->table.service, version, now);
      return;
    }
  key_table_copy (&table, known);
  if (key_table_apply (&table, &update->table, &fault) == STATUS_OK)
    owners_update (self, &table);
  else
    {
      eventlog_write (EVENT_FAILURE,
                      "keys",
                      "changes_rejected",
                      "service=%.*s why=\"%.*s\"",
                      NAME_ARG (table.service),
                      TEXT_ARG (fault_text (&fault)));
      request_table (self, &table.service, 0, now);
    }
  key_table_finish (&table);
}

static void
handle_update (coordinator_t *self, const link_update_t *update)
{
  msec_t now = msclock_now (&self->clock);

  if (self->role.state != ROLE_NOT_HELD || update->role_left_ms <= 0)
    return;
  if (update->report_sent_at > 0)
    self->round_trip_ms = now - update->report_sent_at;
  self->granter = update->address;
  self->granter_update_expires = now + MIN (update->role_left_ms, UPDATE_VALID_MS);
  role_postpone_check (self, now + update->role_left_ms);
  update_host_count (self, update->n_hosts);
  discovery_handle_update (self, update);
  if (update->has_table)
    apply_table (self, update, now);
}

/* Unpacks ROW into VALUE.  Returns false if this host lacks the row's base. */
static bool
unpack_row (const coordinator_t *self, const link_row_t *row, GString *value)
{
  const configuration_row_t *base = &self->configuration_row;
  fault_t fault;

  if (row->base_version != 0 && row->base_version != base->version)
    return false;
  text_t from = row->base_version == 0 ? TEXT_NONE
                                       : (text_t){ base->bytes->str, base->bytes->len };
  if (link_unpack (row->value, from, value, &fault) == STATUS_OK)
    return true;
  eventlog_write (EVENT_FAILURE,
                  "link",
                  "row_rejected",
                  "row_version=%llu why=\"%.*s\"",
                  (unsigned long long)row->version,
                  TEXT_ARG (fault_text (&fault)));
  return false;
}

static void
clear_row (void *item)
{
  store_row_t *row = item;

  g_string_free (row->key, TRUE);
  g_string_free (row->value, TRUE);
}

static void
handle_rows (coordinator_t *self, const link_rows_t *from)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (store_row_t));
  bool complete = true;

  g_array_set_clear_func (rows, clear_row);
  for (guint i = 0; i < from->rows->len && complete; i++)
    {
      const link_row_t *row = &g_array_index (from->rows, link_row_t, i);
      if (row->packed && row->version <= self->configuration_row.version)
        continue; /* its base may be gone */
      store_row_t copy = { .key = g_string_new_len (row->key.at, (gssize)row->key.len),
                           .value = g_string_new (NULL),
                           .version = row->version,
                           .removed = row->removed };
      if (row->packed)
        complete = unpack_row (self, row, copy.value);
      else
        g_string_append_len (copy.value, row->value.at, (gssize)row->value.len);
      g_array_append_val (rows, copy);
    }
  if (!complete)
    g_array_set_size (rows, 0); /* their version is announced all the same */
  if (self->role.state != ROLE_HELD)
    discovery_apply_rows (self,
                          (store_table_t)from->table,
                          complete ? from->from_version : from->to_version,
                          from->to_version,
                          rows);
  g_array_unref (rows);
}

/* Whether ROW is the newest configuration and large enough to be packed. */
static bool
should_pack (const coordinator_t *self, store_table_t table, const store_row_t *row)
{
  return table == STORE_CONFIGURATION && !row->removed
         && row->value->len >= LINK_PACK_MIN_BYTES
         && row->value->len <= LINK_ROW_MAX_BYTES
         && row->version == self->configuration_row.version;
}

/* Broadcasts rows from a feed.  If they are too large, only their version is announced,
 * and each host queries the store for them. */
static void
broadcast_rows (coordinator_t *self, const link_rows_t *part)
{
  GByteArray *body = link_encode_rows (part);

  if (body->len > LINK_MESSAGE_MAX_BYTES - LINK_OVERHEAD_BYTES
      || is_heavy (self, body->len))
    {
      GArray *none = g_array_new (FALSE, FALSE, sizeof (link_row_t));
      uint64_t newest
          = g_array_index (part->rows, link_row_t, part->rows->len - 1).version;
      link_rows_t announced = { .table = part->table,
                                .from_version = newest,
                                .to_version = newest,
                                .rows = none };
      g_byte_array_unref (body);
      body = link_encode_rows (&announced);
      g_array_unref (none);
    }
  broadcast_body (self, body);
  g_byte_array_unref (body);
}

void
peers_relay_rows (coordinator_t *self,
                  store_table_t table,
                  uint64_t before,
                  const store_reply_t *reply)
{
  link_rows_t part = { .table = table,
                       .from_version = before,
                       .rows = g_array_new (FALSE, FALSE, sizeof (link_row_t)) };
  GByteArray *packed = g_byte_array_new ();
  size_t size = 0;

  for (guint i = 0; i < reply->rows->len && self->role.state == ROLE_HELD; i++)
    {
      const store_row_t *row = &g_array_index (reply->rows, store_row_t, i);
      link_row_t copy = { .key = { row->key->str, row->key->len },
                          .value = { row->value->str, row->value->len },
                          .version = row->version,
                          .removed = row->removed };
      if (should_pack (self, table, row))
        copy = pack_configuration (self, self->previous_row.version, packed);
      g_array_append_val (part.rows, copy);
      size += copy.value.len;
      bool last = i + 1 == reply->rows->len;
      if (!last && size < LINK_MESSAGE_MAX_BYTES / 2)
        continue;
      part.to_version = last ? reply->version : row->version;
      broadcast_rows (self, &part);
      part.from_version = part.to_version;
      g_array_set_size (part.rows, 0);
      size = 0;
    }
  g_byte_array_unref (packed);
  g_array_unref (part.rows);
}

void
peers_report_suspect (coordinator_t *self, const suspect_out_t *suspect)
{
  const link_suspect_t message
      = { suspect->fingerprint, suspect->target, suspect->cleared };
  GByteArray *body = link_encode_suspect (&message);

  /* The granter broadcasts it, also to the host that reported it: the duplicate doesn't
   * count as another loss. */
  if (self->role.state == ROLE_HELD)
    broadcast_body (self, body);
  else if (self->granter.len > 0)
    send_body (self, &self->granter, body, NULL, 0);
  g_byte_array_unref (body);
}

static void
handle_suspect (coordinator_t *self, const link_suspect_t *from)
{
  const suspect_out_t suspect = { from->fingerprint, from->target, from->cleared };
  proxy_msg_t *msg = g_new0 (proxy_msg_t, 1);

  if (self->role.state == ROLE_HELD)
    peers_report_suspect (self, &suspect);
  msg->kind = PROXY_SUSPECT;
  msg->suspect = suspect;
  discovery_post (self, msg);
}

/* Takes ownership of SHARES. */
static void
apply_shares (coordinator_t *self, GArray *shares)
{
  proxy_msg_t *msg = g_new0 (proxy_msg_t, 1);

  msg->kind = PROXY_SHARES;
  msg->shares = shares;
  discovery_post (self, msg);
}

static void
log_shares (const GArray *shares)
{
  double limit = 0, wanted = 0, admitted = 0;

  for (guint i = 0; i < shares->len; i++)
    {
      const rate_share_t *share = &g_array_index (shares, rate_share_t, i);
      limit += share->limit;
      wanted += share->wanted;
      admitted += share->wanted * share->share;
    }
  eventlog_write (EVENT_STATE,
                  "rate",
                  "shares",
                  "targets=%u limit=%.1f wanted=%.1f admitted=%.1f",
                  shares->len,
                  limit,
                  wanted,
                  admitted);
}

void
peers_step_rates (coordinator_t *self, msec_t now)
{
  link_shares_t shares = { g_array_new (FALSE, FALSE, sizeof (rate_share_t)) };
  keys_msg_t limits = { .kind = KEYS_RATE_LIMITS, .shares = shares.shares };

  if (!rate_fleet_plan (&self->rates, now, shares.shares))
    {
      g_array_unref (shares.shares);
      return;
    }
  log_shares (shares.shares);
  GByteArray *body = link_encode_shares (&shares);
  broadcast_body (self, body);
  g_byte_array_unref (body);
  grants_handle (self, &limits);
  apply_shares (self, shares.shares);
}

static void
on_message (void *owner, text_t bytes)
{
  coordinator_t *self = owner;
  link_msg_t msg;
  fault_t fault;

  if (link_decode (&msg, bytes, &fault) != STATUS_OK)
    {
      eventlog_write (EVENT_FAILURE,
                      "link",
                      "message_rejected",
                      "why=\"%.*s\"",
                      TEXT_ARG (fault_text (&fault)));
      return;
    }
  for (guint i = 0; i < msg.forward_to->len; i++)
    {
      GByteArray *forwarded = link_encode_message (msg.body, NULL, 0);
      link_send (&self->link,
                 name_text (&g_array_index (msg.forward_to, name_t, i)),
                 (text_t){ (const char *)forwarded->data, forwarded->len });
      g_byte_array_unref (forwarded);
    }
  if (msg.kind == LINK_REPORT)
    handle_report (self, &msg.report);
  else if (msg.kind == LINK_UPDATE)
    handle_update (self, &msg.update);
  else if (msg.kind == LINK_ROWS)
    handle_rows (self, &msg.rows);
  else if (msg.kind == LINK_SUSPECT)
    handle_suspect (self, &msg.suspect);
  else if (self->role.state != ROLE_HELD)
    apply_shares (self, g_steal_pointer (&msg.shares.shares));
  link_msg_finish (&msg);
}

bool
peers_granter_is_live (const coordinator_t *self)
{
  return self->role.state == ROLE_HELD
         || msclock_now (&self->clock) < self->granter_update_expires;
}

void
peers_forward_report (coordinator_t *self, const proxy_report_t *from)
{
  const key_table_t *table = owners_find (self, &from->service);
  keys_msg_t msg
      = { .kind = KEYS_LOADS, .service = from->service, .loads = from->key_loads };
  keys_msg_t service_times = { .kind = KEYS_SERVICE_TIMES,
                               .service = from->service,
                               .service_times = from->service_times };

  if (self->role.state == ROLE_HELD)
    {
      if (from->rates != NULL)
        rate_fleet_report (&self->rates,
                           &self->settings->host,
                           from->rates,
                           msclock_now (&self->clock));
      grants_handle (self, &service_times);
      grants_handle (self, &msg);
      count_hosts (self, msclock_now (&self->clock));
      return;
    }
  if (self->granter.len == 0)
    return;
  link_report_t report = { .host = self->settings->host,
                           .address = self->settings->peers,
                           .incarnation = self->incarnation,
                           .sent_at = msclock_now (&self->clock),
                           .link_mbps = (uint32_t)self->settings->link_mbps,
                           .service = from->service,
                           .table_version = table != NULL ? table->version : 0,
                           .configuration_row_version = self->configuration_row.version,
                           .targets_version = self->targets.version,
                           .requests_configuration = discovery_store_unreachable (self),
                           .loads = from->key_loads,
                           .rates = from->rates };
  send_and_free (self, &self->granter, link_encode_report (&report));
}

void
peers_broadcast_table (coordinator_t *self, const key_table_t *table)
{
  const key_table_t *known = owners_find (self, &table->service);
  key_table_t changes;
  GByteArray *body;

  key_table_init (&changes, name_text (&table->service));
  if (known != NULL)
    key_table_diff (known, table, &changes);
  body = known != NULL ? encode_update (self, NULL, &changes, known->version)
                       : encode_update (self, NULL, table, 0);
  broadcast_body (self, body);
  g_byte_array_unref (body);
  key_table_finish (&changes);
  self->table_broadcast_at = msclock_now (&self->clock);
}

status_t
peers_init (coordinator_t *self, fault_t *fault)
{
  static const link_limits_t limits
      = { .message_bytes = LINK_MESSAGE_MAX_BYTES, .queue_messages = LINK_QUEUE_MAX };

  self->reporters = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (link_init (&self->link,
                 self->base,
                 name_text (&self->settings->peers),
                 &limits,
                 on_message,
                 self))
    return STATUS_OK;
  return fault_raise (fault,
                      STATUS_IO,
                      "cannot listen on %.*s for messages between hosts",
                      NAME_ARG (self->settings->peers));
}

void
peers_finish (coordinator_t *self)
{
  link_finish (&self->link);
  g_hash_table_unref (self->reporters);
}
