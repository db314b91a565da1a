#include "keys_fixture.h"

/* Advances 50 ms; releases fail without being sent, grants are accepted. */
static void
step_with_unreachable_owner (fixture_t *self)
{
  const keys_out_t *call = find (self, KEYS_RELEASE);

  if (call != NULL)
    {
      keys_out_t copy = *call;
      reply (self, &copy, KEYS_CALL_FAILED, false);
    }
  accept_grants (self);
  self->now += 50;
  renew_role (self);
}

/* How long grants of a predecessor may last if its role ended SINCE ms ago. */
static msec_t
predecessor_hold (msec_t since)
{
  const keys_t any = { .longest_hold = HOLD_MAX_MS };

  return keys_predecessor_hold (&any, since);
}

/* Takes over the role from a granter that gave each of two targets half of the keys.
 * LOST: the second target is no longer listed; FIRST_LEAVES: the first one is leaving;
 * HOLD: how long the predecessor's grants may still last (ms). */
static key_table_t
setup_takeover (fixture_t *self, bool lost, bool first_leaves, msec_t hold)
{
  begin (self, 2);
  key_table_t table = stored_table (self, 2);

  if (lost)
    g_array_remove_index (self->targets, 1);
  target (self, 0)->leaving = first_leaves;
  list_targets (self);
  renew_role (self);
  handle_msg (
      self,
      (keys_msg_t){ .kind = KEYS_TABLE, .table = &table, .predecessor_hold = hold });
  return table;
}

/* Checks that the successor first commits new, higher fences for unchanged owners. */
static void
commit_new_fences (fixture_t *self, const key_table_t *stored)
{
  const keys_out_t *commit = find (self, KEYS_COMMIT);

  assert_int_equal (count_actions (self, KEYS_COMMIT), 1);
  assert_int_equal (commit->table.ranges->len, stored->ranges->len);
  for (guint i = 0; i < stored->ranges->len; i++)
    {
      const key_range_t *before = &g_array_index (stored->ranges, key_range_t, i);
      const key_range_t *after = &g_array_index (commit->table.ranges, key_range_t, i);
      assert_true (name_equal (&after->target, &before->target));
      assert_int_equal (after->first, before->first);
      assert_true (after->fence > before->fence);
      assert_true (commit->next_fence > after->fence);
    }
  accept_grants (self); /* under the old ones */
  handle_msg (self, (keys_msg_t){ .kind = KEYS_COMMITTED });
}

static void
test_no_actions_without_the_role (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 3);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_TABLE });
  for (msec_t at = START_MS; at < START_MS + 20000; at += 500)
    {
      tick (&fixture, at);
      assert_int_equal (fixture.out->len, 0);
    }
  end (&fixture);
}

static void
test_all_keys_are_committed_before_any_is_granted (void **state)
{
  fixture_t fixture;
  uint32_t next = 0;

  (void)state;
  begin (&fixture, 3);
  renew_role (&fixture);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_TABLE });
  assert_int_equal (fixture.out->len, 0); /* targets may still be joining */
  fixture.now = START_MS + KEYS_INITIAL_WAIT_MS;
  renew_role (&fixture);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 1);
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 0);
  const key_table_t *table = &find (&fixture, KEYS_COMMIT)->table;
  assert_int_equal (table->ranges->len, 3);
  for (guint i = 0; i < table->ranges->len; i++)
    {
      const key_range_t *range = &g_array_index (table->ranges, key_range_t, i);
      assert_int_equal (range->first, next);
      assert_int_equal (range->fence, i + 1);
      next = range->last + 1;
    }
  assert_int_equal (next, KEY_LAST + 1);
  tick (&fixture, fixture.now + 100);
  assert_int_equal (fixture.out->len, 0);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMITTED });
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 3);
  end (&fixture);
}

static void
test_grants_are_renewed_only_while_the_role_is_held (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  fixture.now += KEYS_RENEW_MS;
  renew_role (&fixture);
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 2);
  assert_int_equal (find (&fixture, KEYS_GRANT)->hold, KEYS_HOLD_MS);
  accept_grants (&fixture);
  tick (&fixture, fixture.now + ROLE_MS);
  assert_int_equal (fixture.out->len, 0);
  end (&fixture);
}

