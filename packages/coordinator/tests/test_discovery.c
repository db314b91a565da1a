#include "../coordinator_parts.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

/* A store that records the pending call for each table, which the test answers. */
typedef struct
{
  store_t store;
  store_done_t done[STORE_TABLES];
  void *owner[STORE_TABLES];
  unsigned watches[STORE_TABLES];
  msec_t waits[STORE_TABLES]; /* of the last watch */
  GPtrArray *abandoned;       /* calls that the feed has replaced, never answered */
} fake_store_t;

typedef struct
{
  fake_store_t fake;
  router_settings_t settings;
  coordinator_t coordinator;
} fixture_t;

static void
note_call (fake_store_t *self, store_table_t table, store_done_t done, void *owner)
{
  if (self->owner[table] != NULL)
    g_ptr_array_add (self->abandoned, self->owner[table]);
  self->done[table] = done;
  self->owner[table] = owner;
}

static void
read_table (
    store_t *store, store_table_t table, text_t after, store_done_t done, void *owner)
{
  fake_store_t *self = (fake_store_t *)store;

  (void)after;
  note_call (self, table, done, owner);
}

static void
watch_table (store_t *store,
             store_table_t table,
             uint64_t version,
             msec_t wait,
             store_done_t done,
             void *owner)
{
  fake_store_t *self = (fake_store_t *)store;

  (void)version;
  self->waits[table] = wait;
  note_call (self, table, done, owner);
  self->watches[table]++;
}

static const store_ops_t store_ops = { .read = read_table, .watch = watch_table };

static status_t
read_target (text_t id, text_t bytes, target_entry_t *target, fault_t *fault)
{
  (void)fault;
  *target
      = (target_entry_t){ .leaving = text_equal (bytes, TEXT ("leaving")),
                          .warm_up_left = text_equal (bytes, TEXT ("cold")) ? 3000 : 0,
                          .started_at = text_equal (bytes, TEXT ("restarted")) };
  return name_set (&target->id, id) ? STATUS_OK : STATUS_DECODE;
}

/* Keys of one letter ask for the data centre of that name to be emptied. */
static bool
read_evacuation (text_t key, name_t *data_centre)
{
  return key.len == 1 && name_set (data_centre, key);
}

static const deployment_ops_t deployment = { .configuration_key = { "config", 6 },
                                             .read_evacuation = read_evacuation,
                                             .read_target = read_target };

/* Answers the pending call for TABLE at VERSION, with the row of target "t" if VALUE is
 * not NULL. */
static void
reply (fixture_t *self,
       store_table_t table,
       store_outcome_t outcome,
       uint64_t version,
       const char *value)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (store_row_t));
  store_row_t row = { g_string_new ("t"), g_string_new (value), version, false };
  store_reply_t answer
      = { .outcome = outcome, .rows = rows, .version = version, .reason = "test" };
  void *owner = self->fake.owner[table];

  if (value != NULL)
    g_array_append_val (rows, row);
  self->fake.owner[table] = NULL;
  self->fake.done[table](owner, &answer);
  g_string_free (row.key, TRUE);
  g_string_free (row.value, TRUE);
  g_array_unref (rows);
}

/* A host that has read all tables at version 5, with the target "t", and goes by a
 * granter. */
static void
setup (fixture_t *self)
{
  coordinator_t *host = &self->coordinator;

  *self = (fixture_t){ .fake = { .store = { .ops = &store_ops },
                                 .abandoned = g_ptr_array_new_with_free_func (g_free) },
                       .settings = { .bounds = { .drain_ms = 2000 } } };
  *host
      = (coordinator_t){ .settings = &self->settings,
                         .deployment = &deployment,
                         .base = event_base_new (),
                         .store = &self->fake.store,
                         .granter_update_expires = MSEC_NEVER,
                         .key_actions = g_array_new (FALSE, TRUE, sizeof (keys_out_t)) };
  msclock_init_settable (&host->clock, 20000);
  keys_init (&host->keys, 10000);
  rate_fleet_init (&host->rates);
  discovery_init (host);
  discovery_start (host);
  reply (self, STORE_CONFIGURATION, STORE_DONE, 5, NULL);
  reply (self, STORE_TARGETS, STORE_DONE, 5, "ready");
  reply (self, STORE_KEYS, STORE_DONE, 5, NULL);
}

