#include "../coordinator_parts.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define START_MS 20000
#define STORE_CLOCK_AHEAD_MS 5000 /* of the store's clock, on the host's */
#define HOLD_MAX_MS 10000         /* of the host's settings */
#define LONG_HOLD_MS 60000

/* A call to the store that the test has not answered yet. */
typedef struct
{
  store_table_t table; /* of a read */
  name_t after;        /* of a read */
  bool commit, with_owners;
  uint64_t expected;
  role_row_t row; /* of a commit */
  store_done_t done;
  void *owner;
} call_t;

typedef struct
{
  store_t store; /* must be first */
  GArray *calls; /* call_t, the oldest first */
  bool has_more; /* the store has further rows after those of its next answer */
  router_settings_t settings;
  coordinator_t coordinator;
  name_t service;
  bool slow;       /* the lease ends while a command is sent */
  bool stalled;    /* the lease ends before a command is sent */
  unsigned unsent; /* commands that were not permitted any more */
  bool holds;      /* the next grant isn't sent before the test does */
  key_command_t held;
  command_done_t held_done;
  void *held_owner;
  unsigned grants; /* sent so far */
  msec_t longest;  /* hold of these */
} fixture_t;

static void
read_table (
    store_t *store, store_table_t table, text_t after, store_done_t done, void *owner)
{
  fixture_t *self = (fixture_t *)store;
  call_t call = { .table = table, .done = done, .owner = owner };

  name_set (&call.after, after);
  g_array_append_val (self->calls, call);
}

static void
commit (store_t *store, const store_commit_t *commit, store_done_t done, void *owner)
{
  fixture_t *self = (fixture_t *)store;
  call_t call = { .commit = true,
                  .with_owners = commit->n_puts > 1,
                  .expected = commit->expected_version,
                  .done = done,
                  .owner = owner };
  fault_t fault;

  assert_int_equal (key_rows_decode_role (&call.row, commit->puts[0].value, &fault),
                    STATUS_OK);
  g_array_append_val (self->calls, call);
}

/* The command callbacks have no other way to find it. */
static fixture_t *current;

static const store_ops_t store_ops = { .read = read_table, .commit = commit };

static void
send_command (httpc_pool_t *target,
              const key_command_t *command,
              command_done_t done,
              void *owner,
              msec_t now)
{
  (void)target;
  (void)now;
  if (current->holds && !command->release)
    {
      current->holds = false;
      current->held = *command;
      current->held_done = done;
      current->held_owner = owner;
      return;
    }
  if (current->stalled)
    msclock_set (&current->coordinator.clock, current->coordinator.role.lease_end);
  if (command->may_send != NULL && !command->may_send (owner))
    {
      const command_result_t not_sent = { .outcome = COMMAND_FAILED };
      current->unsent++;
      done (owner, &not_sent);
      return;
    }
  current->grants += !command->release;
  current->longest = MAX (current->longest, command->hold);
  if (current->slow)
    msclock_set (&current->coordinator.clock, current->coordinator.role.lease_end);
  current->slow = false;
  const command_result_t result
      = { .outcome = COMMAND_ACCEPTED,
          .sent = true,
          .handover = command->release ? TEXT ("warm") : TEXT_NONE };
  done (owner, &result);
}

static const deployment_ops_t deployment = { .send_command = send_command };

static const feed_ops_t no_feed = { 0 };

static void
init_feed (feed_t *feed, coordinator_t *host)
{
  feed_init (feed,
             host->store,
             host->base,
             &host->clock,
             &host->outage,
             STORE_TARGETS,
             "idle",
             &no_feed,
             host);
  feed->watching = true;
}

/* A host that knows the service "s" and its target "t". */
static void
begin (fixture_t *self)
{
  coordinator_t *host = &self->coordinator;
  target_entry_t target = { .slots = 3, .started_at = 1 };
  GArray *targets = g_array_new (FALSE, FALSE, sizeof (target_entry_t));

  *self = (fixture_t){ .store = { .ops = &store_ops },
                       .calls = g_array_new (FALSE, FALSE, sizeof (call_t)),
                       .settings = { .link_mbps = 1000 } };
  current = self;
  name_set (&self->settings.host, TEXT ("h"));
  name_set (&self->settings.peers, TEXT ("127.0.0.1:2"));
  name_set (&self->service, TEXT ("s"));
  name_set (&target.id, TEXT ("t"));
  name_set (&target.address, TEXT ("127.0.0.1:9"));
  target.service = self->service;
  g_array_append_val (targets, target);
  *host
      = (coordinator_t){ .settings = &self->settings,
                         .deployment = &deployment,
                         .base = event_base_new (),
                         .store = &self->store,
                         .incarnation = 7,
                         .has_directory = true,
                         .host_count = 1,
                         .key_actions = g_array_new (FALSE, TRUE, sizeof (keys_out_t)) };
  msclock_init_settable (&host->clock, START_MS);
  rng_init (&host->rng, 1);
  keys_init (&host->keys, HOLD_MAX_MS);
  rate_fleet_init (&host->rates);
  discovery_init (host);
  g_queue_init (&host->role.pending_tables);
  host->reporters = g_hash_table_new (g_str_hash, g_str_equal);
  init_feed (&host->configuration, host);
  init_feed (&host->targets, host);
  init_feed (&host->owners, host);
  g_array_append_val (host->keyed_services, self->service);
  keys_msg_t services = { .kind = KEYS_SERVICES, .services = host->keyed_services };
  grants_handle (host, &services);
  keys_msg_t listed = { .kind = KEYS_TARGETS, .targets = targets };
  grants_handle (host, &listed);
  g_array_unref (targets);
}

