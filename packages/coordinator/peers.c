#include "coordinator_parts.h"

#include "../core/eventlog.h"
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

void
peers_send (coordinator_t *self, const name_t *address, GByteArray *body)
{
  send_body (self, address, body, NULL, 0);
  g_byte_array_unref (body);
}

void
peers_broadcast (coordinator_t *self, const GByteArray *body)
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

bool
peers_is_heavy (const coordinator_t *self, size_t bytes)
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

/* The granter's update for other hosts: the reply to REPORT with GRANTS, or not a reply
 * if these are NULL.  TABLE holds the changes since BASE_VERSION, or the whole table if
 * BASE_VERSION is 0; it may be NULL. */
static GByteArray *
encode_update (const coordinator_t *self,
               const link_report_t *report,
               GArray *grants,
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
          .rates_at = report != NULL ? report->rates_at : 0,
          .grants = grants,
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

/* LEAVING (target_incarnation_t) is what HOST reports; NULL: nothing. */
static void
note_leaving (coordinator_t *self, const GArray *leaving, const name_t *host)
{
  for (guint i = 0; leaving != NULL && i < leaving->len; i++)
    discovery_note_leaving (self,
                            &g_array_index (leaving, target_incarnation_t, i),
                            host);
}

static GByteArray *
encode_suspect (const suspect_out_t *suspect)
{
  const link_suspect_t message
      = { suspect->fingerprint, suspect->target, suspect->cleared };

  return link_encode_suspect (&message);
}

static void
pass_on_suspect (coordinator_t *self, const suspect_out_t *suspect)
{
  GByteArray *body = encode_suspect (suspect);

  /* The granter broadcasts it, also to the host that reported it: the duplicate doesn't
   * count as another loss. */
  if (self->role.state == ROLE_HELD)
    peers_broadcast (self, body);
  else if (self->granter.len > 0)
    send_body (self, &self->granter, body, NULL, 0);
  g_byte_array_unref (body);
}

/* Repeats what may have been lost with an earlier granter to ADDRESS: the new granter, or
 * a host that has begun to report to this one. */
static void
repeat_suspects (coordinator_t *self, const name_t *address)
{
  GArray *suspects = g_array_new (FALSE, FALSE, sizeof (suspect_out_t));

  reports_repeat (&self->suspects, msclock_now (&self->clock), suspects);
  for (guint i = 0; i < suspects->len; i++)
    peers_send (self,
                address,
                encode_suspect (&g_array_index (suspects, suspect_out_t, i)));
  g_array_unref (suspects);
}

static void
handle_report (coordinator_t *self, const link_report_t *report)
{
  msec_t now = msclock_now (&self->clock);
  char *host = text_dup_c (name_text (&report->host));
  keys_msg_t msg
      = { .kind = KEYS_LOADS, .service = report->service, .loads = report->loads };
  const keys_msg_t service_times = { .kind = KEYS_SERVICE_TIMES,
                                     .service = report->service,
                                     .service_times = report->service_times };
  const key_table_t *table = owners_find (self, &report->service);
  GArray *grants;
  reporter_t *reporter;

  if (self->role.state != ROLE_HELD)
    {
      g_free (host); /* the sender read an outdated role row; it checks again by itself */
      return;
    }
  reporter = g_hash_table_lookup (self->reporters, host);
  bool is_new = reporter == NULL;
  if (is_new)
    {
      reporter = g_new0 (reporter_t, 1);
      g_hash_table_insert (self->reporters, g_strdup (host), reporter);
    }
  *reporter = (reporter_t){ report->address, now, report->link_mbps };
  count_hosts (self, now);
  grants_handle (self, &service_times);
  grants_handle (self, &msg);
  grants = g_array_new (FALSE, FALSE, sizeof (rate_grant_t));
  rate_fleet_report (&self->rates,
                     &report->host,
                     report->rates,
                     report->rates_at,
                     now,
                     grants);
  note_leaving (self, report->leaving, &report->host);
  bool wants_table = table != NULL && table->version > report->table_version
                     && (report->requests_table || report->table_version == 0
                         || now >= self->table_broadcast_at + TABLE_BROADCAST_MS);
  peers_send (self,
              &report->address,
              encode_update (self, report, grants, wants_table ? table : NULL, 0));
  g_array_unref (grants);
  if (self->role.state == ROLE_HELD)
    rows_send_missing (self, report, now);
  if (is_new)
    repeat_suspects (self, &report->address);
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
      peers_send (self, &self->granter, link_encode_report (&report));
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

  if (self->role.state != ROLE_NOT_HELD)
    return;
  if (update->role_left_ms <= 0)
    {
      if (name_equal (&update->address, &self->granter))
        role_vacated (self, now);
      return;
    }
  if (update->report_sent_at > 0)
    self->round_trip_ms = now - update->report_sent_at;
  self->granter = update->address;
  if (update->incarnation != self->updated_by || now >= self->granter_update_expires)
    repeat_suspects (self, &self->granter);
  self->updated_by = update->incarnation;
  self->granter_update_expires = now + MIN (update->role_left_ms, UPDATE_VALID_MS);
  role_postpone_check (self, now + update->role_left_ms);
  update_host_count (self, update->n_hosts);
  if (update->grants->len > 0)
    rates_grant (self, g_array_ref (update->grants), update->rates_at);
  discovery_handle_update (self, update);
  if (update->has_table)
    apply_table (self, update, now);
}

void
peers_report_suspect (coordinator_t *self, const suspect_out_t *suspect)
{
  reports_add (&self->suspects, suspect, msclock_now (&self->clock));
  pass_on_suspect (self, suspect);
}

static void
handle_suspect (coordinator_t *self, const link_suspect_t *from)
{
  const suspect_out_t suspect = { from->fingerprint, from->target, from->cleared };
  proxy_msg_t *msg = g_new0 (proxy_msg_t, 1);

  /* The granter keeps it for the hosts that don't report to it yet. */
  if (self->role.state == ROLE_HELD)
    peers_report_suspect (self, &suspect);
  else
    reports_confirm (&self->suspects, &suspect);
  msg->kind = PROXY_SUSPECT;
  msg->suspect = suspect;
  discovery_post (self, msg);
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
    rows_handle (self, &msg.rows);
  else if (msg.kind == LINK_SUSPECT)
    handle_suspect (self, &msg.suspect);
  else if (msg.kind == LINK_SAMPLES)
    paces_handle_samples (self, msg.samples.samples);
  else if (msg.kind == LINK_SHARES && self->role.state != ROLE_HELD)
    rates_apply (self, g_steal_pointer (&msg.shares.shares));
  else if (msg.kind == LINK_PACES && self->role.state != ROLE_HELD)
    paces_apply (self, g_steal_pointer (&msg.paces.paces));
  link_msg_finish (&msg);
}

bool
peers_granter_is_live (const coordinator_t *self)
{
  return self->role.state == ROLE_HELD
         || msclock_now (&self->clock) < self->granter_update_expires;
}

/* The granter's own host gets rights like the others. */
static void
take_own_rates (coordinator_t *self, const proxy_report_t *from)
{
  GArray *grants = g_array_new (FALSE, FALSE, sizeof (rate_grant_t));

  rate_fleet_report (&self->rates,
                     &self->settings->host,
                     from->rates,
                     from->rates_at,
                     msclock_now (&self->clock),
                     grants);
  rates_grant (self, grants, from->rates_at);
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
        take_own_rates (self, from);
      note_leaving (self, from->leaving, &self->settings->host);
      grants_handle (self, &service_times);
      grants_handle (self, &msg);
      count_hosts (self, msclock_now (&self->clock));
      return;
    }
  if (self->granter.len == 0)
    return;
  uint64_t configuration_row
      = discovery_lacks_rows (self) ? 0 : self->configuration_row.version;
  link_report_t report = { .host = self->settings->host,
                           .address = self->settings->peers,
                           .incarnation = self->incarnation,
                           .sent_at = msclock_now (&self->clock),
                           .link_mbps = (uint32_t)self->settings->link_mbps,
                           .service = from->service,
                           .table_version = table != NULL ? table->version : 0,
                           .configuration_row_version = configuration_row,
                           .targets_version = self->targets.version,
                           .requests_configuration = discovery_store_unreachable (self),
                           .loads = from->key_loads,
                           .rates = from->rates,
                           .rates_at = from->rates_at,
                           .leaving = from->leaving,
                           .service_times = from->service_times };
  peers_send (self, &self->granter, link_encode_report (&report));
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
  body = known != NULL ? encode_update (self, NULL, NULL, &changes, known->version)
                       : encode_update (self, NULL, NULL, table, 0);
  peers_broadcast (self, body);
  g_byte_array_unref (body);
  key_table_finish (&changes);
  self->table_broadcast_at = msclock_now (&self->clock);
}

void
peers_broadcast_resignation (coordinator_t *self)
{
  GByteArray *body = encode_update (self, NULL, NULL, NULL, 0);

  peers_broadcast (self, body);
  g_byte_array_unref (body);
}

status_t
peers_init (coordinator_t *self, fault_t *fault)
{
  static const link_limits_t limits
      = { .message_bytes = LINK_MESSAGE_MAX_BYTES, .queue_messages = LINK_QUEUE_MAX };

  reports_init (&self->suspects);
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
  reports_finish (&self->suspects);
  g_hash_table_unref (self->reporters);
}