static void
teardown (fixture_t *self)
{
  coordinator_t *host = &self->coordinator;

  grants_finish (host);
  owners_finish (host);
  discovery_finish (host);
  keys_finish (&host->keys);
  rate_fleet_finish (&host->rates);
  g_array_unref (host->key_actions);
  event_base_free (host->base);
  for (int i = 0; i < STORE_TABLES; i++)
    g_free (self->fake.owner[i]); /* calls left unanswered */
  g_ptr_array_unref (self->fake.abandoned);
}

/* Runs the event loop for REAL_MS, in which the host's clock goes on by MS. */
static void
pass_time (fixture_t *self, msec_t ms, msec_t real_ms)
{
  const struct timeval span = { real_ms / 1000, real_ms % 1000 * 1000 };
  msclock_t *clock = &self->coordinator.clock;

  msclock_set (clock, msclock_now (clock) + ms);
  event_base_loopexit (self->coordinator.base, &span);
  event_base_loop (self->coordinator.base, EVLOOP_NO_EXIT_ON_EMPTY);
  discovery_step (&self->coordinator);
}

/* The granter replies to a report of REPORT_AGE ms ago that its tables, which go up to
 * VERSION, were confirmed AGE ms before. */
static void
update (fixture_t *self, msec_t report_age, uint64_t version, msec_t age)
{
  const link_update_t update
      = { .report_sent_at = msclock_now (&self->coordinator.clock) - report_age,
          .configuration = { 5, age },
          .targets = { version, age } };

  discovery_handle_update (&self->coordinator, &update);
}

/* The granter relays a change of the target "t"; VALUE NULL: its row was removed. */
static void
relay (fixture_t *self, uint64_t before, uint64_t after, const char *value)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (store_row_t));
  store_row_t row = { g_string_new ("t"), g_string_new (value), after, value == NULL };

  g_array_append_val (rows, row);
  discovery_apply_rows (&self->coordinator, STORE_TARGETS, before, after, rows);
  g_string_free (row.key, TRUE);
  g_string_free (row.value, TRUE);
  g_array_unref (rows);
}

/* What the assignment of keys knows of the target. */
static target_entry_t
known_to_keys (const fixture_t *self)
{
  assert_int_equal (self->coordinator.keys.targets->len, 1);
  return g_array_index (self->coordinator.keys.targets, target_entry_t, 0);
}

static void
test_each_change_of_a_warm_up_is_passed_on (void **state)
{
  const name_t unnamed = { 0 };
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  g_array_append_val (fixture.coordinator.warming_services, unnamed);
  relay (&fixture, 5, 6, "cold");
  assert_int_equal (known_to_keys (&fixture).warm_up_left, 3000);
  pass_time (&fixture, 1000, 0);
  relay (&fixture, 6, 7, "ready");
  assert_int_equal (known_to_keys (&fixture).warm_up_left, 0);
  teardown (&fixture);
}

static const known_target_t *
find_target (const fixture_t *self)
{
  return g_hash_table_lookup (self->coordinator.targets_by_id, "t");
}

static void
test_row_that_is_read_again_does_not_begin_the_warm_up_anew (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  relay (&fixture, 5, 6, "cold");
  msec_t warm_at = find_target (&fixture)->cold_until;
  pass_time (&fixture, 2000, 0);
  feed_resume (&fixture.coordinator.targets);
  reply (&fixture, STORE_TARGETS, STORE_HISTORY_GONE, 0, NULL);
  reply (&fixture, STORE_TARGETS, STORE_DONE, 6, "cold");
  assert_int_equal (find_target (&fixture)->cold_until, warm_at);
  relay (&fixture, 6, 7, "cold");
  assert_int_equal (find_target (&fixture)->cold_until, warm_at + 2000);
  teardown (&fixture);
}

