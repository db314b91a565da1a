#include "coordinator_parts.h"

#include "../core/eventlog.h"

#include <string.h>

#define ROLE_KEY TEXT ("granter")

static void on_written (void *owner, const store_reply_t *reply);
static bool note_era (coordinator_t *self, msec_t now);

/* An upper bound of the store's current clock: the store read it after the call was
 * started. */
static msec_t
store_clock_now (const role_t *role, msec_t now)
{
  return role->store_clock + (now - role->store_clock_requested_at);
}

/* Records the store's clock, and whether the store is reachable.  STARTED: when the call
 * was, or earlier. */
static void
note_reply (coordinator_t *self, const store_reply_t *reply, msec_t started)
{
  role_t *role = &self->role;

  if (reply->outcome == STORE_REFUSED || reply->outcome == STORE_UNKNOWN)
    {
      if (!self->store_unreachable)
        eventlog_write (EVENT_STATE,
                        "store",
                        "lost",
                        "feed=role outcome=%s why=%s version=%llu",
                        store_outcome_name (reply->outcome),
                        reply->reason,
                        (unsigned long long)role->version);
      self->store_unreachable = true;
      outage_note_failure (&self->outage, started, msclock_now (&self->clock));
      return;
    }
  outage_note_answer (&self->outage, msclock_now (&self->clock));
  if (self->store_unreachable)
    {
      eventlog_write (EVENT_STATE,
                      "store",
                      "recovered",
                      "feed=role version=%llu newest=%llu",
                      (unsigned long long)role->version,
                      (unsigned long long)reply->version);
      self->store_unreachable = false;
      discovery_restart_calls (self);
    }
  if (reply->outcome != STORE_DONE)
    return;
  role->store_clock = reply->clock;
  role->store_clock_requested_at = started;
}

static void
read_role (coordinator_t *self, store_done_t done, msec_t now)
{
  if (self->role.reads_in_flight++ == 0)
    self->role.reads_started = now;
  self->store->ops->read (self->store, STORE_ROLE, TEXT_NONE, done, self);
}

static void
note_read (coordinator_t *self, const store_reply_t *reply)
{
  self->role.reads_in_flight--;
  note_reply (self, reply, self->role.reads_started);
}

static bool
is_ours (const coordinator_t *self, const role_row_t *row)
{
  return row->incarnation == self->incarnation
         && name_equal (&row->host, &self->settings->host);
}

/* Whether a row that states ERA is of an earlier history of the store.  0: it states
 * none, as an earlier version of this program wrote it. */
static bool
is_outdated (const coordinator_t *self, uint64_t era)
{
  return era < self->store->era && (era > 0 || self->store->losses > 0);
}

/* Whether the role's row that was read last doesn't tell who holds the role: it is of an
 * earlier history of the store, or lost. */
static bool
is_row_outdated (const coordinator_t *self)
{
  const role_t *role = &self->role;

  return role->version == 0 ? self->store->losses > 0 : is_outdated (self, role->row.era);
}

static void
notify_role (coordinator_t *self, msec_t until)
{
  keys_msg_t msg = { .kind = KEYS_ROLE,
                     .role_until = until,
                     .store_reachable = !self->store_unreachable };

  grants_handle (self, &msg);
}

/* How much later than others this host checks the role: the granter's link carries what
 * all hosts have to know. */
static msec_t
check_handicap (const coordinator_t *self)
{
  return (msec_t)(ROLE_HANDICAP_MS * ROLE_HANDICAP_MBPS
                  / MAX (self->settings->link_mbps, ROLE_HANDICAP_MBPS));
}

static void
discard_writes (role_t *role)
{
  key_table_t *table;

  if (role->write.has_table)
    key_table_finish (&role->write.table);
  role->write = (role_write_t){ 0 };
  while ((table = g_queue_pop_head (&role->pending_tables)) != NULL)
    {
      key_table_finish (table);
      g_free (table);
    }
}

