#include "keys_fixture.h"

/* Until when an owner may hold its keys, whatever became of the calls to it. */

/* The call of KIND to t0 among the last message's actions; its target is empty if there
 * is none. */
static keys_out_t
call_to_first (const fixture_t *self, keys_out_kind_t kind)
{
  for (guint i = 0; i < self->out->len; i++)
    {
      keys_out_t call = g_array_index (self->out, keys_out_t, i);
      if (call.kind == kind
          && name_equal (&call.target, &target ((fixture_t *)self, 0)->id))
        return call;
    }
  return (keys_out_t){ 0 };
}

/* Advances until t0 is to be granted its keys again, and returns that call. */
static keys_out_t
next_grant (fixture_t *self)
{
  keys_out_t call;
  msec_t until = self->now + 2 * KEYS_RENEW_MS;

  while ((call = call_to_first (self, KEYS_GRANT)).target.len == 0)
    {
      assert_true (self->now < until);
      accept_grants (self);
      self->now += 50;
      renew_role (self);
    }
  return call;
}

/* The same for the longest hold: the role is about to end. */
static keys_out_t
longest_grant (fixture_t *self)
{
  tick (self, self->now + ROLE_MS - KEYS_FINAL_RENEWAL_MS + 1);
  keys_out_t call = call_to_first (self, KEYS_GRANT);
  assert_int_equal (call.hold, HOLD_MAX_MS);
  return call;
}

/* No new fence can be committed meanwhile. */
static void
release_first_target (fixture_t *self)
{
  set_store_lost (self, true);
  target (self, 0)->leaving = true;
  list_targets (self);
  if (count_actions (self, KEYS_RELEASE) == 0)
    assert_true (run_until_action (self, KEYS_RELEASE, self->now + 4 * KEYS_RETRY_MS));
  keys_out_t release = *find (self, KEYS_RELEASE);
  reply (self, &release, KEYS_RELEASED, true);
}

/* Nothing is committed before UNTIL, and the move is soon after. */
static void
assert_moved_after (fixture_t *self, msec_t until)
{
  while (self->now < until)
    {
      assert_int_equal (count_actions (self, KEYS_COMMIT), 0);
      accept_grants (self);
      self->now += 50;
      renew_role (self);
    }
  if (count_actions (self, KEYS_COMMIT) == 0)
    assert_true (run_until_action (self, KEYS_COMMIT, until + 500));
}

/* Delists t0 and fails all calls to it, until its keys move or UNTIL has passed. */
static bool
moves_before (fixture_t *self, msec_t until)
{
  keys_out_t release;

  g_array_remove_index (self->targets, 0);
  list_targets (self);
  while (self->now < until)
    {
      if (count_actions (self, KEYS_COMMIT) > 0)
        return true;
      if (find (self, KEYS_RELEASE) != NULL)
        {
          release = *find (self, KEYS_RELEASE);
          reply (self, &release, KEYS_CALL_FAILED, false);
          continue;
        }
      accept_grants (self);
      self->now += 50;
      renew_role (self);
    }
  return false;
}

static msec_t
slowest_clock (msec_t hold)
{
  return hold * 102 / 100;
}

/* How long a grant of HOLD may last from when its call has ended without an answer. */
static msec_t
read_late (msec_t hold)
{
  return KEYS_STALL_MS + slowest_clock (hold);
}

static void
test_a_shorter_grant_does_not_shorten_the_wait_for_an_unanswered_longer_one (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  keys_out_t longest = longest_grant (&fixture);
  reply (&fixture, &longest, KEYS_CALL_FAILED, true);
  msec_t failed = fixture.now;
  keys_out_t shorter = next_grant (&fixture);
  assert_int_equal (shorter.hold, KEYS_HOLD_MS);
  reply (&fixture, &shorter, KEYS_CALL_FAILED, true);
  release_first_target (&fixture);
  assert_moved_after (&fixture, failed + read_late (HOLD_MAX_MS));
  end (&fixture);
}

static void
test_an_answered_grant_lasts_from_its_answer (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  keys_out_t grant = next_grant (&fixture);
  for (int i = 0; i < 11; i++)
    {
      fixture.now += 100;
      renew_role (&fixture);
    }
  reply (&fixture, &grant, KEYS_GRANTED, true);
  msec_t answered = fixture.now;
  assert_false (moves_before (&fixture, answered + slowest_clock (KEYS_HOLD_MS)));
  assert_true (run_until_action (&fixture, KEYS_COMMIT, fixture.now + 500));
  end (&fixture);
}

static void
test_the_next_life_of_an_owner_releases_what_it_was_granted_before_it_was_listed (
    void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  keys_out_t grant = next_grant (&fixture);
  reply (&fixture, &grant, KEYS_GRANTED, true);
  target (&fixture, 0)->started_at++;
  list_targets (&fixture);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 1);
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_RELEASED, true);
  assert_moved_after (&fixture, fixture.now);
  end (&fixture);
}

static void
test_an_unanswered_grant_may_take_effect_in_the_next_life_of_its_owner (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  keys_out_t grant = next_grant (&fixture);
  reply (&fixture, &grant, KEYS_CALL_FAILED, true);
  msec_t failed = fixture.now;
  set_store_lost (&fixture, true); /* no new fence can be committed */
  target (&fixture, 0)->started_at++;
  list_targets (&fixture);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 1);
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_RELEASED, true);
  assert_moved_after (&fixture, failed + read_late (KEYS_HOLD_MS));
  end (&fixture);
}

static void
test_an_owner_that_restarted_at_another_address_holds_nothing (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  keys_out_t grant = next_grant (&fixture);
  reply (&fixture, &grant, KEYS_CALL_FAILED, true);
  target (&fixture, 0)->started_at++;
  name_set (&target (&fixture, 0)->address, TEXT ("10.0.0.9:1"));
  list_targets (&fixture);
  if (count_actions (&fixture, KEYS_COMMIT) == 0)
    tick (&fixture, fixture.now);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 0);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 1);
  end (&fixture);
}