static void
test_host_watches_the_store_when_the_granters_word_is_old (void **state)
{
  fixture_t fixture;
  const unsigned *watches = fixture.fake.watches;

  (void)state;
  setup (&fixture);
  pass_time (&fixture, 1000, FEED_BATCH_MS + 20);
  assert_int_equal (watches[STORE_TARGETS], 0);
  update (&fixture, 100, 5, 300);
  pass_time (&fixture, 900, 0);
  assert_int_equal (watches[STORE_TARGETS], 0);
  update (&fixture, 100, 5, 1300); /* the store has not answered the granter since */
  pass_time (&fixture, 200, 0);
  assert_int_equal (watches[STORE_TARGETS], 1);
  assert_int_equal (watches[STORE_CONFIGURATION], 1);
  teardown (&fixture);
}

/* In a large fleet less often, so that the hosts together don't overload the store. */
static void
test_host_without_a_granter_has_the_store_confirm_its_copies (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  fixture.coordinator.granter_update_expires = 0;
  pass_time (&fixture, 1000, FEED_BATCH_MS + 20);
  assert_int_equal (fixture.fake.watches[STORE_CONFIGURATION], 1);
  for (uint32_t hosts = 1; hosts <= 510; hosts += 509)
    {
      fixture.coordinator.host_count = hosts;
      reply (&fixture, STORE_CONFIGURATION, STORE_DONE, 5, NULL);
      msec_t longest = MAX (fixture.coordinator.relay_max_age,
                            hosts * 2 * 1000 / FEED_CONFIRM_CALLS_PER_S);
      assert_in_range (fixture.fake.waits[STORE_CONFIGURATION], longest - 10, longest);
    }
  teardown (&fixture);
}

/* Its reply takes longer than FEED_LAG_MS, and the granter's updates go on. */
static void
test_slow_read_of_a_newer_version_is_not_abandoned (void **state)
{
  fixture_t fixture;
  const unsigned *watches = fixture.fake.watches;

  (void)state;
  setup (&fixture);
  pass_time (&fixture, 500, FEED_BATCH_MS + 20);
  for (int i = 0; i < 6; i++)
    {
      update (&fixture, 50, 9, 100);
      pass_time (&fixture, FEED_LAG_MS, 0);
    }
  assert_int_equal (watches[STORE_TARGETS], 1);
  reply (&fixture, STORE_TARGETS, STORE_DONE, 9, "leaving");
  assert_true (find_target (&fixture)->entry.leaving);
  teardown (&fixture);
}

static void
test_watch_that_misses_a_newer_version_is_restarted_once (void **state)
{
  fixture_t fixture;
  const unsigned *watches = fixture.fake.watches;

  (void)state;
  setup (&fixture);
  feed_resume (&fixture.coordinator.targets);
  pass_time (&fixture, 100, 0);
  for (int i = 0; i < 6; i++)
    {
      update (&fixture, 50, 9, 100);
      pass_time (&fixture, FEED_LAG_MS, 0);
    }
  assert_int_equal (watches[STORE_TARGETS], 2);
  teardown (&fixture);
}

static void
test_updates_confirm_only_what_the_host_has (void **state)
{
  fixture_t fixture;
  const feed_t *targets = &fixture.coordinator.targets;

  (void)state;
  setup (&fixture);
  pass_time (&fixture, 1000, 0);
  update (&fixture, 100, 6, 0); /* the host lacks a change */
  assert_int_equal (feed_age (targets), 1000);
  update (&fixture, msclock_now (&fixture.coordinator.clock), 5, 0); /* not a reply */
  assert_int_equal (feed_age (targets), 1000);
  update (&fixture, 100, 5, LINK_AGE_UNKNOWN);
  assert_int_equal (feed_age (targets), 1000);
  update (&fixture, 100, 5, 30);
  assert_int_equal (feed_age (targets), 130);
  teardown (&fixture);
}

static void
test_leaving_target_states_how_long_it_may_have_been_leaving (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  pass_time (&fixture, 700, 0);
  relay (&fixture, 5, 7, "leaving");
  assert_true (find_target (&fixture)->entry.leaving);
  assert_int_equal (find_target (&fixture)->entry.leaving_for, 700);
  pass_time (&fixture, 500, 0);
  relay (&fixture, 7, 8, "leaving");
  assert_int_equal (find_target (&fixture)->entry.leaving_for, 700);
  teardown (&fixture);
}

