#include "../key_table.h"
#include "../../core/rng.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <stdio.h>

static void
add_range (
    key_table_t *self, uint32_t first, uint32_t last, uint64_t fence, unsigned owner)
{
  key_range_t range
      = { .first = first, .last = last, .fence = fence, .target_started_at = 1 };
  char id[16];

  snprintf (id, sizeof id, "t%u", owner);
  name_set (&range.target, text_from_c (id));
  name_set (&range.address, TEXT ("10.0.0.1:80"));
  g_array_append_val (self->ranges, range);
}

/* A complete table of ranges of 1 to 3901 keys, where any range may also extend to the
 * last key; owners and fences are drawn from three each. */
static void
random_table (key_table_t *self, rng_t *rng, uint64_t version)
{
  uint32_t next = 0;

  key_table_init (self, TEXT ("s"));
  self->version = version;
  while (next <= KEY_LAST)
    {
      uint32_t size = 1 + (uint32_t)rng_below (rng, 40) * 100;
      uint32_t last = MIN (next + size - 1, KEY_LAST);
      if (rng_below (rng, 40) == 0)
        last = KEY_LAST;
      add_range (self, next, last, 1 + rng_below (rng, 3), (unsigned)rng_below (rng, 3));
      next = last + 1;
    }
}

static void
assert_same (const key_table_t *a, const key_table_t *b)
{
  assert_int_equal (a->version, b->version);
  assert_int_equal (a->ranges->len, b->ranges->len);
  for (guint i = 0; i < a->ranges->len; i++)
    {
      const key_range_t *left = &g_array_index (a->ranges, key_range_t, i);
      const key_range_t *right = &g_array_index (b->ranges, key_range_t, i);
      assert_int_equal (left->first, right->first);
      assert_int_equal (left->last, right->last);
      assert_int_equal (left->fence, right->fence);
      assert_true (name_equal (&left->target, &right->target));
    }
}

static void
test_diff_and_apply_turn_any_table_into_any_other (void **state)
{
  rng_t rng;
  fault_t fault;

  (void)state;
  rng_init (&rng, 1);
  for (unsigned round = 0; round < 2000; round++)
    {
      key_table_t before, after, changes;
      random_table (&before, &rng, 5);
      random_table (&after, &rng, 6);
      key_table_init (&changes, TEXT ("s"));
      key_table_diff (&before, &after, &changes);
      assert_int_equal (key_table_apply (&before, &changes, &fault), STATUS_OK);
      assert_same (&before, &after);
      key_table_finish (&changes);
      key_table_finish (&before);
      key_table_finish (&after);
    }
}

/* A move out of the middle of a range gives a diff of three ranges, independent of the
 * size of the table. */
static void
test_a_diff_holds_only_the_changed_ranges (void **state)
{
  key_table_t before, after, changes;

  (void)state;
  key_table_init (&before, TEXT ("s"));
  key_table_init (&after, TEXT ("s"));
  key_table_init (&changes, TEXT ("s"));
  for (uint32_t i = 0; i < 64; i++)
    add_range (&before, i * 1024, i * 1024 + 1023, i + 1, i);
  for (uint32_t i = 0; i < 64; i++)
    if (i != 7)
      add_range (&after, i * 1024, i * 1024 + 1023, i + 1, i);
    else
      {
        add_range (&after, 7168, 7199, 8, 7);
        add_range (&after, 7200, 7210, 90, 3);
        add_range (&after, 7211, 8191, 8, 7);
      }
  key_table_diff (&before, &after, &changes);
  assert_int_equal (changes.ranges->len, 3);
  key_table_finish (&changes);
  key_table_finish (&before);
  key_table_finish (&after);
}

static void
test_changes_of_another_table_are_rejected (void **state)
{
  key_table_t table, changes;
  fault_t fault;

  (void)state;
  key_table_init (&table, TEXT ("s"));
  table.version = 5;
  add_range (&table, 0, 999, 1, 1);
  add_range (&table, 1000, KEY_LAST, 2, 2);
  key_table_init (&changes, TEXT ("s"));
  changes.version = 6;
  add_range (&changes, 1000, 2000, 3, 3); /* leaves a gap from 2001 on */
  assert_int_equal (key_table_apply (&table, &changes, &fault), STATUS_DECODE);
  assert_int_equal (table.version, 5);
  assert_int_equal (table.ranges->len, 2);
  key_table_finish (&changes);
  key_table_finish (&table);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_diff_and_apply_turn_any_table_into_any_other),
    cmocka_unit_test (test_a_diff_holds_only_the_changed_ranges),
    cmocka_unit_test (test_changes_of_another_table_are_rejected),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