static void
test_a_higher_fence_does_not_end_the_hold_of_its_owner (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  keys_out_t grant = next_grant (&fixture);
  reply (&fixture, &grant, KEYS_SUPERSEDED, true);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  tick (&fixture, fixture.now + 2 * KEYS_RETRY_MS);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 1);
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_RELEASED, true);
  assert_moved_after (&fixture, fixture.now);
  end (&fixture);
}

static void
test_an_owner_whose_address_another_target_has_holds_nothing (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  keys_out_t grant = next_grant (&fixture);
  reply (&fixture, &grant, KEYS_CALL_FAILED, true);
  grant = next_grant (&fixture);
  reply (&fixture, &grant, KEYS_OWNER_GONE, true);
  if (count_actions (&fixture, KEYS_COMMIT) == 0)
    tick (&fixture, fixture.now);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 1);
  end (&fixture);
}

static void
test_a_target_that_has_ended_gets_no_keys_while_it_is_listed (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  keys_out_t grant = next_grant (&fixture);
  reply (&fixture, &grant, KEYS_OWNER_GONE, true);
  for (int i = 0; i < 20; i++)
    {
      for (guint j = 0; j < fixture.out->len; j++)
        assert_false (name_equal (&g_array_index (fixture.out, keys_out_t, j).target,
                                  &target (&fixture, 0)->id)
                      && g_array_index (fixture.out, keys_out_t, j).kind == KEYS_GRANT);
      if (count_actions (&fixture, KEYS_COMMIT) > 0)
        handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMITTED });
      accept_grants (&fixture);
      fixture.now += 50;
      list_targets (&fixture);
    }
  accept_grants (&fixture);
  target (&fixture, 0)->started_at++;
  list_targets (&fixture);
  accept_grants (&fixture);
  assert_true (run_until_action (&fixture, KEYS_RELEASE, fixture.now + 2 * KEYS_PLAN_MS));
  end (&fixture);
}

/* T0's entry had an address that isn't its own. */
static void
test_a_target_gets_keys_again_when_its_entry_shows_another_address (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  keys_out_t grant = next_grant (&fixture);
  reply (&fixture, &grant, KEYS_OWNER_GONE, true);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMITTED });
  accept_grants (&fixture);
  name_set (&target (&fixture, 0)->address, TEXT ("10.0.0.99:1"));
  list_targets (&fixture);
  accept_grants (&fixture);
  assert_true (run_until_action (&fixture, KEYS_RELEASE, fixture.now + 2 * KEYS_PLAN_MS));
  end (&fixture);
}

/* The stored table has T0 at the address of T1. */
static void
test_an_answer_from_a_wrong_address_does_not_end_the_owner (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  key_table_t table = stored_table (&fixture, 2);
  key_range_t *first = &g_array_index (table.ranges, key_range_t, 0);
  first->address = target (&fixture, 1)->address;
  renew_role (&fixture);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_TABLE, .table = &table });
  keys_out_t grant = call_to_first (&fixture, KEYS_GRANT);
  assert_true (name_equal (&grant.address, &target (&fixture, 1)->address));
  reply (&fixture, &grant, KEYS_OWNER_GONE, true);
  assert_int_equal (count_actions (&fixture, KEYS_FREED), 0);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  grant = next_grant (&fixture);
  assert_true (name_equal (&grant.address, &target (&fixture, 0)->address));
  key_table_finish (&table);
  end (&fixture);
}

static void
test_a_target_that_joins_does_not_end_the_wait_for_owners_of_an_unreadable_table (
    void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  renew_role (&fixture);
  handle_msg (&fixture,
              (keys_msg_t){ .kind = KEYS_TABLE,
                            .unreadable = true,
                            .predecessor_hold = HOLD_MAX_MS });
  fixture.now += KEYS_RENEW_MS;
  add_target (&fixture, 2);
  list_targets (&fixture);
  assert_moved_after (&fixture, START_MS + HOLD_MAX_MS + KEYS_INITIAL_WAIT_MS);
  end (&fixture);
}

/* T1 gets T0's keys by a commit that the store rejects; then T2 does, also rejected. */
static void
test_a_rejected_commit_leaves_the_owner_that_the_store_records (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  uint64_t fence = next_grant (&fixture).fence;
  accept_grants (&fixture);
  release_first_target (&fixture);
  if (count_actions (&fixture, KEYS_COMMIT) == 0)
    tick (&fixture, fixture.now);
  for (int i = 0; i < 2; i++)
    {
      assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 1);
      handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMIT_REJECTED });
      assert_int_equal (count_actions (&fixture, KEYS_GRANT), 0);
      if (count_actions (&fixture, KEYS_COMMIT) == 0)
        tick (&fixture, fixture.now + KEYS_RETRY_MS);
    }
  const key_service_t *service = g_ptr_array_index (fixture.keys.services, 0);
  const key_range_state_t *range = &g_array_index (service->ranges, key_range_state_t, 0);
  assert_int_equal (range->previous_fence, fence);
  assert_true (name_equal (&range->previous_owner, &target (&fixture, 0)->id));
  end (&fixture);
}

/* The commit after a rejected one is of new fences, for T1, and still names T0. */
static void
test_a_table_names_no_owner_at_the_address_of_another_after_a_rejected_commit (
    void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 3);
  assign_all_keys (&fixture);
  release_first_target (&fixture);
  fixture.store_lost = false;
  if (count_actions (&fixture, KEYS_COMMIT) == 0)
    tick (&fixture, fixture.now);
  const keys_out_t *commit = find (&fixture, KEYS_COMMIT);
  assert_non_null (commit);
  assert_false (name_equal (&g_array_index (commit->table.ranges, key_range_t, 0).target,
                            &target (&fixture, 0)->id));
  assert_true (run_until_action (&fixture, KEYS_GRANT, fixture.now + KEYS_RENEW_MS));
  keys_out_t grant = *find (&fixture, KEYS_GRANT);
  assert_true (name_equal (&grant.target, &target (&fixture, 1)->id));
  reply (&fixture, &grant, KEYS_CALL_FAILED, true);
  target (&fixture, 1)->leaving = true;
  list_targets (&fixture);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMIT_REJECTED });
  commit = find (&fixture, KEYS_COMMIT);
  assert_non_null (commit);
  const key_range_t *first = &g_array_index (commit->table.ranges, key_range_t, 0);
  assert_true (name_equal (&first->target, &target (&fixture, 0)->id));
  assert_true (name_equal (&first->address, &target (&fixture, 0)->address));
  end (&fixture);
}