static void
lose_role (coordinator_t *self, const char *why, msec_t now)
{
  role_t *role = &self->role;

  if (role->state == ROLE_HELD)
    eventlog_write (EVENT_STATE,
                    "role",
                    "lost",
                    "why=%s row_version=%llu era=%llu holder=%.*s",
                    why,
                    (unsigned long long)role->version,
                    (unsigned long long)self->store->era,
                    NAME_ARG (role->row.host));
  role->state = ROLE_NOT_HELD;
  role->lease_end = 0;
  rate_fleet_clear (&self->rates);
  pace_fleet_clear (&self->paces);
  role->needs_tables = false;
  role->next_check
      = now + STORE_RETRY_MS + (msec_t)rng_below (&self->rng, STORE_RETRY_MAX_MS);
  discard_writes (role);
  notify_role (self, 0);
}

static role_attempt_t *
unused_attempt (role_t *role)
{
  for (guint i = 0; i < G_N_ELEMENTS (role->attempts); i++)
    if (!role->attempts[i].in_flight)
      return &role->attempts[i];
  return NULL;
}

/* The longest of the grants that a successor has to reckon with. */
static msec_t
longest_hold (const coordinator_t *self, msec_t now)
{
  const keys_t *keys = &self->keys;
  bool expired = now >= self->role.predecessor_grants_end;

  return expired ? keys->longest_hold : MAX (keys->longest_hold, keys->inherited_hold);
}

/* Writes the role row, and in the same commit the pending write's table if it has one.
 * Sequences are never reused, so that a row shows which attempt wrote it. */
static void
write_role (coordinator_t *self, msec_t now)
{
  role_t *role = &self->role;
  role_write_t *write = &role->write;
  role_attempt_t *attempt = unused_attempt (role);
  store_put_t puts[2];
  size_t n_puts = 1;
  GString *table = NULL;

  write->in_progress = true;
  if (attempt == NULL)
    return; /* role_step reads the row, and tries again */
  write->started = now;
  role->tables_lost &= !keys_are_written (&self->keys);
  keys_raise_fence (&self->keys, self->store->era * KEYS_FENCES_PER_ERA + 1);
  role->last_sequence = MAX (role->row.sequence, role->last_sequence) + 1;
  *attempt = (role_attempt_t){ self, true, role->last_sequence, now };
  write->row = (role_row_t){
    .host = self->settings->host,
    .address = self->settings->peers,
    .incarnation = self->incarnation,
    .sequence = role->last_sequence,
    .next_fence = MAX (self->keys.next_fence, role->row.next_fence),
    .until = self->stopping ? 0 : store_clock_now (role, now) + ROLE_LEASE_MS,
    .longest_hold = longest_hold (self, now),
    .era = self->store->era,
    .incomplete = role->tables_lost,
  };
  /* From now on the row may state this, though its answer may be lost. */
  keys_state_hold (&self->keys, MIN (self->keys.stated_hold, write->row.longest_hold));
  if (write->first_sequence == 0)
    write->first_sequence = write->row.sequence;
  GString *row = key_rows_encode_role (&write->row);
  puts[0] = (store_put_t){ STORE_ROLE, ROLE_KEY, { row->str, row->len } };
  if (write->has_table)
    {
      write->table.era = self->store->era;
      table = key_rows_encode_table (&write->table);
      puts[n_puts++] = (store_put_t){ STORE_KEYS,
                                      name_text (&write->table.service),
                                      { table->str, table->len } };
    }
  store_commit_t commit = { .condition_table = STORE_ROLE,
                            .condition_key = ROLE_KEY,
                            .expected_version = role->version,
                            .puts = puts,
                            .n_puts = n_puts };
  self->store->ops->commit (self->store, &commit, on_written, attempt);
  g_string_free (row, TRUE);
  if (table != NULL)
    g_string_free (table, TRUE);
}

static void on_tables (void *owner, const store_reply_t *reply);

static owners_read_t *
unused_read (role_t *role)
{
  for (guint i = 0; i < G_N_ELEMENTS (role->reads); i++)
    if (!role->reads[i].in_flight)
      return &role->reads[i];
  return NULL;
}

static void
retry_tables (coordinator_t *self)
{
  self->role.needs_tables = true;
  self->role.next_tables_read = msclock_now (&self->clock) + STORE_RETRY_MS;
}

