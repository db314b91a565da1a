#include "../targets.h"
#include "dispatch_fixture.h"

/* Behaviour under load: retry budgets, weights, target selection and queues. */

static void
test_overdue_idempotent_request_is_retried_at_another_target (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;

  (void)state;
  begin (&fixture);
  arrive (&fixture, &request, TEXT ("/read/"));
  text_t first = sent_to (&fixture);
  fire_timer (&fixture, &request, START_MS + OBJECTIVE_MS - 1);
  assert_null (find_out (&fixture, DISPATCH_CANCEL));
  fire_timer (&fixture, &request, START_MS + OBJECTIVE_MS + 10);
  assert_non_null (find_out (&fixture, DISPATCH_CANCEL));
  assert_false (text_equal (sent_to (&fixture), first));
  end (&fixture);
}

static void
test_retry_budget_limits_retries (void **state)
{
  fixture_t fixture;
  dispatch_request_t requests[200];
  uint32_t retries = 0;

  (void)state;
  begin (&fixture);
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      arrive (&fixture, &requests[i], TEXT ("/read/"));
      while (requests[i].state == REQUEST_SENT)
        fail_send (&fixture, &requests[i], false);
      retries += requests[i].attempts - 1;
      fixture.now += 5;
    }
  assert_in_range (retries, 1, G_N_ELEMENTS (requests) * 20 / 100 + 5);
  end (&fixture);
}

static void
test_route_weights_hold_for_each_100_requests (void **state)
{
  fixture_t fixture;
  dispatch_request_t requests[300];
  uint32_t keyed = 0;

  (void)state;
  begin (&fixture);
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      arrive (&fixture, &requests[i], TEXT ("/split/"));
      keyed += requests[i].service == 0;
      if (requests[i].state == REQUEST_SENT)
        answer (&fixture, &requests[i], ANSWER_RUN, 200);
      if (i % 100 == 99)
        assert_int_equal (keyed, (i + 1) / 10);
    }
  end (&fixture);
}

static void
test_slow_target_gets_fewer_requests (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;
  uint32_t slow = 0;

  (void)state;
  begin (&fixture);
  for (guint i = 0; i < 200; i++)
    {
      arrive (&fixture, &request, TEXT ("/read/"));
      bool p1 = text_equal (sent_to (&fixture), TEXT ("p1"));
      slow += p1;
      fixture.now += p1 ? 400 : 100;
      answer (&fixture, &request, ANSWER_RUN, 200);
    }
  assert_in_range (slow, 1, 40);
  end (&fixture);
}

/* Load: a target with 3 slots and 9 requests of other hosts, of which this one has sent
 * one.  The wait in its queue is not its work; where keys are assigned, a quarter counts.
 */
static void
test_time_per_request_leaves_out_the_targets_queue (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;
  dispatch_msg_t msg = { .kind = DISPATCH_ANSWERED,
                         .request = &request,
                         .answer = ANSWER_RUN,
                         .status = 200,
                         .load = { .reported = true, .running = 3, .waiting = 6 } };
  GArray *reports = g_array_new (FALSE, TRUE, sizeof (target_service_time_t));

  (void)state;
  begin (&fixture);
  arrive (&fixture, &request, TEXT ("/keyed/"));
  fixture.now += 900;
  handle_msg (&fixture, &msg);
  targets_report_service_times (&fixture.dispatch, 0, reports);
  assert_int_equal (reports->len, 1);
  const target_service_time_t *report
      = &g_array_index (reports, target_service_time_t, 0);
  assert_true (text_equal (name_text (&report->target), TEXT ("k1")));
  assert_int_equal (report->service_time_ms, 300 + 600 / 4);
  assert_in_range (dispatch_target (&fixture.dispatch, 0)->service_time_ms, 1, 300);
  assert_int_equal (report->samples, 1);
  /* What was reported is not reported again. */
  g_array_set_size (reports, 0);
  targets_report_service_times (&fixture.dispatch, 0, reports);
  assert_int_equal (reports->len, 0);
  g_array_unref (reports);
  end (&fixture);
}

static void
test_concurrent_requests_are_spread_over_targets (void **state)
{
  fixture_t fixture;
  dispatch_request_t requests[6];
  uint32_t first = 0;

  (void)state;
  begin (&fixture);
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      arrive (&fixture, &requests[i], TEXT ("/read/"));
      first += text_equal (sent_to (&fixture), TEXT ("p1"));
    }
  assert_int_equal (first, 3);
  end (&fixture);
}