static void
end (fixture_t *self)
{
  coordinator_t *host = &self->coordinator;
  key_table_t *table;

  if (host->role.write.has_table)
    key_table_finish (&host->role.write.table);
  while ((table = g_queue_pop_head (&host->role.pending_tables)) != NULL)
    {
      key_table_finish (table);
      g_free (table);
    }
  grants_finish (host);
  owners_finish (host);
  discovery_finish (host);
  keys_finish (&host->keys);
  rate_fleet_finish (&host->rates);
  g_array_unref (host->key_actions);
  g_hash_table_unref (host->reporters);
  event_base_free (host->base);
  g_array_unref (self->calls);
}

static msec_t
now (const fixture_t *self)
{
  return msclock_now (&self->coordinator.clock);
}

static void
pass_time (fixture_t *self, msec_t ms)
{
  msclock_set (&self->coordinator.clock, now (self) + ms);
  role_step (&self->coordinator, now (self));
}

/* A table in which "t" owns all keys under FENCE. */
static key_table_t
owned_table (const fixture_t *self, uint64_t fence)
{
  key_table_t table;
  key_range_t range = { .last = KEY_LAST, .fence = fence, .target_started_at = 1 };

  key_table_init (&table, name_text (&self->service));
  name_set (&range.target, TEXT ("t"));
  name_set (&range.address, TEXT ("127.0.0.1:9"));
  g_array_append_val (table.ranges, range);
  return table;
}

/* Takes the oldest call that is a commit or, else, a read of TABLE. */
static call_t
take_call (fixture_t *self, bool commit, store_table_t table)
{
  for (guint i = 0; i < self->calls->len; i++)
    {
      call_t call = g_array_index (self->calls, call_t, i);
      if (call.commit != commit || (!commit && call.table != table))
        continue;
      g_array_remove_index (self->calls, i);
      return call;
    }
  fail_msg ("no such call to the store");
  g_assert_not_reached ();
}

static guint
count_commits (const fixture_t *self)
{
  guint n = 0;

  for (guint i = 0; i < self->calls->len; i++)
    n += g_array_index (self->calls, call_t, i).commit;
  return n;
}

/* Answers CALL at VERSION with a row of BYTES, which are freed, or with one for each
 * service if the call is for owners.  NULL: with none. */
static void
answer (fixture_t *self, const call_t *call, uint64_t version, GString *bytes)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (store_row_t));
  bool owners = !call->commit && call->table == STORE_KEYS;
  store_row_t row = { g_string_new (owners ? "s" : "granter"), bytes, version, false };
  store_row_t other = { g_string_new ("r"), bytes, version, false };
  store_reply_t reply = { .outcome = STORE_DONE,
                          .rows = rows,
                          .has_more = self->has_more,
                          .version = version,
                          .clock = now (self) + STORE_CLOCK_AHEAD_MS,
                          .reason = "test" };

  if (bytes != NULL && owners)
    g_array_append_val (rows, other);
  if (bytes != NULL)
    g_array_append_val (rows, row);
  call->done (call->owner, &reply);
  g_string_free (row.key, TRUE);
  g_string_free (other.key, TRUE);
  if (bytes != NULL)
    g_string_free (bytes, TRUE);
  g_array_unref (rows);
}

static void
answer_owners (fixture_t *self, const call_t *read, uint64_t version, uint64_t fence)
{
  key_table_t table = owned_table (self, fence);

  answer (self, read, version, key_rows_encode_table (&table));
  key_table_finish (&table);
}

/* Acquires the role at VERSION, from the row of an earlier write, if any. */
static void
acquire (fixture_t *self, uint64_t version, const role_row_t *earlier)
{
  for (int i = 0; i < 100 && self->coordinator.role.state == ROLE_NOT_HELD; i++)
    {
      pass_time (self, 50);
      if (self->coordinator.role.checking)
        {
          call_t read = take_call (self, false, STORE_ROLE);
          answer (self,
                  &read,
                  version - 1,
                  earlier != NULL ? key_rows_encode_role (earlier) : NULL);
        }
    }
  call_t write = take_call (self, true, STORE_ROLE);
  answer (self, &write, version, NULL);
  assert_int_equal (self->coordinator.role.state, ROLE_HELD);
}

static uint64_t
granted_fence (const fixture_t *self)
{
  const key_service_t *service = g_ptr_array_index (self->coordinator.keys.services, 0);

  return g_array_index (service->ranges, key_range_state_t, 0).fence;
}

static void
test_owners_that_were_read_before_the_role_was_acquired_do_not_count (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  acquire (&fixture, 2, NULL);
  call_t read = take_call (&fixture, false, STORE_KEYS);
  answer_owners (&fixture, &read, 1, 5);
  assert_true (keys_lacks_table (&fixture.coordinator.keys, &fixture.service));
  assert_int_equal (fixture.grants, 0);
  end (&fixture);
}

static void
test_owners_that_were_read_before_a_commit_do_not_replace_it (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  acquire (&fixture, 2, NULL);
  call_t older = take_call (&fixture, false, STORE_KEYS);
  role_row_t row = fixture.coordinator.role.row;
  while (fixture.coordinator.role.state == ROLE_HELD)
    pass_time (&fixture, 50);
  g_array_set_size (fixture.calls, 0);
  acquire (&fixture, 3, &row);
  call_t newer = take_call (&fixture, false, STORE_KEYS);
  answer_owners (&fixture, &newer, 3, 5);
  call_t write = take_call (&fixture, true, STORE_ROLE);
  assert_true (write.with_owners);
  answer (&fixture, &write, 4, NULL);
  uint64_t fence = granted_fence (&fixture);
  assert_true (fence > 5);
  answer_owners (&fixture, &older, 3, 5);
  assert_int_equal (granted_fence (&fixture), fence);
  end (&fixture);
}

