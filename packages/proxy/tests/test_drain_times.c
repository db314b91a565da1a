#include "../drain_times.h"

#include "../../core/limits.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define SIGNALLED_MS 100000

static void
test_the_process_ends_within_the_grace_period_that_began_with_the_signal (void **state)
{
  static const double graces[] = { 1, 6, 7.5, 600 };

  (void)state;
  for (size_t i = 0; i < sizeof graces / sizeof *graces; i++)
    {
      const drain_times_t times = drain_times (SIGNALLED_MS, SIGNALLED_MS, graces[i]);
      assert_int_equal (times.end + PROXY_GRACE_MARGIN_MS,
                        SIGNALLED_MS + (msec_t)(1000 * graces[i]));
    }
}

static void
test_requests_end_before_their_connections (void **state)
{
  const drain_times_t times = drain_times (SIGNALLED_MS, SIGNALLED_MS, 6);

  (void)state;
  assert_true (SIGNALLED_MS < times.callers_until);
  assert_true (times.callers_until < times.waits_until);
  assert_true (times.waits_until < times.answers_until);
  assert_true (times.answers_until + 2 * PROXY_DRAIN_TICK_MS <= times.end);
}

/* The balancer needs as long to notice, and what is cut counts from the signal. */
static void
test_a_signal_that_is_noticed_late_leaves_callers_as_long (void **state)
{
  const drain_times_t in_time = drain_times (SIGNALLED_MS, SIGNALLED_MS, 6);
  const drain_times_t late = drain_times (SIGNALLED_MS, SIGNALLED_MS + 1000, 6);

  (void)state;
  assert_int_equal (late.callers_until, in_time.callers_until + 1000);
  assert_int_equal (late.unbounded_until, in_time.unbounded_until);
  assert_int_equal (late.end, in_time.end);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        test_the_process_ends_within_the_grace_period_that_began_with_the_signal),
    cmocka_unit_test (test_requests_end_before_their_connections),
    cmocka_unit_test (test_a_signal_that_is_noticed_late_leaves_callers_as_long),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
