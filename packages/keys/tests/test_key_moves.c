#include "keys_world.h"

/* Moves by load, and the rows that the store keeps. */

/* Moves what was asked for to the end of QUEUE. */
static void
collect (world_t *self, GQueue *queue)
{
  for (guint i = 0; i < self->out->len; i++)
    {
      keys_out_t *out = &g_array_index (self->out, keys_out_t, i);
      if (out->kind == KEYS_COMMIT)
        key_table_finish (&out->table);
      g_queue_push_tail (queue, g_memdup2 (out, sizeof *out));
    }
  g_array_set_size (self->out, 0);
}

/* Grants, releases and commits all succeed, in the order in which they were asked for. */
static void
obey (world_t *self)
{
  GQueue queue = G_QUEUE_INIT;
  keys_out_t *call;

  collect (self, &queue);
  while ((call = g_queue_pop_head (&queue)) != NULL)
    {
      if (call->kind == KEYS_COMMIT)
        tell (self, (keys_msg_t){ .kind = KEYS_COMMITTED });
      else
        reply (self, call, call->kind == KEYS_GRANT ? KEYS_GRANTED : KEYS_RELEASED, true);
      collect (self, &queue);
      g_free (call);
    }
}

static GArray *
hot_loads (uint32_t hot)
{
  GArray *loads = g_array_new (FALSE, TRUE, sizeof (key_load_t));

  for (uint32_t step = 0; step < KEY_STEPS; step += KEY_STEPS / 400)
    g_array_append_val (loads, ((key_load_t){ (uint16_t)step, 1 }));
  for (uint32_t step = 4000; step < 4060; step++)
    g_array_append_val (loads, ((key_load_t){ (uint16_t)step, hot / 60 }));
  return loads;
}

static double
borne_by (const world_t *self, const name_t *id, const GArray *loads)
{
  const key_service_t *service = g_ptr_array_index (self->keys.services, 0);
  double borne = 0, total = 0;

  for (guint i = 0; i < loads->len; i++)
    {
      const key_load_t *load = &g_array_index (loads, key_load_t, i);
      uint32_t key = load->step * KEY_STEP;
      total += load->count;
      for (guint j = 0; j < service->spans->len; j++)
        {
          const key_span_t *span = &g_array_index (service->spans, key_span_t, j);
          if (key >= span->first && key <= span->last && name_equal (&span->owner, id))
            borne += load->count;
        }
    }
  return borne / total;
}

/* Plays HOT requests a plan on 60 neighbouring keys beside 400 on all of them, until
 * UNTIL.  Returns the largest share that one target then bears. */
static double
play_hot_keys (world_t *world, uint32_t hot, msec_t until)
{
  GArray *loads = hot_loads (hot);
  msec_t next_loads = world->now;
  double most = 0;

  while (world->now < until)
    {
      world->now += 50;
      hold_role (world);
      obey (world);
      if (world->now < next_loads)
        continue;
      tell (world, (keys_msg_t){ .kind = KEYS_LOADS, .loads = loads });
      obey (world);
      next_loads += KEYS_PLAN_MS;
    }
  for (guint i = 0; i < world->targets->len; i++)
    most = MAX (most, borne_by (world, &target (world, i)->id, loads));
  g_array_unref (loads);
  return most;
}

static void
test_a_target_that_joins_gets_a_share (void **state)
{
  world_t world;

  (void)state;
  begin (&world, 2);
  settle (&world);
  add_target (&world, 9);
  list_targets (&world);
  assert_true (run_until (&world, KEYS_RELEASE, world.now + 2 * KEYS_PLAN_MS));
  keys_out_t release = *find (&world, KEYS_RELEASE);
  assert_true (release.last - release.first > (KEY_LAST + 1) / 8);
  reply (&world, &release, KEYS_RELEASED, true);
  if (count (&world, KEYS_COMMIT) == 0)
    tick (&world, world.now);
  tell (&world, (keys_msg_t){ .kind = KEYS_COMMITTED });
  assert_int_equal (count (&world, KEYS_GRANT), 1);
  assert_true (name_equal (&find (&world, KEYS_GRANT)->target, &target (&world, 2)->id));
  end (&world);
}

/* 40 in 100 of the requests are for 60 neighbouring keys of one target; WITHIN ms later
 * none of N targets may bear more than SHARE. */
static void
assert_spread (guint n, msec_t within, double share)
{
  world_t world;

  begin (&world, n);
  settle (&world);
  assert_true (play_hot_keys (&world, 300, world.now) > 0.4);
  assert_true (play_hot_keys (&world, 300, world.now + within) < share);
  end (&world);
}

/* The load of the heaviest days; 7 in 100 would be even. */
static void
test_hot_keys_are_spread_within_seconds (void **state)
{
  (void)state;
  assert_spread (14, 3000, 0.12);
}

/* The same of a grown fleet, where each hot key fills a target. */
static void
test_hot_keys_reach_many_targets_at_once (void **state)
{
  (void)state;
  assert_spread (154, 1600, 0.03);
}