static void
test_granter_whose_watch_was_late_counts_from_its_last_confirmation (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  fixture.coordinator.role.state = ROLE_HELD;
  fixture.coordinator.reporters = g_hash_table_new (g_str_hash, g_str_equal);
  feed_resume (&fixture.coordinator.targets);
  pass_time (&fixture, 1900, 0);
  reply (&fixture, STORE_TARGETS, STORE_DONE, 7, "leaving");
  assert_int_equal (find_target (&fixture)->entry.leaving_for, 1900);
  g_hash_table_unref (fixture.coordinator.reporters);
  fixture.coordinator.role.state = ROLE_NOT_HELD;
  teardown (&fixture);
}

static void
test_relayed_leaving_between_failed_calls_may_be_old (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  feed_resume (&fixture.coordinator.targets);
  reply (&fixture, STORE_TARGETS, STORE_UNKNOWN, 0, NULL);
  pass_time (&fixture, 4000, 0);
  assert_null (fixture.coordinator.targets.call);
  relay (&fixture, 5, 7, "leaving");
  assert_int_equal (find_target (&fixture)->entry.leaving_for, 4000);
  teardown (&fixture);
}

static void
test_watch_after_a_failed_call_may_bring_an_old_leaving (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  feed_resume (&fixture.coordinator.targets);
  reply (&fixture, STORE_TARGETS, STORE_UNKNOWN, 0, NULL);
  pass_time (&fixture, 4000, 0);
  feed_resume (&fixture.coordinator.targets);
  pass_time (&fixture, 100, 0);
  reply (&fixture, STORE_TARGETS, STORE_DONE, 7, "leaving");
  assert_int_equal (find_target (&fixture)->entry.leaving_for, 4100);
  teardown (&fixture);
}

static void
test_long_watch_brings_a_leaving_at_once (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  feed_resume (&fixture.coordinator.targets);
  pass_time (&fixture, 4000, 0);
  reply (&fixture, STORE_TARGETS, STORE_DONE, 7, "leaving");
  assert_int_equal (find_target (&fixture)->entry.leaving_for,
                    fixture.coordinator.relay_max_age);
  teardown (&fixture);
}

/* Another host heard the process of "t" that started at STARTED_AT state that it leaves.
 */
static void
hear_leaving (fixture_t *self, uint64_t started_at)
{
  target_incarnation_t target = { .started_at = started_at };
  name_t host;

  name_set (&target.id, TEXT ("t"));
  name_set (&host, TEXT ("h1"));
  discovery_note_leaving (&self->coordinator, &target, &host);
}

/* Whether "t" is assigned no keys because it is leaving. */
static bool
leaves_for_keys (const fixture_t *self)
{
  const GArray *targets = self->coordinator.keys.targets;

  assert_int_equal (targets->len, 1);
  return g_array_index (targets, target_entry_t, 0).leaving;
}

static void
test_target_that_stated_that_it_leaves_is_assigned_no_keys (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  hear_leaving (&fixture, 7); /* a process that is not listed */
  assert_false (leaves_for_keys (&fixture));
  hear_leaving (&fixture, 0);
  assert_true (leaves_for_keys (&fixture));
  assert_false (find_target (&fixture)->entry.leaving);
  relay (&fixture, 5, 7, "ready");
  fixture.coordinator.targets_changed = true; /* as by another target */
  discovery_step (&fixture.coordinator);
  assert_true (leaves_for_keys (&fixture));
  relay (&fixture, 7, 8, "leaving");
  relay (&fixture, 8, 9, "ready");
  pass_time (&fixture, 0, 0);
  assert_true (leaves_for_keys (&fixture));
  relay (&fixture, 9, 10, "restarted");
  pass_time (&fixture, 0, 0);
  assert_false (leaves_for_keys (&fixture));
  teardown (&fixture);
}

/* Makes the feed of configurations fail once and its next watch be suspended. */
static void
fail_configuration (fixture_t *self)
{
  coordinator_t *host = &self->coordinator;

  feed_resume (&host->configuration);
  reply (self, STORE_CONFIGURATION, STORE_REFUSED, 0, NULL);
  update (self, 100, 5, 30);
  pass_time (self, 0, STORE_RETRY_MAX_MS);
  assert_true (host->configuration.suspended);
}

