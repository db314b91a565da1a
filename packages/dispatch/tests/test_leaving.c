#include "dispatch_fixture.h"

#include "../targets.h"

/* Targets that state in their responses that they leave. */

#define DRAIN_TIME_MS 2000

static target_entry_t *
entry (fixture_t *self, guint i)
{
  return &g_array_index (self->targets, target_entry_t, i);
}

/* A response of target I states that it leaves. */
static void
state_leaving (fixture_t *self, guint i)
{
  const dispatch_msg_t msg
      = { .kind = DISPATCH_LEAVING,
          .leaving = { entry (self, i)->id, entry (self, i)->started_at } };

  handle_msg (self, &msg);
}

static void
assert_not_sent (fixture_t *self, text_t path)
{
  dispatch_request_t *request = g_new0 (dispatch_request_t, 1);
  const dispatch_msg_t gone = { .kind = DISPATCH_CALLER_LEFT, .request = request };

  arrive (self, request, path);
  assert_null (find_out (self, DISPATCH_SEND));
  handle_msg (self, &gone);
  g_free (request);
}

/* Sends requests for service "plain", and asserts that all go to target ID. */
static void
assert_all_sent_to (fixture_t *self, text_t id)
{
  for (int i = 0; i < 8; i++)
    {
      dispatch_request_t request;
      arrive (self, &request, TEXT ("/read/"));
      assert_true (text_equal (sent_to (self), id));
      answer (self, &request, ANSWER_RUN, 200);
    }
}

static bool
any_sent_to (fixture_t *self, text_t id)
{
  bool any = false;

  for (int i = 0; i < 32; i++)
    {
      dispatch_request_t request;
      arrive (self, &request, TEXT ("/read/"));
      any = any || text_equal (sent_to (self), id);
      answer (self, &request, ANSWER_RUN, 200);
    }
  return any;
}

static void
test_a_target_that_states_it_gets_no_new_requests (void **state)
{
  fixture_t fixture;
  const dispatch_out_t *leaving;

  (void)state;
  begin (&fixture);
  state_leaving (&fixture, 2);
  leaving = find_out (&fixture, DISPATCH_TARGET_LEAVING);
  assert_non_null (leaving);
  assert_int_equal (leaving->owner_for, DRAIN_TIME_MS * DISPATCH_LEFT_PERCENT / 100);
  assert_all_sent_to (&fixture, TEXT ("p2"));
  state_leaving (&fixture, 2);
  assert_null (find_out (&fixture, DISPATCH_TARGET_LEAVING));
  end (&fixture);
}

static void
test_the_list_does_not_take_the_statement_back (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  state_leaving (&fixture, 2);
  list_targets (&fixture);
  assert_all_sent_to (&fixture, TEXT ("p2"));
  entry (&fixture, 2)->leaving = true;
  list_targets (&fixture);
  entry (&fixture, 2)->leaving = false;
  fixture.now += 60000;
  list_targets (&fixture);
  assert_all_sent_to (&fixture, TEXT ("p2"));
  end (&fixture);
}

/* A list that was read during the target's removal, or that is older than it. */
static void
test_a_target_that_is_listed_again_is_still_leaving (void **state)
{
  fixture_t fixture;
  target_entry_t removed;

  (void)state;
  begin (&fixture);
  state_leaving (&fixture, 2);
  removed = *entry (&fixture, 2);
  g_array_remove_index (fixture.targets, 2);
  list_targets (&fixture);
  g_array_append_val (fixture.targets, removed);
  list_targets (&fixture);
  assert_all_sent_to (&fixture, TEXT ("p2"));
  end (&fixture);
}

static void
test_a_new_process_under_the_same_id_is_not_leaving (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  state_leaving (&fixture, 2);
  entry (&fixture, 2)->started_at = 2;
  list_targets (&fixture);
  assert_true (any_sent_to (&fixture, TEXT ("p1")));
  end (&fixture);
}

