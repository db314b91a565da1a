#include "coordinator_parts.h"

#include "../core/eventlog.h"

void
news_post (coordinator_t *self, proxy_msg_t *msg)
{
  if (self->proxy != NULL && mailbox_post (&self->proxy->inbox, msg))
    return;
  eventlog_write (EVENT_TROUBLE, "coordinator", "mailbox_full", "to=proxy");
  proxy_msg_free (msg);
}

static void
tell_targets (coordinator_t *self)
{
  GArray *listed = g_array_new (FALSE, FALSE, sizeof (target_entry_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->known);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const known_target_t *target = value;
      if (target->usable)
        g_array_append_val (listed, target->entry);
    }
  keys_msg_t to_keys = { .kind = KEYS_TARGETS, .targets = listed };
  grants_tell (self, &to_keys);
  proxy_msg_t *msg = g_new0 (proxy_msg_t, 1);
  msg->kind = PROXY_TARGETS;
  msg->targets = listed;
  news_post (self, msg);
  self->targets_changed = false;
}

/* Configurations. */

static void
take_keyed (coordinator_t *self, const directory_t *directory)
{
  g_array_set_size (self->keyed, 0);
  for (guint i = 0; i < directory->services->len; i++)
    {
      const service_entry_t *service
          = &g_array_index (directory->services, service_entry_t, i);
      name_t name;
      if (service->keyed && name_set (&name, service->name))
        g_array_append_val (self->keyed, name);
    }
  keys_msg_t msg = { .kind = KEYS_SERVICES, .names = self->keyed };
  grants_tell (self, &msg);
}

static void
configuration_row (void *owner, const store_row_t *row)
{
  coordinator_t *self = owner;
  fault_t fault;
  directory_t *directory;
  text_t key = { row->key->str, row->key->len };

  if (row->removed || !text_equal (key, self->deployment->configuration_key))
    return;
  g_string_truncate (self->configuration_bytes, 0);
  g_string_append_len (self->configuration_bytes,
                       row->value->str,
                       (gssize)row->value->len);
  directory = g_new (directory_t, 1);
  directory_init (directory);
  status_t status
      = self->deployment->read_directory ((text_t){ row->value->str, row->value->len },
                                          directory,
                                          &fault);
  if (status != STATUS_OK
      || (self->has_directory && directory->version <= self->directory_version))
    {
      if (status != STATUS_OK)
        eventlog_write (EVENT_BELIEF,
                        "configuration",
                        "rejected",
                        "row_version=%llu in_force=%llx why=\"%.*s\"",
                        (unsigned long long)row->version,
                        (unsigned long long)self->directory_version,
                        TEXT_ARG (fault_text (&fault)));
      directory_finish (directory);
      g_free (directory);
      return;
    }
  eventlog_write (EVENT_BELIEF,
                  "configuration",
                  "in_force",
                  "version=%llx before=%llx routes=%u services=%u row_version=%llu",
                  (unsigned long long)directory->version,
                  (unsigned long long)self->directory_version,
                  directory->routes->len,
                  directory->services->len,
                  (unsigned long long)row->version);
  self->has_directory = true;
  self->directory_version = directory->version;
  take_keyed (self, directory);
  proxy_msg_t *msg = g_new0 (proxy_msg_t, 1);
  msg->kind = PROXY_DIRECTORY;
  msg->directory = directory;
  news_post (self, msg);
  tell_targets (self); /* targets of services that were unknown until now */
}

/* Targets. */

static known_target_t *
known_target (coordinator_t *self, const char *id)
{
  known_target_t *target = g_hash_table_lookup (self->known, id);

  if (target == NULL)
    {
      target = g_new0 (known_target_t, 1);
      g_hash_table_insert (self->known, g_strdup (id), target);
    }
  return target;
}

static void
targets_begin (void *owner)
{
  coordinator_t *self = owner;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->known);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((known_target_t *)value)->told = false;
}

static bool
failed_lately (const feed_t *feed, msec_t now)
{
  return feed->pause > 0 && now - feed->failed_at < STORE_SIGNS_MS;
}

/* When the store answered this host again: the first sign of it, by whichever call.  If
 * another call found it away and wasn't answered since, the sign is what comes NOW. */