/* As many targets as 300 hosts have. */
static void
test_grants_of_many_ranges_are_renewed_at_a_bounded_rate (void **state)
{
  fixture_t fixture;
  uint32_t renewals = 0, most_at_once = 0;

  (void)state;
  begin (&fixture, 1500);
  assign_all_keys (&fixture);
  for (int i = 0; i < 200; i++) /* the first of them grant all */
    {
      fixture.now += 100;
      renew_role (&fixture);
      guint grants = count_actions (&fixture, KEYS_GRANT);
      const keys_out_t *grant = find (&fixture, KEYS_GRANT);
      if (grant != NULL)
        assert_true (grant->hold >= KEYS_RENEWALS_PER_HOLD_LEAST * KEYS_RENEW_MS);
      renewals += i < 100 ? 0 : grants;
      most_at_once = MAX (most_at_once, i < 100 ? 0 : grants);
      accept_grants (&fixture);
    }
  assert_in_range (renewals, 1500 * 3, 1500 * 5);
  assert_true (most_at_once <= KEYS_RENEWALS_AT_ONCE);
  end (&fixture);
}

static void
test_the_longest_holds_are_granted_before_the_role_ends (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  tick (&fixture, fixture.now + ROLE_MS - KEYS_FINAL_RENEWAL_MS + 1);
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 2);
  assert_int_equal (find (&fixture, KEYS_GRANT)->hold, HOLD_MAX_MS);
  accept_grants (&fixture);
  tick (&fixture, fixture.now + 100);
  assert_int_equal (fixture.out->len, 0);
  end (&fixture);
}

static void
test_keys_of_a_leaving_owner_move_by_release_commit_and_grant (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 3);
  assign_all_keys (&fixture);
  target (&fixture, 1)->leaving = true;
  list_targets (&fixture);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 1);
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  assert_true (name_equal (&release.target, &target (&fixture, 1)->id));
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  reply (&fixture, &release, KEYS_RELEASED, true);
  if (count_actions (&fixture, KEYS_COMMIT) == 0)
    tick (&fixture, fixture.now);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 1);
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 0);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMITTED });
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 1);
  const keys_out_t *grant = find (&fixture, KEYS_GRANT);
  assert_true (grant->fence > release.fence);
  assert_false (name_equal (&grant->target, &release.target));
  assert_true (text_equal (name_text (&grant->handover), TEXT ("warm")));
  end (&fixture);
}

static void
test_keys_of_an_unreachable_owner_wait_until_its_grant_expires (void **state)
{
  fixture_t fixture;
  msec_t granted;

  (void)state;
  begin (&fixture, 3);
  assign_all_keys (&fixture);
  granted = fixture.now;
  g_array_remove_index (fixture.targets, 1);
  list_targets (&fixture);
  while (fixture.now < granted + KEYS_HOLD_MS * 102 / 100)
    {
      for (const keys_out_t *call; (call = find (&fixture, KEYS_RELEASE)) != NULL;)
        {
          keys_out_t copy = *call;
          reply (&fixture, &copy, KEYS_CALL_FAILED, false);
        }
      assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
      accept_grants (&fixture);
      fixture.now += 50;
      renew_role (&fixture);
    }
  assert_true (run_until_action (&fixture, KEYS_COMMIT, granted + KEYS_HOLD_MS + 500));
  end (&fixture);
}

/* A grant without an answer may have arrived at any time until its connection closed. */
static void
test_an_unanswered_grant_lasts_from_the_close_of_its_connection (void **state)
{
  fixture_t fixture;
  msec_t closed;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  fixture.now += KEYS_RENEW_MS;
  renew_role (&fixture);
  keys_out_t renewal = *find (&fixture, KEYS_GRANT);
  fixture.now += 1200;
  closed = fixture.now;
  renew_role (&fixture);
  reply (&fixture, &renewal, KEYS_CALL_FAILED, true);
  guint gone = name_equal (&renewal.target, &target (&fixture, 0)->id) ? 0 : 1;
  g_array_remove_index (fixture.targets, gone);
  list_targets (&fixture);
  bool committed = false;
  while (fixture.now < closed + KEYS_HOLD_MS * 102 / 100)
    {
      const keys_out_t *call = find (&fixture, KEYS_RELEASE);
      if (call != NULL)
        {
          keys_out_t copy = *call;
          reply (&fixture, &copy, KEYS_CALL_FAILED, false);
        }
      committed |= count_actions (&fixture, KEYS_COMMIT) > 0;
      fixture.now += 50;
      renew_role (&fixture);
    }
  assert_false (committed);
  end (&fixture);
}

