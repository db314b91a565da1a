#include "dispatch_fixture.h"

/* Targets that ask this host for no requests for a time, and how it returns to them. */

#define PAUSE_MS 4000
/* From the response to the first request after it. */
#define AWAY_MS (PAUSE_MS + DISPATCH_PAUSE_MARGIN_MS)

/* The target of REQUEST rejects it and states DURATION. */
static void
reject (fixture_t *self, dispatch_request_t *request, msec_t duration)
{
  const dispatch_msg_t msg = { .kind = DISPATCH_ANSWERED,
                               .request = request,
                               .answer = ANSWER_FULL,
                               .status = 503,
                               .pause = { .stated = true, .duration = duration } };

  handle_msg (self, &msg);
}

static guint
count_out (const fixture_t *self, dispatch_out_kind_t kind, bool paused)
{
  guint n = 0;

  for (guint i = 0; i < self->out->len; i++)
    {
      const dispatch_out_t *out = &g_array_index (self->out, dispatch_out_t, i);
      n += out->kind == kind && out->paused == paused;
    }
  return n;
}

/* Both plain targets pause, for PAUSE_MS and for twice that. */
static void
pause_plain (fixture_t *self, dispatch_request_t *request)
{
  arrive (self, request, TEXT ("/read/"));
  reject (self, request, PAUSE_MS);
  assert_int_equal (request->state, REQUEST_SENT);
  reject (self, request, 2 * PAUSE_MS);
}

static dispatch_target_t *
find_target (fixture_t *self, text_t id)
{
  for (guint i = 0; i < self->dispatch.targets->len; i++)
    {
      dispatch_target_t *target = g_ptr_array_index (self->dispatch.targets, i);
      if (target->in_use && text_equal (name_text (&target->entry.id), id))
        return target;
    }
  return NULL;
}

static void
set_entry_listed (fixture_t *self, text_t id, bool listed, uint64_t started_at)
{
  for (guint i = 0; i < self->targets->len; i++)
    if (text_equal (name_text (&g_array_index (self->targets, target_entry_t, i).id), id))
      g_array_remove_index (self->targets, i--);
  if (listed)
    {
      add_target (self, id, TEXT ("plain"));
      g_array_index (self->targets, target_entry_t, self->targets->len - 1).started_at
          = started_at;
    }
  list_targets (self);
}

static void
test_paused_target_gets_no_request_until_the_end (void **state)
{
  fixture_t fixture;
  dispatch_request_t request, second;

  (void)state;
  begin (&fixture);
  arrive (&fixture, &request, TEXT ("/read/"));
  text_t paused = sent_to (&fixture);
  reject (&fixture, &request, PAUSE_MS);
  assert_int_equal (count_out (&fixture, DISPATCH_TARGET_PAUSE, true), 1);
  assert_int_equal (find_out (&fixture, DISPATCH_TARGET_PAUSE)->duration, PAUSE_MS);
  assert_int_equal (count_out (&fixture, DISPATCH_SERVICE_PAUSE, true), 0);
  assert_false (text_equal (sent_to (&fixture), paused));
  answer (&fixture, &request, ANSWER_RUN, 200);
  for (; fixture.now < START_MS + AWAY_MS;)
    {
      arrive (&fixture, &request, TEXT ("/read/"));
      assert_false (text_equal (sent_to (&fixture), paused));
      fixture.now += DISPATCH_INITIAL_SERVICE_TIME_MS;
      answer (&fixture, &request, ANSWER_RUN, 200);
    }
  arrive (&fixture, &request, TEXT ("/read/"));
  bool returned = text_equal (sent_to (&fixture), paused);
  arrive (&fixture, &second, TEXT ("/read/"));
  assert_true (returned || text_equal (sent_to (&fixture), paused));
  end (&fixture);
}