/* The average load from other hosts counts in target selection when the last load report
 * has expired. */
static void
test_target_with_high_average_load_gets_fewer_requests (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;
  uint32_t busy = 0;

  (void)state;
  begin (&fixture);
  for (guint i = 0; i < 40; i++)
    {
      arrive (&fixture, &request, TEXT ("/read/"));
      bool p1 = text_equal (sent_to (&fixture), TEXT ("p1"));
      busy += i >= 20 && p1;
      const dispatch_msg_t msg
          = { .kind = DISPATCH_ANSWERED,
              .request = &request,
              .status = 200,
              .load = { .reported = true, .running = p1 ? 3 : 0, .slots = 3 } };
      fixture.now += 100;
      handle_msg (&fixture, &msg);
      fixture.now += DISPATCH_LOAD_REPORT_MAX_AGE_MS;
    }
  assert_in_range (busy, 0, 4);
  end (&fixture);
}

/* Callers that took seconds for their answers made each target count as that slow, so
 * that those of others were rejected. */
static void
test_time_of_a_caller_that_reads_slowly_is_not_its_targets (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;

  (void)state;
  begin (&fixture);
  for (guint i = 0; i < 40; i++)
    {
      dispatch_msg_t msg
          = { .kind = DISPATCH_ANSWERED, .request = &request, .status = 200 };
      arrive (&fixture, &request, TEXT ("/read/"));
      msg.target = (uint32_t)request.target;
      msg.held_up_at = fixture.now + 10;
      fixture.now += 8000;
      handle_msg (&fixture, &msg);
    }
  assert_in_range (dispatch_service (&fixture.dispatch, request.service)->service_time_ms,
                   0,
                   DISPATCH_INITIAL_SERVICE_TIME_MS);
  arrive (&fixture, &request, TEXT ("/read/"));
  assert_int_equal (request.state, REQUEST_SENT);
  end (&fixture);
}

static void
test_excess_requests_are_queued_and_rejected_at_objective (void **state)
{
  fixture_t fixture;
  dispatch_request_t requests[200];
  uint32_t sent = 0;

  (void)state;
  begin (&fixture);
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      arrive (&fixture, &requests[i], TEXT ("/read/"));
      sent += requests[i].state == REQUEST_SENT;
    }
  assert_in_range (sent, 6, 2 * (3 + DISPATCH_TARGET_QUEUE_MAX));
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++)
    if (requests[i].state == REQUEST_WAITING)
      {
        fire_timer (&fixture, &requests[i], START_MS + OBJECTIVE_MS);
        assert_ended (&fixture, OUTCOME_NOT_RUN, REASON_OVERLOAD);
      }
  end (&fixture);
}

/* Requests in a short queue may wait for the whole objective; they are not rejected
 * early. */
static void
test_short_queue_waits_until_objective (void **state)
{
  fixture_t fixture;
  dispatch_request_t requests[200];
  guint n = 0;

  (void)state;
  begin (&fixture);
  do
    arrive (&fixture, &requests[n], TEXT ("/read/"));
  while (requests[n++].state == REQUEST_SENT);
  dispatch_request_t *waiting = &requests[n - 1];
  fire_timer (&fixture, waiting, START_MS + OBJECTIVE_MS / 2);
  assert_int_equal (waiting->state, REQUEST_WAITING);
  for (guint i = 0; i < n - 1; i++)
    answer (&fixture, &requests[i], ANSWER_RUN, 200);
  assert_int_equal (waiting->state, REQUEST_SENT);
  end (&fixture);
}

/* The connections that a target accepts are divided among all hosts. */
static void
test_host_respects_its_share_of_connections (void **state)
{
  fixture_t fixture;
  dispatch_request_t requests[4];
  dispatch_msg_t hosts = { .kind = DISPATCH_BOUNDS };

  (void)state;
  begin (&fixture);
  hosts.bounds = fixture.dispatch.bounds;
  hosts.bounds.hosts = 40;
  handle_msg (&fixture, &hosts);
  for (guint i = 0; i < fixture.dispatch.services->len; i++)
    ((dispatch_service_t *)g_ptr_array_index (fixture.dispatch.services, i))
        ->max_connections
        = 80;
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++)
    arrive (&fixture, &requests[i], TEXT ("/keyed/"));
  assert_int_equal (requests[1].state, REQUEST_SENT);
  assert_int_equal (requests[2].state, REQUEST_WAITING);
  answer (&fixture, &requests[0], ANSWER_RUN, 200);
  assert_int_equal (requests[2].state, REQUEST_SENT);
  assert_int_equal (requests[3].state, REQUEST_WAITING);
  end (&fixture);
}