/* An unanswered grant that the target applies late would return released keys to it. */
static void
test_released_keys_wait_until_an_unanswered_grant_expires (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  fixture.now += KEYS_RENEW_MS;
  renew_role (&fixture);
  keys_out_t renewal = *find (&fixture, KEYS_GRANT);
  reply (&fixture, &renewal, KEYS_CALL_FAILED, true);
  msec_t failed = fixture.now;
  set_store_lost (&fixture, true); /* no new fence can be committed */
  target (&fixture, name_equal (&renewal.target, &target (&fixture, 0)->id) ? 0 : 1)
      ->leaving
      = true;
  list_targets (&fixture);
  const keys_out_t *release = find (&fixture, KEYS_RELEASE);
  assert_non_null (release);
  keys_out_t copy = *release;
  reply (&fixture, &copy, KEYS_RELEASED, true);
  failed += KEYS_STALL_MS; /* it may be read as late as that */
  assert_false (run_until_action (&fixture, KEYS_COMMIT, failed + KEYS_HOLD_MS - 100));
  assert_true (run_until_action (&fixture, KEYS_COMMIT, failed + KEYS_HOLD_MS * 2));
  end (&fixture);
}

static void
test_a_restarted_target_gets_its_keys_under_a_new_fence (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  target (&fixture, 0)->started_at = 2;
  list_targets (&fixture);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_RELEASED, true);
  if (count_actions (&fixture, KEYS_COMMIT) == 0)
    tick (&fixture, fixture.now);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 1);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMITTED });
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 1);
  assert_true (find (&fixture, KEYS_GRANT)->fence > 2);
  end (&fixture);
}

static void
test_a_successor_renews_at_once_and_waits_for_predecessor_grants (void **state)
{
  fixture_t fixture;

  (void)state;
  key_table_t table = setup_takeover (&fixture, true, false, predecessor_hold (0));
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 1);
  assert_int_equal (find (&fixture, KEYS_GRANT)->fence, 20);
  commit_new_fences (&fixture, &table);
  key_table_finish (&table);
  assert_int_equal (find (&fixture, KEYS_GRANT)->fence, 22);
  const msec_t latest_read = START_MS + COMMAND_CALL_MS + KEYS_STALL_MS;
  while (fixture.now < latest_read + HOLD_MAX_MS)
    {
      assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
      step_with_unreachable_owner (&fixture);
    }
  while (fixture.now < latest_read + HOLD_MAX_MS + 1000
         && count_actions (&fixture, KEYS_COMMIT) == 0)
    step_with_unreachable_owner (&fixture);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 1);
  assert_int_equal (find (&fixture, KEYS_COMMIT)->next_fence, 25);
  end (&fixture);
}

/* Another process answers at the owner's address, by what no owner answers. */
static void
test_a_successor_does_not_wait_for_a_process_that_lost_its_address_to_read (void **state)
{
  fixture_t fixture;

  (void)state;
  key_table_t table = setup_takeover (&fixture, true, false, predecessor_hold (0));
  commit_new_fences (&fixture, &table);
  key_table_finish (&table);
  const msec_t until = START_MS + predecessor_hold (0) - KEYS_STALL_MS;
  while (fixture.now < until + 1000 && count_actions (&fixture, KEYS_COMMIT) == 0)
    {
      const keys_out_t *release = find (&fixture, KEYS_RELEASE);
      if (release != NULL)
        handle_msg (&fixture,
                    (keys_msg_t){ .kind = KEYS_CALL_FAILED,
                                  .call = release->call,
                                  .release = true,
                                  .sent = true,
                                  .answered = true });
      if (count_actions (&fixture, KEYS_COMMIT) > 0)
        break;
      accept_grants (&fixture);
      fixture.now += 50;
      renew_role (&fixture);
    }
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 1);
  assert_true (fixture.now >= until);
  end (&fixture);
}

