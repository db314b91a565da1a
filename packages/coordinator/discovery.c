#include "coordinator_parts.h"

#include "../core/eventlog.h"

#include <string.h>

void
discovery_post (coordinator_t *self, proxy_msg_t *msg)
{
  if (self->proxy != NULL)
    outbox_post (&self->outbox, &self->proxy->inbox, msg);
  else
    proxy_msg_free (msg);
}

static bool
states_cold_rate (const coordinator_t *self, const name_t *service)
{
  for (guint i = 0; i < self->warming_services->len; i++)
    if (name_equal (&g_array_index (self->warming_services, name_t, i), service))
      return true;
  return false;
}

/* What is listed of TARGET at present. */
static target_entry_t
current_entry (const known_target_t *target, msec_t now)
{
  target_entry_t entry = target->entry;

  entry.warm_up_left = MAX (target->cold_until - now, 0);
  entry.version = target->row_version;
  return entry;
}

/* For the assignment of keys a target that stated that it leaves, or whose data centre is
 * emptied, counts as listed so, and as cold only where its service says what that means.
 */
void
discovery_publish_to_keys (coordinator_t *self)
{
  GArray *targets = g_array_new (FALSE, FALSE, sizeof (target_entry_t));
  const keys_msg_t msg = { .kind = KEYS_TARGETS, .targets = targets };
  msec_t now = msclock_now (&self->clock);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->targets_by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const known_target_t *target = value;
      target_entry_t entry = current_entry (target, now);
      entry.leaving
          = entry.leaving || target->stated_leaving
            || evacuations_find (&self->evacuations, &entry.data_centre) != NULL;
      if (entry.warm_up_left > 0 && !states_cold_rate (self, &entry.service))
        entry.warm_up_left = 0;
      if (target->parsed)
        g_array_append_val (targets, entry);
    }
  grants_handle (self, &msg);
  g_array_unref (targets);
}

static void
publish_targets (coordinator_t *self)
{
  GArray *listed = g_array_new (FALSE, FALSE, sizeof (target_entry_t));
  msec_t now = msclock_now (&self->clock);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->targets_by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const known_target_t *target = value;
      const target_entry_t entry = current_entry (target, now);
      if (target->parsed)
        g_array_append_val (listed, entry);
    }
  discovery_publish_to_keys (self);
  proxy_msg_t *msg = g_new0 (proxy_msg_t, 1);
  msg->kind = PROXY_TARGETS;
  msg->targets = listed;
  discovery_post (self, msg);
  self->targets_changed = false;
}

/* How long ago a row of FEED that is being delivered can have changed.  Only a watch of
 * the store that was under way before is known to have brought the row at once.  What
 * follows on a failed call, and what another host relays, may be as old as the last
 * confirmation. The granter's watches are short, so that an old feed shows how late it
 * is. */
static msec_t
longest_since_change (const coordinator_t *self, const feed_t *feed)
{
  bool under_way
      = feed->watched_since != MSEC_NEVER && self->role.state != ROLE_HELD
        && msclock_now (&self->clock) - feed->watched_since > self->relay_max_age;
  msec_t age = feed_age (feed);

  return under_way ? MIN (age, self->relay_max_age) : age;
}

/* Configurations. */

static void
update_services (coordinator_t *self, const directory_t *directory)
{
  g_array_set_size (self->keyed_services, 0);
  g_array_set_size (self->warming_services, 0);
  for (guint i = 0; i < directory->services->len; i++)
    {
      const service_entry_t *service
          = &g_array_index (directory->services, service_entry_t, i);
      name_t name;
      if (service->keyed && name_set (&name, service->name))
        g_array_append_val (self->keyed_services, name);
      if (service->cold_rate > 0 && name_set (&name, service->name))
        g_array_append_val (self->warming_services, name);
    }
  keys_msg_t msg = { .kind = KEYS_SERVICES, .services = self->keyed_services };
  grants_handle (self, &msg);
}

static void
keep_configuration_row (coordinator_t *self, const store_row_t *row)
{
  configuration_row_t kept = self->previous_row;

  if (row->version <= self->configuration_row.version)
    return;
  self->previous_row = self->configuration_row;
  g_string_truncate (kept.bytes, 0);
  g_string_append_len (kept.bytes, row->value->str, (gssize)row->value->len);
  kept.version = row->version;
  kept.since = msclock_now (&self->clock);
  self->configuration_row = kept;
}