/* The last message's call of KIND for the range from FIRST on. */
static keys_out_t
call_for (const fixture_t *self, keys_out_kind_t kind, uint32_t first)
{
  for (guint i = 0; i < self->out->len; i++)
    {
      keys_out_t call = g_array_index (self->out, keys_out_t, i);
      if (call.kind == kind && call.first == first)
        return call;
    }
  fail_msg ("no call of kind %d for the range from %u on", kind, first);
  return (keys_out_t){ 0 };
}

/* T0, which has the first and the last range, leaves.  It releases the first, whose
 * commit is rejected; a grant of the last gets no answer.  TABLE is what is stored then.
 */
static void
store_new_fences_after_a_rejected_commit (fixture_t *self, key_table_t *table)
{
  fault_t fault;

  begin (self, 2);
  key_table_t before = stored_table (self, 2);
  key_range_t last = g_array_index (before.ranges, key_range_t, 0);
  last.first = KEY_LAST - 99;
  last.last = KEY_LAST;
  last.fence = 30;
  g_array_index (before.ranges, key_range_t, 1).last = last.first - 1;
  g_array_append_val (before.ranges, last);
  renew_role (self);
  handle_msg (self, (keys_msg_t){ .kind = KEYS_TABLE, .table = &before });
  keys_out_t unanswered = call_for (self, KEYS_GRANT, last.first);
  keys_out_t accepted = call_for (self, KEYS_GRANT, 0);
  reply (self, &accepted, KEYS_GRANTED, true);
  target (self, 0)->leaving = true;
  list_targets (self);
  keys_out_t release = call_for (self, KEYS_RELEASE, 0);
  reply (self, &release, KEYS_RELEASED, true);
  if (count_actions (self, KEYS_COMMIT) == 0)
    tick (self, self->now);
  assert_int_equal (count_actions (self, KEYS_COMMIT), 1);
  reply (self, &unanswered, KEYS_CALL_FAILED, true);
  handle_msg (self, (keys_msg_t){ .kind = KEYS_COMMIT_REJECTED });
  const keys_out_t *commit = find (self, KEYS_COMMIT);
  assert_non_null (commit);
  GString *bytes = key_rows_encode_table (&commit->table);
  key_table_init (table, TEXT ("s"));
  assert_int_equal (
      key_rows_decode_table (table, (text_t){ bytes->str, bytes->len }, &fault),
      STATUS_OK);
  g_string_free (bytes, TRUE);
  key_table_finish (&before);
}

static void
test_a_successor_frees_no_keys_of_a_running_owner_after_a_rejected_commit (void **state)
{
  fixture_t first, second;
  key_table_t table;

  (void)state;
  store_new_fences_after_a_rejected_commit (&first, &table);
  begin (&second, 2);
  target (&second, 0)->leaving = true;
  list_targets (&second);
  renew_role (&second);
  handle_msg (&second,
              (keys_msg_t){ .kind = KEYS_TABLE,
                            .table = &table,
                            .predecessor_hold = PREDECESSOR_MS });
  handle_msg (&second, (keys_msg_t){ .kind = KEYS_COMMITTED });
  for (int step = 0; step < 20; step++)
    {
      for (guint i = 0; i < second.out->len; i++)
        {
          keys_out_t call = g_array_index (second.out, keys_out_t, i);
          if (call.call == 0 || !name_equal (&call.target, &target (&second, 0)->id)
              || name_equal (&call.address, &target (&second, 0)->address))
            continue;
          reply (&second, &call, KEYS_OWNER_GONE, true);
          break;
        }
      assert_int_equal (count_actions (&second, KEYS_FREED), 0);
      second.now += 50;
      renew_role (&second);
    }
  key_table_finish (&table);
  end (&second);
  end (&first);
}

/* Stored ranges of T0 and T1 whose owners may hold PREDECESSOR_HOLD ms more. */
static void
take_over (fixture_t *self, key_table_t *table, msec_t predecessor_hold)
{
  renew_role (self);
  handle_msg (self,
              (keys_msg_t){ .kind = KEYS_TABLE,
                            .table = table,
                            .predecessor_hold = predecessor_hold });
}

static void
test_an_answer_to_a_call_from_before_the_role_was_lost_ends_no_newer_call (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  key_table_t table = stored_table (&fixture, 2);
  take_over (&fixture, &table, 0);
  keys_out_t older = call_to_first (&fixture, KEYS_GRANT);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_ROLE, .role_until = 0 });
  take_over (&fixture, &table, 0);
  assert_int_equal (call_to_first (&fixture, KEYS_GRANT).fence, older.fence);
  reply (&fixture, &older, KEYS_CALL_FAILED, true);
  target (&fixture, 0)->leaving = true;
  list_targets (&fixture);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 0);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  key_table_finish (&table);
  end (&fixture);
}