/* A target at its connection limit resets new connections: it gets no further requests
 * until its assumed load expires. */
static void
test_target_that_resets_connections_is_treated_as_full (void **state)
{
  fixture_t fixture;
  dispatch_request_t first, second;

  (void)state;
  begin (&fixture);
  arrive (&fixture, &first, TEXT ("/keyed/"));
  const dispatch_msg_t reset = { .kind = DISPATCH_FAILED,
                                 .request = &first,
                                 .sent = true,
                                 .connected = true,
                                 .connection_reset = true };
  handle_msg (&fixture, &reset);
  arrive (&fixture, &second, TEXT ("/keyed/"));
  assert_int_equal (second.state, REQUEST_WAITING);
  fixture.now += DISPATCH_LOAD_REPORT_MAX_AGE_MS;
  fire_timer (&fixture, &second, fixture.now);
  assert_true (second.state != REQUEST_WAITING);
  end (&fixture);
}

/* The load for a hot key exceeds the capacity of its owner: after one queued request has
 * timed out, one request is queued at a time and all others are rejected immediately. */
static void
test_requests_for_saturated_owner_are_rejected_immediately (void **state)
{
  fixture_t fixture;
  dispatch_request_t running[DISPATCH_TARGET_QUEUE_MAX + 3], first, second, third;
  guint sent = 0;

  (void)state;
  begin (&fixture);
  for (guint i = 0; i < G_N_ELEMENTS (running); i++)
    {
      arrive (&fixture, &running[i], TEXT ("/keyed/"));
      sent += running[i].state == REQUEST_SENT;
    }
  arrive (&fixture, &first, TEXT ("/keyed/"));
  assert_int_equal (first.state, REQUEST_WAITING);
  for (guint i = sent; i < G_N_ELEMENTS (running); i++)
    fire_timer (&fixture, &running[i], START_MS + OBJECTIVE_MS);
  fire_timer (&fixture, &first, START_MS + OBJECTIVE_MS);
  assert_int_equal (first.state, REQUEST_ENDED);
  arrive (&fixture, &second, TEXT ("/keyed/"));
  assert_int_equal (second.state, REQUEST_WAITING);
  arrive (&fixture, &third, TEXT ("/keyed/"));
  assert_ended (&fixture, OUTCOME_NOT_RUN, REASON_OVERLOAD);
  for (guint i = 0; i < sent; i++)
    answer (&fixture, &running[i], ANSWER_RUN, 200);
  assert_int_equal (second.state, REQUEST_SENT);
  arrive (&fixture, &third, TEXT ("/keyed/"));
  assert_int_equal (third.state, REQUEST_SENT);
  end (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_overdue_idempotent_request_is_retried_at_another_target),
    cmocka_unit_test (test_retry_budget_limits_retries),
    cmocka_unit_test (test_route_weights_hold_for_each_100_requests),
    cmocka_unit_test (test_slow_target_gets_fewer_requests),
    cmocka_unit_test (test_time_per_request_leaves_out_the_targets_queue),
    cmocka_unit_test (test_concurrent_requests_are_spread_over_targets),
    cmocka_unit_test (test_target_with_high_average_load_gets_fewer_requests),
    cmocka_unit_test (test_time_of_a_caller_that_reads_slowly_is_not_its_targets),
    cmocka_unit_test (test_excess_requests_are_queued_and_rejected_at_objective),
    cmocka_unit_test (test_short_queue_waits_until_objective),
    cmocka_unit_test (test_host_respects_its_share_of_connections),
    cmocka_unit_test (test_target_that_resets_connections_is_treated_as_full),
    cmocka_unit_test (test_requests_for_saturated_owner_are_rejected_immediately),
  };

  return cmocka_run_group_tests_name ("dispatch_load", tests, NULL, NULL);
}
