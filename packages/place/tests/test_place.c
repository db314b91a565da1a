#include "../place.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <string.h>

/* Host a is the holder, b and c are the other hosts; targets x and y own the slots. */

#define START 100000

typedef struct
{
  place_t *place;
  table_t *loaded;
  config_t config;
  GArray *out;
  msec_t now;
} fixture_t;

static host_t
host_of (const char *name)
{
  host_t host = { .incarnation = 1 };

  name_set (&host.name, text_from_c (name));
  return host;
}

static void
handle (fixture_t *self, place_msg_t msg)
{
  g_array_set_size (self->out, 0);
  place_handle (self->place, &msg, self->now, self->out);
}

static const place_out_t *
find_effect (const fixture_t *self, place_out_kind_t kind)
{
  for (guint i = 0; i < self->out->len; i++)
    if (g_array_index (self->out, place_out_t, i).kind == kind)
      return &g_array_index (self->out, place_out_t, i);
  return NULL;
}

static void
send_hello (fixture_t *self, const char *name, uint64_t version)
{
  handle (
      self,
      (place_msg_t){ .kind = PLACE_HELLO, .host = host_of (name), .version = version });
}

static void
advance_and_tick (fixture_t *self, msec_t span)
{
  self->now += span;
  handle (self, (place_msg_t){ .kind = PLACE_TICK });
}

static void
acknowledge (fixture_t *self)
{
  uint64_t version = self->place->table.version;

  send_hello (self, "a", version);
  send_hello (self, "b", version);
  send_hello (self, "c", version);
}

static void
send_holder_rows (fixture_t *self, uint64_t epoch, uint64_t beat)
{
  place_msg_t msg
      = { .kind = PLACE_HOLDER_READ, .ok = true, .epoch = epoch, .beat = beat };

  name_set (&msg.holder, TEXT ("z"));
  handle (self, msg);
}

static void
send_target_list (fixture_t *self, target_state_t state_of_x)
{
  target_t list[2]
      = { { .state = state_of_x, .port = 1 }, { .state = TARGET_LIVE, .port = 2 } };

  name_set (&list[0].name, TEXT ("x"));
  name_set (&list[1].name, TEXT ("y"));
  name_set (&list[0].service, TEXT ("keyed"));
  name_set (&list[1].service, TEXT ("keyed"));
  handle (self, (place_msg_t){ .kind = PLACE_TARGET_LIST, .targets = list, .n = 2 });
}

static fixture_t *
new_fixture (const place_policy_t *policy)
{
  fixture_t *self = g_new0 (fixture_t, 1);
  host_t host = host_of ("a");

  self->place = g_new0 (place_t, 1);
  self->loaded = g_new0 (table_t, 1);
  table_init (self->loaded);
  self->out = g_array_new (FALSE, FALSE, sizeof (place_out_t));
  self->now = START;
  self->config.version = 1;
  self->config.n_services = 1;
  self->config.services[0].keyed = true;
  self->config.services[0].checks_fences = true;
  name_set (&self->config.services[0].name, TEXT ("keyed"));
  place_init (self->place, policy, &host, self->now);
  handle (self, (place_msg_t){ .kind = PLACE_CONFIG, .config = &self->config });
  return self;
}

static void
free_fixture (fixture_t *self)
{
  g_array_unref (self->out);
  g_free (self->place);
  g_free (self->loaded);
  g_free (self);
}