/* Reads the rows after the key AFTER. */
static void
read_tables (coordinator_t *self, text_t after)
{
  owners_read_t *read = unused_read (&self->role);

  if (read == NULL)
    {
      retry_tables (self);
      return;
    }
  self->role.needs_tables = false;
  *read = (owners_read_t){ .coordinator = self, .in_flight = true };
  name_set (&read->after, (text_t){ after.at, MIN (after.len, NAME_MAX_BYTES) });
  self->store->ops->read (self->store, STORE_KEYS, after, on_tables, read);
}

static const store_row_t *
find_row (const store_reply_t *reply, const name_t *service)
{
  for (guint i = 0; i < reply->rows->len; i++)
    {
      const store_row_t *row = &g_array_index (reply->rows, store_row_t, i);
      if (text_equal ((text_t){ row->key->str, row->key->len }, name_text (service)))
        return row;
    }
  return NULL;
}

/* Passes on the store's table of SERVICE, or that it has none if ROW is NULL. */
static void
notify_table (coordinator_t *self, const name_t *service, const store_row_t *row)
{
  keys_msg_t msg
      = { .kind = KEYS_TABLE,
          .service = *service,
          .predecessor_hold
          = MAX (self->role.predecessor_grants_end - msclock_now (&self->clock), 0) };
  key_table_t table;
  fault_t fault;

  key_table_init (&table, name_text (service));
  /* Its table may have been lost. */
  msg.unreadable = row == NULL && self->role.tables_lost;
  if (row != NULL
      && key_rows_decode_table (&table,
                                (text_t){ row->value->str, row->value->len },
                                &fault)
             == STATUS_OK)
    {
      msg.table = &table;
      msg.outdated = is_outdated (self, table.era);
      table.version = owners_version (&table, row->version);
      eventlog_write (EVENT_STATE,
                      "role",
                      "table_loaded",
                      "service=%.*s version=%llu era=%llu outdated=%d ranges=%u "
                      "predecessor_ms=%lld",
                      NAME_ARG (*service),
                      (unsigned long long)table.version,
                      (unsigned long long)self->store->era,
                      msg.outdated,
                      table.ranges->len,
                      (long long)msg.predecessor_hold);
      owners_update (self, &table);
    }
  else if (row != NULL)
    {
      msg.unreadable = true;
      msg.predecessor_hold = keys_predecessor_hold (&self->keys, 0);
      eventlog_write (EVENT_STATE,
                      "role",
                      "table_rejected",
                      "service=%.*s wait_ms=%lld why=\"%.*s\"",
                      NAME_ARG (*service),
                      (long long)msg.predecessor_hold,
                      TEXT_ARG (fault_text (&fault)));
    }
  grants_handle (self, &msg);
  key_table_finish (&table);
}

/* In the order of the store's keys. */
static bool
follows (const name_t *name, const name_t *after)
{
  int order = memcmp (name->at, after->at, MIN (name->len, after->len));

  return order > 0 || (order == 0 && name->len > after->len);
}

/* The page holds rows after the key AFTER.  Only the last page shows that a service has
 * no row, and only of those that follow AFTER: others may have been configured after
 * their page was handled. */
static void
notify_page (coordinator_t *self, const store_reply_t *reply, const name_t *after)
{
  for (guint i = 0; i < self->keyed_services->len; i++)
    {
      const name_t *service = &g_array_index (self->keyed_services, name_t, i);
      const store_row_t *row = find_row (reply, service);
      if (row != NULL || (!reply->has_more && follows (service, after)))
        notify_table (self, service, row);
    }
}

static void
on_tables (void *owner, const store_reply_t *reply)
{
  owners_read_t *read = owner;
  coordinator_t *self = read->coordinator;
  const name_t after = read->after;

  read->in_flight = false;
  if (self->role.state != ROLE_HELD)
    return;
  bool empty_page = reply->has_more && reply->rows->len == 0;
  /* A reply from before this host acquired the role may lack the predecessor's last
   * moves. */
  if (reply->outcome != STORE_DONE || reply->version < self->role.acquired_version
      || empty_page)
    {
      eventlog_write (EVENT_STATE,
                      "role",
                      "tables_unavailable",
                      "outcome=%s store_version=%llu acquired_version=%llu",
                      store_outcome_name (reply->outcome),
                      (unsigned long long)reply->version,
                      (unsigned long long)self->role.acquired_version);
      retry_tables (self);
      return;
    }
  notify_page (self, reply, &after);
  if (reply->has_more)
    {
      const store_row_t *last
          = &g_array_index (reply->rows, store_row_t, reply->rows->len - 1);
      read_tables (self, (text_t){ last->key->str, last->key->len });
      return;
    }
  self->role.needs_tables = false;
  self->role.awaits_tables = false;
}