/* The page holds the rows of "r" and "s". */
static void
test_a_service_whose_row_is_on_a_later_page_has_owners (void **state)
{
  fixture_t fixture;
  name_t later;

  (void)state;
  begin (&fixture);
  coordinator_t *host = &fixture.coordinator;
  name_set (&later, TEXT ("u"));
  g_array_append_val (host->keyed_services, later);
  keys_msg_t services = { .kind = KEYS_SERVICES, .services = host->keyed_services };
  grants_handle (host, &services);
  acquire (&fixture, 2, NULL);
  call_t first = take_call (&fixture, false, STORE_KEYS);
  assert_int_equal (first.after.len, 0);
  fixture.has_more = true;
  answer_owners (&fixture, &first, 2, 5);
  assert_false (keys_lacks_table (&host->keys, &fixture.service));
  assert_true (keys_lacks_table (&host->keys, &later));
  assert_true (host->role.awaits_tables);
  call_t second = take_call (&fixture, false, STORE_KEYS);
  assert_true (text_equal (name_text (&second.after), TEXT ("s")));
  fixture.has_more = false;
  answer (&fixture, &second, 2, NULL);
  assert_false (keys_lacks_table (&host->keys, &later));
  assert_false (host->role.awaits_tables);
  end (&fixture);
}

/* A configuration arrives that has the service NAME as well. */
static void
configure (fixture_t *self, text_t name)
{
  coordinator_t *host = &self->coordinator;
  name_t service;

  name_set (&service, name);
  g_array_append_val (host->keyed_services, service);
  keys_msg_t services = { .kind = KEYS_SERVICES, .services = host->keyed_services };
  grants_handle (host, &services);
}

static void
test_a_service_that_is_configured_between_two_pages_keeps_its_owners (void **state)
{
  fixture_t fixture;
  name_t earlier;

  (void)state;
  begin (&fixture);
  coordinator_t *host = &fixture.coordinator;
  name_set (&earlier, TEXT ("r"));
  acquire (&fixture, 2, NULL);
  call_t first = take_call (&fixture, false, STORE_KEYS);
  fixture.has_more = true;
  answer_owners (&fixture, &first, 2, 5);
  configure (&fixture, TEXT ("r"));
  call_t second = take_call (&fixture, false, STORE_KEYS);
  fixture.has_more = false;
  answer (&fixture, &second, 2, NULL);
  assert_true (keys_lacks_table (&host->keys, &earlier));
  pass_time (&fixture, STORE_RETRY_MS);
  call_t again = take_call (&fixture, false, STORE_KEYS);
  assert_int_equal (again.after.len, 0);
  answer_owners (&fixture, &again, 2, 5);
  assert_false (keys_lacks_table (&host->keys, &earlier));
  end (&fixture);
}

/* The last page was asked for in an earlier tenure, and is answered in the next one. */
static void
test_a_page_of_an_earlier_tenure_does_not_hide_owners (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  coordinator_t *host = &fixture.coordinator;
  acquire (&fixture, 2, NULL);
  role_row_t row = host->role.row;
  call_t first = take_call (&fixture, false, STORE_KEYS);
  fixture.has_more = true;
  answer_owners (&fixture, &first, 2, 5);
  call_t second = take_call (&fixture, false, STORE_KEYS);
  fixture.has_more = false;
  while (host->role.state == ROLE_HELD)
    pass_time (&fixture, 50);
  g_array_set_size (fixture.calls, 0);
  acquire (&fixture, 3, &row);
  answer (&fixture, &second, 3, NULL);
  assert_true (keys_lacks_table (&host->keys, &fixture.service));
  call_t newer = take_call (&fixture, false, STORE_KEYS);
  answer_owners (&fixture, &newer, 3, 5);
  assert_int_equal (granted_fence (&fixture), 5);
  end (&fixture);
}

/* Runs a host until the read for a renewal of its role is unanswered, but the renewal was
 * answered and owners are being committed.  Returns the read; VERSION is the row's from
 * before the renewal. */
static call_t
start_commit_with_an_older_read (fixture_t *self, uint64_t *version)
{
  coordinator_t *host = &self->coordinator;

  begin (self);
  acquire (self, 2, NULL);
  *version = 2;
  while (now (self) < host->role.next_check)
    {
      pass_time (self, ROLE_RENEW_MS);
      call_t renewal = take_call (self, true, STORE_ROLE);
      answer (self, &renewal, ++*version, NULL);
    }
  pass_time (self, ROLE_RENEW_MS);
  call_t renewal = take_call (self, true, STORE_ROLE);
  pass_time (self, STORE_CALL_MS);
  call_t read = take_call (self, false, STORE_ROLE);
  answer (self, &renewal, *version + 1, NULL);
  key_table_t table = owned_table (self, 5);
  role_queue_table (host, &table);
  assert_int_equal (count_commits (self), 1);
  return read;
}

static void
test_a_read_for_an_earlier_write_does_not_start_another_attempt (void **state)
{
  fixture_t fixture;
  uint64_t version;

  (void)state;
  call_t read = start_commit_with_an_older_read (&fixture, &version);
  role_row_t row = fixture.coordinator.role.row;
  answer (&fixture, &read, version + 1, key_rows_encode_role (&row));
  assert_int_equal (count_commits (&fixture), 1);
  end (&fixture);
}

static void
test_a_row_from_before_the_last_commit_is_not_gone_by (void **state)
{
  fixture_t fixture;
  uint64_t version;

  (void)state;
  call_t read = start_commit_with_an_older_read (&fixture, &version);
  role_row_t row = fixture.coordinator.role.row;
  row.sequence--;
  call_t write = take_call (&fixture, true, STORE_ROLE);
  store_reply_t lost = { .outcome = STORE_UNKNOWN, .reason = "test" };
  write.done (write.owner, &lost);
  assert_true (fixture.coordinator.role.write.reading_back);
  answer (&fixture, &read, version, key_rows_encode_role (&row));
  assert_int_equal (count_commits (&fixture), 0);
  assert_int_equal (fixture.coordinator.role.version, version + 1);
  assert_true (fixture.coordinator.role.write.unanswered);
  end (&fixture);
}