static void
test_an_unanswered_grant_under_the_old_fence_counts_after_new_fences (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  key_table_t table = stored_table (&fixture, 2);
  take_over (&fixture, &table, KEYS_RENEW_MS);
  key_table_finish (&table);
  keys_out_t older = call_to_first (&fixture, KEYS_GRANT);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMITTED });
  keys_out_t newer = call_to_first (&fixture, KEYS_GRANT);
  assert_true (newer.fence > older.fence);
  reply (&fixture, &newer, KEYS_GRANTED, true);
  msec_t failed = START_MS + COMMAND_CALL_MS;
  tick (&fixture, failed);
  accept_grants (&fixture);
  reply (&fixture, &older, KEYS_CALL_FAILED, true);
  release_first_target (&fixture);
  assert_moved_after (&fixture, failed + read_late (KEYS_HOLD_MS));
  end (&fixture);
}

/* The same, with new fences that the owners accepted; predecessors' grants last on. */
static void
take_over_and_fence (fixture_t *self)
{
  begin (self, 2);
  key_table_t table = stored_table (self, 2);
  take_over (self, &table, PREDECESSOR_MS);
  key_table_finish (&table);
  accept_grants (self);
  handle_msg (self, (keys_msg_t){ .kind = KEYS_COMMITTED });
  accept_grants (self);
}

/* T0 is to be sent a short grant, and no release yet; returns it. */
static keys_out_t
fencing_grant (const fixture_t *self)
{
  keys_out_t grant = call_to_first (self, KEYS_GRANT);

  assert_int_equal (count_actions (self, KEYS_RELEASE), 0);
  assert_int_equal (grant.hold, KEYS_FENCE_HOLD_MS);
  return grant;
}

static void
test_the_next_life_of_an_owner_has_not_seen_the_fence_of_the_one_before (void **state)
{
  fixture_t fixture;

  (void)state;
  take_over_and_fence (&fixture);
  target (&fixture, 0)->started_at++;
  list_targets (&fixture);
  keys_out_t grant = fencing_grant (&fixture);
  reply (&fixture, &grant, KEYS_GRANTED, true);
  tick (&fixture, fixture.now);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 1);
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_RELEASED, true);
  assert_moved_after (&fixture, fixture.now);
  end (&fixture);
}

/* T0 has been listed with its next start when the one before answers a grant. */
static void
test_an_answer_of_an_earlier_life_does_not_show_the_fence_to_the_next (void **state)
{
  fixture_t fixture;

  (void)state;
  take_over_and_fence (&fixture);
  keys_out_t earlier = next_grant (&fixture);
  target (&fixture, 0)->started_at++;
  list_targets (&fixture);
  reply (&fixture, &earlier, KEYS_GRANTED, true);
  tick (&fixture, fixture.now);
  keys_out_t grant = fencing_grant (&fixture);
  reply (&fixture, &grant, KEYS_GRANTED, true);
  tick (&fixture, fixture.now);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 1);
  end (&fixture);
}

/* T0 leaves after a take-over, and accepts a grant under the new fence. */
static void
fence_leaving_owner (fixture_t *self)
{
  take_over_and_fence (self);
  target (self, 0)->leaving = true;
  list_targets (self);
  keys_out_t grant = fencing_grant (self);
  reply (self, &grant, KEYS_GRANTED, true);
}

/* T0 is listed with a new process at its address. */
static void
restart_first_target (fixture_t *self)
{
  target (self, 0)->started_at++;
  target (self, 0)->leaving = false;
  list_targets (self);
}

static void
test_an_owner_that_restarts_before_its_release_is_shown_the_fence_again (void **state)
{
  fixture_t fixture;

  (void)state;
  fence_leaving_owner (&fixture);
  restart_first_target (&fixture);
  keys_out_t grant = fencing_grant (&fixture);
  reply (&fixture, &grant, KEYS_GRANTED, true);
  tick (&fixture, fixture.now);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 1);
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_RELEASED, true);
  assert_moved_after (&fixture, fixture.now);
  end (&fixture);
}

static void
test_a_release_that_the_next_life_of_an_owner_may_have_answered_is_repeated (void **state)
{
  fixture_t fixture;

  (void)state;
  fence_leaving_owner (&fixture);
  tick (&fixture, fixture.now);
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  restart_first_target (&fixture);
  reply (&fixture, &release, KEYS_RELEASED, true);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  fencing_grant (&fixture);
  end (&fixture);
}

static void
test_an_owner_may_have_restarted_since_it_accepted_a_new_fence (void **state)
{
  fixture_t fixture;

  (void)state;
  take_over_and_fence (&fixture);
  target (&fixture, 0)->leaving = true;
  list_targets (&fixture);
  keys_out_t grant = fencing_grant (&fixture);
  reply (&fixture, &grant, KEYS_GRANTED, true);
  tick (&fixture, fixture.now);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 1);
  end (&fixture);
}

static void
test_a_grant_that_shows_a_fence_is_not_longer_than_others (void **state)
{
  fixture_t fixture;

  (void)state;
  take_over_and_fence (&fixture);
  keys_set_hold_max (&fixture.keys, KEYS_FENCE_HOLD_MS / 2);
  target (&fixture, 0)->leaving = true;
  list_targets (&fixture);
  assert_int_equal (call_to_first (&fixture, KEYS_GRANT).hold, KEYS_FENCE_HOLD_MS / 2);
  end (&fixture);
}

static void
test_an_owner_may_have_restarted_if_a_release_got_no_answer (void **state)
{
  fixture_t fixture;

  (void)state;
  take_over_and_fence (&fixture);
  target (&fixture, 0)->leaving = true;
  list_targets (&fixture);
  keys_out_t grant = fencing_grant (&fixture);
  reply (&fixture, &grant, KEYS_GRANTED, true);
  tick (&fixture, fixture.now);
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_CALL_FAILED, true);
  if (count_actions (&fixture, KEYS_RELEASE) == 0)
    tick (&fixture, fixture.now + 2 * KEYS_RETRY_MS);
  release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_RELEASED, true);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  if (call_to_first (&fixture, KEYS_GRANT).target.len == 0)
    tick (&fixture, fixture.now + 2 * KEYS_RETRY_MS);
  fencing_grant (&fixture);
  end (&fixture);
}

