#include "keys_world.h"

/* the granter's decisions under a clock that the test sets. */

/* 50 ms go by; releases find nobody, grants are taken. */
static void
step_with_silent_owner (world_t *self)
{
  const keys_out_t *call = find (self, KEYS_RELEASE);

  if (call != NULL)
    {
      keys_out_t copy = *call;
      reply (self, &copy, KEYS_FAILED, false);
    }
  take_grants (self);
  self->now += 50;
  hold_role (self);
}

/* How long a predecessor's grants may last whose role ended SINCE ago. */
static msec_t
held_after (msec_t since)
{
  const keys_t any = { .hold_max = HOLD_MAX };

  return keys_held_after (&any, since);
}

/* Its role taken over from a granter that gave each of two targets half of the keys.
 * LOST: the second target isn't listed any more. */
static key_table_t
take_over (world_t *self, bool lost, bool first_leaves, msec_t held_for)
{
  begin (self, 2);
  key_table_t table = stored_table (self, 2);

  if (lost)
    g_array_remove_index (self->targets, 1);
  target (self, 0)->leaving = first_leaves;
  list_targets (self);
  hold_role (self);
  tell (self, (keys_msg_t){ .kind = KEYS_TABLE, .table = &table, .held_for = held_for });
  return table;
}

/* A successor first commits new fences, above all before, for the owners as they are. */
static void
take_fences (world_t *self, const key_table_t *stored)
{
  const keys_out_t *commit = find (self, KEYS_COMMIT);

  assert_int_equal (count (self, KEYS_COMMIT), 1);
  assert_int_equal (commit->table.runs->len, stored->runs->len);
  for (guint i = 0; i < stored->runs->len; i++)
    {
      const key_run_t *before = &g_array_index (stored->runs, key_run_t, i);
      const key_run_t *after = &g_array_index (commit->table.runs, key_run_t, i);
      assert_true (name_equal (&after->target, &before->target));
      assert_int_equal (after->first, before->first);
      assert_true (after->fence > before->fence);
      assert_true (commit->next_fence > after->fence);
    }
  tell (self, (keys_msg_t){ .kind = KEYS_COMMITTED });
}

static void
test_nothing_is_done_without_the_role (void **state)
{
  world_t world;

  (void)state;
  begin (&world, 3);
  tell (&world, (keys_msg_t){ .kind = KEYS_TABLE });
  for (msec_t at = START; at < START + 20000; at += 500)
    {
      tick (&world, at);
      assert_int_equal (world.out->len, 0);
    }
  end (&world);
}

static void
test_all_keys_are_committed_before_any_is_granted (void **state)
{
  world_t world;
  uint32_t next = 0;

  (void)state;
  begin (&world, 3);
  hold_role (&world);
  tell (&world, (keys_msg_t){ .kind = KEYS_TABLE });
  assert_int_equal (world.out->len, 0); /* targets may still be joining */
  world.now = START + KEYS_SETTLE_MS;
  hold_role (&world);
  assert_int_equal (count (&world, KEYS_COMMIT), 1);
  assert_int_equal (count (&world, KEYS_GRANT), 0);
  const key_table_t *table = &find (&world, KEYS_COMMIT)->table;
  assert_int_equal (table->runs->len, 3);
  for (guint i = 0; i < table->runs->len; i++)
    {
      const key_run_t *run = &g_array_index (table->runs, key_run_t, i);
      assert_int_equal (run->first, next);
      assert_int_equal (run->fence, i + 1);
      next = run->last + 1;
    }
  assert_int_equal (next, KEY_LAST + 1);
  tick (&world, world.now + 100);
  assert_int_equal (world.out->len, 0);
  tell (&world, (keys_msg_t){ .kind = KEYS_COMMITTED });
  assert_int_equal (count (&world, KEYS_GRANT), 3);
  end (&world);
}

static void
test_grants_are_renewed_only_while_the_role_is_sure (void **state)
{
  world_t world;

  (void)state;
  begin (&world, 2);
  settle (&world);
  world.now += KEYS_RENEW_MS;
  hold_role (&world);
  assert_int_equal (count (&world, KEYS_GRANT), 2);
  assert_int_equal (find (&world, KEYS_GRANT)->hold, KEYS_HOLD_MS);
  take_grants (&world);
  tick (&world, world.now + ROLE);
  assert_int_equal (world.out->len, 0);
  end (&world);
}