/* The role was vacant until its last holder's grants had expired, if they were read in
 * time. */
static void
test_a_successor_calls_an_owner_before_it_takes_its_grants_for_read (void **state)
{
  fixture_t fixture;

  (void)state;
  key_table_t table = setup_takeover (&fixture, true, false, KEYS_STALL_MS / 2);
  const name_t owner = g_array_index (table.ranges, key_range_t, 1).target;
  assert_int_equal (count_actions (&fixture, KEYS_FREED), 0);
  commit_new_fences (&fixture, &table);
  key_table_finish (&table);
  assert_int_equal (count_actions (&fixture, KEYS_FREED), 0);
  assert_moved_from_silent_owner (&fixture, &owner, START_MS + KEYS_STALL_MS / 2);
  end (&fixture);
}

/* Guards against waiting for the longest hold from the take-over on: the keys of a
 * crashed target were unavailable that long although the role had already been vacant for
 * 7 s. */
static void
test_a_successor_deducts_the_time_the_role_was_vacant (void **state)
{
  fixture_t fixture;

  (void)state;
  key_table_t table
      = setup_takeover (&fixture, true, false, predecessor_hold (HOLD_MAX_MS - 1000));
  commit_new_fences (&fixture, &table);
  key_table_finish (&table);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  while (fixture.now < START_MS + KEYS_STALL_MS + 4000
         && count_actions (&fixture, KEYS_COMMIT) == 0)
    {
      const keys_out_t *call = find (&fixture, KEYS_RELEASE);
      if (call != NULL)
        {
          keys_out_t copy = *call;
          reply (&fixture, &copy, KEYS_CALL_FAILED, false);
        }
      accept_grants (&fixture);
      fixture.now += 50;
      renew_role (&fixture);
    }
  /* What is left of the hold on a slow clock, plus the longest time of a call, plus the
   * longest until it is read. */
  assert_in_range (fixture.now,
                   START_MS + 1200 + COMMAND_CALL_MS + KEYS_STALL_MS,
                   START_MS + 1600 + COMMAND_CALL_MS + KEYS_STALL_MS);
  assert_int_equal (keys_predecessor_hold (&fixture.keys, 100000), 0);
  end (&fixture);
}

/* A target may apply a predecessor's grant after it released the keys. */
static void
test_a_successor_fences_a_leaving_owner_before_it_moves_keys (void **state)
{
  fixture_t fixture;

  (void)state;
  key_table_t table = setup_takeover (&fixture, false, true, PREDECESSOR_MS);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 0);
  commit_new_fences (&fixture, &table);
  key_table_finish (&table);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 0);
  keys_out_t fenced = *find (&fixture, KEYS_GRANT);
  assert_true (name_equal (&fenced.target, &target (&fixture, 0)->id));
  assert_int_equal (fenced.fence, 22);
  assert_int_equal (fenced.hold, KEYS_FENCE_HOLD_MS);
  reply (&fixture, &fenced, KEYS_GRANTED, true);
  assert_true (
      run_until_action (&fixture, KEYS_RELEASE, fixture.now + 2 * KEYS_RETRY_MS));
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_RELEASED, true);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 1);
  end (&fixture);
}

/* It may have read the longest grant of a predecessor right before the fence, which
 * expires before the granter comes to send the release. */
static void
test_a_new_fence_does_not_end_what_its_owner_had_read_before (void **state)
{
  /* It may have read that grant in time, or late. */
  static const msec_t holds[] = { PREDECESSOR_MS, KEYS_STALL_MS };
  fixture_t fixture;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (holds); i++)
    {
      key_table_t table = setup_takeover (&fixture, false, true, holds[i]);
      commit_new_fences (&fixture, &table);
      key_table_finish (&table);
      keys_out_t fenced = *find (&fixture, KEYS_GRANT);
      assert_int_equal (fenced.hold, KEYS_FENCE_HOLD_MS);
      reply (&fixture, &fenced, KEYS_GRANTED, true);
      tick (&fixture, fixture.now + 2 * KEYS_FENCE_HOLD_MS);
      assert_int_equal (count_actions (&fixture, KEYS_FREED), 0);
      assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 1);
      end (&fixture);
    }
}