/* Has the owners read of services that were configured after they were read. */
static void
check_services (coordinator_t *self)
{
  role_t *role = &self->role;

  for (guint i = 0; i < self->keyed_services->len && !role->awaits_tables; i++)
    if (keys_lacks_table (&self->keys, &g_array_index (self->keyed_services, name_t, i)))
      role->awaits_tables = role->needs_tables = true;
}

static void
role_acquired (coordinator_t *self, msec_t now)
{
  role_t *role = &self->role;

  role->state = ROLE_HELD;
  self->hosts_known_at = now + REPORT_TIMEOUT_MS;
  role->acquired_version = role->version;
  eventlog_write (EVENT_STATE,
                  "role",
                  "acquired",
                  "row_version=%llu era=%llu next_fence=%llu lease_ms=%d "
                  "predecessor_ms=%lld",
                  (unsigned long long)role->version,
                  (unsigned long long)self->store->era,
                  (unsigned long long)role->row.next_fence,
                  ROLE_LEASE_MS,
                  (long long)MAX (role->predecessor_grants_end - now, 0));
  keys_raise_fence (&self->keys, role->row.next_fence);
  role->awaits_tables = true;
  read_tables (self, TEXT_NONE);
  role->next_write = now + ROLE_RENEW_MS;
}

/* The write in progress was committed as ROW, which now has VERSION.  LEASE_END: of the
 * attempt that did it. */
static void
complete_write (
    coordinator_t *self, role_row_t row, uint64_t version, msec_t lease_end, msec_t now)
{
  role_t *role = &self->role;
  role_write_t done = role->write;

  role->write = (role_write_t){ 0 };
  role->version = version;
  role->row = row;
  keys_state_hold (&self->keys, row.longest_hold);
  role->next_write = lease_end + ROLE_MARGIN_MS - ROLE_LEASE_MS + ROLE_RENEW_MS;
  if (row.until != 0)
    {
      role->lease_end = lease_end;
      if (role->state == ROLE_ACQUIRING)
        role_acquired (self, now);
      notify_role (self, role->lease_end);
    }
  else
    peers_broadcast_resignation (self);
  if (done.has_table)
    {
      keys_msg_t msg = { .kind = KEYS_COMMITTED, .service = done.table.service };
      done.table.version = version;
      peers_broadcast_table (self, &done.table);
      owners_update (self, &done.table);
      grants_handle (self, &msg);
      key_table_finish (&done.table);
    }
}

static void
parse_role_row (role_t *role, const store_reply_t *reply)
{
  fault_t fault;

  role->version = 0;
  role->row = (role_row_t){ 0 };
  for (guint i = 0; i < reply->rows->len; i++)
    {
      const store_row_t *row = &g_array_index (reply->rows, store_row_t, i);
      role->version = row->version;
      if (key_rows_decode_role (&role->row,
                                (text_t){ row->value->str, row->value->len },
                                &fault)
          != STATUS_OK)
        eventlog_write (EVENT_STATE,
                        "role",
                        "row_rejected",
                        "row_version=%llu why=\"%.*s\"",
                        (unsigned long long)row->version,
                        TEXT_ARG (fault_text (&fault)));
    }
}

/* The end of the lease by the row as it was just read, whichever attempt wrote it. */
static msec_t
stored_lease_end (const role_t *role, msec_t now)
{
  return now + role->row.until - store_clock_now (role, now) - ROLE_MARGIN_MS;
}

/* After a write with unknown outcome, or a loss of the store: the row shows whether it
 * was committed, or who has the role since. */