/* Runs until version 2 is settled: the table has hosts a, b, c and both targets. */
static void
become_holder (fixture_t *self)
{
  send_holder_rows (self, 0, 0);
  advance_and_tick (self, 1);
  assert_non_null (find_effect (self, PLACE_TAKE_OVER));
  handle (self, (place_msg_t){ .kind = PLACE_TAKE_OVER_DONE, .ok = true });
  send_hello (self, "b", 0);
  send_hello (self, "c", 0);
  send_target_list (self, TARGET_LIVE);
  advance_and_tick (self, PLACE_QUERY_MS);
  assert_non_null (find_effect (self, PLACE_LOAD));
  handle (self,
          (place_msg_t){ .kind = PLACE_LOAD_DONE, .ok = true, .table = self->loaded });
  assert_non_null (find_effect (self, PLACE_COMMIT));
  handle (self, (place_msg_t){ .kind = PLACE_COMMIT_DONE, .ok = true });
  for (int i = 0; i < 4 && self->place->phase != PLACE_SETTLED; i++)
    {
      acknowledge (self);
      advance_and_tick (self, 1);
      if (self->place->phase == PLACE_COMMITTING)
        handle (self, (place_msg_t){ .kind = PLACE_COMMIT_DONE, .ok = true });
    }
  assert_int_equal (self->place->phase, PLACE_SETTLED);
}

/* x leaves: a committed version withdraws its slots; no host has acknowledged it yet. */
static void
start_withdrawing_x (fixture_t *self)
{
  send_target_list (self, TARGET_LEAVING);
  advance_and_tick (self, 1);
  assert_non_null (find_effect (self, PLACE_COMMIT));
  handle (self, (place_msg_t){ .kind = PLACE_COMMIT_DONE, .ok = true });
  assert_int_equal (self->place->phase, PLACE_SETTLING);
}

static uint32_t
count_withdrawn (const table_t *table)
{
  uint32_t n = 0;

  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    n += table->slots[0][s].next != INDEX_NONE;
  return n;
}

static void
test_slots_are_distributed_evenly (void **state)
{
  fixture_t *f = new_fixture (&place_policy_majority);
  uint32_t first = 0;

  (void)state;
  become_holder (f);
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    first += f->place->table.slots[0][s].owner == 0;
  assert_int_equal (first, SLOT_COUNT / 2);
  free_fixture (f);
}

static void
test_move_waits_for_all_acknowledgements (void **state)
{
  fixture_t *f = new_fixture (&place_policy_majority);

  (void)state;
  become_holder (f);
  start_withdrawing_x (f);
  uint64_t version = f->place->table.version;
  send_hello (f, "a", version);
  send_hello (f, "b", version);
  advance_and_tick (f, 1);
  assert_int_equal (f->place->phase, PLACE_SETTLING);
  send_hello (f, "c", version);
  advance_and_tick (f, 1);
  assert_int_equal (f->place->phase, PLACE_SETTLED);
  /* The old owner may still have a grant of a version before the withdrawal. */
  assert_null (find_effect (f, PLACE_COMMIT));
  handle (f,
          (place_msg_t){ .kind = PLACE_TARGET_REPORT,
                         .target = 0,
                         .ok = true,
                         .version = version });
  advance_and_tick (f, 1);
  assert_non_null (find_effect (f, PLACE_COMMIT));
  assert_int_equal (count_withdrawn (&f->place->candidate), 0);
  free_fixture (f);
}

static void
test_move_waits_for_confirmed_leases (void **state)
{
  fixture_t *f = new_fixture (&place_policy_stop);

  (void)state;
  become_holder (f);
  start_withdrawing_x (f);
  advance_and_tick (f, LEASE_MS);
  assert_int_equal (f->place->phase, PLACE_SETTLING);
  advance_and_tick (f, LEASE_MARGIN_MS);
  assert_int_equal (f->place->phase, PLACE_SETTLED);
  free_fixture (f);
}

static void
test_move_waits_for_extended_leases (void **state)
{
  fixture_t *f = new_fixture (&place_policy_majority);

  (void)state;
  become_holder (f);
  start_withdrawing_x (f);
  uint64_t version = f->place->table.version;
  send_hello (f, "a", version);
  /* One of three witnesses has acknowledged: the other two can still extend leases. */
  advance_and_tick (f, 2 * LEASE_MS);
  assert_int_equal (f->place->phase, PLACE_SETTLING);
  send_hello (f, "b", version);
  advance_and_tick (f, 0);
  advance_and_tick (f, LEASE_MS);
  assert_int_equal (f->place->phase, PLACE_SETTLING);
  advance_and_tick (f, LEASE_MARGIN_MS);
  assert_int_equal (f->place->phase, PLACE_SETTLED);
  free_fixture (f);
}