/* A range isn't reassigned before the predecessor's and this granter's own unanswered
 * grants have both expired, whichever comes last. */
static void
test_an_unanswered_grant_does_not_shorten_the_wait_for_predecessor_grants (void **state)
{
  fixture_t fixture;
  key_table_t table = setup_takeover (&fixture, false, false, PREDECESSOR_MS);

  (void)state;
  commit_new_fences (&fixture, &table);
  key_table_finish (&table);
  keys_out_t renewal = *find (&fixture, KEYS_GRANT);
  const name_t owner = renewal.target;
  reply (&fixture, &renewal, KEYS_CALL_FAILED, true);
  g_array_remove_index (fixture.targets, 0);
  list_targets (&fixture);
  if (count_actions (&fixture, KEYS_RELEASE) == 0)
    assert_true (
        run_until_action (&fixture, KEYS_RELEASE, fixture.now + 2 * KEYS_RETRY_MS));
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  set_store_lost (&fixture, true); /* no newer fence can be committed */
  reply (&fixture, &release, KEYS_RELEASED, true);
  assert_moved_from_silent_owner (&fixture, &owner, START_MS + PREDECESSOR_MS);
  end (&fixture);
}

static void
test_a_new_fence_does_not_clear_an_unanswered_own_grant (void **state)
{
  fixture_t fixture;
  key_table_t table = setup_takeover (&fixture, false, false, PREDECESSOR_MS);

  (void)state;
  commit_new_fences (&fixture, &table);
  key_table_finish (&table);
  keys_out_t renewal = *find (&fixture, KEYS_GRANT);
  reply (&fixture, &renewal, KEYS_CALL_FAILED, true);
  assert_true (run_until_action (&fixture, KEYS_GRANT, fixture.now + 2 * KEYS_RENEW_MS));
  accept_grants (&fixture);
  set_store_lost (&fixture, true); /* no newer fence can be committed */
  target (&fixture, 0)->leaving = true;
  list_targets (&fixture);
  accept_grants (&fixture); /* under the new fence, from the owner that is to release */
  if (count_actions (&fixture, KEYS_RELEASE) == 0)
    assert_true (
        run_until_action (&fixture, KEYS_RELEASE, fixture.now + 2 * KEYS_RETRY_MS));
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_RELEASED, true);
  const msec_t latest_read = START_MS + KEYS_STALL_MS;
  while (fixture.now < latest_read + KEYS_HOLD_MS)
    {
      assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
      accept_grants (&fixture);
      fixture.now += 50;
      renew_role (&fixture);
    }
  assert_true (run_until_action (&fixture, KEYS_COMMIT, latest_read + 2 * KEYS_HOLD_MS));
  end (&fixture);
}

/* A predecessor's grant may return them to it until it has accepted the new fence. */
static void
test_keys_released_by_an_unlisted_owner_wait_for_predecessor_grants (void **state)
{
  fixture_t fixture;

  (void)state;
  key_table_t table = setup_takeover (&fixture, true, false, KEYS_STALL_MS + 5000);
  commit_new_fences (&fixture, &table);
  key_table_finish (&table);
  if (count_actions (&fixture, KEYS_RELEASE) == 0)
    assert_true (
        run_until_action (&fixture, KEYS_RELEASE, fixture.now + 2 * KEYS_RETRY_MS));
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_RELEASED, true);
  assert_moved_from_silent_owner (&fixture,
                                  &release.target,
                                  START_MS + KEYS_STALL_MS + 5000);
  end (&fixture);
}

static void
test_an_unlisted_owner_that_answers_is_fenced_before_its_keys_move (void **state)
{
  fixture_t fixture;

  (void)state;
  key_table_t table = setup_takeover (&fixture, true, false, PREDECESSOR_MS);
  commit_new_fences (&fixture, &table);
  key_table_finish (&table);
  if (count_actions (&fixture, KEYS_RELEASE) == 0)
    assert_true (
        run_until_action (&fixture, KEYS_RELEASE, fixture.now + 2 * KEYS_RETRY_MS));
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_RELEASED, true);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 1);
  keys_out_t fenced = *find (&fixture, KEYS_GRANT);
  assert_true (name_equal (&fenced.target, &release.target));
  assert_int_equal (fenced.hold, KEYS_FENCE_HOLD_MS);
  reply (&fixture, &fenced, KEYS_GRANTED, true);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  if (count_actions (&fixture, KEYS_RELEASE) == 0)
    tick (&fixture, fixture.now);
  release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_RELEASED, true);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 1);
  end (&fixture);
}