static void
on_read_back (void *owner, const store_reply_t *reply)
{
  coordinator_t *self = owner;
  role_t *role = &self->role;
  msec_t now = msclock_now (&self->clock);

  note_read (self, reply);
  if (note_era (self, now) || !role->write.in_progress || !role->write.reading_back)
    return; /* read for an earlier write */
  role->write.reading_back = false;
  if (reply->outcome != STORE_DONE || reply->version < role->version)
    return; /* role_step retries */
  uint64_t version = role->version;
  parse_role_row (role, reply);
  if (is_row_outdated (self) && role->state == ROLE_HELD && now < role->lease_end)
    write_role (self, now); /* nobody else may take it before this lease ends */
  else if (is_row_outdated (self) || !is_ours (self, &role->row))
    lose_role (self, "another_holder", now);
  else if (role->write.first_sequence != 0
           && role->row.sequence >= role->write.first_sequence
           && !(self->stopping && role->row.until != 0))
    complete_write (self, role->row, role->version, stored_lease_end (role, now), now);
  else
    {
      /* Earlier attempts can't be performed on another version of the row. */
      role->write.unanswered &= role->version == version;
      write_role (self, now);
    }
}

static void
read_back (coordinator_t *self, msec_t now)
{
  role_t *role = &self->role;

  role->write.reading_back = true;
  role->next_check = now + STORE_RETRY_MS;
  read_role (self, on_read_back, now);
}

/*
 * Returns whether the store has come back from an older copy since the last step.
 *
 * The commits that have no answer yet are lost, or will be performed under an earlier era
 * only.  If this host holds the role, its lease was the last one of that era, and nobody
 * acts by another before it has ended: the host goes on by what it knows, and writes that
 * again.
 */
static bool
note_era (coordinator_t *self, msec_t now)
{
  const keys_msg_t lost = { .kind = KEYS_STORE_LOST };
  role_t *role = &self->role;
  const uint64_t before = role->era;

  if (before == self->store->era)
    return false;
  role->era = self->store->era;
  role->gave_way_at_version = 0;
  if (role->state == ROLE_HELD && now < role->lease_end)
    {
      eventlog_write (EVENT_STATE,
                      "role",
                      "kept",
                      "era=%llu before=%llu row_version=%llu lease_ms=%lld",
                      (unsigned long long)role->era,
                      (unsigned long long)before,
                      (unsigned long long)role->version,
                      (long long)(role->lease_end - now));
      keys_raise_fence (&self->keys, role->era * KEYS_FENCES_PER_ERA + 1);
      discard_writes (role);
      role->write.in_progress = true;
      role->tables_lost = true;
      grants_handle (self, &lost);
      read_back (self, now);
    }
  else if (role->state != ROLE_NOT_HELD)
    lose_role (self, "store_lost", now);
  else
    {
      discard_writes (role);
      if (before > 0 && !peers_granter_is_live (self))
        role->next_check
            = MIN (role->next_check,
                   now + (msec_t)rng_below (&self->rng, ROLE_CHECK_JITTER_MS));
    }
  return true;
}

/* The store turned the newest attempt away and no other can be performed later. */
static void
reject_write (coordinator_t *self, msec_t now)
{
  role_t *role = &self->role;
  keys_msg_t msg = { .kind = KEYS_COMMIT_REJECTED };
  bool had_table = role->write.has_table;

  if (had_table)
    {
      msg.service = role->write.table.service;
      key_table_finish (&role->write.table);
    }
  role->write = (role_write_t){ 0 };
  role->next_write = role->next_table_write = now + STORE_RETRY_MS;
  notify_role (self, role->lease_end);
  if (had_table)
    grants_handle (self, &msg);
}