/* Returns the owner, t0. */
static name_t
release_unlisted_owner (fixture_t *self)
{
  g_array_remove_index (self->targets, 0);
  list_targets (self);
  if (count_actions (self, KEYS_RELEASE) == 0)
    assert_true (run_until_action (self, KEYS_RELEASE, self->now + 5 * KEYS_RETRY_MS));
  keys_out_t release = *find (self, KEYS_RELEASE);
  reply (self, &release, KEYS_RELEASED, true);
  return release.target;
}

static void
test_an_unlisted_owner_that_answered_all_calls_knows_its_fence (void **state)
{
  fixture_t fixture;

  (void)state;
  take_over_and_fence (&fixture);
  release_unlisted_owner (&fixture);
  assert_moved_after (&fixture, fixture.now);
  end (&fixture);
}

/* T0 has started again, and is removed from the list before it can be called. */
static void
test_an_unlisted_owner_has_not_seen_the_fence_of_the_life_before (void **state)
{
  fixture_t fixture;

  (void)state;
  take_over_and_fence (&fixture);
  tick (&fixture, START_MS + ROLE_MS - ROLE_MARGIN_MS - 1);
  accept_grants (&fixture);
  tick (&fixture, START_MS + ROLE_MS - ROLE_MARGIN_MS);
  target (&fixture, 0)->started_at++;
  list_targets (&fixture);
  assert_int_equal (fixture.out->len, 0);
  const name_t owner = release_unlisted_owner (&fixture);
  assert_moved_from_silent_owner (&fixture, &owner, START_MS + PREDECESSOR_MS);
  end (&fixture);
}

static void
test_an_unlisted_owner_may_have_restarted_since_a_call_failed (void **state)
{
  fixture_t fixture;

  (void)state;
  take_over_and_fence (&fixture);
  keys_out_t grant = next_grant (&fixture);
  reply (&fixture, &grant, KEYS_CALL_FAILED, false);
  const name_t owner = release_unlisted_owner (&fixture);
  assert_moved_from_silent_owner (&fixture, &owner, START_MS + PREDECESSOR_MS);
  end (&fixture);
}

static void
test_owners_that_are_loaded_without_the_role_are_not_granted_to (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  key_table_t table = stored_table (&fixture, 2);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_TABLE, .table = &table });
  renew_role (&fixture);
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 0);
  take_over (&fixture, &table, 0);
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 2);
  key_table_finish (&table);
  end (&fixture);
}

static void
test_a_shorter_longest_hold_does_not_shorten_predecessors_grants (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  msec_t before = keys_predecessor_hold (&fixture.keys, 0);
  keys_set_hold_max (&fixture.keys, HOLD_MAX_MS / 2);
  assert_int_equal (keys_predecessor_hold (&fixture.keys, 0), before);
  keys_set_hold_max (&fixture.keys, 2 * HOLD_MAX_MS);
  assert_true (keys_predecessor_hold (&fixture.keys, 0) > before);
  end (&fixture);
}

/* T0 has an unanswered grant and leaves; a new fence is committed for it. */
static msec_t
renew_fence_of_leaving_target (fixture_t *self)
{
  begin (self, 2);
  assign_all_keys (self);
  keys_out_t unanswered = next_grant (self);
  reply (self, &unanswered, KEYS_CALL_FAILED, true);
  msec_t failed = self->now;
  target (self, 0)->leaving = true;
  list_targets (self);
  if (count_actions (self, KEYS_COMMIT) == 0)
    tick (self, self->now);
  assert_int_equal (count_actions (self, KEYS_RELEASE), 0);
  const keys_out_t *commit = find (self, KEYS_COMMIT);
  assert_non_null (commit);
  const key_range_t *range = &g_array_index (commit->table.ranges, key_range_t, 0);
  assert_true (name_equal (&range->target, &target (self, 0)->id));
  assert_true (range->fence > unanswered.fence);
  handle_msg (self, (keys_msg_t){ .kind = KEYS_COMMITTED });
  return failed;
}

static void
test_a_new_fence_frees_keys_before_an_unanswered_grant_expires (void **state)
{
  fixture_t fixture;

  (void)state;
  msec_t failed = renew_fence_of_leaving_target (&fixture);
  keys_out_t grant = fencing_grant (&fixture);
  reply (&fixture, &grant, KEYS_GRANTED, true);
  tick (&fixture, fixture.now);
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_RELEASED, true);
  assert_moved_after (&fixture, fixture.now);
  assert_true (fixture.now < failed + KEYS_HOLD_MS / 2);
  end (&fixture);
}

static void
test_an_owner_that_has_released_is_fenced_when_the_store_is_back (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  keys_out_t unanswered = next_grant (&fixture);
  reply (&fixture, &unanswered, KEYS_CALL_FAILED, true);
  release_first_target (&fixture);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  set_store_lost (&fixture, false);
  const keys_out_t *commit = find (&fixture, KEYS_COMMIT);
  assert_non_null (commit);
  const key_range_t *range = &g_array_index (commit->table.ranges, key_range_t, 0);
  assert_true (name_equal (&range->target, &target (&fixture, 0)->id));
  assert_true (range->fence > unanswered.fence);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMITTED });
  keys_out_t grant = fencing_grant (&fixture);
  reply (&fixture, &grant, KEYS_GRANTED, true);
  tick (&fixture, fixture.now);
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  reply (&fixture, &release, KEYS_RELEASED, true);
  assert_moved_after (&fixture, fixture.now);
  end (&fixture);
}

static void
test_a_new_fence_that_was_not_accepted_frees_no_keys (void **state)
{
  fixture_t fixture;

  (void)state;
  msec_t failed = renew_fence_of_leaving_target (&fixture);
  keys_out_t grant = fencing_grant (&fixture);
  reply (&fixture, &grant, KEYS_CALL_FAILED, true);
  set_store_lost (&fixture, true); /* no newer fence can be committed */
  const name_t owner = release_unlisted_owner (&fixture);
  assert_moved_from_silent_owner (&fixture, &owner, failed + read_late (KEYS_HOLD_MS));
  end (&fixture);
}

