#include "../limit.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define MAX_REQUESTS 16

/* Ends COUNT requests of which IN_FLIGHT run at a time. */
static void
answer (limit_t *self, unsigned in_flight, unsigned count)
{
  for (unsigned i = 0; i < in_flight; i++)
    limit_begin (self);
  for (unsigned i = 0; i < count; i++)
    {
      limit_end (self, LIMIT_ANSWERED);
      limit_begin (self);
    }
  for (unsigned i = 0; i < in_flight; i++)
    limit_end (self, LIMIT_NEUTRAL);
}

static unsigned
room (limit_t *self)
{
  unsigned n = 0;

  for (; limit_has_room (self); n++)
    limit_begin (self);
  for (unsigned i = 0; i < n; i++)
    limit_end (self, LIMIT_NEUTRAL);
  return n;
}

static void
test_a_limit_that_is_used_grows_to_its_maximum (void **state)
{
  limit_t limit;

  (void)state;
  limit_init (&limit, 4, MAX_REQUESTS);
  answer (&limit, 4, 6);
  assert_int_equal (room (&limit), 5);
  for (int i = 0; i < 100; i++)
    answer (&limit, room (&limit), 10);
  assert_int_equal (room (&limit), MAX_REQUESTS);
}

static void
test_a_limit_that_is_not_used_does_not_grow (void **state)
{
  limit_t limit;

  (void)state;
  limit_init (&limit, 4, MAX_REQUESTS);
  answer (&limit, 1, 1000);
  assert_int_equal (room (&limit), 4);
}

static void
test_the_lowest_limit_grows (void **state)
{
  limit_t limit;

  (void)state;
  limit_init (&limit, 1, MAX_REQUESTS);
  answer (&limit, 1, 2);
  assert_int_equal (room (&limit), 2);
}

static void
test_a_shed_request_reduces_the_limit (void **state)
{
  limit_t limit;

  (void)state;
  limit_init (&limit, 10, MAX_REQUESTS);
  limit_begin (&limit);
  limit_end (&limit, LIMIT_SHED);
  assert_int_equal (room (&limit), 7);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_limit_that_is_used_grows_to_its_maximum),
    cmocka_unit_test (test_a_limit_that_is_not_used_does_not_grow),
    cmocka_unit_test (test_the_lowest_limit_grows),
    cmocka_unit_test (test_a_shed_request_reduces_the_limit),
  };

  return cmocka_run_group_tests_name ("limit", tests, NULL, NULL);
}
