#include "../suspect.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define START 1000

static GArray *out;

static void
feed (suspect_t *self,
      suspect_msg_kind_t kind,
      uint64_t fingerprint,
      uint64_t target,
      msec_t now)
{
  const suspect_msg_t msg = { kind, fingerprint, target };

  g_array_set_size (out, 0);
  suspect_handle (self, &msg, now, out);
}

static void
test_second_target_condemns (void **state)
{
  suspect_t self;

  (void)state;
  suspect_init (&self, 2);
  feed (&self, SUSPECT_LOST, 7, 1, START);
  assert_int_equal (out->len, 1);
  assert_false (suspect_is_condemned (&self, 7, START));
  feed (&self, SUSPECT_LOST, 7, 1, START);
  assert_false (suspect_is_condemned (&self, 7, START));
  feed (&self, SUSPECT_HEARD, 7, 2, START);
  assert_int_equal (out->len, 0);
  assert_true (suspect_is_condemned (&self, 7, START));
  assert_false (suspect_is_condemned (&self, 8, START));
}

static void
test_an_answer_clears (void **state)
{
  suspect_t self;

  (void)state;
  suspect_init (&self, 2);
  feed (&self, SUSPECT_LOST, 7, 1, START);
  feed (&self, SUSPECT_ANSWERED, 7, 0, START);
  assert_true (g_array_index (out, suspect_out_t, 0).cleared);
  feed (&self, SUSPECT_LOST, 7, 2, START);
  assert_false (suspect_is_condemned (&self, 7, START));
  feed (&self, SUSPECT_CLEARED, 7, 0, START);
  assert_int_equal (out->len, 0);
  feed (&self, SUSPECT_LOST, 7, 3, START);
  assert_false (suspect_is_condemned (&self, 7, START));
  feed (&self, SUSPECT_ANSWERED, 9, 0, START);
  assert_int_equal (out->len, 0);
}

static void
test_the_condemned_are_released (void **state)
{
  suspect_t self;

  (void)state;
  suspect_init (&self, 2);
  feed (&self, SUSPECT_LOST, 7, 1, START);
  feed (&self, SUSPECT_LOST, 7, 2, START);
  assert_true (suspect_is_condemned (&self, 7, START + SUSPECT_KEEP_MS - 1));
  assert_false (suspect_is_condemned (&self, 7, START + SUSPECT_KEEP_MS));
}

static void
test_as_many_targets_condemn_as_was_asked_for (void **state)
{
  suspect_t self;

  (void)state;
  suspect_init (&self, 3);
  feed (&self, SUSPECT_LOST, 7, 1, START);
  feed (&self, SUSPECT_LOST, 7, 2, START);
  feed (&self, SUSPECT_HEARD, 7, 2, START);
  assert_false (suspect_is_condemned (&self, 7, START));
  feed (&self, SUSPECT_HEARD, 7, 3, START);
  assert_true (suspect_is_condemned (&self, 7, START));
}

static void
test_many_losses_dont_push_out_the_condemned (void **state)
{
  suspect_t self;

  (void)state;
  suspect_init (&self, 2);
  feed (&self, SUSPECT_LOST, 7, 1, START);
  feed (&self, SUSPECT_LOST, 7, 2, START);
  for (uint64_t i = 0; i < 3 * SUSPECT_MAX; i++)
    feed (&self, SUSPECT_LOST, 1000 + i, 1, START + 1);
  assert_true (suspect_is_condemned (&self, 7, START + 2));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_second_target_condemns),
    cmocka_unit_test (test_an_answer_clears),
    cmocka_unit_test (test_the_condemned_are_released),
    cmocka_unit_test (test_as_many_targets_condemn_as_was_asked_for),
    cmocka_unit_test (test_many_losses_dont_push_out_the_condemned),
  };
  out = g_array_new (FALSE, FALSE, sizeof (suspect_out_t));
  int failed = cmocka_run_group_tests (tests, NULL, NULL);
  g_array_unref (out);
  return failed;
}