/* Even load of which a plan sees few requests a target: nothing is moved for chance. */
static void
test_chance_moves_nothing (void **state)
{
  world_t world;
  rng_t rng;
  uint64_t fences;

  (void)state;
  rng_init (&rng, 7);
  begin (&world, 154);
  settle (&world);
  fences = world.keys.next_fence;
  for (guint plan = 0; plan < 40; plan++)
    {
      GArray *loads = g_array_new (FALSE, TRUE, sizeof (key_load_t));
      for (guint i = 0; i < 470; i++)
        g_array_append_val (loads,
                            ((key_load_t){ (uint16_t)rng_below (&rng, KEY_STEPS), 1 }));
      world.now += KEYS_PLAN_MS;
      hold_role (&world);
      obey (&world);
      tell (&world, (keys_msg_t){ .kind = KEYS_LOADS, .loads = loads });
      tick (&world, world.now);
      obey (&world);
      g_array_unref (loads);
    }
  assert_true (world.keys.next_fence - fences <= 40); /* not even one a plan */
  end (&world);
}

/* A key hotter than any target's share, among targets of unequal speed. */
static void
test_the_hottest_key_goes_to_a_fast_target (void **state)
{
  world_t world;
  GArray *speeds = g_array_new (FALSE, TRUE, sizeof (target_speed_t));
  GArray *loads = g_array_new (FALSE, TRUE, sizeof (key_load_t));
  name_t owner = { 0 };

  (void)state;
  begin (&world, 6);
  settle (&world);
  for (guint i = 0; i < 6; i++)
    g_array_append_val (speeds,
                        ((target_speed_t){ target (&world, i)->id, i == 4 ? 60 : 140 }));
  tell (&world, (keys_msg_t){ .kind = KEYS_SPEEDS, .speeds = speeds });
  for (uint32_t key = 0; key < KEY_STEPS; key += KEY_STEPS / 200)
    g_array_append_val (loads, ((key_load_t){ (uint16_t)key, 1 }));
  g_array_append_val (loads, ((key_load_t){ 777, 150 }));
  for (msec_t until = world.now + 5000; world.now < until; world.now += 50)
    {
      hold_role (&world);
      obey (&world);
      if ((until - world.now) % KEYS_PLAN_MS == 0)
        {
          tell (&world, (keys_msg_t){ .kind = KEYS_LOADS, .loads = loads });
          obey (&world);
        }
    }
  const key_service_t *service = g_ptr_array_index (world.keys.services, 0);
  for (guint i = 0; i < service->spans->len; i++)
    {
      const key_span_t *span = &g_array_index (service->spans, key_span_t, i);
      if (span->first <= 777 && span->last >= 777)
        owner = span->owner;
    }
  assert_true (name_equal (&owner, &target (&world, 4)->id));
  g_array_unref (speeds);
  g_array_unref (loads);
  end (&world);
}

/* Found in the bench: runs were released while the store refused the commits. */
static void
test_nothing_moves_by_load_while_the_store_refuses (void **state)
{
  world_t world;

  (void)state;
  begin (&world, 2);
  settle (&world);
  add_target (&world, 9);
  list_targets (&world);
  for (msec_t until = world.now + 1500; world.now < until; world.now += 50)
    {
      tell (&world, (keys_msg_t){ .kind = KEYS_ROLE, .until = world.now + ROLE });
      assert_int_equal (count (&world, KEYS_RELEASE), 0);
      take_grants (&world);
    }
  end (&world);
}

static void
test_a_refused_commit_gives_released_keys_back (void **state)
{
  world_t world;

  (void)state;
  begin (&world, 2);
  settle (&world);
  add_target (&world, 9);
  list_targets (&world);
  assert_true (run_until (&world, KEYS_RELEASE, world.now + 2 * KEYS_PLAN_MS));
  keys_out_t release = *find (&world, KEYS_RELEASE);
  reply (&world, &release, KEYS_RELEASED, true);
  if (count (&world, KEYS_COMMIT) == 0)
    tick (&world, world.now);
  tell (&world, (keys_msg_t){ .kind = KEYS_NOT_COMMITTED });
  const keys_out_t *grant = find (&world, KEYS_GRANT);
  assert_non_null (grant);
  assert_true (name_equal (&grant->target, &release.target));
  assert_int_equal (grant->fence, release.fence);
  assert_int_equal (grant->first, release.first);
  end (&world);
}