static void
test_the_longest_holds_are_granted_before_the_role_ends (void **state)
{
  world_t world;

  (void)state;
  begin (&world, 2);
  settle (&world);
  tick (&world, world.now + ROLE - KEYS_LAST_ROUND_MS + 1);
  assert_int_equal (count (&world, KEYS_GRANT), 2);
  assert_int_equal (find (&world, KEYS_GRANT)->hold, HOLD_MAX);
  take_grants (&world);
  tick (&world, world.now + 100);
  assert_int_equal (world.out->len, 0);
  end (&world);
}

static void
test_a_leaving_owners_keys_move_by_release_commit_and_grant (void **state)
{
  world_t world;

  (void)state;
  begin (&world, 3);
  settle (&world);
  target (&world, 1)->leaving = true;
  list_targets (&world);
  assert_int_equal (count (&world, KEYS_RELEASE), 1);
  keys_out_t release = *find (&world, KEYS_RELEASE);
  assert_true (name_equal (&release.target, &target (&world, 1)->id));
  assert_int_equal (count (&world, KEYS_COMMIT), 0);
  reply (&world, &release, KEYS_RELEASED, true);
  if (count (&world, KEYS_COMMIT) == 0)
    tick (&world, world.now);
  assert_int_equal (count (&world, KEYS_COMMIT), 1);
  assert_int_equal (count (&world, KEYS_GRANT), 0);
  tell (&world, (keys_msg_t){ .kind = KEYS_COMMITTED });
  assert_int_equal (count (&world, KEYS_GRANT), 1);
  const keys_out_t *grant = find (&world, KEYS_GRANT);
  assert_true (grant->fence > release.fence);
  assert_false (name_equal (&grant->target, &release.target));
  assert_true (text_equal (name_text (&grant->handover), TEXT ("warm")));
  end (&world);
}

static void
test_an_unreachable_owners_keys_wait_for_the_end_of_its_hold (void **state)
{
  world_t world;
  msec_t granted;

  (void)state;
  begin (&world, 3);
  settle (&world);
  granted = world.now;
  g_array_remove_index (world.targets, 1);
  list_targets (&world);
  while (world.now < granted + KEYS_HOLD_MS * 102 / 100)
    {
      for (const keys_out_t *call; (call = find (&world, KEYS_RELEASE)) != NULL;)
        {
          keys_out_t copy = *call;
          reply (&world, &copy, KEYS_FAILED, false);
        }
      assert_int_equal (count (&world, KEYS_COMMIT), 0);
      take_grants (&world);
      world.now += 50;
      hold_role (&world);
    }
  assert_true (run_until (&world, KEYS_COMMIT, granted + KEYS_HOLD_MS + 500));
  end (&world);
}

/* A grant without an answer may have arrived until its connection closed. */
static void
test_an_unanswered_grant_counts_from_its_connections_end (void **state)
{
  world_t world;
  msec_t closed;

  (void)state;
  begin (&world, 2);
  settle (&world);
  world.now += KEYS_RENEW_MS;
  hold_role (&world);
  keys_out_t renewal = *find (&world, KEYS_GRANT);
  world.now += 1200;
  closed = world.now;
  hold_role (&world);
  reply (&world, &renewal, KEYS_FAILED, true);
  guint gone = name_equal (&renewal.target, &target (&world, 0)->id) ? 0 : 1;
  g_array_remove_index (world.targets, gone);
  list_targets (&world);
  bool committed = false;
  while (world.now < closed + KEYS_HOLD_MS * 102 / 100)
    {
      const keys_out_t *call = find (&world, KEYS_RELEASE);
      if (call != NULL)
        {
          keys_out_t copy = *call;
          reply (&world, &copy, KEYS_FAILED, false);
        }
      committed |= count (&world, KEYS_COMMIT) > 0;
      world.now += 50;
      hold_role (&world);
    }
  assert_false (committed);
  end (&world);
}