static void
test_owners_that_were_decided_before_the_role_was_lost_are_not_committed (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  acquire (&fixture, 2, NULL);
  role_row_t row = fixture.coordinator.role.row;
  msclock_set (&fixture.coordinator.clock, fixture.coordinator.role.lease_end);
  for (int i = 0; i < 2; i++)
    {
      key_table_t table = owned_table (&fixture, 5);
      role_queue_table (&fixture.coordinator, &table);
    }
  assert_int_equal (fixture.coordinator.role.state, ROLE_NOT_HELD);
  g_array_set_size (fixture.calls, 0);
  acquire (&fixture, 3, &row);
  pass_time (&fixture, ROLE_RENEW_MS);
  call_t write = take_call (&fixture, true, STORE_ROLE);
  assert_false (write.with_owners);
  end (&fixture);
}

static void
add_service (fixture_t *self)
{
  coordinator_t *host = &self->coordinator;
  name_t other;

  name_set (&other, TEXT ("r"));
  g_array_append_val (host->keyed_services, other);
  keys_msg_t services = { .kind = KEYS_SERVICES, .services = host->keyed_services };
  grants_handle (host, &services);
}

static void
test_owners_that_are_loaded_after_the_role_was_lost_are_not_granted_to (void **state)
{
  fixture_t fixture;
  role_row_t row = { .incarnation = 1, .next_fence = 6 };

  (void)state;
  begin (&fixture);
  add_service (&fixture);
  name_set (&row.host, TEXT ("g"));
  name_set (&row.address, TEXT ("127.0.0.1:3"));
  row.until = START_MS + STORE_CLOCK_AHEAD_MS - 1;
  acquire (&fixture, 2, &row);
  row = fixture.coordinator.role.row;
  call_t read = take_call (&fixture, false, STORE_KEYS);
  fixture.slow = true;
  answer_owners (&fixture, &read, 2, 5);
  assert_int_equal (fixture.coordinator.role.state, ROLE_NOT_HELD);
  fixture.grants = 0;
  acquire (&fixture, 3, &row);
  assert_int_equal (fixture.grants, 0);
  end (&fixture);
}

static void
test_owners_of_a_service_that_is_configured_later_are_read_too (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  acquire (&fixture, 2, NULL);
  call_t read = take_call (&fixture, false, STORE_KEYS);
  answer_owners (&fixture, &read, 2, 5);
  fixture.grants = 0;
  add_service (&fixture);
  pass_time (&fixture, 50);
  read = take_call (&fixture, false, STORE_KEYS);
  answer_owners (&fixture, &read, 2, 6);
  assert_int_equal (granted_fence (&fixture), 5);
  assert_int_equal (fixture.grants, 1);
  end (&fixture);
}

static void
test_a_missing_role_row_does_not_end_the_grants_of_known_owners (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  acquire (&fixture, 2, NULL);
  call_t read = take_call (&fixture, false, STORE_KEYS);
  answer_owners (&fixture, &read, 2, 5);
  call_t write = take_call (&fixture, true, STORE_ROLE);
  assert_true (write.with_owners); /* new fences, against grants of a predecessor */
  end (&fixture);
}

/* Advances until the host renews the role, and returns that write. */
static call_t
next_write (fixture_t *self)
{
  self->coordinator.role.next_check = 0; /* of the time before the role was held */
  for (int i = 0; i < 100 && count_commits (self) == 0; i++)
    pass_time (self, 50);
  return take_call (self, true, STORE_ROLE);
}

/* Answers CALL with the store's clock as of AT on the host's. */
static void
answer_late (const call_t *call, store_outcome_t outcome, uint64_t version, msec_t at)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (store_row_t));
  store_reply_t reply = { .outcome = outcome,
                          .rows = rows,
                          .version = version,
                          .clock = at + STORE_CLOCK_AHEAD_MS,
                          .reason = "test" };

  call->done (call->owner, &reply);
  g_array_unref (rows);
}

/* A host with a link of MBPS reads that the role ended AGO before; 0: its holder
 * resigned. Returns how long after that it begins to acquire it. */
static msec_t
time_to_acquire (double mbps, msec_t ago, bool after_outage)
{
  fixture_t fixture;
  role_row_t row = { .next_fence = 7 };
  msec_t began;

  begin (&fixture);
  coordinator_t *host = &fixture.coordinator;
  fixture.settings.link_mbps = mbps;
  host->role.check_failed = after_outage;
  name_set (&row.host, TEXT ("other"));
  name_set (&row.address, TEXT ("127.0.0.1:3"));
  began = now (&fixture);
  if (ago > 0)
    row.until = began + STORE_CLOCK_AHEAD_MS - ago;
  host->role.next_check = 0;
  while (host->role.state == ROLE_NOT_HELD)
    {
      pass_time (&fixture, 10);
      if (!host->role.checking)
        continue;
      call_t read = take_call (&fixture, false, STORE_ROLE);
      answer (&fixture, &read, 2, key_rows_encode_role (&row));
    }
  msec_t took = now (&fixture) - began;
  end (&fixture);
  return took;
}

/* Load: all hosts of a fleet start at the same moment, or get the store back. */
static void
test_hosts_with_slow_links_leave_a_vacant_role_to_others_at_first (void **state)
{
  (void)state;
  assert_in_range (time_to_acquire (200, 50, false), 0, 50);
  assert_in_range (time_to_acquire (200, 9000, true), 0, 50);
  assert_in_range (time_to_acquire (20, 50, false), 400, 600);
  assert_in_range (time_to_acquire (20, 9000, true), 400, 600);
  assert_in_range (time_to_acquire (20, 0, false), 400, 600);
  /* One that waited by the lease's end doesn't wait again. */
  assert_in_range (time_to_acquire (20, 500, false), 0, 50);
}

