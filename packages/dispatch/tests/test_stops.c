#include "dispatch_fixture.h"

#include "../longest.h"

/* Requests that are sent, or not, while the process stops. */

#define EXPECTED_MS DISPATCH_INITIAL_SERVICE_TIME_MS
#define CALLERS_MS                                                                       \
  2600               /* callers are directed to the host for so long after the signal */
#define WORK_MS 5260 /* targets have to answer within so long after it */

static const char *const paths[] = { "/order/", "/read/", "/keyed/" };

/* The process got its signal AGO ms ago. */
static void
stop (fixture_t *self, msec_t ago)
{
  const dispatch_msg_t msg
      = { .kind = DISPATCH_DRAIN,
          .callers_until = self->now - ago + CALLERS_MS,
          .answers_until = self->now - ago + WORK_MS + DISPATCH_ANSWER_TRANSIT_MS };

  handle_msg (self, &msg);
}

/* A request of PATH is answered, NEEDED ms after it was sent. */
static void
learn (fixture_t *self, const char *path, msec_t needed)
{
  dispatch_request_t request;

  arrive (self, &request, text_from_c (path));
  self->now += needed;
  answer (self, &request, ANSWER_RUN, 200);
}

static void
assert_sent (fixture_t *self, const char *path, bool sent)
{
  dispatch_request_t request;

  arrive (self, &request, text_from_c (path));
  if (!sent)
    {
      assert_ended (self, OUTCOME_NOT_RUN, REASON_STOPPING);
      assert_int_equal (find_out (self, DISPATCH_END)->retry_after,
                        DISPATCH_RETRY_AFTER_MIN_MS);
      return;
    }
  assert_non_null (find_out (self, DISPATCH_SEND));
  answer (self, &request, ANSWER_RUN, 200);
}

static void
test_a_late_request_without_a_deadline_before_the_end_is_rejected (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      fixture_t fixture;
      begin (&fixture);
      stop (&fixture, CALLERS_MS - 1);
      assert_sent (&fixture, paths[i], true); /* it is expected to need EXPECTED_MS */
      fixture.now++;
      assert_sent (&fixture, paths[i], false);
      end (&fixture);
    }
}

static void
test_a_request_with_a_deadline_before_the_end_is_sent (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      fixture_t fixture;
      begin (&fixture);
      learn (&fixture, paths[i], TIMEOUT_MS);
      stop (&fixture, WORK_MS - TIMEOUT_MS);
      assert_sent (&fixture, paths[i], true);
      fixture.now++;
      assert_sent (&fixture, paths[i], false);
      end (&fixture);
    }
}

static void
test_a_request_is_rejected_if_one_lately_needed_longer_than_is_left (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      fixture_t fixture;
      begin (&fixture);
      learn (&fixture, paths[i], 2800);
      for (int k = 0; k < 100; k++)
        learn (&fixture, paths[i], EXPECTED_MS / 2); /* that is expected now */
      stop (&fixture, WORK_MS - 2800);
      assert_sent (&fixture, paths[i], true);
      fixture.now++;
      assert_sent (&fixture, paths[i], false);
      end (&fixture);
    }
}

static void
test_services_are_judged_by_their_own_requests (void **state)
{
  fixture_t fixture;

  (void)state;
  begin (&fixture);
  learn (&fixture, "/keyed/", TIMEOUT_MS - 1);
  for (int k = 0; k < 100; k++)
    learn (&fixture, "/keyed/", EXPECTED_MS / 2);
  stop (&fixture, WORK_MS - TIMEOUT_MS + 100);
  assert_sent (&fixture, "/keyed/", false);
  assert_sent (&fixture, "/read/", true);
  end (&fixture);
}

static void
test_a_request_without_an_answer_counts_for_the_time_that_it_had (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;

  (void)state;
  begin (&fixture);
  arrive (&fixture, &request, TEXT ("/order/"));
  fire_timer (&fixture, &request, START_MS + TIMEOUT_MS + DISPATCH_ANSWER_TRANSIT_MS);
  assert_ended (&fixture, OUTCOME_TIMED_OUT, REASON_DEADLINE);
  for (int k = 0; k < 60; k++)
    learn (&fixture, "/order/", EXPECTED_MS / 2);
  stop (&fixture, WORK_MS - TIMEOUT_MS + 1);
  assert_sent (&fixture, "/order/", false);
  end (&fixture);
}