/* A grant that is carried out late would give keys back that were released. */
static void
test_released_keys_wait_for_an_unanswered_grant (void **state)
{
  world_t world;

  (void)state;
  begin (&world, 2);
  settle (&world);
  world.now += KEYS_RENEW_MS;
  hold_role (&world);
  keys_out_t renewal = *find (&world, KEYS_GRANT);
  reply (&world, &renewal, KEYS_FAILED, true);
  msec_t failed = world.now;
  target (&world, name_equal (&renewal.target, &target (&world, 0)->id) ? 0 : 1)->leaving
      = true;
  list_targets (&world);
  const keys_out_t *release = find (&world, KEYS_RELEASE);
  assert_non_null (release);
  keys_out_t copy = *release;
  reply (&world, &copy, KEYS_RELEASED, true);
  assert_false (run_until (&world, KEYS_COMMIT, failed + KEYS_HOLD_MS - 100));
  assert_true (run_until (&world, KEYS_COMMIT, failed + KEYS_HOLD_MS * 2));
  end (&world);
}

static void
test_a_target_that_started_anew_gets_its_keys_under_a_new_fence (void **state)
{
  world_t world;

  (void)state;
  begin (&world, 2);
  settle (&world);
  target (&world, 0)->born = 2;
  list_targets (&world);
  if (count (&world, KEYS_COMMIT) == 0)
    tick (&world, world.now);
  assert_int_equal (count (&world, KEYS_COMMIT), 1);
  tell (&world, (keys_msg_t){ .kind = KEYS_COMMITTED });
  assert_int_equal (count (&world, KEYS_GRANT), 1);
  assert_true (find (&world, KEYS_GRANT)->fence > 2);
  end (&world);
}

static void
test_a_successor_renews_at_once_and_moves_nothing_its_predecessor_may_have_granted (
    void **state)
{
  world_t world;

  (void)state;
  key_table_t table = take_over (&world, true, false, held_after (0));
  assert_int_equal (count (&world, KEYS_GRANT), 1);
  assert_int_equal (find (&world, KEYS_GRANT)->fence, 20);
  take_fences (&world, &table);
  key_table_finish (&table);
  assert_int_equal (find (&world, KEYS_GRANT)->fence, 22);
  while (world.now < START + HOLD_MAX + ORDER_CALL_MS)
    {
      assert_int_equal (count (&world, KEYS_COMMIT), 0);
      step_with_silent_owner (&world);
    }
  while (world.now < START + HOLD_MAX + ORDER_CALL_MS + 1000
         && count (&world, KEYS_COMMIT) == 0)
    step_with_silent_owner (&world);
  assert_int_equal (count (&world, KEYS_COMMIT), 1);
  assert_int_equal (find (&world, KEYS_COMMIT)->next_fence, 25);
  end (&world);
}

/* Found in the recorded day of the first site: the role had been vacant for 7 s, and a
 * crashed target's keys rested for the longest hold from the take-over on. */
static void
test_a_successor_counts_the_time_that_the_role_was_vacant (void **state)
{
  world_t world;

  (void)state;
  key_table_t table = take_over (&world, true, false, held_after (HOLD_MAX - 1000));
  take_fences (&world, &table);
  key_table_finish (&table);
  assert_int_equal (count (&world, KEYS_COMMIT), 0);
  while (world.now < START + 4000 && count (&world, KEYS_COMMIT) == 0)
    {
      const keys_out_t *call = find (&world, KEYS_RELEASE);
      if (call != NULL)
        {
          keys_out_t copy = *call;
          reply (&world, &copy, KEYS_FAILED, false);
        }
      take_grants (&world);
      world.now += 50;
      hold_role (&world);
    }
  /* The rest of the hold on a slow clock, and a call on its way. */
  assert_in_range (world.now, START + 1200 + ORDER_CALL_MS, START + 1600 + ORDER_CALL_MS);
  assert_int_equal (keys_held_after (&world.keys, 100000), 0);
  end (&world);
}