static void
on_configuration_row (void *owner, const store_row_t *row)
{
  coordinator_t *self = owner;
  fault_t fault;
  directory_t *directory;
  text_t key = { row->key->str, row->key->len };

  if (emptied_handle_row (self, row, longest_since_change (self, &self->configuration))
      || row->removed || !text_equal (key, self->deployment->configuration_key))
    return;
  directory = g_new (directory_t, 1);
  directory_init (directory);
  status_t status
      = self->deployment->read_directory ((text_t){ row->value->str, row->value->len },
                                          directory,
                                          NULL,
                                          &fault);
  /* An older copy of the store may have an earlier configuration, which isn't relayed. */
  if (status != STATUS_OK || directory->version >= self->directory_version)
    keep_configuration_row (self, row);
  if (status != STATUS_OK
      || (self->has_directory && directory->version <= self->directory_version))
    {
      if (status != STATUS_OK)
        eventlog_write (EVENT_STATE,
                        "configuration",
                        "rejected",
                        "row_version=%llu current=%llx why=\"%.*s\"",
                        (unsigned long long)row->version,
                        (unsigned long long)self->directory_version,
                        TEXT_ARG (fault_text (&fault)));
      directory_finish (directory);
      g_free (directory);
      return;
    }
  eventlog_write (
      EVENT_STATE,
      "configuration",
      "applied",
      "version=%llx previous=%llx routes=%u unsupported=%u services=%u row_version=%llu",
      (unsigned long long)directory->version,
      (unsigned long long)self->directory_version,
      directory->routes->len,
      directory_count_unsupported (directory),
      directory->services->len,
      (unsigned long long)row->version);
  judge_configuration (self, directory);
  self->has_directory = true;
  self->directory_version = directory->version;
  self->unsupported_routes = directory_count_unsupported (directory);
  update_services (self, directory);
  proxy_msg_t *msg = g_new0 (proxy_msg_t, 1);
  msg->kind = PROXY_DIRECTORY;
  msg->directory = directory;
  msg->posted_at = g_get_monotonic_time () / 1000;
  discovery_post (self, msg);
  publish_targets (self); /* some may belong to services that were unknown until now */
}

/* Targets. */

static known_target_t *
find_or_add_target (coordinator_t *self, const char *id)
{
  known_target_t *target = g_hash_table_lookup (self->targets_by_id, id);

  if (target == NULL)
    {
      target = g_new0 (known_target_t, 1);
      g_hash_table_insert (self->targets_by_id, g_strdup (id), target);
    }
  return target;
}

static void
on_targets_read_started (void *owner)
{
  coordinator_t *self = owner;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->targets_by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((known_target_t *)value)->seen = false;
}

/* Marks a target whose row is gone.  Entries may expire during an outage of the store and
 * be renewed shortly after it, so the target is kept until STORE_ENTRY_RENEWAL_MS after
 * the outage's end. */
static void
mark_missing (coordinator_t *self, known_target_t *target)
{
  msec_t now = msclock_now (&self->clock);

  if (target->expires_at != MSEC_NEVER)
    return;
  target->expires_at
      = MAX (now, outage_end (&self->outage, now) + STORE_ENTRY_RENEWAL_MS);
  eventlog_write (EVENT_STATE,
                  "targets",
                  "entry_missing",
                  "target=%.*s service=%.*s removed_in_ms=%lld",
                  NAME_ARG (target->entry.id),
                  NAME_ARG (target->entry.service),
                  (long long)(target->expires_at - now));
}

static void
log_target (const known_target_t *target, const target_entry_t *before)
{
  const target_entry_t *entry = &target->entry;

  if (before->id.len > 0 && before->leaving == entry->leaving
      && before->started_at == entry->started_at
      && name_equal (&before->address, &entry->address))
    return;
  eventlog_write (EVENT_STATE,
                  "targets",
                  entry->leaving ? "leaving" : "listed",
                  "target=%.*s service=%.*s address=%.*s born=%llu slots=%u",
                  NAME_ARG (entry->id),
                  NAME_ARG (entry->service),
                  NAME_ARG (entry->address),
                  (unsigned long long)entry->started_at,
                  entry->slots);
}

static void
log_cold (const known_target_t *target, const target_entry_t *entry, bool was_cold)
{
  if (was_cold == (entry->warm_up_left > 0))
    return;
  eventlog_write (EVENT_STATE,
                  "targets",
                  was_cold ? "warm" : "cold",
                  "target=%.*s service=%.*s left_ms=%lld born=%llu",
                  NAME_ARG (target->entry.id),
                  NAME_ARG (target->entry.service),
                  (long long)entry->warm_up_left,
                  (unsigned long long)entry->started_at);
}