static void
test_a_late_reply_does_not_set_the_store_clock_back (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  acquire (&fixture, 2, NULL);
  call_t slow = next_write (&fixture);
  msec_t performed = now (&fixture);
  pass_time (&fixture, STORE_CALL_MS + 50);
  take_call (&fixture, false, STORE_ROLE);
  pass_time (&fixture, 100);
  answer_late (&slow, STORE_DONE, 3, performed);
  call_t next = next_write (&fixture);
  assert_true (next.row.until >= now (&fixture) + STORE_CLOCK_AHEAD_MS + ROLE_LEASE_MS);
  end (&fixture);
}

static void
test_a_write_that_could_not_be_sent_is_not_taken_for_written (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  acquire (&fixture, 2, NULL);
  role_t *role = &fixture.coordinator.role;
  role->next_check = 0;
  for (guint i = 0; i < G_N_ELEMENTS (role->attempts); i++)
    role->attempts[i].in_flight = true;
  while (!role->write.reading_back)
    pass_time (&fixture, 50);
  call_t read = take_call (&fixture, false, STORE_ROLE);
  answer (&fixture, &read, 2, key_rows_encode_role (&role->row));
  assert_true (role->write.in_progress);
  end (&fixture);
}

static void
test_a_lease_is_not_longer_than_the_row_that_was_written (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  acquire (&fixture, 2, NULL);
  role_row_t before = fixture.coordinator.role.row;
  call_t first = next_write (&fixture);
  pass_time (&fixture, STORE_CALL_MS + 50);
  call_t read = take_call (&fixture, false, STORE_ROLE);
  answer (&fixture, &read, 2, key_rows_encode_role (&before));
  call_t second = take_call (&fixture, true, STORE_ROLE);
  assert_true (second.row.sequence > first.row.sequence);
  answer_late (&second, STORE_CONFLICT, 3, now (&fixture));
  read = take_call (&fixture, false, STORE_ROLE);
  answer (&fixture, &read, 3, key_rows_encode_role (&first.row));
  assert_int_equal (fixture.coordinator.role.state, ROLE_HELD);
  assert_true (fixture.coordinator.role.lease_end
               < first.row.until - STORE_CLOCK_AHEAD_MS);
  end (&fixture);
}

/* A host acquires the role after a holder whose row states LONG_HOLD_MS, although its own
 * settings have HOLD_MAX_MS.  Returns the write that acquired it. */
static role_row_t
acquire_after_a_longer_hold (fixture_t *self)
{
  role_row_t row = { .incarnation = 1, .next_fence = 6, .longest_hold = LONG_HOLD_MS };

  begin (self);
  name_set (&row.host, TEXT ("g"));
  name_set (&row.address, TEXT ("127.0.0.1:3"));
  row.until = START_MS + STORE_CLOCK_AHEAD_MS - 1;
  acquire (self, 2, &row);
  return self->coordinator.role.row;
}

static void
test_a_successor_assumes_the_longest_hold_of_the_row (void **state)
{
  fixture_t fixture;

  (void)state;
  acquire_after_a_longer_hold (&fixture);
  call_t read = take_call (&fixture, false, STORE_KEYS);
  answer_owners (&fixture, &read, 2, 5);
  const key_service_t *service = g_ptr_array_index (fixture.coordinator.keys.services, 0);
  const key_holds_t *holds = &g_array_index (service->ranges, key_range_state_t, 0).holds;
  assert_true (holds->inherited_until >= START_MS + key_holds_worst_case (LONG_HOLD_MS)
                                             + COMMAND_CALL_MS + KEYS_STALL_MS - 1);
  end (&fixture);
}

static void
test_the_row_states_a_longer_hold_until_such_grants_have_expired (void **state)
{
  fixture_t fixture;
  uint64_t version = 2;

  (void)state;
  role_row_t row = acquire_after_a_longer_hold (&fixture);
  assert_int_equal (row.longest_hold, LONG_HOLD_MS);
  msec_t expired = START_MS + key_holds_worst_case (LONG_HOLD_MS) + COMMAND_CALL_MS
                   + KEYS_STALL_MS - 1;
  while (now (&fixture) < expired)
    {
      call_t write = next_write (&fixture);
      if (now (&fixture) < expired)
        assert_int_equal (write.row.longest_hold, LONG_HOLD_MS);
      answer (&fixture, &write, ++version, NULL);
    }
  pass_time (&fixture, 1000);
  call_t write = next_write (&fixture);
  assert_int_equal (write.row.longest_hold, HOLD_MAX_MS);
  end (&fixture);
}

/* Sends the grants that are due right before the lease ends. */
static void
send_final_grants (fixture_t *self)
{
  keys_msg_t tick = { .kind = KEYS_TICK };

  msclock_set (&self->coordinator.clock,
               self->coordinator.role.lease_end - KEYS_FINAL_RENEWAL_MS / 2);
  self->longest = 0;
  grants_handle (&self->coordinator, &tick);
}

static void
test_a_longer_hold_is_not_granted_before_the_row_states_it (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  acquire (&fixture, 2, NULL);
  call_t read = take_call (&fixture, false, STORE_KEYS);
  answer_owners (&fixture, &read, 2, 5);
  keys_set_hold_max (&fixture.coordinator.keys, LONG_HOLD_MS);
  call_t write = take_call (&fixture, true, STORE_ROLE);
  assert_int_equal (write.row.longest_hold, HOLD_MAX_MS);
  answer (&fixture, &write, 3, NULL);
  send_final_grants (&fixture);
  assert_int_equal (fixture.longest, HOLD_MAX_MS);
  write = next_write (&fixture);
  assert_int_equal (write.row.longest_hold, LONG_HOLD_MS);
  answer (&fixture, &write, 4, NULL);
  send_final_grants (&fixture);
  assert_int_equal (fixture.longest, LONG_HOLD_MS);
  end (&fixture);
}