static void
test_move_waits_for_the_grant_of_a_silent_owner (void **state)
{
  fixture_t *f = new_fixture (&place_policy_majority);

  (void)state;
  become_holder (f);
  start_withdrawing_x (f);
  acknowledge (f);
  advance_and_tick (f, 1);
  assert_int_equal (f->place->phase, PLACE_SETTLED);
  advance_and_tick (f, GRANT_MS);
  assert_null (find_effect (f, PLACE_COMMIT));
  advance_and_tick (f, LEASE_MARGIN_MS);
  assert_non_null (find_effect (f, PLACE_COMMIT));
  free_fixture (f);
}

static void
test_table_is_reloaded_after_a_lost_commit_answer (void **state)
{
  fixture_t *f = new_fixture (&place_policy_majority);

  (void)state;
  become_holder (f);
  send_target_list (f, TARGET_LEAVING);
  advance_and_tick (f, 1);
  *f->loaded = *find_effect (f, PLACE_COMMIT)->table;
  handle (f, (place_msg_t){ .kind = PLACE_COMMIT_DONE, .ok = false });
  assert_non_null (find_effect (f, PLACE_LOAD));
  handle (f, (place_msg_t){ .kind = PLACE_LOAD_DONE, .ok = true, .table = f->loaded });
  assert_int_equal (find_effect (f, PLACE_COMMIT)->table->version,
                    f->loaded->version + 1);
  free_fixture (f);
}

/* An unreachable store must not be read in a tight loop. */
static void
test_failed_load_is_retried_after_a_delay (void **state)
{
  fixture_t *f = new_fixture (&place_policy_majority);

  (void)state;
  become_holder (f);
  send_target_list (f, TARGET_LEAVING);
  advance_and_tick (f, 1);
  handle (f, (place_msg_t){ .kind = PLACE_COMMIT_DONE, .ok = false });
  handle (f, (place_msg_t){ .kind = PLACE_LOAD_DONE, .ok = false });
  assert_null (find_effect (f, PLACE_LOAD));
  advance_and_tick (f, PLACE_RETRY_MS - 1);
  assert_null (find_effect (f, PLACE_LOAD));
  advance_and_tick (f, 1);
  assert_non_null (find_effect (f, PLACE_LOAD));
  free_fixture (f);
}

static void
test_deposed_holder_steps_down (void **state)
{
  fixture_t *f = new_fixture (&place_policy_majority);

  (void)state;
  become_holder (f);
  send_holder_rows (f, 2, 0);
  assert_false (place_is_holder (f->place));
  assert_false (find_effect (f, PLACE_ROLE_CHANGED)->holder);
  free_fixture (f);
}

/* A take-over that replaces the winner's row leaves two holders with one epoch; the host
 * that reads the other's name steps down. */
static void
test_other_holder_with_the_same_epoch_deposes (void **state)
{
  fixture_t *f = new_fixture (&place_policy_majority);

  (void)state;
  become_holder (f);
  send_holder_rows (f, 1, 0);
  assert_false (place_is_holder (f->place));
  free_fixture (f);
}

static void
test_failed_take_over_requires_a_fresh_read (void **state)
{
  fixture_t *f = new_fixture (&place_policy_majority);

  (void)state;
  send_holder_rows (f, 0, 0);
  advance_and_tick (f, 1);
  assert_non_null (find_effect (f, PLACE_TAKE_OVER));
  handle (f, (place_msg_t){ .kind = PLACE_TAKE_OVER_DONE, .ok = false });
  advance_and_tick (f, PLACE_RETRY_MS);
  assert_null (find_effect (f, PLACE_TAKE_OVER));
  send_holder_rows (f, 1, 0);
  advance_and_tick (f, 1);
  assert_null (find_effect (f, PLACE_TAKE_OVER));
  free_fixture (f);
}

