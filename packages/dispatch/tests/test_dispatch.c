#include "dispatch_world.h"

/* one router's decisions under a clock that the test sets. */

static void
test_no_configuration_is_not_run_and_no_route_is_said (void **state)
{
  world_t world;
  dispatch_request_t request;
  dispatch_t empty;
  const dispatch_msg_t msg = { .kind = DISPATCH_ARRIVE,
                               .request = &request,
                               .host = TEXT ("h"),
                               .path = TEXT ("/read/"),
                               .wait = WAIT };

  (void)state;
  begin (&world);
  dispatch_init (&empty, TEXT ("a"), 1);
  dispatch_request_init (&request);
  g_array_set_size (world.out, 0);
  dispatch_handle (&empty, &msg, START, world.out);
  assert_ended (&world, FATE_NOT_RUN, REASON_NO_CONFIGURATION);
  dispatch_finish (&empty);
  arrive (&world, &request, TEXT ("/nowhere/"));
  assert_ended (&world, FATE_NO_ROUTE, REASON_NO_ROUTE);
  end (&world);
}

static void
test_a_mutating_request_is_never_sent_twice_once_a_byte_left (void **state)
{
  world_t world;
  dispatch_request_t request;

  (void)state;
  begin (&world);
  arrive (&world, &request, TEXT ("/order/"));
  assert_non_null (find_out (&world, DISPATCH_SEND));
  lose_send (&world, &request, true);
  assert_null (find_out (&world, DISPATCH_SEND));
  assert_ended (&world, FATE_UNKNOWN, REASON_LOST);
  end (&world);
}

static void
test_a_mutating_request_goes_on_when_nothing_left_or_it_was_not_run (void **state)
{
  world_t world;
  dispatch_request_t request;

  (void)state;
  begin (&world);
  arrive (&world, &request, TEXT ("/order/"));
  lose_send (&world, &request, false);
  assert_non_null (find_out (&world, DISPATCH_SEND));
  answer (&world, &request, ANSWER_FULL, 503);
  assert_non_null (find_out (&world, DISPATCH_SEND));
  answer (&world, &request, ANSWER_RUN, 500);
  assert_non_null (find_out (&world, DISPATCH_DELIVER));
  end (&world);
}

static void
test_a_silent_mutating_request_ends_as_timed_out_not_as_not_run (void **state)
{
  world_t world;
  dispatch_request_t request;

  (void)state;
  begin (&world);
  arrive (&world, &request, TEXT ("/order/"));
  come_due (&world, &request, START + WAIT - 1);
  assert_null (find_out (&world, DISPATCH_END));
  come_due (&world, &request, START + WAIT + DISPATCH_LAST_ANSWER_MS);
  assert_non_null (find_out (&world, DISPATCH_CANCEL));
  assert_ended (&world, FATE_TIMED_OUT, REASON_TIME);
  end (&world);
}

static void
test_an_idempotent_request_runs_on_no_more_targets_than_allowed (void **state)
{
  world_t world;
  dispatch_request_t request;

  (void)state;
  begin (&world);
  arrive (&world, &request, TEXT ("/read/"));
  text_t first = sent_to (&world);
  lose_send (&world, &request, true);
  assert_false (text_equal (sent_to (&world), first));
  lose_send (&world, &request, true);
  assert_ended (&world, FATE_UNKNOWN, REASON_LOST);
  end (&world);
}

/* Failed in the bench: a keyed request was cancelled while its owner queued it. */
static void
test_a_queued_keyed_request_is_not_given_up (void **state)
{
  world_t world;
  dispatch_request_t request;

  (void)state;
  begin (&world);
  arrive (&world, &request, TEXT ("/keyed/"));
  for (msec_t at = START; at < START + WAIT; at += 100)
    {
      come_due (&world, &request, at);
      assert_null (find_out (&world, DISPATCH_CANCEL));
    }
  end (&world);
}

static void
test_nothing_is_given_up_while_the_process_leaves (void **state)
{
  world_t world;
  dispatch_request_t request;
  const dispatch_msg_t drain = { .kind = DISPATCH_DRAIN };

  (void)state;
  begin (&world);
  arrive (&world, &request, TEXT ("/read/"));
  tell (&world, &drain);
  come_due (&world, &request, START + OBJECTIVE + 10);
  assert_null (find_out (&world, DISPATCH_CANCEL));
  end (&world);
}

static void
test_a_keyed_request_goes_to_the_owner_and_waits_between_owners (void **state)
{
  world_t world;
  dispatch_request_t request;

  (void)state;
  begin (&world);
  arrive (&world, &request, TEXT ("/keyed/"));
  assert_true (text_equal (sent_to (&world), TEXT ("k1")));
  answer (&world, &request, ANSWER_NOT_OWNER, 421);
  assert_null (find_out (&world, DISPATCH_SEND));
  assert_int_equal (request.state, REQUEST_WAITING);
  own_keys (&world, TEXT ("k2"), 2);
  come_due (&world, &request, START + DISPATCH_GRANT_MS);
  assert_true (text_equal (sent_to (&world), TEXT ("k2")));
  assert_int_equal (request.key_version, 2);
  end (&world);
}