static void
test_a_write_that_states_less_limits_grants_before_its_answer (void **state)
{
  fixture_t fixture;
  uint64_t version = 2;

  (void)state;
  acquire_after_a_longer_hold (&fixture);
  msec_t expired = fixture.coordinator.role.predecessor_grants_end;
  call_t read = take_call (&fixture, false, STORE_KEYS);
  answer_owners (&fixture, &read, version, 5);
  call_t write = next_write (&fixture);
  while (write.row.longest_hold == LONG_HOLD_MS)
    {
      answer (&fixture, &write, ++version, NULL);
      write = next_write (&fixture);
    }
  assert_true (now (&fixture) >= expired);
  keys_set_hold_max (&fixture.coordinator.keys, LONG_HOLD_MS);
  send_final_grants (&fixture);
  assert_int_equal (fixture.longest, HOLD_MAX_MS);
  end (&fixture);
}

static void
test_no_grant_leaves_after_the_lease_that_it_was_checked_against (void **state)
{
  fixture_t fixture;

  (void)state;
  for (int stalled = 0; stalled < 2; stalled++)
    {
      begin (&fixture);
      acquire (&fixture, 2, NULL);
      call_t read = take_call (&fixture, false, STORE_KEYS);
      fixture.stalled = stalled;
      answer_owners (&fixture, &read, 2, 5);
      assert_int_equal (fixture.grants > 0, !stalled);
      assert_int_equal (fixture.unsent > 0, stalled);
      end (&fixture);
    }
}

static void
test_no_grant_leaves_in_a_later_tenure (void **state)
{
  static const command_result_t not_sent = { .outcome = COMMAND_FAILED };
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  acquire (&fixture, 2, NULL);
  call_t read = take_call (&fixture, false, STORE_KEYS);
  role_row_t row = fixture.coordinator.role.row;
  fixture.holds = true;
  answer_owners (&fixture, &read, 2, 5);
  assert_true (fixture.held.may_send (fixture.held_owner));
  while (fixture.coordinator.role.state == ROLE_HELD)
    pass_time (&fixture, 50);
  assert_false (fixture.held.may_send (fixture.held_owner));
  g_array_set_size (fixture.calls, 0);
  acquire (&fixture, 3, &row);
  assert_false (fixture.held.may_send (fixture.held_owner));
  fixture.held_done (fixture.held_owner, &not_sent);
  end (&fixture);
}

/* The host assigns the keys of its service for the first time. */
static void
test_a_refused_commit_is_not_repeated_at_once (void **state)
{
  fixture_t fixture;
  store_reply_t refused = { .outcome = STORE_REFUSED, .reason = "test" };
  keys_msg_t tick = { .kind = KEYS_TICK };
  call_t write = { 0 };

  (void)state;
  begin (&fixture);
  acquire (&fixture, 2, NULL);
  call_t read = take_call (&fixture, false, STORE_KEYS);
  answer (&fixture, &read, 2, NULL);
  for (int i = 0; i < 40 && !write.with_owners; i++)
    {
      pass_time (&fixture, 50);
      grants_handle (&fixture.coordinator, &tick);
      if (count_commits (&fixture) == 0)
        continue;
      write = take_call (&fixture, true, STORE_ROLE);
      if (!write.with_owners)
        answer (&fixture, &write, 3, NULL);
    }
  assert_true (write.with_owners);
  write.done (write.owner, &refused);
  assert_int_equal (count_commits (&fixture), 0);
  pass_time (&fixture, STORE_RETRY_MS);
  assert_int_equal (count_commits (&fixture), 1);
  end (&fixture);
}

static void
test_an_empty_page_of_owners_is_not_read_again_at_once (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  acquire (&fixture, 2, NULL);
  call_t page = take_call (&fixture, false, STORE_KEYS);
  fixture.has_more = true;
  answer (&fixture, &page, 2, NULL);
  pass_time (&fixture, 0);
  assert_int_equal (fixture.calls->len, 0);
  pass_time (&fixture, STORE_RETRY_MS);
  take_call (&fixture, false, STORE_KEYS);
  end (&fixture);
}

static void
test_a_role_that_was_resigned_is_checked_before_its_lease_ends (void **state)
{
  fixture_t fixture;
  const role_row_t taken = { .host = { .len = 1, .at = "x" },
                             .until = START_MS + STORE_CLOCK_AHEAD_MS + LONG_HOLD_MS };

  (void)state;
  begin (&fixture);
  coordinator_t *host = &fixture.coordinator;
  while (!host->role.checking)
    pass_time (&fixture, 50);
  call_t read = take_call (&fixture, false, STORE_ROLE);
  answer (&fixture, &read, 1, key_rows_encode_role (&taken));
  role_postpone_check (host, now (&fixture) + ROLE_LEASE_MS);
  role_vacated (host, now (&fixture));
  pass_time (&fixture, ROLE_HANDICAP_MS + ROLE_CHECK_JITTER_MS);
  assert_true (host->role.checking);
  end (&fixture);
}