/* A grant of a predecessor may be carried out after a release. */
static void
test_a_successor_has_a_leaver_refuse_old_grants_before_it_moves_keys (void **state)
{
  world_t world;

  (void)state;
  key_table_t table = take_over (&world, false, true, HOLD_MAX);
  assert_int_equal (count (&world, KEYS_RELEASE), 0);
  take_fences (&world, &table);
  key_table_finish (&table);
  assert_int_equal (count (&world, KEYS_RELEASE), 0);
  keys_out_t fenced = *find (&world, KEYS_GRANT);
  assert_true (name_equal (&fenced.target, &target (&world, 0)->id));
  assert_int_equal (fenced.fence, 22);
  assert_int_equal (fenced.hold, KEYS_FENCE_HOLD_MS);
  reply (&world, &fenced, KEYS_GRANTED, true);
  assert_true (run_until (&world, KEYS_RELEASE, world.now + 2 * KEYS_RETRY_MS));
  keys_out_t release = *find (&world, KEYS_RELEASE);
  reply (&world, &release, KEYS_RELEASED, true);
  assert_int_equal (count (&world, KEYS_COMMIT), 1);
  end (&world);
}

/* The owner's run rests until its predecessor's or this granter's last grant is over,
 * whichever lasts longer, though one of them says less. */
static void
test_own_grants_without_an_answer_shorten_no_rest (void **state)
{
  world_t world;
  key_table_t table = take_over (&world, false, false, HOLD_MAX);

  (void)state;
  take_fences (&world, &table);
  key_table_finish (&table);
  keys_out_t renewal = *find (&world, KEYS_GRANT);
  reply (&world, &renewal, KEYS_FAILED, true);
  g_array_remove_index (world.targets, 0);
  list_targets (&world);
  if (count (&world, KEYS_RELEASE) == 0)
    assert_true (run_until (&world, KEYS_RELEASE, world.now + 2 * KEYS_RETRY_MS));
  keys_out_t release = *find (&world, KEYS_RELEASE);
  reply (&world, &release, KEYS_RELEASED, true);
  while (world.now < START + HOLD_MAX)
    {
      assert_int_equal (count (&world, KEYS_COMMIT), 0);
      take_grants (&world);
      world.now += 50;
      hold_role (&world);
    }
  assert_int_equal (count (&world, KEYS_COMMIT), 1);
  end (&world);
}

static void
test_a_new_fence_ends_no_doubt_of_this_granters_own (void **state)
{
  world_t world;
  key_table_t table = take_over (&world, false, false, HOLD_MAX);

  (void)state;
  take_fences (&world, &table);
  key_table_finish (&table);
  keys_out_t renewal = *find (&world, KEYS_GRANT);
  reply (&world, &renewal, KEYS_FAILED, true);
  assert_true (run_until (&world, KEYS_GRANT, world.now + 2 * KEYS_RENEW_MS));
  take_grants (&world);
  target (&world, 0)->leaving = true;
  list_targets (&world);
  if (count (&world, KEYS_RELEASE) == 0)
    assert_true (run_until (&world, KEYS_RELEASE, world.now + 2 * KEYS_RETRY_MS));
  keys_out_t release = *find (&world, KEYS_RELEASE);
  reply (&world, &release, KEYS_RELEASED, true);
  while (world.now < START + KEYS_HOLD_MS)
    {
      assert_int_equal (count (&world, KEYS_COMMIT), 0);
      take_grants (&world);
      world.now += 50;
      hold_role (&world);
    }
  assert_true (run_until (&world, KEYS_COMMIT, START + 2 * KEYS_HOLD_MS));
  end (&world);
}

/* It isn't listed, so that no new fence reaches it; it gives its keys back all the same.
 */
static void
test_a_successor_lets_keys_rest_that_an_unlisted_owner_gives_back (void **state)
{
  world_t world;

  (void)state;
  key_table_t table = take_over (&world, true, false, 5000);
  take_fences (&world, &table);
  key_table_finish (&table);
  if (count (&world, KEYS_RELEASE) == 0)
    assert_true (run_until (&world, KEYS_RELEASE, world.now + 2 * KEYS_RETRY_MS));
  keys_out_t release = *find (&world, KEYS_RELEASE);
  reply (&world, &release, KEYS_RELEASED, true);
  while (world.now < START + 5000)
    {
      assert_int_equal (count (&world, KEYS_COMMIT), 0);
      take_grants (&world);
      world.now += 50;
      hold_role (&world);
    }
  assert_int_equal (count (&world, KEYS_COMMIT), 1);
  end (&world);
}