static void
test_removed_target_is_kept_only_while_an_outage_may_have_removed_it (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  fail_configuration (&fixture);
  for (int i = 0; i < 3; i++)
    {
      pass_time (&fixture, 800, 0); /* the first update shows that the outage is over */
      update (&fixture, 100, 5, 30);
    }
  relay (&fixture, 5, 7, NULL);
  pass_time (&fixture, 800 + STORE_ENTRY_RENEWAL_MS - 2400, 0);
  assert_null (find_target (&fixture));
  teardown (&fixture);
}

/* Its own link is at fault: the granter, which it lags behind, hears the store. */
static void
test_busy_host_does_not_take_its_own_failures_for_an_outage (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  fail_configuration (&fixture);
  for (int i = 0; i < 3; i++)
    {
      pass_time (&fixture, 800, 0);
      update (&fixture, 100, 9 + (uint64_t)i, 30);
    }
  relay (&fixture, 5, 7, NULL);
  pass_time (&fixture, 800 + STORE_ENTRY_RENEWAL_MS - 2400, 0);
  assert_null (find_target (&fixture));
  teardown (&fixture);
}

/* The feed of owners goes by the granter's updates without an age, and one whose watch is
 * in flight has no success until that returns. */
static void
test_outage_ends_for_feeds_that_have_no_success_of_their_own (void **state)
{
  static const store_table_t failing[] = { STORE_KEYS, STORE_CONFIGURATION };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (failing); i++)
    {
      fixture_t fixture;
      coordinator_t *host = &fixture.coordinator;
      setup (&fixture);
      feed_t *feed = failing[i] == STORE_KEYS ? &host->owners : &host->configuration;
      feed_resume (feed);
      feed_resume (&host->targets);
      reply (&fixture, failing[i], STORE_REFUSED, 0, NULL);
      pass_time (&fixture, 100, 0);
      reply (&fixture, STORE_TARGETS, STORE_DONE, 6, "ready");
      feed_resume (failing[i] == STORE_KEYS ? &host->targets : feed);
      pass_time (&fixture, 100, STORE_RETRY_MAX_MS);
      for (int k = 0; k < 3; k++)
        {
          pass_time (&fixture, 800, 0);
          feed_confirm (&host->targets, msclock_now (&host->clock));
        }
      feed_resume (feed);
      reply (&fixture, failing[i], STORE_DONE, 7, NULL); /* a success long after it */
      relay (&fixture, 6, 8, NULL);
      pass_time (&fixture, 1, 0);
      assert_null (find_target (&fixture));
      teardown (&fixture);
    }
}

static void
test_target_that_expired_in_an_outage_is_kept_for_its_renewal (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  fail_configuration (&fixture);
  pass_time (&fixture, 500, 0);
  update (&fixture, 100, 5, 30); /* the first sign of the store since */
  relay (&fixture, 5, 7, NULL);
  pass_time (&fixture, STORE_ENTRY_RENEWAL_MS - 200, 0);
  assert_non_null (find_target (&fixture));
  pass_time (&fixture, 200, 0);
  assert_null (find_target (&fixture));
  teardown (&fixture);
}

static void
test_late_failure_does_not_prolong_an_outage_that_is_over (void **state)
{
  outage_t outage = { 0 };

  (void)state;
  outage_note_failure (&outage, 5000, 5100);
  assert_int_equal (outage_end (&outage, 6000), 6000);
  outage_note_answer (&outage, 5050); /* before the failure */
  assert_int_equal (outage_end (&outage, 6000), 6000);
  outage_note_answer (&outage, 6200);
  outage_note_failure (&outage, 5900, 7000); /* of a call that hung since before */
  assert_int_equal (outage_end (&outage, 7000), 6200);
  outage_note_failure (&outage, 7100, 7200);
  assert_int_equal (outage_end (&outage, 7300), 7300);
  assert_int_equal (outage_end (&outage, 7200 + STORE_RECOVERY_MS), 6200);
}

