#include "route_fixture.h"

#include <string.h>

static void
test_sent_order_is_never_resent (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  route_id_t id = arrive (f, ORDERS, 0, false, false);
  fail_attempt (f, id, true);
  assert_int_equal (find (f, ROUTE_REFUSE)->outcome, ROUTE_OUTCOME_UNKNOWN);
  tick_after (f, 500);
  assert_null (find (f, ROUTE_SEND));
  free_fixture (f);
}

static void
test_unsent_order_is_retried_at_another_target (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  route_id_t id = arrive (f, ORDERS, 0, false, false);
  int first = find (f, ROUTE_SEND)->target;
  fail_attempt (f, id, false);
  assert_null (find (f, ROUTE_REFUSE));
  const route_out_t *retry = send_within (f, RETRY_BASE_MS);
  assert_non_null (retry);
  assert_int_not_equal (retry->target, first);
  free_fixture (f);
}

static void
test_idempotent_request_is_retried_within_its_deadline (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  route_id_t id = arrive (f, KEYED, 5, true, false);
  fail_attempt (f, id, true);
  assert_null (find (f, ROUTE_REFUSE));
  assert_int_equal (send_within (f, RETRY_BASE_MS)->attempt, 2);
  free_fixture (f);
}

static void
test_retry_after_is_minimum_delay (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  route_id_t id = arrive (f, ORDERS, 0, true, false);
  answer (f, id, ANSWER_SHED, 300);
  tick_after (f, 299);
  assert_null (find (f, ROUTE_SEND));
  tick_after (f, 1 + RETRY_BASE_MS);
  assert_non_null (find (f, ROUTE_SEND));
  free_fixture (f);
}

static void
test_no_retry_past_the_deadline (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  route_id_t id = arrive (f, ORDERS, 0, true, false);
  answer (f, id, ANSWER_SHED, TIMEOUT_MS);
  assert_non_null (find (f, ROUTE_DELIVER));
  free_fixture (f);
}

static void
test_a_request_outlasts_a_short_overload (void **state)
{
  fixture_t *f = new_fixture ();
  const msec_t overload = TIMEOUT_MS / 10;

  (void)state;
  route_id_t id = arrive (f, ORDERS, 0, true, false);
  for (msec_t passed = 0; passed < overload; passed++)
    {
      while (find (f, ROUTE_SEND) != NULL)
        answer (f, id, ANSWER_SHED, 0);
      assert_null (find (f, ROUTE_DELIVER));
      tick_after (f, 1);
    }
  assert_non_null (send_within (f, RETRY_CAP_MS));
  answer (f, id, ANSWER_COMPLETE, 0);
  assert_non_null (find (f, ROUTE_DELIVER));
  free_fixture (f);
}

/* Answers every request sent, and each immediate retry, with ANSWER_SHED.  Returns the
 * number of sends. */
static uint32_t
shed_all (fixture_t *self)
{
  uint32_t sends = 0;
  route_id_t ids[REQUEST_MAX];
  guint n = 0;

  do
    {
      while (n > 0)
        answer (self, ids[--n], ANSWER_SHED, 0);
      for (guint i = 0; i < self->out->len; i++)
        if (g_array_index (self->out, route_out_t, i).kind == ROUTE_SEND)
          ids[n++] = g_array_index (self->out, route_out_t, i).id;
      sends += n;
    }
  while (n > 0);
  return sends;
}

static void
test_retries_stay_within_the_budget (void **state)
{
  fixture_t *f = new_fixture ();
  const uint32_t n = 200;
  uint32_t sends = 0;

  (void)state;
  for (uint32_t i = 0; i < n; i++)
    {
      arrive (f, ORDERS, 0, true, false);
      sends += shed_all (f);
      for (int j = 0; j < 10; j++)
        {
          tick_after (f, 50);
          sends += shed_all (f);
        }
    }
  assert_int_equal (f->route.n_requests, 0);
  /* The budget starts with ten retries, and shed requests earn none. */
  assert_int_equal (sends, n + 10);
  free_fixture (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_sent_order_is_never_resent),
    cmocka_unit_test (test_unsent_order_is_retried_at_another_target),
    cmocka_unit_test (test_idempotent_request_is_retried_within_its_deadline),
    cmocka_unit_test (test_retry_after_is_minimum_delay),
    cmocka_unit_test (test_no_retry_past_the_deadline),
    cmocka_unit_test (test_a_request_outlasts_a_short_overload),
    cmocka_unit_test (test_retries_stay_within_the_budget),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
