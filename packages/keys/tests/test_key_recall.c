#include "keys_fixture.h"

/* Granting after the store has lost its latest commits. */

/* Loads the table of N targets, which may lack later moves. */
static void
load_outdated_table (fixture_t *self, guint n)
{
  key_table_t table = stored_table (self, n);

  renew_role (self);
  handle_msg (self,
              (keys_msg_t){ .kind = KEYS_TABLE,
                            .table = &table,
                            .outdated = true,
                            .predecessor_hold = PREDECESSOR_MS });
  key_table_finish (&table);
}

static void
end_role (fixture_t *self)
{
  handle_msg (self, (keys_msg_t){ .kind = KEYS_ROLE });
}

/* No keys are granted or committed before UNTIL. */
static void
assert_nothing_granted_before (fixture_t *self, msec_t until)
{
  while (self->now < until)
    {
      assert_int_equal (count_actions (self, KEYS_GRANT), 0);
      assert_int_equal (count_actions (self, KEYS_COMMIT), 0);
      self->now += 50;
      if (self->now < until)
        renew_role (self);
    }
}

static void
test_keys_of_an_outdated_table_wait_for_all_grants_to_expire (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  load_outdated_table (&fixture, 2);
  assert_false (keys_are_written (&fixture.keys));
  assert_nothing_granted_before (&fixture, START_MS + PREDECESSOR_MS);
  assert_true (run_until_action (&fixture, KEYS_COMMIT, fixture.now + 500));
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMITTED });
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 2);
  assert_true (keys_are_written (&fixture.keys));
  end (&fixture);
}

static void
test_keys_of_a_lost_table_wait_for_all_grants_to_expire (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  renew_role (&fixture);
  handle_msg (&fixture,
              (keys_msg_t){ .kind = KEYS_TABLE,
                            .unreadable = true,
                            .predecessor_hold = PREDECESSOR_MS });
  assert_nothing_granted_before (&fixture, START_MS + PREDECESSOR_MS);
  assert_true (run_until_action (&fixture, KEYS_COMMIT, fixture.now + 2000));
  end (&fixture);
}

static void
test_a_granter_that_keeps_its_role_writes_its_table_again (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  assert_true (keys_are_written (&fixture.keys));
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_STORE_LOST });
  assert_false (keys_are_written (&fixture.keys));
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 1);
  assert_int_equal (find (&fixture, KEYS_COMMIT)->table.ranges->len, 2);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 0);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMIT_REJECTED });
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 1);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMITTED });
  assert_true (keys_are_written (&fixture.keys));
  end (&fixture);
}

static void
test_a_commit_that_was_lost_grants_nothing (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  renew_role (&fixture);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_TABLE });
  assert_true (run_until_action (&fixture, KEYS_COMMIT, fixture.now + 2000));
  uint64_t fence
      = g_array_index (find (&fixture, KEYS_COMMIT)->table.ranges, key_range_t, 0).fence;
  keys_raise_fence (&fixture.keys, KEYS_FENCES_PER_ERA + 1);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_STORE_LOST });
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 0);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 1);
  assert_true (
      g_array_index (find (&fixture, KEYS_COMMIT)->table.ranges, key_range_t, 0).fence
      > KEYS_FENCES_PER_ERA + fence - 1);
  end (&fixture);
}

/* Both targets own keys, and the role ends and is acquired again AFTER ms later, with the
 * table of before. */
static void
lose_role_and_store (fixture_t *self, msec_t after)
{
  begin (self, 2);
  assign_all_keys (self);
  renew_role (self);
  accept_grants (self);
  const msec_t role_end = self->now + ROLE_MS;
  self->now = role_end;
  end_role (self);
  self->now = role_end + after;
  load_outdated_table (self, 2);
}

static uint64_t
fence_of (const fixture_t *self, guint i)
{
  const key_service_t *service = g_ptr_array_index (self->keys.services, 0);

  return g_array_index (service->ranges, key_range_state_t, i).fence;
}

static void
test_owners_that_confirm_their_keys_keep_them (void **state)
{
  fixture_t fixture;
  uint64_t fences[2];

  (void)state;
  lose_role_and_store (&fixture, 3000);
  fences[0] = fence_of (&fixture, 0);
  fences[1] = fence_of (&fixture, 1);
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 2);
  assert_int_equal (count_actions (&fixture, KEYS_COMMIT), 0);
  for (guint i = 0; i < 2; i++)
    {
      const keys_out_t *call = &g_array_index (fixture.out, keys_out_t, i);
      assert_int_equal (call->fence, fences[i]);
      assert_true (call->proof);
    }
  accept_grants (&fixture);
  renew_role (&fixture);
  keys_out_t commit = *find (&fixture, KEYS_COMMIT);
  for (guint i = 0; i < 2; i++)
    assert_true (g_array_index (commit.table.ranges, key_range_t, i).fence > fences[1]);
  handle_msg (&fixture, (keys_msg_t){ .kind = KEYS_COMMITTED });
  assert_int_equal (count_actions (&fixture, KEYS_GRANT), 2);
  assert_int_equal (count_actions (&fixture, KEYS_RELEASE), 0);
  end (&fixture);
}

