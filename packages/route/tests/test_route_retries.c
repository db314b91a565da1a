#include "route_world.h"

#include <string.h>

static void
test_sent_order_is_never_resent (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  route_id_t id = arrive (b, ORDERS, 0, false, false);
  break_off (b, id, true);
  assert_int_equal (find (b, ROUTE_REFUSE)->fate, FATE_UNKNOWN);
  tick_after (b, 500);
  assert_null (find (b, ROUTE_SEND));
  free_bench (b);
}

static void
test_unsent_order_goes_elsewhere (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  route_id_t id = arrive (b, ORDERS, 0, false, false);
  int first = find (b, ROUTE_SEND)->target;
  break_off (b, id, false);
  assert_null (find (b, ROUTE_REFUSE));
  const route_out_t *again = send_within (b, RETRY_BASE_MS);
  assert_non_null (again);
  assert_int_not_equal (again->target, first);
  free_bench (b);
}

static void
test_lookup_is_retried_within_its_deadline (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  route_id_t id = arrive (b, KEYED, 5, true, false);
  break_off (b, id, true);
  assert_null (find (b, ROUTE_REFUSE));
  assert_int_equal (send_within (b, RETRY_BASE_MS)->attempt, 2);
  free_bench (b);
}

static void
test_retry_after_is_a_floor (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  route_id_t id = arrive (b, ORDERS, 0, true, false);
  answer (b, id, ANSWER_SHED, 300);
  tick_after (b, 299);
  assert_null (find (b, ROUTE_SEND));
  tick_after (b, 1 + RETRY_BASE_MS);
  assert_non_null (find (b, ROUTE_SEND));
  free_bench (b);
}

static void
test_retry_past_the_deadline_is_not_begun (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  route_id_t id = arrive (b, ORDERS, 0, true, false);
  answer (b, id, ANSWER_SHED, PATIENCE_MS);
  assert_non_null (find (b, ROUTE_DELIVER));
  free_bench (b);
}

/* Answers every request sent as shed, and those sent again at once; returns how many. */
static uint32_t
shed_all (bench_t *self)
{
  uint32_t sends = 0;
  route_id_t ids[QUEUE_MAX];
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
  bench_t *b = new_bench ();
  const uint32_t n = 200;
  uint32_t sends = 0;

  (void)state;
  for (uint32_t i = 0; i < n; i++)
    {
      arrive (b, ORDERS, 0, true, false);
      sends += shed_all (b);
      for (int k = 0; k < 10; k++)
        {
          tick_after (b, 50);
          sends += shed_all (b);
        }
    }
  assert_int_equal (b->route.n_requests, 0);
  /* Ten retries to begin with, and nothing was earned. */
  assert_int_equal (sends, n + 10);
  free_bench (b);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_sent_order_is_never_resent),
    cmocka_unit_test (test_unsent_order_goes_elsewhere),
    cmocka_unit_test (test_lookup_is_retried_within_its_deadline),
    cmocka_unit_test (test_retry_after_is_a_floor),
    cmocka_unit_test (test_retry_past_the_deadline_is_not_begun),
    cmocka_unit_test (test_retries_stay_within_the_budget),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