static void
test_an_older_table_is_not_taken (void **state)
{
  world_t world;
  dispatch_request_t request;

  (void)state;
  begin (&world);
  own_keys (&world, TEXT ("k2"), 9);
  own_keys (&world, TEXT ("k1"), 8);
  arrive (&world, &request, TEXT ("/keyed/"));
  assert_true (text_equal (sent_to (&world), TEXT ("k2")));
  end (&world);
}

/* Failed in the bench: an address that another service had got request after request. */
static void
test_a_target_whose_address_is_somebody_elses_gets_nothing_more (void **state)
{
  world_t world;
  dispatch_request_t request;

  (void)state;
  begin (&world);
  arrive (&world, &request, TEXT ("/keyed/"));
  answer (&world, &request, ANSWER_STRANGER, 421);
  for (msec_t at = START; request.state == REQUEST_WAITING && at < START + WAIT; at += 25)
    {
      come_due (&world, &request, at);
      assert_null (find_out (&world, DISPATCH_SEND));
    }
  assert_ended (&world, FATE_NOT_RUN, REASON_NO_OWNER);
  end (&world);
}

static void
test_a_request_without_an_owner_is_refused_within_its_objective (void **state)
{
  world_t world;
  dispatch_request_t request;
  const dispatch_out_t *over;

  (void)state;
  begin (&world);
  own_keys (&world, TEXT ("nobody"), 5);
  arrive (&world, &request, TEXT ("/keyed/"));
  assert_int_equal (request.state, REQUEST_WAITING);
  come_due (&world, &request, START + OBJECTIVE);
  assert_ended (&world, FATE_NOT_RUN, REASON_NO_OWNER);
  over = find_out (&world, DISPATCH_END);
  assert_in_range (over->retry_after,
                   DISPATCH_RETRY_AFTER_MIN_MS,
                   (WAIT - OBJECTIVE) / 3);
  end (&world);
}

static void
test_leaving_targets_get_nothing_new (void **state)
{
  world_t world;
  dispatch_request_t requests[8];

  (void)state;
  begin (&world);
  g_array_index (world.targets, target_entry_t, 2).leaving = true;
  list_targets (&world);
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      arrive (&world, &requests[i], TEXT ("/read/"));
      assert_true (text_equal (sent_to (&world), TEXT ("p2")));
    }
  end (&world);
}

/* Its keys are moved before that; if they aren't, the promise holds all the same, also at
 * a host that heard of it only when its news had run out.  Found in a hunted day of the
 * second grown site (store-and-drain, seed 157716278294): a request came 45 ms too late.
 */
static void
test_a_leaving_owner_gets_nothing_once_its_time_is_over (void **state)
{
  world_t world;
  dispatch_request_t request;

  (void)state;
  begin (&world);
  g_array_index (world.targets, target_entry_t, 0).leaving = true;
  list_targets (&world);
  arrive (&world, &request, TEXT ("/keyed/"));
  assert_true (text_equal (sent_to (&world), TEXT ("k1")));
  world.now = START + 2000 - NEWS_KEEP_MS;
  dispatch_request_t late;
  arrive (&world, &late, TEXT ("/keyed/"));
  assert_null (find_out (&world, DISPATCH_SEND));
  end (&world);
}

static void
test_a_caller_that_leaves_cancels_what_may_run_again (void **state)
{
  world_t world;
  dispatch_request_t request;
  const dispatch_msg_t gone = { .kind = DISPATCH_GONE, .request = &request };

  (void)state;
  begin (&world);
  arrive (&world, &request, TEXT ("/read/"));
  tell (&world, &gone);
  assert_non_null (find_out (&world, DISPATCH_CANCEL));
  arrive (&world, &request, TEXT ("/order/"));
  tell (&world, &gone);
  assert_null (find_out (&world, DISPATCH_CANCEL));
  lose_send (&world, &request, true);
  assert_null (find_out (&world, DISPATCH_SEND));
  end (&world);
}

static void
test_requests_in_flight_outlive_their_target (void **state)
{
  world_t world;
  dispatch_request_t request;

  (void)state;
  begin (&world);
  arrive (&world, &request, TEXT ("/read/"));
  g_array_set_size (world.targets, 0);
  list_targets (&world);
  answer (&world, &request, ANSWER_RUN, 200);
  assert_non_null (find_out (&world, DISPATCH_DELIVER));
  end (&world);
}