/* Notes until when ENTRY says that the target is cold.  Returns whether that is news: it
 * repeats it while it is cold. */
static bool
note_cold (known_target_t *target, const target_entry_t *entry, msec_t now)
{
  msec_t before = target->cold_until;
  bool was_cold = now < before || target->stated_cold;

  target->cold_until = now + entry->warm_up_left;
  target->stated_cold = entry->warm_up_left > 0;
  log_cold (target, entry, was_cold);
  if (entry->warm_up_left == 0)
    return was_cold;
  return !was_cold || ABS (target->cold_until - before) >= TARGET_COLD_SHIFT_MS;
}

static bool
same_entry (const target_entry_t *a, const target_entry_t *b)
{
  return name_equal (&a->id, &b->id) && name_equal (&a->service, &b->service)
         && name_equal (&a->address, &b->address) && a->started_at == b->started_at
         && a->leaving == b->leaving && a->slots == b->slots;
}

/* Logs each key once. */
static void
log_rejected_entry (coordinator_t *self, const store_row_t *row, text_t why)
{
  char *key = g_strescape (row->key->str, NULL);

  if (g_hash_table_add (self->rejected_keys, g_strdup (row->key->str)))
    eventlog_write (EVENT_STATE,
                    "targets",
                    "entry_rejected",
                    "key=\"%s\" row_version=%llu why=\"%.*s\"",
                    key,
                    (unsigned long long)row->version,
                    TEXT_ARG (why));
  g_free (key);
}

/* Whether ROW, of a later era than what is known of the target, is from the copy of the
 * store that the era began with: it lists a process that left, or an earlier one. */
static bool
is_from_before (const coordinator_t *self,
                const store_row_t *row,
                const target_entry_t *entry)
{
  const known_target_t *known = g_hash_table_lookup (self->targets_by_id, row->key->str);
  uint64_t era = store_version_era (row->version);

  if (known == NULL || !known->parsed)
    return departed_has (&self->departed, row->key->str, entry->started_at, era);
  return era > store_version_era (known->row_version)
         && entry->started_at < known->entry.started_at;
}

static void
on_target_row (void *owner, const store_row_t *row)
{
  coordinator_t *self = owner;
  known_target_t *target;
  target_entry_t entry;
  fault_t fault;

  if (strlen (row->key->str) != row->key->len)
    {
      log_rejected_entry (self, row, TEXT ("0 byte in its key"));
      return;
    }
  if (row->removed)
    {
      target = g_hash_table_lookup (self->targets_by_id, row->key->str);
      if (target != NULL)
        mark_missing (self, target);
      return;
    }
  status_t status
      = self->deployment->read_target ((text_t){ row->key->str, row->key->len },
                                       (text_t){ row->value->str, row->value->len },
                                       &entry,
                                       &fault);
  if (status != STATUS_OK)
    {
      log_rejected_entry (self, row, fault_text (&fault));
      return;
    }
  if (is_from_before (self, row, &entry))
    {
      eventlog_write (EVENT_STATE,
                      "targets",
                      "entry_from_before",
                      "target=%.*s born=%llu row_version=%llu",
                      NAME_ARG (entry.id),
                      (unsigned long long)entry.started_at,
                      (unsigned long long)row->version);
      target = g_hash_table_lookup (self->targets_by_id, row->key->str);
      if (target != NULL)
        target->seen = true;
      return;
    }
  target = find_or_add_target (self, row->key->str);
  target_entry_t before = target->entry;
  /* It is listed again: the time for which it states to be cold goes on. */
  bool repeated = target->parsed && target->row_version == row->version
                  && before.started_at == entry.started_at;
  /* An older copy of the store may list it as it was before. */
  entry.leaving
      = entry.leaving || (before.leaving && before.started_at == entry.started_at);
  if (entry.leaving)
    entry.leaving_for = before.leaving ? before.leaving_for
                                       : longest_since_change (self, &self->targets);
  target->entry = entry;
  target->row_version = row->version;
  target->stated_leaving
      = target->stated_leaving && entry.started_at == before.started_at;
  target->seen = true;
  target->expires_at = MSEC_NEVER;
  log_target (target, &before);
  bool cold_changed = !repeated && note_cold (target, &entry, msclock_now (&self->clock));
  if (!target->parsed || !same_entry (&before, &entry) || cold_changed)
    self->targets_changed = true;
  target->parsed = true;
}