/* The owners named in the unreadable table may still hold their keys. */
static void
test_keys_of_an_unreadable_table_wait_before_assignment (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  renew_role (&fixture);
  handle_msg (&fixture,
              (keys_msg_t){ .kind = KEYS_TABLE,
                            .unreadable = true,
                            .predecessor_hold = HOLD_MAX_MS });
  while (fixture.now < START_MS + HOLD_MAX_MS)
    {
      assert_int_equal (fixture.out->len, 0);
      fixture.now += 50;
      renew_role (&fixture);
    }
  assert_true (run_until_action (&fixture,
                                 KEYS_COMMIT,
                                 START_MS + HOLD_MAX_MS + 2 * KEYS_INITIAL_WAIT_MS));
  end (&fixture);
}

static void
test_a_resigning_granter_extends_all_grants_and_moves_nothing (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 3);
  assign_all_keys (&fixture);
  target (&fixture, 0)->leaving = true;
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_RESIGN });
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 3);
  assert_int_equal (find (&fixture, KEYS_GRANT)->hold, HOLD_MAX_MS);
  accept_grants (&fixture);
  list_targets (&fixture);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 0);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  end (&fixture);
}

/* Guards against taking the granter's own last write for a renewal of the role. */
static void
test_nothing_is_granted_after_the_role_is_resigned (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 3);
  assign_all_keys (&fixture);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_RESIGN });
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_ROLE, .role_until = 0 });
  for (msec_t at = fixture.now; at < START_MS + 20000; at += 200)
    {
      tick (&fixture, at);
      assert_int_equal (fixture.out->len, 0);
    }
  end (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_actions_without_the_role),
    cmocka_unit_test (test_all_keys_are_committed_before_any_is_granted),
    cmocka_unit_test (test_grants_are_renewed_only_while_the_role_is_held),
    cmocka_unit_test (test_grants_of_many_ranges_are_renewed_at_a_bounded_rate),
    cmocka_unit_test (test_the_longest_holds_are_granted_before_the_role_ends),
    cmocka_unit_test (test_keys_of_a_leaving_owner_move_by_release_commit_and_grant),
    cmocka_unit_test (test_keys_of_an_unreachable_owner_wait_until_its_grant_expires),
    cmocka_unit_test (test_an_unanswered_grant_lasts_from_the_close_of_its_connection),
    cmocka_unit_test (test_released_keys_wait_until_an_unanswered_grant_expires),
    cmocka_unit_test (test_a_restarted_target_gets_its_keys_under_a_new_fence),
    cmocka_unit_test (test_a_successor_renews_at_once_and_waits_for_predecessor_grants),
    cmocka_unit_test (
        test_a_successor_does_not_wait_for_a_process_that_lost_its_address_to_read),
    cmocka_unit_test (
        test_a_successor_calls_an_owner_before_it_takes_its_grants_for_read),
    cmocka_unit_test (test_a_successor_deducts_the_time_the_role_was_vacant),
    cmocka_unit_test (test_a_resigning_granter_extends_all_grants_and_moves_nothing),
    cmocka_unit_test (test_nothing_is_granted_after_the_role_is_resigned),
    cmocka_unit_test (test_a_successor_fences_a_leaving_owner_before_it_moves_keys),
    cmocka_unit_test (
        test_keys_released_by_an_unlisted_owner_wait_for_predecessor_grants),
    cmocka_unit_test (test_an_unlisted_owner_that_answers_is_fenced_before_its_keys_move),
    cmocka_unit_test (test_keys_of_an_unreadable_table_wait_before_assignment),
    cmocka_unit_test (
        test_an_unanswered_grant_does_not_shorten_the_wait_for_predecessor_grants),
    cmocka_unit_test (test_a_new_fence_does_not_clear_an_unanswered_own_grant),
    cmocka_unit_test (test_a_new_fence_does_not_end_what_its_owner_had_read_before),
  };

  return cmocka_run_group_tests_name ("keys", tests, NULL, NULL);
}