static void
on_written (void *owner, const store_reply_t *reply)
{
  role_attempt_t *attempt = owner;
  coordinator_t *self = attempt->coordinator;
  role_t *role = &self->role;
  msec_t now = msclock_now (&self->clock);

  note_reply (self, reply, attempt->started);
  attempt->in_flight = false;
  note_era (self, now);
  /* The row shows what became of earlier attempts. */
  if (!role->write.in_progress || attempt->sequence != role->write.row.sequence)
    return;
  if (self->stopping && role->write.row.until != 0)
    {
      /* The host resigned during the write: another write has to record that. */
      role->write.in_progress = false;
      if (reply->outcome == STORE_DONE)
        {
          role->version = reply->version;
          role->row = role->write.row;
          write_role (self, now);
        }
    }
  else if (reply->outcome == STORE_DONE)
    complete_write (self,
                    role->write.row,
                    reply->version,
                    role->write.started + ROLE_LEASE_MS - ROLE_MARGIN_MS,
                    now);
  else if (role->state == ROLE_ACQUIRING && reply->outcome != STORE_UNKNOWN)
    lose_role (self, store_outcome_name (reply->outcome), now);
  else if (reply->outcome == STORE_REFUSED && !role->write.unanswered)
    reject_write (self, now);
  else if (reply->outcome == STORE_REFUSED)
    {
      /* An earlier attempt may still be performed: only the row can tell. */
      role->write.started = now - STORE_CALL_MS;
      role->next_check = now + STORE_RETRY_MS;
      notify_role (self, role->lease_end);
    }
  else
    {
      role->write.unanswered |= reply->outcome == STORE_UNKNOWN;
      read_back (self, now);
    }
}

/*
 * Whether to leave a vacant role to hosts with faster links, once for each version of its
 * row.  SINCE: it has been vacant for; 0: its holder resigned.  A host that checks by a
 * lease's end has waited for its handicap; one that has just started, has just got the
 * store back, or meets a resignation has not.  Load: after all hosts have restarted, each
 * of hundreds asks the granter for what it lacks, more than a slow link carries while it
 * renews grants and role.
 */
static bool
gives_way (coordinator_t *self, msec_t since, msec_t now)
{
  role_t *role = &self->role;
  msec_t handicap = check_handicap (self);
  bool waited = !role->check_failed && since >= ROLE_CHECK_JITTER_MS + handicap;

  if (role->version == 0 || handicap < ROLE_GIVE_WAY_MS || waited
      || role->gave_way_at_version == role->version)
    return false;
  role->gave_way_at_version = role->version;
  role->next_check = now + ROLE_CHECK_JITTER_MS + handicap;
  return true;
}

/* Checks who holds the role, and tries to acquire it if nobody does. */
static void
on_holder_read (void *owner, const store_reply_t *reply)
{
  coordinator_t *self = owner;
  role_t *role = &self->role;
  msec_t now = msclock_now (&self->clock);

  role->checking = false;
  note_read (self, reply);
  note_era (self, now);
  if (role->state != ROLE_NOT_HELD || self->stopping)
    return;
  if (reply->outcome != STORE_DONE)
    {
      /* Checked again soon: the store's recovery has to be noticed within the time that a
       * configuration may take to arrive. */
      role->next_check
          = now + STORE_RETRY_MS + (msec_t)rng_below (&self->rng, STORE_RETRY_MAX_MS);
      role->check_failed = true;
      return;
    }
  parse_role_row (role, reply);
  const bool outdated = is_row_outdated (self);
  if (!outdated && role->version != 0 && reply->clock <= role->row.until)
    {
      role->check_failed = false;
      self->granter = role->row.address;
      role->next_check = MIN (role->next_check,
                              now + role->row.until - reply->clock + ROLE_CHECK_JITTER_MS
                                  + check_handicap (self));
      return;
    }
  const msec_t vacant_for
      = outdated ? vacancy_note (&role->vacancy,
                                 store_version_in (self->store->era, role->version),
                                 now)
                 : 0;
  if (vacant_for < 0)
    {
      role->check_failed = false;
      role->next_check = now - vacant_for;
      if (!keys_remembers (&self->keys, now))
        role->next_check += ROLE_KEEPER_MS + check_handicap (self)
                            + (msec_t)rng_below (&self->rng, ROLE_CHECK_JITTER_MS);
      return;
    }
  eventlog_write (EVENT_STATE,
                  "role",
                  "vacant",
                  "holder=%.*s until=%lld store_clock=%lld row_version=%llu "
                  "row_era=%llu era=%llu longest_hold_ms=%lld",
                  NAME_ARG (role->row.host),
                  (long long)role->row.until,
                  (long long)reply->clock,
                  (unsigned long long)role->version,
                  (unsigned long long)role->row.era,
                  (unsigned long long)self->store->era,
                  (long long)role->row.longest_hold);
  /* A holder that resigned (UNTIL is 0) sent grants of the longest hold right before it
   * wrote the row.  Without a row nothing is known, but there may be owners. */
  msec_t since = outdated               ? vacant_for
                 : role->row.until == 0 ? 0
                                        : MAX (reply->clock - role->row.until, 0);
  bool gave_way = gives_way (self, since, now);
  role->check_failed = false;
  if (gave_way)
    return;
  keys_inherit_hold (&self->keys, role->row.longest_hold);
  role->predecessor_grants_end = now + keys_predecessor_hold (&self->keys, since);
  role->tables_lost = outdated || role->row.incomplete;
  role->state = ROLE_ACQUIRING;
  write_role (self, now);
}