/* The host is stopped while it reads back whether it has acquired the role. */
static void
test_a_host_that_stops_while_it_acquires_the_role_does_not_hold_it (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  coordinator_t *host = &fixture.coordinator;
  for (int i = 0; i < 100 && host->role.state == ROLE_NOT_HELD; i++)
    {
      pass_time (&fixture, 50);
      if (host->role.checking)
        {
          call_t check = take_call (&fixture, false, STORE_ROLE);
          answer (&fixture, &check, 1, NULL);
        }
    }
  call_t write = take_call (&fixture, true, STORE_ROLE);
  store_reply_t lost = { .outcome = STORE_UNKNOWN, .reason = "test" };
  write.done (write.owner, &lost);
  call_t read = take_call (&fixture, false, STORE_ROLE);
  keys_msg_t resign = { .kind = KEYS_RESIGN };
  grants_handle (host, &resign);
  host->stopping = true;
  role_resign (host, now (&fixture));
  answer (&fixture, &read, 2, key_rows_encode_role (&write.row));
  if (host->role.state == ROLE_HELD)
    {
      call_t tables = take_call (&fixture, false, STORE_KEYS);
      answer_owners (&fixture, &tables, 2, 5);
    }
  pass_time (&fixture, ROLE_RENEW_MS);
  call_t last = take_call (&fixture, true, STORE_ROLE);
  assert_int_equal (last.row.until, 0);
  answer (&fixture, &last, 3, NULL);
  fixture.grants = 0;
  keys_msg_t tick = { .kind = KEYS_TICK };
  pass_time (&fixture, KEYS_RENEW_MS / 4);
  grants_handle (host, &tick);
  pass_time (&fixture, KEYS_RENEW_MS / 4);
  grants_handle (host, &tick);
  assert_int_equal (fixture.grants, 0);
  end (&fixture);
}

/* The store comes back from an older copy. */
static void
lose_store (fixture_t *self)
{
  self->store.era++;
  self->store.losses++;
}

/* A row of another host, whose lease has ended, written in ERA. */
static role_row_t
row_of_another (uint64_t era)
{
  role_row_t row = { .incarnation = 1, .next_fence = 6, .era = era };

  name_set (&row.host, TEXT ("g"));
  name_set (&row.address, TEXT ("127.0.0.1:3"));
  row.until = START_MS + STORE_CLOCK_AHEAD_MS - 1;
  return row;
}

/* Answers each check of the role with ROW until the host writes it, or LIMIT ms have
 * passed.  VERSION rises with each check if RENEWED.  Returns the time that passed since
 * the first check. */
static msec_t
check_until_written (
    fixture_t *self, const role_row_t *row, uint64_t version, bool renewed, msec_t limit)
{
  msec_t first = 0;

  while (count_commits (self) == 0 && (first == 0 || now (self) - first < limit))
    {
      pass_time (self, 50);
      if (!self->coordinator.role.checking)
        continue;
      first = first == 0 ? now (self) : first;
      call_t read = take_call (self, false, STORE_ROLE);
      answer (self, &read, version, row != NULL ? key_rows_encode_role (row) : NULL);
      version += renewed;
    }
  return now (self) - first;
}

static void
test_a_row_of_an_earlier_era_is_replaced_after_a_lease (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  fixture.store.era = 2;
  role_row_t row = row_of_another (1);
  assert_true (check_until_written (&fixture, &row, 2 * STORE_ERA_STEP + 7, false, 9000)
               >= ROLE_LEASE_MS);
  call_t write = take_call (&fixture, true, STORE_ROLE);
  assert_int_equal (write.row.era, 2);
  assert_true (write.row.incomplete);
  assert_true (write.row.next_fence > 2 * KEYS_FENCES_PER_ERA);
  end (&fixture);
}

static void
test_a_row_that_its_holder_renews_under_an_earlier_era_is_left_alone (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  fixture.store.era = 2;
  role_row_t row = row_of_another (1);
  check_until_written (&fixture, &row, 2 * STORE_ERA_STEP + 7, true, 20000);
  assert_int_equal (count_commits (&fixture), 0);
  end (&fixture);
}

static void
test_a_role_whose_row_was_lost_is_taken_after_a_lease (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  fixture.store.era = 1;
  lose_store (&fixture);
  assert_true (check_until_written (&fixture, NULL, 2 * STORE_ERA_STEP + 7, false, 9000)
               >= ROLE_LEASE_MS);
  assert_int_equal (count_commits (&fixture), 1);
  end (&fixture);
}

/* Acquires the role in era 1, and grants keys. */
static void
begin_as_granter (fixture_t *self)
{
  begin (self);
  self->store.era = 1;
  acquire (self, STORE_ERA_STEP + 2, NULL);
  call_t read = take_call (self, false, STORE_KEYS);
  answer_owners (self, &read, STORE_ERA_STEP + 2, 5);
  call_t write = take_call (self, true, STORE_ROLE);
  answer (self, &write, STORE_ERA_STEP + 3, NULL);
  assert_int_equal (self->coordinator.role.state, ROLE_HELD);
  g_array_set_size (self->calls, 0);
}

/* The granter meets the copy's row ROW after a loss.  Returns its next write. */
static call_t
write_after_loss (fixture_t *self, const role_row_t *row)
{
  lose_store (self);
  pass_time (self, 50);
  call_t read = take_call (self, false, STORE_ROLE);
  answer (self, &read, 2 * STORE_ERA_STEP + 1, key_rows_encode_role (row));
  return take_call (self, true, STORE_ROLE);
}

static void
test_a_granter_keeps_its_role_and_writes_its_tables_again (void **state)
{
  fixture_t fixture;

  (void)state;
  begin_as_granter (&fixture);
  uint64_t fence = granted_fence (&fixture);
  role_row_t row = row_of_another (1);
  call_t write = write_after_loss (&fixture, &row);
  assert_int_equal (write.expected, 2 * STORE_ERA_STEP + 1);
  assert_int_equal (write.row.era, 2);
  assert_true (write.row.incomplete);
  assert_true (write.row.next_fence > 2 * KEYS_FENCES_PER_ERA);
  answer (&fixture, &write, 2 * STORE_ERA_STEP + 2, NULL);
  pass_time (&fixture, 50);
  write = take_call (&fixture, true, STORE_ROLE);
  assert_true (write.with_owners);
  assert_true (write.row.incomplete);
  answer (&fixture, &write, 2 * STORE_ERA_STEP + 3, NULL);
  assert_int_equal (fixture.coordinator.role.state, ROLE_HELD);
  assert_int_equal (granted_fence (&fixture), fence);
  write = next_write (&fixture);
  assert_false (write.row.incomplete);
  end (&fixture);
}

