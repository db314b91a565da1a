#include "../era.h"
#include "../store.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

static void
test_era_never_falls (void **state)
{
  uint64_t known = 0;

  (void)state;
  assert_int_equal (era_note (&known, 0), ERA_CURRENT);
  assert_int_equal (era_note (&known, STORE_ERA_MAX + 1), ERA_CURRENT);
  assert_int_equal (known, 0);
  assert_int_equal (era_note (&known, 3), ERA_RISEN);
  assert_int_equal (era_note (&known, 3), ERA_CURRENT);
  assert_int_equal (era_note (&known, 2), ERA_EARLIER);
  assert_int_equal (era_note (&known, 0), ERA_MISSING);
  assert_int_equal (era_note (&known, 900000), ERA_MISSING);
  assert_int_equal (known, 3);
  assert_int_equal (era_note (&known, 4), ERA_RISEN);
  assert_int_equal (known, 4);
}

static void
test_versions_of_a_later_era_are_higher (void **state)
{
  store_t store = { .era = 2 };
  const uint64_t before = STORE_ERA_STEP + 500, after = 2 * STORE_ERA_STEP + 9;

  (void)state;
  assert_true (after > before);
  assert_true (store_is_earlier (&store, before));
  assert_false (store_is_earlier (&store, after));
  assert_true (store_is_earlier (&store, 500));
  assert_int_equal (store_version_number (before), 500);
  assert_int_equal (store_version_in (2, before), 2 * STORE_ERA_STEP + 500);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_era_never_falls),
    cmocka_unit_test (test_versions_of_a_later_era_are_higher),
  };

  return cmocka_run_group_tests_name ("store", tests, NULL, NULL);
}