static void
test_latest_end_that_was_stated_counts (void **state)
{
  fixture_t fixture;
  dispatch_request_t first, second, third;

  (void)state;
  begin (&fixture);
  set_entry_listed (&fixture, TEXT ("p2"), false, 1);
  arrive (&fixture, &first, TEXT ("/read/"));
  arrive (&fixture, &second, TEXT ("/read/"));
  arrive (&fixture, &third, TEXT ("/read/"));
  reject (&fixture, &first, PAUSE_MS);
  reject (&fixture, &second, PAUSE_MS / 2);
  assert_int_equal (count_out (&fixture, DISPATCH_TARGET_PAUSE, true), 0);
  fixture.now += 10;
  answer (&fixture, &third, ANSWER_RUN, 200); /* no reason to return earlier */
  assert_int_equal (find_target (&fixture, TEXT ("p1"))->pause.until, START_MS + AWAY_MS);
  fixture.now = START_MS + AWAY_MS - 1;
  arrive (&fixture, &first, TEXT ("/read/"));
  assert_ended (&fixture, OUTCOME_NOT_RUN, REASON_PAUSED);
  fixture.now = START_MS + AWAY_MS;
  arrive (&fixture, &first, TEXT ("/read/"));
  assert_non_null (find_out (&fixture, DISPATCH_SEND));
  end (&fixture);
}

static void
test_only_a_503_that_was_not_run_pauses (void **state)
{
  static const struct
  {
    dispatch_answer_t answer;
    unsigned status;
    bool stated;
    msec_t duration;
  } answers[]
      = { { ANSWER_RUN, 503, true, PAUSE_MS },  { ANSWER_RUN, 200, true, PAUSE_MS },
          { ANSWER_FULL, 429, true, PAUSE_MS }, { ANSWER_NOT_OWNER, 421, true, PAUSE_MS },
          { ANSWER_FULL, 503, false, 0 },       { ANSWER_FULL, 503, true, 0 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      fixture_t fixture;
      dispatch_request_t request;
      dispatch_msg_t msg
          = { .kind = DISPATCH_ANSWERED,
              .request = &request,
              .answer = answers[i].answer,
              .status = answers[i].status,
              .pause = { .stated = answers[i].stated, .duration = answers[i].duration } };
      begin (&fixture);
      arrive (&fixture, &request, TEXT ("/order/"));
      dispatch_target_t *target = find_target (&fixture, sent_to (&fixture));
      handle_msg (&fixture, &msg);
      assert_int_equal (count_out (&fixture, DISPATCH_TARGET_PAUSE, true), 0);
      assert_true (pause_admits (&target->pause, fixture.now));
      end (&fixture);
    }
}

static void
test_pause_is_bounded (void **state)
{
  pause_t pause = { 0 };

  (void)state;
  assert_true (pause_state (&pause, 10 * (msec_t)DISPATCH_PAUSE_MAX_MS, START_MS));
  msec_t end = START_MS + DISPATCH_PAUSE_MAX_MS + DISPATCH_PAUSE_MARGIN_MS;
  assert_true (pause_is_active (&pause, end - 1));
  assert_false (pause_is_active (&pause, end));
  pause = (pause_t){ 0 };
  assert_false (pause_state (&pause, 0, START_MS));
  assert_false (pause_state (&pause, -1, START_MS));
  assert_true (pause_admits (&pause, START_MS));
}

/* The response came at the end of a millisecond and the next request is sent at the start
 * of one, and the value was rounded down. */
static void
test_rounded_times_do_not_end_a_pause_early (void **state)
{
  pause_t pause = { 0 };

  (void)state;
  assert_true (pause_state (&pause, PAUSE_MS, START_MS));
  assert_true (pause_is_active (&pause, START_MS + PAUSE_MS));
  assert_true (pause_is_active (&pause, START_MS + PAUSE_MS + 1));
  assert_false (pause_is_active (&pause, START_MS + PAUSE_MS + 2));
}

static void
test_requests_are_rejected_at_once_while_all_targets_are_paused (void **state)
{
  fixture_t fixture;
  dispatch_request_t request, more[20];
  msec_t least = MSEC_NEVER, most = 0;

  (void)state;
  begin (&fixture);
  pause_plain (&fixture, &request);
  assert_ended (&fixture, OUTCOME_NOT_RUN, REASON_PAUSED);
  assert_int_equal (count_out (&fixture, DISPATCH_SERVICE_PAUSE, true), 1);
  assert_int_equal (find_out (&fixture, DISPATCH_SERVICE_PAUSE)->duration, AWAY_MS);
  fixture.now += 1000;
  for (size_t i = 0; i < G_N_ELEMENTS (more); i++)
    {
      arrive (&fixture, &more[i], i % 2 == 0 ? TEXT ("/read/") : TEXT ("/order/"));
      assert_ended (&fixture, OUTCOME_NOT_RUN, REASON_PAUSED);
      assert_null (find_out (&fixture, DISPATCH_SERVICE_PAUSE));
      msec_t after = find_out (&fixture, DISPATCH_END)->retry_after;
      assert_in_range (after, AWAY_MS - 1000, (AWAY_MS - 1000) * 3 / 2);
      least = MIN (least, after);
      most = MAX (most, after);
    }
  assert_true (most - least > 500);
  fixture.now = START_MS + AWAY_MS;
  arrive (&fixture, &request, TEXT ("/read/"));
  assert_non_null (find_out (&fixture, DISPATCH_SEND));
  assert_int_equal (count_out (&fixture, DISPATCH_TARGET_PAUSE, false), 1);
  assert_int_equal (count_out (&fixture, DISPATCH_SERVICE_PAUSE, false), 1);
  assert_int_equal (find_out (&fixture, DISPATCH_SERVICE_PAUSE)->duration, AWAY_MS);
  end (&fixture);
}

static void
test_requests_that_wait_for_a_paused_target_are_rejected (void **state)
{
  fixture_t fixture;
  dispatch_request_t requests[20];
  guint waiting = 0;

  (void)state;
  begin (&fixture);
  for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      arrive (&fixture, &requests[i], TEXT ("/keyed/"));
      waiting += requests[i].state == REQUEST_WAITING;
    }
  assert_true (waiting > 0);
  reject (&fixture, &requests[0], PAUSE_MS);
  guint rejected = 0;
  for (guint i = 0; i < fixture.out->len; i++)
    {
      const dispatch_out_t *out = &g_array_index (fixture.out, dispatch_out_t, i);
      assert_int_not_equal (out->kind, DISPATCH_SEND);
      if (out->kind != DISPATCH_END)
        continue;
      assert_int_equal (out->reason, REASON_PAUSED);
      assert_in_range (out->retry_after, AWAY_MS, AWAY_MS * 3 / 2);
      rejected++;
    }
  assert_int_equal (rejected, waiting + 1);
  end (&fixture);
}

