#include "../reports.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define START_MS 1000

static reports_t reports;

static int
set_up (void **state)
{
  (void)state;
  reports_init (&reports);
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  reports_finish (&reports);
  return 0;
}

static void
lose (uint64_t fingerprint, uint64_t target, msec_t now)
{
  const suspect_out_t lost = { .fingerprint = fingerprint, .target = target };

  reports_add (&reports, &lost, now);
}

static guint
count_repeated (msec_t now)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (suspect_out_t));

  reports_repeat (&reports, now, out);
  guint n = out->len;
  g_array_unref (out);
  return n;
}

static void
test_losses_that_did_not_come_back_are_repeated (void **state)
{
  const suspect_out_t first = { .fingerprint = 7, .target = 1 };

  (void)state;
  lose (7, 1, START_MS);
  lose (7, 2, START_MS);
  lose (7, 3, START_MS);
  assert_int_equal (count_repeated (START_MS), 3);
  reports_confirm (&reports, &first);
  assert_int_equal (count_repeated (START_MS), 2);
}

static void
test_a_loss_after_a_confirmed_one_is_repeated (void **state)
{
  const suspect_out_t first = { .fingerprint = 7, .target = 1 };

  (void)state;
  lose (7, 1, START_MS);
  reports_confirm (&reports, &first);
  lose (7, 2, START_MS);
  assert_int_equal (count_repeated (START_MS), 1);
}

static void
test_requests_at_one_lost_target_are_not_repeated (void **state)
{
  (void)state;
  for (uint64_t i = 0; i < REPORTS_MAX; i++)
    lose (i, 1, START_MS);
  assert_int_equal (count_repeated (START_MS), 0);
}

/* Several equal requests were in flight at the target. */
static void
test_equal_requests_at_one_lost_target_are_not_repeated (void **state)
{
  (void)state;
  lose (7, 1, START_MS);
  lose (7, 1, START_MS);
  assert_int_equal (count_repeated (START_MS), 0);
}

static void
test_equal_requests_leave_room_for_others (void **state)
{
  (void)state;
  lose (7, 1, START_MS);
  lose (7, 2, START_MS);
  for (unsigned i = 0; i < REPORTS_MAX; i++)
    lose (8, 2, START_MS);
  assert_int_equal (count_repeated (START_MS), 2);
}

static void
test_cleared_requests_are_not_repeated (void **state)
{
  const suspect_out_t cleared = { .fingerprint = 7, .cleared = true };

  (void)state;
  lose (7, 1, START_MS);
  lose (7, 2, START_MS);
  reports_add (&reports, &cleared, START_MS);
  assert_int_equal (count_repeated (START_MS), 0);
  lose (7, 1, START_MS);
  lose (7, 2, START_MS);
  reports_confirm (&reports, &cleared);
  assert_int_equal (count_repeated (START_MS), 0);
}

static void
test_reports_are_bounded_in_number_and_time (void **state)
{
  (void)state;
  for (uint64_t i = 0; i < REPORTS_MAX + 10; i++)
    lose (7, i, START_MS);
  assert_int_equal (count_repeated (START_MS), REPORTS_MAX);
  assert_int_equal (count_repeated (START_MS + SUSPECT_KEEP_MS), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_losses_that_did_not_come_back_are_repeated,
                                     set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_a_loss_after_a_confirmed_one_is_repeated,
                                     set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_requests_at_one_lost_target_are_not_repeated,
                                     set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (
        test_equal_requests_at_one_lost_target_are_not_repeated,
        set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (test_equal_requests_leave_room_for_others,
                                     set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_cleared_requests_are_not_repeated,
                                     set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_reports_are_bounded_in_number_and_time,
                                     set_up,
                                     tear_down),
  };

  return cmocka_run_group_tests_name ("reports", tests, NULL, NULL);
}