static void
test_a_table_that_is_read_again_does_not_end_the_wait_for_own_grants (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  key_table_t table = stored_table (&fixture, 2);
  take_over (&fixture, &table, 0);
  keys_out_t grant = call_to_first (&fixture, KEYS_GRANT);
  reply (&fixture, &grant, KEYS_CALL_FAILED, true);
  msec_t failed = fixture.now;
  take_over (&fixture, &table, 0);
  key_table_finish (&table);
  accept_grants (&fixture);
  release_first_target (&fixture);
  assert_moved_after (&fixture, failed + read_late (KEYS_HOLD_MS));
  end (&fixture);
}

static void
test_an_owner_at_whose_address_nobody_listens_reads_no_grant_late (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  keys_out_t grant = next_grant (&fixture);
  reply (&fixture, &grant, KEYS_CALL_FAILED, true);
  const msec_t until = fixture.now + slowest_clock (KEYS_HOLD_MS);
  g_array_remove_index (fixture.targets, 0);
  list_targets (&fixture);
  while (count_actions (&fixture, KEYS_COMMIT) == 0 && fixture.now < until + 1000)
    {
      const keys_out_t *release = find (&fixture, KEYS_RELEASE);
      if (release != NULL)
        handle_msg (&fixture,
                    (keys_msg_t){ .kind = KEYS_CALL_FAILED,
                                  .call = release->call,
                                  .release = true,
                                  .refused = true });
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

static void
test_a_grant_that_its_owner_s_host_has_not_taken_is_not_read_late (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  keys_out_t grant = next_grant (&fixture);
  handle_msg (&fixture,
              (keys_msg_t){ .kind = KEYS_CALL_FAILED, .call = grant.call, .sent = true });
  const msec_t failed = fixture.now;
  const msec_t until = failed + slowest_clock (KEYS_HOLD_MS);
  assert_true (moves_before (&fixture, until + 1000));
  assert_true (fixture.now >= until);
  end (&fixture);
}

/* The owner is to reject the unanswered grant before it is asked for the part. */
static void
test_a_part_of_a_range_counts_the_grants_of_the_whole (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 1);
  assign_all_keys (&fixture);
  keys_out_t whole = next_grant (&fixture);
  reply (&fixture, &whole, KEYS_CALL_FAILED, true);
  add_target (&fixture, 9);
  list_targets (&fixture);
  assert_true (run_until_action (&fixture, KEYS_COMMIT, fixture.now + 2 * KEYS_PLAN_MS));
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 0);
  const key_table_t *table = &find (&fixture, KEYS_COMMIT)->table;
  for (guint i = 0; i < table->ranges->len; i++)
    assert_true (name_equal (&g_array_index (table->ranges, key_range_t, i).target,
                             &whole.target));
  end (&fixture);
}

/* An answer that may be a repeated one to an earlier call. */

static void
test_a_release_counts_only_by_an_answer_of_its_own (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  set_store_lost (&fixture, true);
  target (&fixture, 0)->leaving = true;
  list_targets (&fixture);
  keys_out_t release = *find (&fixture, KEYS_RELEASE);
  assert_true (release.proof);
  reply_shared (&fixture, &release, KEYS_RELEASED);
  set_store_lost (&fixture, false);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  assert_true (
      run_until_action (&fixture, KEYS_RELEASE, fixture.now + 4 * KEYS_RETRY_MS));
  end (&fixture);
}

static void
test_a_new_fence_is_shown_by_answers_of_their_own (void **state)
{
  fixture_t fixture;

  (void)state;
  for (int shared = 0; shared < 2; shared++)
    {
      begin (&fixture, 2);
      key_table_t table = stored_table (&fixture, 2);
      take_over (&fixture, &table, PREDECESSOR_MS);
      key_table_finish (&table);
      accept_grants (&fixture);
      handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMITTED });
      keys_out_t grant = call_to_first (&fixture, KEYS_GRANT);
      assert_true (grant.proof);
      if (shared)
        reply_shared (&fixture, &grant, KEYS_GRANTED);
      else
        reply (&fixture, &grant, KEYS_GRANTED, true);
      const name_t owner = release_unlisted_owner (&fixture);
      const msec_t until = shared ? START_MS + PREDECESSOR_MS : fixture.now;
      assert_moved_from_silent_owner (&fixture, &owner, until);
      end (&fixture);
    }
}

static void
test_a_usual_renewal_needs_no_proof (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  assert_false (next_grant (&fixture).proof);
  end (&fixture);
  take_over_and_fence (&fixture);
  assert_false (next_grant (&fixture).proof);
  end (&fixture);
}

static void
test_a_refusal_that_may_be_of_an_earlier_call_frees_no_keys (void **state)
{
  static const keys_msg_kind_t kinds[] = { KEYS_OWNER_GONE, KEYS_SUPERSEDED };
  fixture_t fixture;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      begin (&fixture, 2);
      assign_all_keys (&fixture);
      keys_out_t grant = next_grant (&fixture);
      reply_shared (&fixture, &grant, kinds[i]);
      msec_t failed = fixture.now;
      assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
      grant = next_grant (&fixture);
      assert_true (grant.proof); /* the owner is asked again at once */
      assert_true (fixture.now <= failed + 2 * KEYS_RETRY_MS);
      reply (&fixture, &grant, KEYS_GRANTED, true);
      grant = next_grant (&fixture);
      assert_false (grant.proof);
      reply (&fixture, &grant, KEYS_GRANTED, true);
      /* The renewal that got no answer may still take effect. */
      release_first_target (&fixture);
      assert_moved_after (&fixture, failed + read_late (KEYS_HOLD_MS));
      end (&fixture);
    }
}

/* A predecessor's grant lies unread at t0, which stands still.  Its listen queue is full,
 * or the way to it is cut: calls of the successor don't reach its host.  That says
 * nothing of what its host had taken before. */