static void
test_a_slow_reader_does_not_make_its_target_slow (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;
  dispatch_msg_t msg = { .kind = DISPATCH_ANSWERED, .request = &request, .status = 200 };

  (void)state;
  begin (&fixture);
  arrive (&fixture, &request, TEXT ("/read/"));
  msg.target = (uint32_t)request.target;
  msg.held_up_at = fixture.now + EXPECTED_MS;
  fixture.now += 9000;
  handle_msg (&fixture, &msg);
  stop (&fixture, WORK_MS - TIMEOUT_MS + 100);
  assert_sent (&fixture, "/read/", true);
  end (&fixture);
}

static void
test_requests_that_wait_are_rejected_once_callers_go_elsewhere (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;

  (void)state;
  begin (&fixture);
  stop (&fixture, CALLERS_MS - 10);
  arrive (&fixture, &request, TEXT ("/order/"));
  answer (&fixture, &request, ANSWER_FULL, 503); /* at the other target it is retried */
  fixture.now += 10;
  answer (&fixture, &request, ANSWER_FULL, 503);
  assert_ended (&fixture, OUTCOME_NOT_RUN, REASON_STOPPING);
  end (&fixture);
}

static void
test_requests_that_nothing_may_serve_do_not_wait (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;

  (void)state;
  begin (&fixture);
  assign_keys (&fixture, TEXT ("k9"), 2); /* not listed: its requests wait for it */
  stop (&fixture, CALLERS_MS - 1);
  arrive (&fixture, &request, TEXT ("/keyed/"));
  assert_null (find_out (&fixture, DISPATCH_END));
  fire_timer (&fixture, &request, fixture.now + 1);
  assert_ended (&fixture, OUTCOME_NOT_RUN, REASON_STOPPING);
  assert_sent (&fixture, "/keyed/", false);
  end (&fixture);
}

static void
test_an_error_that_may_not_be_retried_in_time_is_delivered (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;

  (void)state;
  begin (&fixture);
  stop (&fixture, CALLERS_MS - 1);
  arrive (&fixture, &request, TEXT ("/read/"));
  fixture.now++;
  answer (&fixture, &request, ANSWER_RUN, 500);
  assert_null (find_out (&fixture, DISPATCH_SEND));
  assert_non_null (find_out (&fixture, DISPATCH_DELIVER));
  end (&fixture);
}

static void
test_longest_times_are_forgotten (void **state)
{
  longest_t longest = { 0 };
  msec_t now = START_MS;

  (void)state;
  assert_int_equal (longest_of (&longest, now), 0);
  longest_note (&longest, 300, now);
  longest_note (&longest, 200, now + DISPATCH_LONGEST_MS - 1);
  assert_int_equal (longest_of (&longest, now + DISPATCH_LONGEST_MS - 1), 300);
  longest_note (&longest, 100, now + DISPATCH_LONGEST_MS);
  assert_int_equal (longest_of (&longest, now + 2 * DISPATCH_LONGEST_MS - 1), 300);
  assert_int_equal (longest_of (&longest, now + 2 * DISPATCH_LONGEST_MS), 100);
  assert_int_equal (longest_of (&longest, now + 3 * DISPATCH_LONGEST_MS), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_late_request_without_a_deadline_before_the_end_is_rejected),
    cmocka_unit_test (test_a_request_with_a_deadline_before_the_end_is_sent),
    cmocka_unit_test (
        test_a_request_is_rejected_if_one_lately_needed_longer_than_is_left),
    cmocka_unit_test (test_services_are_judged_by_their_own_requests),
    cmocka_unit_test (test_a_request_without_an_answer_counts_for_the_time_that_it_had),
    cmocka_unit_test (test_a_slow_reader_does_not_make_its_target_slow),
    cmocka_unit_test (test_requests_that_wait_are_rejected_once_callers_go_elsewhere),
    cmocka_unit_test (test_requests_that_nothing_may_serve_do_not_wait),
    cmocka_unit_test (test_an_error_that_may_not_be_retried_in_time_is_delivered),
    cmocka_unit_test (test_longest_times_are_forgotten),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