static void
check_holder (coordinator_t *self, msec_t now)
{
  role_t *role = &self->role;

  role->checking = true;
  role->next_check
      = now + ROLE_CHECK_MS / 2 + (msec_t)rng_below (&self->rng, ROLE_CHECK_MS);
  read_role (self, on_holder_read, now);
}

void
role_step (coordinator_t *self, msec_t now)
{
  role_t *role = &self->role;
  role_write_t *write = &role->write;

  note_era (self, now);
  if (role->state == ROLE_HELD && now >= role->lease_end)
    lose_role (self, "lease_expired", now);
  if (role->state == ROLE_HELD)
    check_services (self);
  if (role->state == ROLE_HELD && role->needs_tables && now >= role->next_tables_read)
    read_tables (self, TEXT_NONE);
  if (role->state == ROLE_NOT_HELD)
    {
      if (!role->checking && now >= role->next_check && discovery_is_complete (self)
          && self->keyed_services->len > 0 && !self->stopping)
        check_holder (self, now);
      return;
    }
  if (write->in_progress)
    {
      if (write->reading_back || now < role->next_check
          || now < write->started + STORE_CALL_MS)
        return;
      write->unanswered = true;
      read_back (self, now);
      return;
    }
  if (role->state != ROLE_HELD)
    return;
  key_table_t *table = write->has_table ? NULL : g_queue_pop_head (&role->pending_tables);
  if (table != NULL)
    {
      write->has_table = true;
      write->table = *table;
      g_free (table);
    }
  if ((write->has_table && now >= role->next_table_write) || now >= role->next_write)
    write_role (self, now);
}

void
role_init (coordinator_t *self)
{
  g_queue_init (&self->role.pending_tables);
  self->role.next_check = msclock_now (&self->clock)
                          + ROLE_START_HANDICAPS * check_handicap (self)
                          + (msec_t)rng_below (&self->rng, ROLE_CHECK_JITTER_MS);
}

void
role_postpone_check (coordinator_t *self, msec_t until)
{
  self->role.next_check
      = MAX (self->role.next_check,
             until + check_handicap (self)
                 + (msec_t)rng_below (&self->rng, ROLE_CHECK_JITTER_MS));
}

void
role_vacated (coordinator_t *self, msec_t now)
{
  self->role.next_check = MIN (
      self->role.next_check,
      now + check_handicap (self) + (msec_t)rng_below (&self->rng, ROLE_CHECK_JITTER_MS));
}

void
role_queue_table (coordinator_t *self, key_table_t *table)
{
  if (self->role.state != ROLE_HELD)
    {
      key_table_finish (table);
      return;
    }
  key_table_t *queued = g_new (key_table_t, 1);
  *queued = *table;
  g_queue_push_tail (&self->role.pending_tables, queued);
  role_step (self, msclock_now (&self->clock));
}

void
role_resign (coordinator_t *self, msec_t now)
{
  role_t *role = &self->role;

  if (role->state != ROLE_HELD)
    return;
  eventlog_write (EVENT_STATE,
                  "role",
                  "resigned",
                  "row_version=%llu",
                  (unsigned long long)role->version);
  /* No more grants are sent from here on: the next holder may move keys as soon as it has
   * read the row. */
  role->state = ROLE_NOT_HELD;
  role->lease_end = 0;
  notify_role (self, 0);
  if (!role->write.in_progress)
    write_role (self, now);
}