void
discovery_note_leaving (coordinator_t *self,
                        const target_incarnation_t *target,
                        const name_t *host)
{
  char *id = text_dup_c (name_text (&target->id));
  known_target_t *known = g_hash_table_lookup (self->targets_by_id, id);

  g_free (id);
  if (known == NULL || !known->parsed || known->stated_leaving
      || known->entry.started_at != target->started_at)
    return;
  known->stated_leaving = true;
  eventlog_write (EVENT_STATE,
                  "targets",
                  "stated_leaving",
                  "target=%.*s service=%.*s born=%llu host=%.*s listed_leaving=%d",
                  NAME_ARG (target->id),
                  NAME_ARG (known->entry.service),
                  (unsigned long long)target->started_at,
                  NAME_ARG (*host),
                  known->entry.leaving);
  discovery_publish_to_keys (self);
}

target_incarnation_t
discovery_find_target (const coordinator_t *self, const name_t *id)
{
  char *key = text_dup_c (name_text (id));
  const known_target_t *known = g_hash_table_lookup (self->targets_by_id, key);

  g_free (key);
  return (target_incarnation_t){ *id, known != NULL ? known->entry.started_at : 0 };
}

/* Drops targets whose rows have been missing for too long, and publishes changes. */
static void
publish_changes (coordinator_t *self)
{
  msec_t now = msclock_now (&self->clock);
  GHashTableIter iter;
  gpointer id, value;

  departed_step (&self->departed, now);
  g_hash_table_iter_init (&iter, self->targets_by_id);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const known_target_t *target = value;
      if (now < target->expires_at)
        continue;
      if (target->entry.leaving || target->stated_leaving)
        departed_note (&self->departed,
                       id,
                       target->entry.started_at,
                       store_version_era (target->row_version),
                       now);
      g_hash_table_iter_remove (&iter);
      self->targets_changed = true;
    }
  if (self->targets_changed)
    publish_targets (self);
}

static void
on_targets_batch_done (void *owner, bool full_read)
{
  coordinator_t *self = owner;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->targets_by_id);
  while (full_read && g_hash_table_iter_next (&iter, NULL, &value))
    if (!((known_target_t *)value)->seen)
      {
        mark_missing (self, value);
        feed_note_removal (&self->targets);
      }
  self->targets_changed |= full_read;
  if (full_read)
    relay_reset (&self->relayed_targets, self->targets.version);
  publish_changes (self);
}

static void
on_configuration_read_started (void *owner)
{
  evacuations_read_started (&((coordinator_t *)owner)->evacuations);
}

static void
on_configuration_batch_done (void *owner, bool full_read)
{
  coordinator_t *self = owner;

  if (full_read)
    emptied_read_done (self, self->configuration.version);
  emptied_publish (self);
}

/* Key owners. */

static void
on_owners_row (void *owner, const store_row_t *row)
{
  coordinator_t *self = owner;
  key_table_t table;
  fault_t fault;

  if (row->removed)
    return;
  key_table_init (&table, (text_t){ row->key->str, row->key->len });
  if (key_rows_decode_table (&table, (text_t){ row->value->str, row->value->len }, &fault)
      == STATUS_OK)
    {
      table.version = owners_version (&table, row->version);
      owners_update (self, &table);
    }
  else
    eventlog_write (EVENT_STATE,
                    "keys",
                    "table_rejected",
                    "service=%s row_version=%llu why=\"%.*s\"",
                    row->key->str,
                    (unsigned long long)row->version,
                    TEXT_ARG (fault_text (&fault)));
  key_table_finish (&table);
}

/* The store isn't watched while a live granter relays the changes from its own feeds,
 * unless its word is too old: the store may not answer it. */
static bool
should_watch (const coordinator_t *self, const feed_t *feed)
{
  return self->role.state == ROLE_HELD || !peers_granter_is_live (self)
         || feed_age (feed) >= self->relay_max_age;
}

static bool
should_watch_configuration (void *owner)
{
  return should_watch (owner, &((const coordinator_t *)owner)->configuration);
}

static bool
should_watch_targets (void *owner)
{
  return should_watch (owner, &((const coordinator_t *)owner)->targets);
}

/* How often two feeds of each host may call the store. */
static msec_t
fleet_max_age (const coordinator_t *self)
{
  return (msec_t)self->host_count * 2 * 1000 / FEED_CONFIRM_CALLS_PER_S;
}