/* Sends REQUEST once, whose connection then breaks; the target has ended by ENDED. */
static void
crash (world_t *world, uint64_t fingerprint, bool refused)
{
  dispatch_request_t request, next;

  arrive_again (world, &request, TEXT ("/order/"), fingerprint);
  assert_int_equal (request.state, REQUEST_SENT);
  const dispatch_target_t *target
      = dispatch_target (&world->dispatch, (uint32_t)request.target);
  name_t id = target->entry.id;
  lose_send (world, &request, true);
  if (!refused)
    {
      for (guint i = 0; i < world->targets->len; i++)
        if (name_equal (&g_array_index (world->targets, target_entry_t, i).id, &id))
          g_array_index (world->targets, target_entry_t, i).born++;
      list_targets (world);
      return;
    }
  /* Whoever comes next finds that nothing listens there. */
  arrive (world, &next, TEXT ("/order/"));
  while (next.state == REQUEST_SENT)
    {
      const dispatch_msg_t fail
          = { .kind = DISPATCH_FAILED, .request = &next, .refused = true };
      tell (world, &fail);
    }
  const dispatch_msg_t gone = { .kind = DISPATCH_GONE, .request = &next };
  tell (world, &gone);
}

static bool
is_refused (world_t *world, uint64_t fingerprint)
{
  dispatch_request_t request;

  arrive_again (world, &request, TEXT ("/order/"), fingerprint);
  if (request.state == REQUEST_SENT)
    {
      answer (world, &request, ANSWER_RUN, 200);
      return false;
    }
  assert_ended (world, FATE_NOT_RUN, REASON_SUSPECT);
  return true;
}

static void
test_a_request_that_ends_three_targets_is_refused (void **state)
{
  world_t world;

  (void)state;
  begin (&world);
  for (unsigned i = 0; i < SUSPECT_TARGETS; i++)
    {
      crash (&world, 7, false);
      world.now += 1000;
    }
  assert_true (is_refused (&world, 7));
  assert_false (is_refused (&world, 8));
  end (&world);
}

static void
test_a_refused_connection_shows_a_targets_end (void **state)
{
  world_t world;

  (void)state;
  begin (&world);
  crash (&world, 7, true);
  assert_int_equal (world.dispatch.suspects.entries[0].fingerprint, 7);
  assert_int_equal (world.dispatch.suspects.entries[0].n_targets, 1);
  end (&world);
}

/* Answers are lost on the way too: only a target's end counts, and an answer absolves. */
static void
test_lost_answers_condemn_nothing (void **state)
{
  world_t world;

  (void)state;
  begin (&world);
  add_target (&world, TEXT ("p3"), TEXT ("plain"));
  add_target (&world, TEXT ("p4"), TEXT ("plain"));
  list_targets (&world);
  for (unsigned i = 0; i < 3 * SUSPECT_TARGETS; i++)
    {
      dispatch_request_t request;

      arrive_again (&world, &request, TEXT ("/order/"), 9);
      lose_send (&world, &request, true);
      world.now += 3000;
    }
  assert_false (is_refused (&world, 9));
  for (unsigned i = 0; i < 3 * SUSPECT_TARGETS; i++)
    {
      crash (&world, 7, false);
      assert_false (is_refused (&world, 7));
      world.now += 1000;
    }
  end (&world);
}

/* Other hosts' losses count as well. */
static void
test_a_request_that_other_hosts_condemn_is_refused (void **state)
{
  world_t world;

  (void)state;
  begin (&world);
  for (uint64_t target = 1; target <= SUSPECT_TARGETS; target++)
    {
      const dispatch_msg_t told
          = { .kind = DISPATCH_SUSPECT, .suspect = { 7, target, false } };
      tell (&world, &told);
      tell (&world, &told);
    }
  assert_true (is_refused (&world, 7));
  end (&world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_configuration_is_not_run_and_no_route_is_said),
    cmocka_unit_test (test_a_mutating_request_is_never_sent_twice_once_a_byte_left),
    cmocka_unit_test (
        test_a_mutating_request_goes_on_when_nothing_left_or_it_was_not_run),
    cmocka_unit_test (test_a_silent_mutating_request_ends_as_timed_out_not_as_not_run),
    cmocka_unit_test (test_an_idempotent_request_runs_on_no_more_targets_than_allowed),
    cmocka_unit_test (test_a_queued_keyed_request_is_not_given_up),
    cmocka_unit_test (test_nothing_is_given_up_while_the_process_leaves),
    cmocka_unit_test (test_a_keyed_request_goes_to_the_owner_and_waits_between_owners),
    cmocka_unit_test (test_an_older_table_is_not_taken),
    cmocka_unit_test (test_a_target_whose_address_is_somebody_elses_gets_nothing_more),
    cmocka_unit_test (test_a_request_without_an_owner_is_refused_within_its_objective),
    cmocka_unit_test (test_leaving_targets_get_nothing_new),
    cmocka_unit_test (test_a_leaving_owner_gets_nothing_once_its_time_is_over),
    cmocka_unit_test (test_a_caller_that_leaves_cancels_what_may_run_again),
    cmocka_unit_test (test_requests_in_flight_outlive_their_target),
    cmocka_unit_test (test_a_request_that_ends_three_targets_is_refused),
    cmocka_unit_test (test_a_refused_connection_shows_a_targets_end),
    cmocka_unit_test (test_lost_answers_condemn_nothing),
    cmocka_unit_test (test_a_request_that_other_hosts_condemn_is_refused),
  };

  return cmocka_run_group_tests_name ("dispatch", tests, NULL, NULL);
}