/* Whoever the lost table named may still hold its keys. */
static void
test_keys_of_an_unreadable_table_rest_before_they_are_given_out (void **state)
{
  world_t world;

  (void)state;
  begin (&world, 2);
  hold_role (&world);
  tell (&world,
        (keys_msg_t){ .kind = KEYS_TABLE, .unreadable = true, .held_for = HOLD_MAX });
  while (world.now < START + HOLD_MAX)
    {
      assert_int_equal (world.out->len, 0);
      world.now += 50;
      hold_role (&world);
    }
  assert_true (run_until (&world, KEYS_COMMIT, START + HOLD_MAX + 2 * KEYS_SETTLE_MS));
  end (&world);
}

static void
test_a_resigning_granter_makes_one_long_round_and_moves_nothing (void **state)
{
  world_t world;

  (void)state;
  begin (&world, 3);
  settle (&world);
  target (&world, 0)->leaving = true;
  tell (&world, (keys_msg_t){ .kind = KEYS_RESIGN });
  assert_int_equal (count (&world, KEYS_GRANT), 3);
  assert_int_equal (find (&world, KEYS_GRANT)->hold, HOLD_MAX);
  take_grants (&world);
  list_targets (&world);
  assert_int_equal (count (&world, KEYS_RELEASE), 0);
  assert_int_equal (count (&world, KEYS_COMMIT), 0);
  end (&world);
}

/* Found in the bench: its own last write was taken for a renewal of the role. */
static void
test_nothing_is_granted_after_the_role_is_given_up (void **state)
{
  world_t world;

  (void)state;
  begin (&world, 3);
  settle (&world);
  tell (&world, (keys_msg_t){ .kind = KEYS_RESIGN });
  tell (&world, (keys_msg_t){ .kind = KEYS_ROLE, .until = 0 });
  for (msec_t at = world.now; at < START + 20000; at += 200)
    {
      tick (&world, at);
      assert_int_equal (world.out->len, 0);
    }
  end (&world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nothing_is_done_without_the_role),
    cmocka_unit_test (test_all_keys_are_committed_before_any_is_granted),
    cmocka_unit_test (test_grants_are_renewed_only_while_the_role_is_sure),
    cmocka_unit_test (test_the_longest_holds_are_granted_before_the_role_ends),
    cmocka_unit_test (test_a_leaving_owners_keys_move_by_release_commit_and_grant),
    cmocka_unit_test (test_an_unreachable_owners_keys_wait_for_the_end_of_its_hold),
    cmocka_unit_test (test_an_unanswered_grant_counts_from_its_connections_end),
    cmocka_unit_test (test_released_keys_wait_for_an_unanswered_grant),
    cmocka_unit_test (test_a_target_that_started_anew_gets_its_keys_under_a_new_fence),
    cmocka_unit_test (
        test_a_successor_renews_at_once_and_moves_nothing_its_predecessor_may_have_granted),
    cmocka_unit_test (test_a_successor_counts_the_time_that_the_role_was_vacant),
    cmocka_unit_test (test_a_resigning_granter_makes_one_long_round_and_moves_nothing),
    cmocka_unit_test (test_nothing_is_granted_after_the_role_is_given_up),
    cmocka_unit_test (
        test_a_successor_has_a_leaver_refuse_old_grants_before_it_moves_keys),
    cmocka_unit_test (test_a_successor_lets_keys_rest_that_an_unlisted_owner_gives_back),
    cmocka_unit_test (test_keys_of_an_unreadable_table_rest_before_they_are_given_out),
    cmocka_unit_test (test_own_grants_without_an_answer_shorten_no_rest),
    cmocka_unit_test (test_a_new_fence_ends_no_doubt_of_this_granters_own),
  };

  return cmocka_run_group_tests_name ("keys", tests, NULL, NULL);
}