static void
test_another_owner_takes_the_keys_of_a_paused_one (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;

  (void)state;
  begin (&fixture);
  arrive (&fixture, &request, TEXT ("/keyed/"));
  reject (&fixture, &request, PAUSE_MS);
  assert_ended (&fixture, OUTCOME_NOT_RUN, REASON_PAUSED);
  assign_keys (&fixture, TEXT ("k2"), 2);
  arrive (&fixture, &request, TEXT ("/keyed/"));
  assert_true (text_equal (sent_to (&fixture), TEXT ("k2")));
  end (&fixture);
}

static void
test_host_returns_gently (void **state)
{
  fixture_t fixture;
  dispatch_request_t before, requests[40];

  (void)state;
  begin (&fixture);
  set_entry_listed (&fixture, TEXT ("p2"), false, 1);
  arrive (&fixture, &before, TEXT ("/read/"));
  arrive (&fixture, &requests[0], TEXT ("/read/"));
  reject (&fixture, &requests[0], 1000); /* the other one stays at the target */
  fixture.now += 1000 + DISPATCH_PAUSE_MARGIN_MS;
  arrive (&fixture, &requests[0], TEXT ("/read/"));
  assert_int_equal (requests[0].state, REQUEST_SENT);
  arrive (&fixture, &requests[1], TEXT ("/read/"));
  arrive (&fixture, &requests[2], TEXT ("/read/"));
  assert_int_equal (requests[1].state, REQUEST_WAITING);
  answer (&fixture, &before, ANSWER_RUN, 200); /* sent earlier: shows nothing */
  assert_int_equal (requests[1].state, REQUEST_WAITING);
  answer (&fixture, &requests[0], ANSWER_RUN, 200);
  assert_int_equal (requests[1].state, REQUEST_SENT);
  assert_int_equal (requests[2].state, REQUEST_SENT);
  arrive (&fixture, &requests[3], TEXT ("/read/"));
  assert_int_equal (requests[3].state, REQUEST_WAITING);
  fail_send (&fixture, &requests[1], false); /* makes room, but allows no more */
  answer (&fixture, &requests[2], ANSWER_FULL, 503);
  assert_int_equal (find_target (&fixture, TEXT ("p1"))->pause.allowed, 1);
  end (&fixture);
}