static void
test_another_target_with_the_same_address_is_not_leaving (void **state)
{
  fixture_t fixture;
  target_entry_t other;

  (void)state;
  begin (&fixture);
  state_leaving (&fixture, 2);
  other = *entry (&fixture, 2);
  name_set (&other.id, TEXT ("p3"));
  g_array_remove_index (fixture.targets, 2);
  g_array_append_val (fixture.targets, other);
  list_targets (&fixture);
  assert_true (any_sent_to (&fixture, TEXT ("p3")));
  end (&fixture);
}

/* The statement of a process that is not listed, such as a predecessor's, binds nothing.
 */
static void
test_a_statement_of_an_earlier_process_is_ignored (void **state)
{
  fixture_t fixture;
  dispatch_msg_t msg = { .kind = DISPATCH_LEAVING };

  (void)state;
  begin (&fixture);
  msg.leaving = (target_incarnation_t){ entry (&fixture, 2)->id, 77 };
  handle_msg (&fixture, &msg);
  assert_int_equal (fixture.out->len, 0);
  assert_true (any_sent_to (&fixture, TEXT ("p1")));
  end (&fixture);
}

/* Its keys move meanwhile, unless the granter can't be reached. */
static void
test_an_owner_that_states_it_gets_requests_within_the_drain_time (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;

  (void)state;
  begin (&fixture);
  state_leaving (&fixture, 0);
  fixture.now += DRAIN_TIME_MS * DISPATCH_LEFT_PERCENT / 100;
  arrive (&fixture, &request, TEXT ("/keyed/"));
  assert_true (text_equal (sent_to (&fixture), TEXT ("k1")));
  answer (&fixture, &request, ANSWER_RUN, 200);
  fixture.now++;
  assert_not_sent (&fixture, TEXT ("/keyed/"));
  list_targets (&fixture);
  fixture.now += 60000;
  assert_not_sent (&fixture, TEXT ("/keyed/"));
  assign_keys (&fixture, TEXT ("k2"), 2);
  arrive (&fixture, &request, TEXT ("/keyed/"));
  assert_true (text_equal (sent_to (&fixture), TEXT ("k2")));
  end (&fixture);
}

/* The list's earlier word still counts. */
static void
test_a_statement_does_not_prolong_what_the_list_tells (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  entry (&fixture, 0)->leaving = true;
  entry (&fixture, 0)->leaving_for = 1540;
  list_targets (&fixture);
  state_leaving (&fixture, 0);
  fixture.now += 300;
  assert_not_sent (&fixture, TEXT ("/keyed/"));
  end (&fixture);
}

/* Requests queued for an owner's capacity, and one that is to be tried again at it. */
static void
test_requests_that_wait_are_not_sent_after_the_drain_time (void **state)
{
  fixture_t fixture;
  dispatch_request_t requests[64];
  guint sent = 0;

  (void)state;
  begin (&fixture);
  while (sent < G_N_ELEMENTS (requests))
    {
      arrive (&fixture, &requests[sent], TEXT ("/keyed/"));
      if (find_out (&fixture, DISPATCH_SEND) == NULL)
        break;
      sent++;
    }
  assert_in_range (sent, 2, G_N_ELEMENTS (requests) - 1);
  dispatch_request_t *queued = &requests[sent];
  assert_int_equal (queued->state, REQUEST_WAITING);
  fixture.now -= DRAIN_TIME_MS; /* its deadline is not what ends the wait */
  state_leaving (&fixture, 0);
  fixture.now += DRAIN_TIME_MS;
  answer (&fixture, &requests[0], ANSWER_RUN, 200);
  assert_non_null (find_out (&fixture, DISPATCH_DELIVER));
  assert_null (find_out (&fixture, DISPATCH_SEND));
  fail_send (&fixture, &requests[1], false);
  assert_null (find_out (&fixture, DISPATCH_SEND));
  fire_timer (&fixture, queued, queued->timer_at);
  assert_null (find_out (&fixture, DISPATCH_SEND));
  end (&fixture);
}

/* What is at work there ends undisturbed; a request that has to be tried again goes
 * elsewhere. */