/* The granter's feeds are confirmed often enough for the hosts that go by them.  A host
 * that hears no granter has nobody else to tell it of a change while a watch hangs. */
static msec_t
max_age (void *owner)
{
  const coordinator_t *self = owner;

  if (self->role.state == ROLE_HELD)
    return self->relay_max_age * RELAY_CONFIRM_PERCENT / 100;
  return CLAMP (fleet_max_age (self), self->relay_max_age, STORE_WATCH_MS);
}

static bool
should_watch_owners (void *owner)
{
  return !peers_granter_is_live (owner);
}

static void
relay_configuration (void *owner, uint64_t before, const store_reply_t *reply)
{
  rows_relay (owner, STORE_CONFIGURATION, before, reply);
}

static void
relay_targets (void *owner, uint64_t before, const store_reply_t *reply)
{
  coordinator_t *self = owner;

  relay_add (&self->relayed_targets, before, reply, msclock_now (&self->clock));
  rows_relay (self, STORE_TARGETS, before, reply);
}

static const feed_ops_t configuration_ops
    = { .read_started = on_configuration_read_started,
        .row = on_configuration_row,
        .batch_done = on_configuration_batch_done,
        .changed = relay_configuration,
        .should_watch = should_watch_configuration,
        .max_age = max_age };
static const feed_ops_t targets_ops = { .read_started = on_targets_read_started,
                                        .row = on_target_row,
                                        .batch_done = on_targets_batch_done,
                                        .changed = relay_targets,
                                        .should_watch = should_watch_targets,
                                        .max_age = max_age };
static const feed_ops_t owners_ops
    = { .row = on_owners_row, .should_watch = should_watch_owners };

void
discovery_set_drain (coordinator_t *self, msec_t drain)
{
  self->relay_max_age = MIN (drain * RELAY_DRAIN_PERCENT / 100, RELAY_MAX_AGE_MS);
  currency_set_limit (&self->targets_currency, drain * CURRENCY_LIMIT_PERCENT / 100);
}

void
discovery_set_apply_time (coordinator_t *self, msec_t time)
{
  if (self->evacuation_ms > 0)
    time = MIN (time, self->evacuation_ms); /* both are in the same table */
  currency_set_limit (&self->configuration_currency, time * CURRENCY_LIMIT_PERCENT / 100);
}

/* The time on this host's clock at which the granter's knowledge of a table was last
 * confirmed, or an earlier one: the granter stated its age after this host had sent the
 * report. */
static msec_t
confirmation_time (const link_update_t *update, const link_freshness_t *table)
{
  bool known = update->report_sent_at > 0 && table->age_ms < LINK_AGE_UNKNOWN;

  return known ? update->report_sent_at - table->age_ms : MSEC_NEVER;
}

void
discovery_step (coordinator_t *self)
{
  feed_step (&self->configuration);
  feed_step (&self->targets);
  feed_step (&self->owners);
  publish_changes (self);
  outdated_review (self);
  if (self->proxy != NULL)
    outbox_flush (&self->outbox, &self->proxy->inbox);
}

/* The granter has all changes of the feed's table up to version NEWEST, which it knew to
 * be the newest one at CONFIRMED_AT. */
static void
check_version (coordinator_t *self,
               feed_t *feed,
               currency_t *currency,
               uint64_t newest,
               msec_t confirmed_at)
{
  bool complete = newest <= MAX (feed->newest_change, feed->version);

  if (confirmed_at != MSEC_NEVER)
    outage_note_answer (feed->outage, confirmed_at);
  if (complete && confirmed_at != MSEC_NEVER)
    feed_confirm (feed, confirmed_at);
  outdated_note_newer (self, feed, currency, newest);
}

void
discovery_handle_update (coordinator_t *self, const link_update_t *update)
{
  check_version (self,
                 &self->configuration,
                 &self->configuration_currency,
                 update->configuration.newest_change,
                 confirmation_time (update, &update->configuration));
  check_version (self,
                 &self->targets,
                 &self->targets_currency,
                 update->targets.newest_change,
                 confirmation_time (update, &update->targets));
  outdated_review (self);
}

/* Where no data centre is emptied, a configuration is all that the table has. */
static bool
has_configuration (const coordinator_t *self, const GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    {
      const GString *key = g_array_index (rows, store_row_t, i).key;
      if (text_equal ((text_t){ key->str, key->len },
                      self->deployment->configuration_key))
        return true;
    }
  return false;
}