static msec_t
store_back_at (const coordinator_t *self, msec_t now)
{
  bool role_lost = self->store_away && now - self->store_lost < STORE_SIGNS_MS;

  if (role_lost || failed_lately (&self->configuration, now)
      || failed_lately (&self->owners, now))
    return now;
  const msec_t signs[]
      = { self->configuration.regained, self->owners.regained, self->role_regained };
  msec_t first = self->targets.regained;

  for (size_t i = 0; i < G_N_ELEMENTS (signs); i++)
    if (signs[i] < first && signs[i] > self->targets.regained - STORE_SIGNS_MS)
      first = signs[i];
  return first;
}

/* Entries may lapse while the store is away, and come back shortly after it. */
static void
miss (coordinator_t *self, known_target_t *target)
{
  msec_t now = g_get_monotonic_time () / 1000;

  if (target->gone_at != MSEC_NEVER)
    return;
  target->gone_at = MAX (now, store_back_at (self, now) + STORE_LAPSE_MS);
  eventlog_write (EVENT_BELIEF,
                  "targets",
                  "entry_gone",
                  "target=%.*s service=%.*s counts_for_ms=%lld",
                  NAME_ARG (target->entry.id),
                  NAME_ARG (target->entry.service),
                  (long long)(target->gone_at - now));
}

static void
log_target (const known_target_t *target, const target_entry_t *before)
{
  const target_entry_t *entry = &target->entry;

  if (before->id.len > 0 && before->leaving == entry->leaving
      && before->born == entry->born && name_equal (&before->address, &entry->address))
    return;
  eventlog_write (EVENT_BELIEF,
                  "targets",
                  entry->leaving ? "leaving" : "listed",
                  "target=%.*s service=%.*s address=%.*s born=%llu slots=%u",
                  NAME_ARG (entry->id),
                  NAME_ARG (entry->service),
                  NAME_ARG (entry->address),
                  (unsigned long long)entry->born,
                  entry->slots);
}

static bool
same_entry (const target_entry_t *a, const target_entry_t *b)
{
  return name_equal (&a->id, &b->id) && name_equal (&a->service, &b->service)
         && name_equal (&a->address, &b->address) && a->born == b->born
         && a->leaving == b->leaving && a->slots == b->slots;
}

static void
targets_row (void *owner, const store_row_t *row)
{
  coordinator_t *self = owner;
  known_target_t *target;
  target_entry_t entry;
  fault_t fault;

  if (row->removed)
    {
      target = g_hash_table_lookup (self->known, row->key->str);
      if (target != NULL)
        miss (self, target);
      return;
    }
  status_t status
      = self->deployment->read_target ((text_t){ row->key->str, row->key->len },
                                       (text_t){ row->value->str, row->value->len },
                                       &entry,
                                       &fault);
  if (status != STATUS_OK)
    {
      if (g_hash_table_add (self->bad_keys, g_strdup (row->key->str)))
        eventlog_write (EVENT_BELIEF,
                        "targets",
                        "entry_rejected",
                        "key=%s row_version=%llu why=\"%.*s\"",
                        row->key->str,
                        (unsigned long long)row->version,
                        TEXT_ARG (fault_text (&fault)));
      return;
    }
  target = known_target (self, row->key->str);
  target_entry_t before = target->entry;
  target->entry = entry;
  target->told = true;
  target->gone_at = MSEC_NEVER;
  log_target (target, &before);
  if (!target->usable || !same_entry (&before, &entry))
    self->targets_changed = true;
  target->usable = true;
}

static void
targets_settled (void *owner, bool whole)
{
  coordinator_t *self = owner;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->known);
  while (whole && g_hash_table_iter_next (&iter, NULL, &value))
    if (!((known_target_t *)value)->told)
      miss (self, value);
  self->targets_changed |= whole;
  news_step (self, g_get_monotonic_time () / 1000);
}

/* Owners of keys. */

static void
owners_row (void *owner, const store_row_t *row)
{
  coordinator_t *self = owner;
  key_table_t table;
  fault_t fault;

  if (row->removed)
    return;
  key_table_init (&table, (text_t){ row->key->str, row->key->len });
  table.version = row->version;
  if (key_rows_read_table (&table, (text_t){ row->value->str, row->value->len }, &fault)
      == STATUS_OK)
    owners_take (self, &table);
  else
    eventlog_write (EVENT_BELIEF,
                    "keys",
                    "table_rejected",
                    "service=%s row_version=%llu why=\"%.*s\"",
                    row->key->str,
                    (unsigned long long)row->version,
                    TEXT_ARG (fault_text (&fault)));
  key_table_finish (&table);
}

/* While the granter passes on what its feeds tell, the store isn't asked. */
static bool
is_wanted (void *owner)
{
  const coordinator_t *self = owner;

  return self->role.state == ROLE_HELD || !peers_have_news (self);
}