static void
test_standby_waits_the_full_beat_timeout (void **state)
{
  fixture_t *f = new_fixture (&place_policy_majority);

  (void)state;
  send_holder_rows (f, 1, 7);
  for (msec_t waited = 0; waited < PLACE_BEAT_TIMEOUT_MS; waited += 50)
    {
      advance_and_tick (f, 0);
      assert_null (find_effect (f, PLACE_TAKE_OVER));
      f->now += 50;
      send_holder_rows (f, 1, 7);
    }
  advance_and_tick (f, 1);
  assert_int_equal (find_effect (f, PLACE_TAKE_OVER)->epoch, 2);
  free_fixture (f);
}

static void
test_store_outage_does_not_count_as_a_beat_timeout (void **state)
{
  fixture_t *f = new_fixture (&place_policy_majority);

  (void)state;
  send_holder_rows (f, 1, 7);
  for (int i = 0; i < 100; i++)
    {
      f->now += 50;
      handle (f, (place_msg_t){ .kind = PLACE_HOLDER_READ, .ok = false });
      advance_and_tick (f, 0);
      assert_null (find_effect (f, PLACE_TAKE_OVER));
    }
  free_fixture (f);
}

static void
test_take_over_is_delayed_after_a_clock_gap (void **state)
{
  fixture_t *f = new_fixture (&place_policy_majority);

  (void)state;
  send_holder_rows (f, 1, 7);
  advance_and_tick (f, 10 * PLACE_BEAT_TIMEOUT_MS);
  assert_null (find_effect (f, PLACE_TAKE_OVER));
  free_fixture (f);
}

static void
test_hot_slots_are_spread (void **state)
{
  fixture_t *f = new_fixture (&place_policy_majority);
  uint32_t *loads = g_new0 (uint32_t, SLOT_COUNT);
  uint64_t sums[2] = { 0 };

  (void)state;
  become_holder (f);
  f->place->config.weight_imbalance = 10;
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    loads[s] = f->place->table.slots[0][s].owner == 0 && s < 32 ? 100 : 1;
  handle (f, (place_msg_t){ .kind = PLACE_SLOT_LOADS, .loads = loads });
  for (int round = 0; round < 20; round++)
    {
      advance_and_tick (f, PLACE_BALANCE_MS);
      if (find_effect (f, PLACE_COMMIT) != NULL)
        handle (f, (place_msg_t){ .kind = PLACE_COMMIT_DONE, .ok = true });
      acknowledge (f);
      for (int t = 0; t < 2; t++)
        handle (f,
                (place_msg_t){ .kind = PLACE_TARGET_REPORT,
                               .target = t,
                               .ok = true,
                               .version = f->place->table.version });
    }
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    sums[f->place->table.slots[0][s].owner] += loads[s];
  assert_true (MAX (sums[0], sums[1]) * 100 < 115 * (sums[0] + sums[1]) / 2);
  g_free (loads);
  free_fixture (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slots_are_distributed_evenly),
    cmocka_unit_test (test_move_waits_for_all_acknowledgements),
    cmocka_unit_test (test_move_waits_for_confirmed_leases),
    cmocka_unit_test (test_move_waits_for_extended_leases),
    cmocka_unit_test (test_move_waits_for_the_grant_of_a_silent_owner),
    cmocka_unit_test (test_table_is_reloaded_after_a_lost_commit_answer),
    cmocka_unit_test (test_failed_load_is_retried_after_a_delay),
    cmocka_unit_test (test_deposed_holder_steps_down),
    cmocka_unit_test (test_other_holder_with_the_same_epoch_deposes),
    cmocka_unit_test (test_failed_take_over_requires_a_fresh_read),
    cmocka_unit_test (test_standby_waits_the_full_beat_timeout),
    cmocka_unit_test (test_store_outage_does_not_count_as_a_beat_timeout),
    cmocka_unit_test (test_take_over_is_delayed_after_a_clock_gap),
    cmocka_unit_test (test_hot_slots_are_spread),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