static void
test_rows_come_back_as_they_were_written (void **state)
{
  world_t world;
  key_table_t table, read;
  role_row_t role = { .life = 7, .beat = 9, .next_fence = 11, .until = 13 }, back;
  fault_t fault;

  (void)state;
  begin (&world, 4);
  table = stored_table (&world, 4);
  GString *bytes = key_rows_write_table (&table);
  key_table_init (&read, TEXT ("s"));
  assert_int_equal (
      key_rows_read_table (&read, (text_t){ bytes->str, bytes->len }, &fault),
      STATUS_OK);
  assert_int_equal (read.runs->len, 4);
  assert_memory_equal (read.runs->data, table.runs->data, 4 * sizeof (key_run_t));
  for (size_t len = 0; len < bytes->len; len++)
    assert_int_equal (key_rows_read_table (&read, (text_t){ bytes->str, len }, &fault),
                      STATUS_DECODE);
  g_string_free (bytes, TRUE);
  name_set (&role.host, TEXT ("h"));
  name_set (&role.address, TEXT ("10.0.0.1:2"));
  bytes = key_rows_write_role (&role);
  assert_int_equal (
      key_rows_read_role (&back, (text_t){ bytes->str, bytes->len }, &fault),
      STATUS_OK);
  assert_int_equal (back.until, 13);
  assert_true (name_equal (&back.address, &role.address));
  for (size_t len = 0; len < bytes->len; len++)
    assert_int_equal (key_rows_read_role (&back, (text_t){ bytes->str, len }, &fault),
                      STATUS_DECODE);
  g_string_free (bytes, TRUE);
  key_table_finish (&table);
  key_table_finish (&read);
  end (&world);
}

/* The largest deployments' rows have to fit into the store's 64 KiB. */
static void
test_a_table_of_many_runs_fits_a_row (void **state)
{
  key_table_t table, back;
  fault_t fault;

  (void)state;
  key_table_init (&table, TEXT ("s"));
  for (uint32_t i = 0; i < 188 * KEYS_RUNS_MAX; i++)
    {
      key_run_t run = { .first = i * 40, .last = i * 40 + 39, .fence = 1000000 + i };
      char id[32];
      g_snprintf (id, sizeof id, "i-%010x", i % 188);
      name_set (&run.target, text_from_c (id));
      g_snprintf (id, sizeof id, "10.200.%u.%u:18007", i % 188 / 64, i % 188);
      name_set (&run.address, text_from_c (id));
      run.born = 1792483053005;
      g_array_append_val (table.runs, run);
    }
  g_array_index (table.runs, key_run_t, table.runs->len - 1).last = KEY_LAST;
  GString *row = key_rows_write_table (&table);
  assert_true (row->len < 65536 * 3 / 4); /* also if base64 is what counts */
  key_table_init (&back, TEXT ("s"));
  assert_int_equal (key_rows_read_table (&back, (text_t){ row->str, row->len }, &fault),
                    STATUS_OK);
  assert_int_equal (back.runs->len, table.runs->len);
  g_string_free (row, TRUE);
  key_table_finish (&back);
  key_table_finish (&table);
}

static void
test_a_malformed_table_is_rejected (void **state)
{
  static const text_t tables[] = {
    TEXT ("{\"owners\":[[\"t\",\"a\",1]],\"runs\":[[1,1,0]]}"),
    TEXT ("{\"owners\":[[\"t\",\"a\",1]],\"runs\":[[0,1,0],[0,2,0]]}"),
    TEXT ("{\"owners\":[[\"t\",\"a\",1]],\"runs\":[[0,0,0]]}"),
    TEXT ("{\"owners\":[[\"t\",\"a\",1]],\"runs\":[[0,1,0],[65536,2,0]]}"),
    TEXT ("{\"owners\":[[\"t\",\"a\",1]],\"runs\":[[0,1,1]]}"),
    TEXT ("{\"owners\":[[5,\"a\",1]],\"runs\":[[0,1,0]]}"),
    TEXT ("{\"owners\":[[\"t\",\"\",1]],\"runs\":[[0,1,0]]}"),
    TEXT ("{\"owners\":[[\"t\",\"a\",1]],\"runs\":[]}"),
    TEXT ("[]"),
  };
  key_table_t table;
  fault_t fault;

  (void)state;
  key_table_init (&table, TEXT ("s"));
  for (size_t i = 0; i < G_N_ELEMENTS (tables); i++)
    assert_int_equal (key_rows_read_table (&table, tables[i], &fault), STATUS_DECODE);
  key_table_finish (&table);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_target_that_joins_gets_a_share),
    cmocka_unit_test (test_hot_keys_are_spread_within_seconds),
    cmocka_unit_test (test_hot_keys_reach_many_targets_at_once),
    cmocka_unit_test (test_chance_moves_nothing),
    cmocka_unit_test (test_the_hottest_key_goes_to_a_fast_target),
    cmocka_unit_test (test_nothing_moves_by_load_while_the_store_refuses),
    cmocka_unit_test (test_a_refused_commit_gives_released_keys_back),
    cmocka_unit_test (test_rows_come_back_as_they_were_written),
    cmocka_unit_test (test_a_table_of_many_runs_fits_a_row),
    cmocka_unit_test (test_a_malformed_table_is_rejected),
  };

  return cmocka_run_group_tests_name ("key_moves", tests, NULL, NULL);
}