/* Ends the first grant as KIND, and accepts the other.  No table is written, and the
 * first range isn't granted, before all grants of predecessors have expired. */
static void
assert_first_owner_is_lost (fixture_t *self, keys_msg_kind_t kind)
{
  const msec_t until = self->now + PREDECESSOR_MS;
  keys_out_t first = g_array_index (self->out, keys_out_t, 0);
  keys_out_t second = g_array_index (self->out, keys_out_t, 1);

  if (kind == KEYS_GRANTED)
    reply_shared (self, &first, kind);
  else
    reply (self, &first, kind, true);
  reply (self, &second, KEYS_GRANTED, true);
  const msec_t confirmed_by = self->now + KEYS_CONFIRM_MS;
  while (self->now + 50 < until)
    {
      self->now += 50;
      renew_role (self);
      assert_int_equal (count_actions (self, KEYS_COMMIT), 0);
      for (guint i = 0; i < self->out->len; i++)
        {
          keys_out_t call = g_array_index (self->out, keys_out_t, i);
          if (call.kind != KEYS_GRANT)
            continue;
          assert_true (call.first == second.first || self->now < confirmed_by);
          reply (self,
                 &call,
                 call.first == second.first ? KEYS_GRANTED : KEYS_CALL_FAILED,
                 true);
          i = 0;
        }
    }
}

static void
test_an_owner_with_a_higher_fence_is_not_taken_for_the_owner (void **state)
{
  fixture_t fixture;

  (void)state;
  lose_role_and_store (&fixture, 3000);
  assert_first_owner_is_lost (&fixture, KEYS_SUPERSEDED);
  end (&fixture);
}

static void
test_an_owner_that_does_not_answer_is_not_taken_for_the_owner (void **state)
{
  fixture_t fixture;

  (void)state;
  lose_role_and_store (&fixture, 3000);
  assert_first_owner_is_lost (&fixture, KEYS_CALL_FAILED);
  end (&fixture);
}

static void
test_an_answer_to_an_earlier_call_confirms_nothing (void **state)
{
  fixture_t fixture;

  (void)state;
  lose_role_and_store (&fixture, 3000);
  assert_first_owner_is_lost (&fixture, KEYS_GRANTED);
  end (&fixture);
}

static void
test_owners_are_not_asked_once_a_successor_may_have_moved_keys (void **state)
{
  fixture_t fixture;

  (void)state;
  lose_role_and_store (&fixture, key_holds_worst_case (HOLD_MAX_MS) + COMMAND_CALL_MS);
  assert_nothing_granted_before (&fixture, fixture.now + PREDECESSOR_MS);
  end (&fixture);
}

static void
test_an_owner_that_has_restarted_is_not_asked (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture, 2);
  assign_all_keys (&fixture);
  fixture.now += ROLE_MS;
  end_role (&fixture);
  target (&fixture, 0)->started_at++;
  target (&fixture, 1)->started_at++;
  list_targets (&fixture);
  load_outdated_table (&fixture, 2);
  assert_nothing_granted_before (&fixture, fixture.now + PREDECESSOR_MS);
  end (&fixture);
}

static void
test_an_unconfirmed_owner_is_not_remembered_by_the_next_tenure (void **state)
{
  fixture_t fixture;

  (void)state;
  lose_role_and_store (&fixture, 3000);
  end_role (&fixture);
  fixture.now += 1000;
  load_outdated_table (&fixture, 2);
  assert_nothing_granted_before (&fixture, fixture.now + PREDECESSOR_MS);
  end (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_keys_of_an_outdated_table_wait_for_all_grants_to_expire),
    cmocka_unit_test (test_keys_of_a_lost_table_wait_for_all_grants_to_expire),
    cmocka_unit_test (test_a_granter_that_keeps_its_role_writes_its_table_again),
    cmocka_unit_test (test_a_commit_that_was_lost_grants_nothing),
    cmocka_unit_test (test_owners_that_confirm_their_keys_keep_them),
    cmocka_unit_test (test_an_owner_with_a_higher_fence_is_not_taken_for_the_owner),
    cmocka_unit_test (test_an_owner_that_does_not_answer_is_not_taken_for_the_owner),
    cmocka_unit_test (test_an_answer_to_an_earlier_call_confirms_nothing),
    cmocka_unit_test (test_owners_are_not_asked_once_a_successor_may_have_moved_keys),
    cmocka_unit_test (test_an_owner_that_has_restarted_is_not_asked),
    cmocka_unit_test (test_an_unconfirmed_owner_is_not_remembered_by_the_next_tenure),
  };

  return cmocka_run_group_tests_name ("key-recall", tests, NULL, NULL);
}