static void
test_call_is_repeated_when_another_host_is_in_a_later_era (void **state)
{
  fixture_t fixture;
  coordinator_t *host = &fixture.coordinator;
  link_update_t update = { .report_sent_at = 20000,
                           .configuration = { STORE_ERA_STEP + 3, 0 },
                           .targets = { 5, 0 } };

  (void)state;
  setup (&fixture);
  host->granter_update_expires = 0;
  discovery_step (host);
  unsigned watches = fixture.fake.watches[STORE_CONFIGURATION];
  pass_time (&fixture, 1, 0);
  discovery_handle_update (host, &update);
  assert_int_equal (fixture.fake.watches[STORE_CONFIGURATION], watches + 1);
  teardown (&fixture);
}

static void
test_row_beside_the_configuration_hides_no_change_of_it (void **state)
{
  fixture_t fixture;
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (store_row_t));
  store_row_t other = { g_string_new ("other"), g_string_new ("v"), 9, false };

  (void)state;
  setup (&fixture);
  g_array_append_val (rows, other);
  discovery_apply_rows (&fixture.coordinator, STORE_CONFIGURATION, 8, 9, rows);
  assert_int_equal (fixture.coordinator.configuration.version, 5);
  assert_int_equal (fixture.fake.watches[STORE_CONFIGURATION], 1);
  g_string_free (other.key, TRUE);
  g_string_free (other.value, TRUE);
  g_array_unref (rows);
  teardown (&fixture);
}

/* The host reads the table again, which is of a later era. */
static void
read_copy (fixture_t *self, const char *value)
{
  feed_resume (&self->coordinator.targets);
  reply (self, STORE_TARGETS, STORE_HISTORY_GONE, 0, NULL);
  reply (self, STORE_TARGETS, STORE_DONE, STORE_ERA_STEP + 5, value);
}

static void
test_target_that_left_is_not_used_when_an_older_copy_lists_it (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  relay (&fixture, 5, 7, "leaving");
  relay (&fixture, 7, 8, NULL);
  pass_time (&fixture, STORE_ENTRY_RENEWAL_MS, 0);
  discovery_step (&fixture.coordinator);
  assert_null (find_target (&fixture));
  read_copy (&fixture, "ready");
  assert_null (find_target (&fixture));
  relay (&fixture, STORE_ERA_STEP + 5, STORE_ERA_STEP + 6, "restarted");
  assert_non_null (find_target (&fixture));
  teardown (&fixture);
}

static void
test_earlier_process_is_not_used_when_an_older_copy_lists_it (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  relay (&fixture, 5, 7, "restarted");
  read_copy (&fixture, "ready");
  assert_int_equal (find_target (&fixture)->entry.started_at, 1);
  assert_true (find_target (&fixture)->expires_at == MSEC_NEVER);
  teardown (&fixture);
}

static void
test_target_that_leaves_stays_so_when_an_older_copy_lists_it (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  relay (&fixture, 5, 7, "leaving");
  feed_resume (&fixture.coordinator.targets);
  reply (&fixture, STORE_TARGETS, STORE_HISTORY_GONE, 0, NULL);
  reply (&fixture, STORE_TARGETS, STORE_DONE, STORE_ERA_STEP + 5, "ready");
  assert_true (find_target (&fixture)->entry.leaving);
  relay (&fixture, STORE_ERA_STEP + 5, STORE_ERA_STEP + 6, "restarted");
  assert_false (find_target (&fixture)->entry.leaving);
  teardown (&fixture);
}

/* A host of a deployment whose data centres are emptied; "t", which is in none, is the
 * row that reply () gives, and names one here. */
static void
setup_with_evacuations (fixture_t *self)
{
  setup (self);
  emptied_set_time (&self->coordinator, 5000);
}

/* The granter relays rows of the configuration's table: KEY at version AFTER, or none if
 * it is NULL. */
static void
relay_evacuation (
    fixture_t *self, uint64_t before, uint64_t after, const char *key, bool removed)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (store_row_t));
  store_row_t row = { g_string_new (key), g_string_new (NULL), after, removed };

  if (key != NULL)
    g_array_append_val (rows, row);
  discovery_apply_rows (&self->coordinator, STORE_CONFIGURATION, before, after, rows);
  g_string_free (row.key, TRUE);
  g_string_free (row.value, TRUE);
  g_array_unref (rows);
}

static uint32_t
count_emptied (const fixture_t *self)
{
  return evacuations_count (&self->coordinator.evacuations);
}