void
discovery_apply_rows (coordinator_t *self,
                      store_table_t table,
                      uint64_t before,
                      uint64_t after,
                      const GArray *rows)
{
  if (table == STORE_CONFIGURATION)
    eventlog_write (EVENT_STATE,
                    "configuration",
                    rows->len > 0 ? "relayed" : "announced",
                    "row_version=%llu current=%llu",
                    (unsigned long long)after,
                    (unsigned long long)self->configuration.newest_change);
  if (table == STORE_CONFIGURATION && rows->len == 0)
    outdated_note_newer (self,
                         &self->configuration,
                         &self->configuration_currency,
                         after);
  /* Until this host has read the table itself, it has no version that the rows could
   * follow.  They apply all the same, since each holds a complete configuration. */
  if (table == STORE_CONFIGURATION && !self->configuration.watching)
    feed_apply_rows (&self->configuration, rows);
  else if (table == STORE_CONFIGURATION && self->evacuation_ms > 0 && before == 0)
    feed_apply_state (&self->configuration, after, rows);
  else if (table == STORE_CONFIGURATION)
    feed_apply_delta (&self->configuration,
                      self->evacuation_ms == 0 && has_configuration (self, rows) ? 0
                                                                                 : before,
                      after,
                      rows);
  else if (table == STORE_TARGETS)
    feed_apply_delta (&self->targets, before, after, rows);
  emptied_publish (self);
  outdated_review (self);
}

void
discovery_restart_calls (coordinator_t *self)
{
  msec_t now = msclock_now (&self->clock);

  feed_restart_call (&self->configuration, now);
  feed_restart_call (&self->targets, now);
  feed_restart_call (&self->owners, now);
}

bool
discovery_store_unreachable (const coordinator_t *self)
{
  return self->configuration.retry_delay > 0;
}

bool
discovery_lacks_rows (const coordinator_t *self)
{
  msec_t behind_since = self->configuration.behind_since;

  return self->evacuation_ms > 0 && behind_since != MSEC_NEVER
         && (discovery_store_unreachable (self)
             || msclock_now (&self->clock) - behind_since >= FEED_LAG_MS);
}

bool
discovery_is_complete (const coordinator_t *self)
{
  return self->has_directory && self->targets.watching && self->owners.watching;
}

void
discovery_init (coordinator_t *self)
{
  currency_init (&self->configuration_currency, 0);
  currency_init (&self->targets_currency, 0);
  discovery_set_drain (self, self->settings->bounds.drain_ms);
  emptied_set_time (self, self->settings->bounds.evacuation_ms);
  discovery_set_apply_time (self, self->settings->bounds.apply_ms);
  self->configuration_row.bytes = g_string_new (NULL);
  self->previous_row.bytes = g_string_new (NULL);
  relay_init (&self->relayed_targets);
  departed_init (&self->departed);
  evacuations_init (&self->evacuations);
  outbox_init (&self->outbox);
  self->keyed_services = g_array_new (FALSE, FALSE, sizeof (name_t));
  self->warming_services = g_array_new (FALSE, FALSE, sizeof (name_t));
  self->targets_by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->rejected_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
discovery_start (coordinator_t *self)
{
  feed_init (&self->configuration,
             self->store,
             self->base,
             &self->clock,
             &self->outage,
             STORE_CONFIGURATION,
             "configuration",
             &configuration_ops,
             self);
  feed_init (&self->targets,
             self->store,
             self->base,
             &self->clock,
             &self->outage,
             STORE_TARGETS,
             "targets",
             &targets_ops,
             self);
  feed_init (&self->owners,
             self->store,
             self->base,
             &self->clock,
             &self->outage,
             STORE_KEYS,
             "owners",
             &owners_ops,
             self);
  feed_start (&self->configuration);
  feed_start (&self->targets);
  feed_start (&self->owners);
}

void
discovery_finish (coordinator_t *self)
{
  feed_finish (&self->configuration);
  feed_finish (&self->targets);
  feed_finish (&self->owners);
  evacuations_finish (&self->evacuations);
  g_string_free (self->configuration_row.bytes, TRUE);
  g_string_free (self->previous_row.bytes, TRUE);
  relay_finish (&self->relayed_targets);
  departed_finish (&self->departed);
  outbox_finish (&self->outbox);
  g_array_unref (self->keyed_services);
  g_array_unref (self->warming_services);
  g_hash_table_unref (self->targets_by_id);
  g_hash_table_unref (self->rejected_keys);
}