static void
test_a_call_that_could_not_connect_does_not_show_that_nothing_lies_unread (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  key_table_t table = stored_table (&fixture, 2);
  const name_t first = target (&fixture, 0)->id;
  g_array_remove_index (fixture.targets, 0);
  list_targets (&fixture);
  take_over (&fixture, &table, PREDECESSOR_MS);
  key_table_finish (&table);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMITTED });
  while (fixture.now < START_MS + PREDECESSOR_MS - 100)
    {
      keys_out_t failed = { 0 };
      for (guint i = 0; i < fixture.out->len; i++)
        {
          const keys_out_t *call = &g_array_index (fixture.out, keys_out_t, i);
          if (call->call != 0 && name_equal (&call->target, &first))
            failed = *call;
        }
      /* as httpc reports a connection that was not established in CONNECT_MS */
      if (failed.call != 0)
        handle_msg (&fixture,
                    (keys_msg_t){ .kind = KEYS_CALL_FAILED,
                                  .call = failed.call,
                                  .release = failed.kind == KEYS_RELEASE });
      assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
      accept_grants (&fixture);
      fixture.now += 50;
      renew_role (&fixture);
    }
  end (&fixture);
}

/* Httpc has checked that the call has arrived at the target's host. */
static void
test_a_refusal_that_may_be_an_earlier_one_leaves_the_call_to_be_read_late (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  keys_out_t grant = next_grant (&fixture);
  reply_shared (&fixture, &grant, KEYS_SUPERSEDED);
  msec_t failed = fixture.now;
  grant = next_grant (&fixture);
  reply (&fixture, &grant, KEYS_GRANTED, true);
  release_first_target (&fixture);
  assert_moved_after (&fixture, failed + read_late (KEYS_HOLD_MS));
  end (&fixture);
}

/* A call that T0 doesn't answer ends; the other owners' grants go on meanwhile. */
static void
let_call_end (fixture_t *self)
{
  GArray *kept = self->out;

  self->out = g_array_new (FALSE, TRUE, sizeof (keys_out_t));
  for (msec_t at = self->now + COMMAND_LIMIT_MS; self->now < at;)
    {
      self->now += 50;
      renew_role (self);
      accept_grants (self);
    }
  clear_actions (self);
  g_array_unref (self->out);
  self->out = kept;
}

/* Handles the first commit, or call to the target of ID, which answers releases and no
 * grant; false if there is none.  FENCES counts the grants, MOVED is set if the first
 * range is committed for another target. */
static bool
answer_releases_alone (fixture_t *self, const name_t *id, guint *fences, bool *moved)
{
  for (guint i = 0; i < self->out->len; i++)
    {
      keys_out_t out = g_array_index (self->out, keys_out_t, i);
      if (out.kind == KEYS_COMMIT)
        {
          const key_range_t *first = &g_array_index (out.table.ranges, key_range_t, 0);
          *moved = !name_equal (&first->target, id);
          handle_msg (self, (keys_msg_t){ .kind = KEYS_COMMITTED });
          return true;
        }
      if (out.call == 0 || !name_equal (&out.target, id))
        continue;
      bool grant = out.kind == KEYS_GRANT;
      *fences += grant;
      if (grant)
        let_call_end (self);
      reply (self, &out, grant ? KEYS_CALL_FAILED : KEYS_RELEASED, true);
      return true;
    }
  return false;
}

/* T0 answers releases and no grant, and leaves or isn't LISTED any more. */
static void
expect_move_from_owner_that_answers_releases_alone (bool listed)
{
  fixture_t fixture;
  guint fences = 0;
  bool moved = false;

  begin (&fixture, 2);
  assign_all_keys (&fixture);
  keys_out_t grant = next_grant (&fixture);
  reply (&fixture, &grant, KEYS_CALL_FAILED, true);
  const name_t first = target (&fixture, 0)->id;
  if (listed)
    target (&fixture, 0)->leaving = true;
  else
    g_array_remove_index (fixture.targets, 0);
  list_targets (&fixture);
  const msec_t until = fixture.now + 120000;
  while (fixture.now < until && !moved)
    if (!answer_releases_alone (&fixture, &first, &fences, &moved))
      {
        accept_grants (&fixture);
        fixture.now += 50;
        renew_role (&fixture);
      }
  assert_true (moved);
  assert_in_range (fences, 1, KEYS_FENCE_ATTEMPTS_MAX);
  end (&fixture);
}

static void
test_an_unlisted_owner_that_answers_releases_alone_loses_its_keys_in_time (void **state)
{
  (void)state;
  expect_move_from_owner_that_answers_releases_alone (false);
}

static void
test_a_leaving_owner_that_answers_releases_alone_loses_its_keys_in_time (void **state)
{
  (void)state;
  expect_move_from_owner_that_answers_releases_alone (true);
}

/* The table names t0 at an address that it doesn't have; nobody listens there. */
static void
test_a_refusal_at_a_wrong_address_does_not_show_that_the_owner_has_ended (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  key_table_t table = stored_table (&fixture, 2);
  const name_t first = target (&fixture, 0)->id;
  name_set (&g_array_index (table.ranges, key_range_t, 0).address, TEXT ("10.0.0.99:1"));
  target (&fixture, 0)->leaving = true;
  list_targets (&fixture);
  take_over (&fixture, &table, KEYS_STALL_MS / 2);
  key_table_finish (&table);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMITTED });
  while (fixture.now < START_MS + KEYS_STALL_MS / 2 - 100)
    {
      keys_out_t refused = { 0 };
      for (guint i = 0; i < fixture.out->len; i++)
        {
          const keys_out_t *call = &g_array_index (fixture.out, keys_out_t, i);
          if (call->call != 0 && name_equal (&call->target, &first))
            refused = *call;
        }
      if (name_equal (&refused.address, &target (&fixture, 0)->address))
        break; /* the listed one is called */
      if (refused.call != 0)
        handle_msg (&fixture,
                    (keys_msg_t){ .kind = KEYS_CALL_FAILED,
                                  .call = refused.call,
                                  .release = refused.kind == KEYS_RELEASE,
                                  .refused = true });
      assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
      accept_grants (&fixture);
      fixture.now += 50;
      renew_role (&fixture);
    }
  end (&fixture);
}