static void
test_relayed_evacuation_begins_and_ends (void **state)
{
  fixture_t fixture;

  (void)state;
  setup_with_evacuations (&fixture);
  pass_time (&fixture, 700, 0);
  relay_evacuation (&fixture, 5, 7, "a", false);
  assert_int_equal (count_emptied (&fixture), 1);
  assert_int_equal (evacuations_age (&fixture.coordinator.evacuations,
                                     msclock_now (&fixture.coordinator.clock)),
                    700);
  relay_evacuation (&fixture, 7, 8, "a", true);
  assert_int_equal (count_emptied (&fixture), 0);
  teardown (&fixture);
}

static void
test_host_that_missed_rows_does_not_skip_them (void **state)
{
  fixture_t fixture;

  (void)state;
  setup_with_evacuations (&fixture);
  pass_time (&fixture, 100, FEED_BATCH_MS + 20);
  relay_evacuation (&fixture, 7, 8, "b", false);
  assert_int_equal (fixture.coordinator.configuration.version, 5);
  assert_int_equal (fixture.fake.watches[STORE_CONFIGURATION], 1);
  teardown (&fixture);
}

static void
test_relayed_state_ends_what_it_lacks (void **state)
{
  fixture_t fixture;

  (void)state;
  setup_with_evacuations (&fixture);
  relay_evacuation (&fixture, 5, 7, "a", false);
  relay_evacuation (&fixture, 0, 12, "b", false);
  assert_int_equal (count_emptied (&fixture), 1);
  assert_int_equal (fixture.coordinator.configuration.version, 12);
  relay_evacuation (&fixture, 0, 9, NULL, false); /* it is older */
  assert_int_equal (count_emptied (&fixture), 1);
  teardown (&fixture);
}

static void
test_full_read_ends_an_evacuation_that_it_lacks (void **state)
{
  fixture_t fixture;

  (void)state;
  setup_with_evacuations (&fixture);
  feed_resume (&fixture.coordinator.configuration);
  reply (&fixture, STORE_CONFIGURATION, STORE_DONE, 7, ""); /* the row "t" */
  assert_int_equal (count_emptied (&fixture), 1);
  feed_resume (&fixture.coordinator.configuration);
  reply (&fixture, STORE_CONFIGURATION, STORE_HISTORY_GONE, 0, NULL);
  reply (&fixture, STORE_CONFIGURATION, STORE_DONE, 9, NULL);
  assert_int_equal (count_emptied (&fixture), 0);
  teardown (&fixture);
}

static void
test_evacuations_are_ignored_without_a_time (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  relay_evacuation (&fixture, 5, 7, "a", false);
  assert_int_equal (count_emptied (&fixture), 0);
  teardown (&fixture);
}

static msec_t
emptied_age (const fixture_t *self)
{
  return evacuations_age (&self->coordinator.evacuations,
                          msclock_now (&self->coordinator.clock));
}

static void
test_relayed_evacuation_between_failed_calls_may_be_old (void **state)
{
  fixture_t fixture;

  (void)state;
  setup_with_evacuations (&fixture);
  feed_resume (&fixture.coordinator.configuration);
  reply (&fixture, STORE_CONFIGURATION, STORE_UNKNOWN, 0, NULL);
  pass_time (&fixture, 4000, 0);
  assert_null (fixture.coordinator.configuration.call);
  relay_evacuation (&fixture, 5, 7, "a", false);
  assert_int_equal (emptied_age (&fixture), 4000);
  teardown (&fixture);
}

static void
test_watch_after_a_failed_call_may_bring_an_old_evacuation (void **state)
{
  fixture_t fixture;

  (void)state;
  setup_with_evacuations (&fixture);
  feed_resume (&fixture.coordinator.configuration);
  reply (&fixture, STORE_CONFIGURATION, STORE_UNKNOWN, 0, NULL);
  pass_time (&fixture, 4000, 0);
  feed_resume (&fixture.coordinator.configuration);
  pass_time (&fixture, 100, 0);
  reply (&fixture, STORE_CONFIGURATION, STORE_DONE, 7, "");
  assert_int_equal (emptied_age (&fixture), 4100);
  teardown (&fixture);
}