static void
test_a_granter_gives_way_to_one_of_the_later_era (void **state)
{
  fixture_t fixture;

  (void)state;
  begin_as_granter (&fixture);
  role_row_t row = row_of_another (2);
  lose_store (&fixture);
  pass_time (&fixture, 50);
  call_t read = take_call (&fixture, false, STORE_ROLE);
  answer (&fixture, &read, 2 * STORE_ERA_STEP + 1, key_rows_encode_role (&row));
  assert_int_equal (fixture.coordinator.role.state, ROLE_NOT_HELD);
  end (&fixture);
}

static void
test_a_commit_of_an_earlier_era_grants_nothing (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  fixture.store.era = 1;
  acquire (&fixture, STORE_ERA_STEP + 2, NULL);
  call_t read = take_call (&fixture, false, STORE_KEYS);
  answer_owners (&fixture, &read, STORE_ERA_STEP + 2, 5);
  unsigned grants = fixture.grants;
  call_t write = take_call (&fixture, true, STORE_ROLE);
  assert_true (write.with_owners);
  lose_store (&fixture);
  answer (&fixture, &write, 2 * STORE_ERA_STEP + 9, NULL);
  assert_int_equal (fixture.grants, grants);
  assert_int_equal (granted_fence (&fixture), 5);
  end (&fixture);
}

static void
test_an_older_table_does_not_replace_what_hosts_know (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  key_table_t table = owned_table (&fixture, 5), copy = owned_table (&fixture, 4);
  table.version = STORE_ERA_STEP + 90;
  copy.era = 1;
  owners_update (&fixture.coordinator, &table);
  copy.version = owners_version (&copy, 2 * STORE_ERA_STEP + 20);
  owners_update (&fixture.coordinator, &copy);
  const key_table_t *known = owners_find (&fixture.coordinator, &fixture.service);
  assert_int_equal (known->version, STORE_ERA_STEP + 90);
  copy.era = 2;
  copy.version = owners_version (&copy, 2 * STORE_ERA_STEP + 21);
  owners_update (&fixture.coordinator, &copy);
  known = owners_find (&fixture.coordinator, &fixture.service);
  assert_int_equal (known->version, 2 * STORE_ERA_STEP + 21);
  key_table_finish (&table);
  key_table_finish (&copy);
  end (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_row_of_an_earlier_era_is_replaced_after_a_lease),
    cmocka_unit_test (
        test_a_row_that_its_holder_renews_under_an_earlier_era_is_left_alone),
    cmocka_unit_test (test_a_role_whose_row_was_lost_is_taken_after_a_lease),
    cmocka_unit_test (test_a_granter_keeps_its_role_and_writes_its_tables_again),
    cmocka_unit_test (test_a_granter_gives_way_to_one_of_the_later_era),
    cmocka_unit_test (test_a_commit_of_an_earlier_era_grants_nothing),
    cmocka_unit_test (test_an_older_table_does_not_replace_what_hosts_know),
    cmocka_unit_test (
        test_owners_that_were_read_before_the_role_was_acquired_do_not_count),
    cmocka_unit_test (test_owners_that_were_read_before_a_commit_do_not_replace_it),
    cmocka_unit_test (test_a_service_whose_row_is_on_a_later_page_has_owners),
    cmocka_unit_test (
        test_a_service_that_is_configured_between_two_pages_keeps_its_owners),
    cmocka_unit_test (test_a_page_of_an_earlier_tenure_does_not_hide_owners),
    cmocka_unit_test (test_a_read_for_an_earlier_write_does_not_start_another_attempt),
    cmocka_unit_test (test_a_row_from_before_the_last_commit_is_not_gone_by),
    cmocka_unit_test (
        test_owners_that_were_decided_before_the_role_was_lost_are_not_committed),
    cmocka_unit_test (
        test_owners_that_are_loaded_after_the_role_was_lost_are_not_granted_to),
    cmocka_unit_test (test_owners_of_a_service_that_is_configured_later_are_read_too),
    cmocka_unit_test (test_a_refused_commit_is_not_repeated_at_once),
    cmocka_unit_test (test_an_empty_page_of_owners_is_not_read_again_at_once),
    cmocka_unit_test (test_a_role_that_was_resigned_is_checked_before_its_lease_ends),
    cmocka_unit_test (test_a_host_that_stops_while_it_acquires_the_role_does_not_hold_it),
    cmocka_unit_test (test_a_missing_role_row_does_not_end_the_grants_of_known_owners),
    cmocka_unit_test (test_hosts_with_slow_links_leave_a_vacant_role_to_others_at_first),
    cmocka_unit_test (test_a_late_reply_does_not_set_the_store_clock_back),
    cmocka_unit_test (test_a_write_that_could_not_be_sent_is_not_taken_for_written),
    cmocka_unit_test (test_a_lease_is_not_longer_than_the_row_that_was_written),
    cmocka_unit_test (test_no_grant_leaves_after_the_lease_that_it_was_checked_against),
    cmocka_unit_test (test_no_grant_leaves_in_a_later_tenure),
    cmocka_unit_test (test_a_successor_assumes_the_longest_hold_of_the_row),
    cmocka_unit_test (test_the_row_states_a_longer_hold_until_such_grants_have_expired),
    cmocka_unit_test (test_a_longer_hold_is_not_granted_before_the_row_states_it),
    cmocka_unit_test (test_a_write_that_states_less_limits_grants_before_its_answer),
  };

  return cmocka_run_group_tests_name ("role", tests, NULL, NULL);
}