/* A wait that doesn't include the time for reading late is not shortened by it. */
static void
test_a_refused_connection_does_not_shorten_the_wait_for_a_grant_not_taken (void **state)
{
  key_holds_t holds = { 0 };

  (void)state;
  key_holds_unanswered (&holds, KEYS_HOLD_MS, false, START_MS);
  key_holds_released (&holds);
  assert_in_range (key_holds_end (&holds, false, true),
                   START_MS + KEYS_HOLD_MS,
                   START_MS + 2 * KEYS_HOLD_MS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        test_a_shorter_grant_does_not_shorten_the_wait_for_an_unanswered_longer_one),
    cmocka_unit_test (test_an_answered_grant_lasts_from_its_answer),
    cmocka_unit_test (
        test_the_next_life_of_an_owner_releases_what_it_was_granted_before_it_was_listed),
    cmocka_unit_test (
        test_an_unanswered_grant_may_take_effect_in_the_next_life_of_its_owner),
    cmocka_unit_test (test_an_owner_that_restarted_at_another_address_holds_nothing),
    cmocka_unit_test (test_a_higher_fence_does_not_end_the_hold_of_its_owner),
    cmocka_unit_test (test_an_owner_whose_address_another_target_has_holds_nothing),
    cmocka_unit_test (
        test_a_target_that_joins_does_not_end_the_wait_for_owners_of_an_unreadable_table),
    cmocka_unit_test (test_a_target_that_has_ended_gets_no_keys_while_it_is_listed),
    cmocka_unit_test (test_a_target_gets_keys_again_when_its_entry_shows_another_address),
    cmocka_unit_test (test_an_answer_from_a_wrong_address_does_not_end_the_owner),
    cmocka_unit_test (test_a_rejected_commit_leaves_the_owner_that_the_store_records),
    cmocka_unit_test (
        test_a_successor_frees_no_keys_of_a_running_owner_after_a_rejected_commit),
    cmocka_unit_test (
        test_a_table_names_no_owner_at_the_address_of_another_after_a_rejected_commit),
    cmocka_unit_test (
        test_an_answer_to_a_call_from_before_the_role_was_lost_ends_no_newer_call),
    cmocka_unit_test (
        test_an_unanswered_grant_under_the_old_fence_counts_after_new_fences),
    cmocka_unit_test (
        test_the_next_life_of_an_owner_has_not_seen_the_fence_of_the_one_before),
    cmocka_unit_test (
        test_an_answer_of_an_earlier_life_does_not_show_the_fence_to_the_next),
    cmocka_unit_test (test_an_unlisted_owner_has_not_seen_the_fence_of_the_life_before),
    cmocka_unit_test (
        test_an_owner_that_restarts_before_its_release_is_shown_the_fence_again),
    cmocka_unit_test (
        test_a_release_that_the_next_life_of_an_owner_may_have_answered_is_repeated),
    cmocka_unit_test (test_an_owner_may_have_restarted_since_it_accepted_a_new_fence),
    cmocka_unit_test (test_a_grant_that_shows_a_fence_is_not_longer_than_others),
    cmocka_unit_test (test_an_owner_may_have_restarted_if_a_release_got_no_answer),
    cmocka_unit_test (test_an_unlisted_owner_that_answered_all_calls_knows_its_fence),
    cmocka_unit_test (test_an_unlisted_owner_may_have_restarted_since_a_call_failed),
    cmocka_unit_test (test_owners_that_are_loaded_without_the_role_are_not_granted_to),
    cmocka_unit_test (test_a_shorter_longest_hold_does_not_shorten_predecessors_grants),
    cmocka_unit_test (test_a_new_fence_frees_keys_before_an_unanswered_grant_expires),
    cmocka_unit_test (test_an_owner_that_has_released_is_fenced_when_the_store_is_back),
    cmocka_unit_test (test_a_new_fence_that_was_not_accepted_frees_no_keys),
    cmocka_unit_test (test_a_part_of_a_range_counts_the_grants_of_the_whole),
    cmocka_unit_test (
        test_a_table_that_is_read_again_does_not_end_the_wait_for_own_grants),
    cmocka_unit_test (test_a_release_counts_only_by_an_answer_of_its_own),
    cmocka_unit_test (test_a_new_fence_is_shown_by_answers_of_their_own),
    cmocka_unit_test (test_a_grant_that_its_owner_s_host_has_not_taken_is_not_read_late),
    cmocka_unit_test (test_an_owner_at_whose_address_nobody_listens_reads_no_grant_late),
    cmocka_unit_test (test_a_usual_renewal_needs_no_proof),
    cmocka_unit_test (test_a_refusal_that_may_be_of_an_earlier_call_frees_no_keys),
    cmocka_unit_test (
        test_a_call_that_could_not_connect_does_not_show_that_nothing_lies_unread),
    cmocka_unit_test (
        test_a_refusal_that_may_be_an_earlier_one_leaves_the_call_to_be_read_late),
    cmocka_unit_test (
        test_an_unlisted_owner_that_answers_releases_alone_loses_its_keys_in_time),
    cmocka_unit_test (
        test_a_leaving_owner_that_answers_releases_alone_loses_its_keys_in_time),
    cmocka_unit_test (
        test_a_refusal_at_a_wrong_address_does_not_show_that_the_owner_has_ended),
    cmocka_unit_test (
        test_a_refused_connection_does_not_shorten_the_wait_for_a_grant_not_taken),
  };

  return cmocka_run_group_tests_name ("key holds", tests, NULL, NULL);
}