static bool
owners_wanted (void *owner)
{
  return !peers_have_news (owner);
}

static void
configuration_changed (void *owner, uint64_t before, const store_reply_t *reply)
{
  peers_tell_rows (owner, STORE_CONFIGURATION, before, reply);
}

static void
targets_changed (void *owner, uint64_t before, const store_reply_t *reply)
{
  peers_tell_rows (owner, STORE_TARGETS, before, reply);
}

static const feed_ops_t configuration_ops
    = { .row = configuration_row, .changed = configuration_changed, .wanted = is_wanted };
static const feed_ops_t targets_ops = { .begin = targets_begin,
                                        .row = targets_row,
                                        .settled = targets_settled,
                                        .changed = targets_changed,
                                        .wanted = is_wanted };
static const feed_ops_t owners_ops = { .row = owners_row, .wanted = owners_wanted };

void
news_step (coordinator_t *self, msec_t now)
{
  GHashTableIter iter;
  gpointer value;

  feed_step (&self->configuration);
  feed_step (&self->targets);
  feed_step (&self->owners);
  g_hash_table_iter_init (&iter, self->known);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (now < ((known_target_t *)value)->gone_at)
        continue;
      g_hash_table_iter_remove (&iter);
      self->targets_changed = true;
    }
  if (self->targets_changed)
    tell_targets (self);
}

static void
compare (feed_t *feed, uint64_t newest)
{
  msec_t now = g_get_monotonic_time () / 1000;

  /* A change takes a moment to arrive everywhere. */
  if (newest <= MAX (feed->newest, feed->version))
    feed->behind_since = MSEC_NEVER;
  else if (feed->behind_since == MSEC_NEVER)
    feed->behind_since = now;
  else if (now >= feed->behind_since + FEED_BEHIND_MS)
    {
      feed_ask_anew (feed, now - FEED_BEHIND_MS);
      feed_wake (feed);
    }
}

void
news_compare (coordinator_t *self, uint64_t configuration_row, uint64_t targets_row)
{
  compare (&self->configuration, configuration_row);
  compare (&self->targets, targets_row);
}

void
news_take_rows (coordinator_t *self,
                store_table_t table,
                uint64_t before,
                uint64_t after,
                const GArray *rows)
{
  /* A host that the store never answered has no configuration to follow the rows: each
   * of them is a whole one. */
  if (table == STORE_CONFIGURATION && !self->configuration.watching)
    feed_tell (&self->configuration, rows);
  else if (table == STORE_CONFIGURATION)
    feed_take (&self->configuration, before, after, rows);
  else if (table == STORE_TARGETS)
    feed_take (&self->targets, before, after, rows);
}

void
news_ask_anew (coordinator_t *self)
{
  msec_t now = g_get_monotonic_time () / 1000;

  /* A watch that hung through the outage failed nowhere; entries lapsed all the same. */
  if (self->targets.call != NULL)
    self->targets.regained = now;
  feed_ask_anew (&self->configuration, now);
  feed_ask_anew (&self->targets, now);
  feed_ask_anew (&self->owners, now);
}

bool
news_store_is_away (const coordinator_t *self)
{
  return self->configuration.pause > 0;
}

bool
news_complete (const coordinator_t *self)
{
  return self->has_directory && self->targets.watching && self->owners.watching;
}

void
news_init (coordinator_t *self)
{
  self->configuration_bytes = g_string_new (NULL);
  self->keyed = g_array_new (FALSE, FALSE, sizeof (name_t));
  self->known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->bad_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
news_start (coordinator_t *self)
{
  feed_init (&self->configuration,
             self->store,
             self->base,
             STORE_CONFIGURATION,
             "configuration",
             &configuration_ops,
             self);
  feed_init (&self->targets,
             self->store,
             self->base,
             STORE_TARGETS,
             "targets",
             &targets_ops,
             self);
  feed_init (&self->owners,
             self->store,
             self->base,
             STORE_KEYS,
             "owners",
             &owners_ops,
             self);
  feed_start (&self->configuration);
  feed_start (&self->targets);
  feed_start (&self->owners);
}

void
news_finish (coordinator_t *self)
{
  feed_finish (&self->configuration);
  feed_finish (&self->targets);
  feed_finish (&self->owners);
  g_string_free (self->configuration_bytes, TRUE);
  g_array_unref (self->keyed);
  g_hash_table_unref (self->known);
  g_hash_table_unref (self->bad_keys);
}