static void
test_running_requests_of_a_leaving_target_end_there (void **state)
{
  fixture_t fixture;
  dispatch_request_t first, second;

  (void)state;
  begin (&fixture);
  arrive (&fixture, &first, TEXT ("/read/"));
  guint i = text_equal (sent_to (&fixture), TEXT ("p1")) ? 2 : 3;
  state_leaving (&fixture, i);
  assert_null (find_out (&fixture, DISPATCH_CANCEL));
  list_targets (&fixture);
  assert_null (find_out (&fixture, DISPATCH_CANCEL));
  answer (&fixture, &first, ANSWER_RUN, 200);
  assert_non_null (find_out (&fixture, DISPATCH_DELIVER));
  arrive (&fixture, &second, TEXT ("/read/"));
  state_leaving (&fixture, 5 - i);
  answer (&fixture, &second, ANSWER_FULL, 503);
  assert_null (find_out (&fixture, DISPATCH_SEND));
  end (&fixture);
}

static void
test_reports_name_the_leaving_targets_of_keyed_services (void **state)
{
  fixture_t fixture;
  GArray *reports = g_array_new (FALSE, FALSE, sizeof (target_incarnation_t));

  (void)state;
  begin (&fixture);
  state_leaving (&fixture, 0);
  state_leaving (&fixture, 2);
  targets_report_leaving (&fixture.dispatch, reports);
  assert_int_equal (reports->len, 1);
  const target_incarnation_t *report = &g_array_index (reports, target_incarnation_t, 0);
  assert_true (text_equal (name_text (&report->id), TEXT ("k1")));
  assert_int_equal (report->started_at, 1);
  entry (&fixture, 0)->started_at = 2;
  list_targets (&fixture);
  g_array_set_size (reports, 0);
  targets_report_leaving (&fixture.dispatch, reports);
  assert_int_equal (reports->len, 0);
  g_array_unref (reports);
  end (&fixture);
}

/* Statements of targets without a known start aren't kept over a removal, and the oldest
 * ones give way. */
static void
test_the_history_is_bounded (void **state)
{
  leaving_history_t history = { 0 };
  target_entry_t target = { .started_at = 0 };
  leaving_t leaving;

  (void)state;
  name_set (&target.id, TEXT ("t"));
  for (uint64_t i = 0; i <= DISPATCH_LEAVING_HISTORY; i++)
    {
      target.started_at = i;
      leaving_init (&leaving, &history, &target);
      assert_true (leaving_state (&leaving, &history, &target, 1000));
    }
  target.started_at = 0;
  leaving_init (&leaving, &history, &target);
  assert_false (leaving_is_known (&leaving));
  target.started_at = 1;
  leaving_init (&leaving, &history, &target);
  assert_true (leaving_is_known (&leaving));
  target.started_at = DISPATCH_LEAVING_HISTORY + 1;
  assert_true (
      leaving_state (&(leaving_t){ MSEC_NEVER, 0, MSEC_NEVER }, &history, &target, 1));
  target.started_at = 1;
  leaving_init (&leaving, &history, &target);
  assert_false (leaving_is_known (&leaving));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_target_that_states_it_gets_no_new_requests),
    cmocka_unit_test (test_the_list_does_not_take_the_statement_back),
    cmocka_unit_test (test_a_target_that_is_listed_again_is_still_leaving),
    cmocka_unit_test (test_a_new_process_under_the_same_id_is_not_leaving),
    cmocka_unit_test (test_another_target_with_the_same_address_is_not_leaving),
    cmocka_unit_test (test_a_statement_of_an_earlier_process_is_ignored),
    cmocka_unit_test (test_an_owner_that_states_it_gets_requests_within_the_drain_time),
    cmocka_unit_test (test_a_statement_does_not_prolong_what_the_list_tells),
    cmocka_unit_test (test_requests_that_wait_are_not_sent_after_the_drain_time),
    cmocka_unit_test (test_running_requests_of_a_leaving_target_end_there),
    cmocka_unit_test (test_reports_name_the_leaving_targets_of_keyed_services),
    cmocka_unit_test (test_the_history_is_bounded),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