static void
test_long_watch_brings_an_evacuation_at_once (void **state)
{
  fixture_t fixture;

  (void)state;
  setup_with_evacuations (&fixture);
  feed_resume (&fixture.coordinator.configuration);
  pass_time (&fixture, 4000, 0);
  reply (&fixture, STORE_CONFIGURATION, STORE_DONE, 7, "");
  assert_int_equal (emptied_age (&fixture), fixture.coordinator.relay_max_age);
  teardown (&fixture);
}

static void
test_host_that_the_store_does_not_answer_asks_for_rows (void **state)
{
  fixture_t fixture;
  const link_update_t update
      = { .report_sent_at = 20000, .configuration = { 9, 100 }, .targets = { 5, 100 } };

  (void)state;
  setup_with_evacuations (&fixture);
  pass_time (&fixture, 100, FEED_BATCH_MS + 20);
  discovery_handle_update (&fixture.coordinator, &update);
  assert_false (discovery_lacks_rows (&fixture.coordinator));
  pass_time (&fixture, FEED_LAG_MS, 0);
  assert_true (discovery_lacks_rows (&fixture.coordinator));
  relay_evacuation (&fixture, 0, 9, "a", false);
  pass_time (&fixture, 10, 0);
  assert_false (discovery_lacks_rows (&fixture.coordinator));
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_host_watches_the_store_when_the_granters_word_is_old),
    cmocka_unit_test (test_host_without_a_granter_has_the_store_confirm_its_copies),
    cmocka_unit_test (test_call_is_repeated_when_another_host_is_in_a_later_era),
    cmocka_unit_test (test_target_that_leaves_stays_so_when_an_older_copy_lists_it),
    cmocka_unit_test (test_row_beside_the_configuration_hides_no_change_of_it),
    cmocka_unit_test (test_target_that_left_is_not_used_when_an_older_copy_lists_it),
    cmocka_unit_test (test_earlier_process_is_not_used_when_an_older_copy_lists_it),
    cmocka_unit_test (test_slow_read_of_a_newer_version_is_not_abandoned),
    cmocka_unit_test (test_each_change_of_a_warm_up_is_passed_on),
    cmocka_unit_test (test_row_that_is_read_again_does_not_begin_the_warm_up_anew),
    cmocka_unit_test (test_watch_that_misses_a_newer_version_is_restarted_once),
    cmocka_unit_test (test_updates_confirm_only_what_the_host_has),
    cmocka_unit_test (test_leaving_target_states_how_long_it_may_have_been_leaving),
    cmocka_unit_test (test_target_that_stated_that_it_leaves_is_assigned_no_keys),
    cmocka_unit_test (
        test_granter_whose_watch_was_late_counts_from_its_last_confirmation),
    cmocka_unit_test (test_relayed_leaving_between_failed_calls_may_be_old),
    cmocka_unit_test (test_watch_after_a_failed_call_may_bring_an_old_leaving),
    cmocka_unit_test (test_long_watch_brings_a_leaving_at_once),
    cmocka_unit_test (
        test_removed_target_is_kept_only_while_an_outage_may_have_removed_it),
    cmocka_unit_test (test_busy_host_does_not_take_its_own_failures_for_an_outage),
    cmocka_unit_test (test_late_failure_does_not_prolong_an_outage_that_is_over),
    cmocka_unit_test (test_outage_ends_for_feeds_that_have_no_success_of_their_own),
    cmocka_unit_test (test_target_that_expired_in_an_outage_is_kept_for_its_renewal),
    cmocka_unit_test (test_relayed_evacuation_begins_and_ends),
    cmocka_unit_test (test_host_that_missed_rows_does_not_skip_them),
    cmocka_unit_test (test_relayed_state_ends_what_it_lacks),
    cmocka_unit_test (test_full_read_ends_an_evacuation_that_it_lacks),
    cmocka_unit_test (test_evacuations_are_ignored_without_a_time),
    cmocka_unit_test (test_relayed_evacuation_between_failed_calls_may_be_old),
    cmocka_unit_test (test_watch_after_a_failed_call_may_bring_an_old_evacuation),
    cmocka_unit_test (test_long_watch_brings_an_evacuation_at_once),
    cmocka_unit_test (test_host_that_the_store_does_not_answer_asks_for_rows),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