static void
test_return_is_complete_after_enough_answers (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;

  (void)state;
  begin (&fixture);
  set_entry_listed (&fixture, TEXT ("p2"), false, 1);
  arrive (&fixture, &request, TEXT ("/read/"));
  reject (&fixture, &request, 1000);
  fixture.now += 1000 + DISPATCH_PAUSE_MARGIN_MS;
  for (int i = 0; i < 3 + DISPATCH_TARGET_QUEUE_MAX; i++)
    {
      assert_int_not_equal (find_target (&fixture, TEXT ("p1"))->pause.allowed, 0);
      arrive (&fixture, &request, TEXT ("/read/"));
      answer (&fixture, &request, ANSWER_RUN, 200);
    }
  assert_int_equal (find_target (&fixture, TEXT ("p1"))->pause.allowed, 0);
  end (&fixture);
}

static void
test_pause_holds_for_one_incarnation (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;

  (void)state;
  begin (&fixture);
  pause_plain (&fixture, &request);
  set_entry_listed (&fixture, TEXT ("p1"), false, 1);
  set_entry_listed (&fixture, TEXT ("p1"), true, 1);
  arrive (&fixture, &request, TEXT ("/read/"));
  assert_ended (&fixture, OUTCOME_NOT_RUN, REASON_PAUSED);
  set_entry_listed (&fixture, TEXT ("p1"), true, 2);
  arrive (&fixture, &request, TEXT ("/read/"));
  assert_true (text_equal (sent_to (&fixture), TEXT ("p1")));
  end (&fixture);
}

static void
test_rate_limited_and_paused_targets_reject_at_once (void **state)
{
  fixture_t fixture;
  dispatch_request_t request;
  GArray *shares = g_array_new (FALSE, TRUE, sizeof (rate_share_t));
  const dispatch_msg_t limit = { .kind = DISPATCH_SHARES, .shares = shares };
  rate_share_t share = { .limit = 5 };

  (void)state;
  begin (&fixture);
  fixture.dispatch.bounds.hosts = 8;
  arrive (&fixture, &request, TEXT ("/read/"));
  bool first = text_equal (sent_to (&fixture), TEXT ("p1"));
  reject (&fixture, &request, PAUSE_MS);
  answer (&fixture, &request, ANSWER_RUN, 200);
  name_set (&share.target, first ? TEXT ("p2") : TEXT ("p1"));
  g_array_append_val (shares, share);
  handle_msg (&fixture, &limit);
  arrive (&fixture, &request, TEXT ("/read/"));
  assert_ended (&fixture, OUTCOME_NOT_RUN, REASON_RATE_LIMIT);
  assert_null (find_out (&fixture, DISPATCH_SERVICE_PAUSE));
  g_array_unref (shares);
  end (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_paused_target_gets_no_request_until_the_end),
    cmocka_unit_test (test_latest_end_that_was_stated_counts),
    cmocka_unit_test (test_only_a_503_that_was_not_run_pauses),
    cmocka_unit_test (test_pause_is_bounded),
    cmocka_unit_test (test_rounded_times_do_not_end_a_pause_early),
    cmocka_unit_test (test_requests_are_rejected_at_once_while_all_targets_are_paused),
    cmocka_unit_test (test_requests_that_wait_for_a_paused_target_are_rejected),
    cmocka_unit_test (test_another_owner_takes_the_keys_of_a_paused_one),
    cmocka_unit_test (test_host_returns_gently),
    cmocka_unit_test (test_return_is_complete_after_enough_answers),
    cmocka_unit_test (test_pause_holds_for_one_incarnation),
    cmocka_unit_test (test_rate_limited_and_paused_targets_reject_at_once),
  };

  return cmocka_run_group_tests_name ("pauses", tests, NULL, NULL);
}
