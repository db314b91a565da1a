#include "../suspect.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define START_MS 1000

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
test_second_lost_target_blocks (void **state)
{
  suspect_t self;

  (void)state;
  suspect_init (&self, 2);
  feed (&self, SUSPECT_LOST, 7, 1, START_MS);
  assert_int_equal (out->len, 1);
  assert_false (suspect_is_blocked (&self, 7, START_MS));
  feed (&self, SUSPECT_LOST, 7, 1, START_MS);
  assert_false (suspect_is_blocked (&self, 7, START_MS));
  feed (&self, SUSPECT_LOSS_REPORTED, 7, 2, START_MS);
  assert_int_equal (out->len, 0);
  assert_true (suspect_is_blocked (&self, 7, START_MS));
  assert_false (suspect_is_blocked (&self, 8, START_MS));
}

static void
test_answer_clears_losses (void **state)
{
  suspect_t self;

  (void)state;
  suspect_init (&self, 2);
  feed (&self, SUSPECT_LOST, 7, 1, START_MS);
  feed (&self, SUSPECT_ANSWERED, 7, 0, START_MS);
  assert_true (g_array_index (out, suspect_out_t, 0).cleared);
  feed (&self, SUSPECT_LOST, 7, 2, START_MS);
  assert_false (suspect_is_blocked (&self, 7, START_MS));
  feed (&self, SUSPECT_ANSWER_REPORTED, 7, 0, START_MS);
  assert_int_equal (out->len, 0);
  feed (&self, SUSPECT_LOST, 7, 3, START_MS);
  assert_false (suspect_is_blocked (&self, 7, START_MS));
  feed (&self, SUSPECT_ANSWERED, 9, 0, START_MS);
  assert_int_equal (out->len, 0);
}

static void
test_block_expires (void **state)
{
  suspect_t self;

  (void)state;
  suspect_init (&self, 2);
  feed (&self, SUSPECT_LOST, 7, 1, START_MS);
  feed (&self, SUSPECT_LOST, 7, 2, START_MS);
  assert_true (suspect_is_blocked (&self, 7, START_MS + SUSPECT_KEEP_MS - 1));
  assert_false (suspect_is_blocked (&self, 7, START_MS + SUSPECT_KEEP_MS));
}

static void
test_loss_threshold_is_configurable (void **state)
{
  suspect_t self;

  (void)state;
  suspect_init (&self, 3);
  feed (&self, SUSPECT_LOST, 7, 1, START_MS);
  feed (&self, SUSPECT_LOST, 7, 2, START_MS);
  feed (&self, SUSPECT_LOSS_REPORTED, 7, 2, START_MS);
  assert_false (suspect_is_blocked (&self, 7, START_MS));
  feed (&self, SUSPECT_LOSS_REPORTED, 7, 3, START_MS);
  assert_true (suspect_is_blocked (&self, 7, START_MS));
}

static void
test_eviction_spares_blocked_entries (void **state)
{
  suspect_t self;

  (void)state;
  suspect_init (&self, 2);
  feed (&self, SUSPECT_LOST, 7, 1, START_MS);
  feed (&self, SUSPECT_LOST, 7, 2, START_MS);
  for (uint64_t i = 0; i < 3 * SUSPECT_MAX; i++)
    feed (&self, SUSPECT_LOST, 1000 + i, 1, START_MS + 1);
  assert_true (suspect_is_blocked (&self, 7, START_MS + 2));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_second_lost_target_blocks),
    cmocka_unit_test (test_answer_clears_losses),
    cmocka_unit_test (test_block_expires),
    cmocka_unit_test (test_loss_threshold_is_configurable),
    cmocka_unit_test (test_eviction_spares_blocked_entries),
  };
  out = g_array_new (FALSE, FALSE, sizeof (suspect_out_t));
  int failed = cmocka_run_group_tests (tests, NULL, NULL);
  g_array_unref (out);
  return failed;
}
