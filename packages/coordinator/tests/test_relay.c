#include "../relay.h"
#include "../../core/limits.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

/* Relays a change of VERSION at time NOW, in a reply of the store's version TO. */
static void
relay (relay_t *self, uint64_t before, uint64_t version, uint64_t to, msec_t now)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (store_row_t));
  store_row_t row = { g_string_new ("t"), g_string_new ("v"), version, false };

  g_array_append_val (rows, row);
  relay_add (self, before, &(store_reply_t){ .rows = rows, .version = to }, now);
  g_string_free (row.key, TRUE);
  g_string_free (row.value, TRUE);
  g_array_unref (rows);
}

/* The versions that are sent again to a host at VERSION: the first one and their number.
 */
static guint
missing (const relay_t *self, uint64_t version, msec_t now, uint64_t *first)
{
  GPtrArray *rows = g_ptr_array_new ();

  relay_missing (self, version, now, rows);
  guint n = rows->len;
  *first = n > 0 ? ((const store_row_t *)g_ptr_array_index (rows, 0))->version : 0;
  g_ptr_array_unref (rows);
  return n;
}

static void
test_changes_that_a_host_lacks_are_sent_again (void **state)
{
  relay_t relay_state;
  uint64_t first;

  (void)state;
  relay_init (&relay_state);
  relay_reset (&relay_state, 5);
  relay (&relay_state, 5, 7, 8, 1000);
  relay (&relay_state, 7, 11, 12, 1300);
  assert_int_equal (missing (&relay_state, 5, 1000 + FEED_LAG_MS, &first), 2);
  assert_int_equal (first, 7);
  assert_int_equal (missing (&relay_state, 8, 1300 + FEED_LAG_MS, &first), 1);
  assert_int_equal (first, 11);
  assert_int_equal (missing (&relay_state, 12, 9000, &first), 0);
  relay_finish (&relay_state);
}

static void
test_changes_on_their_way_are_not_sent_again (void **state)
{
  relay_t relay_state;
  uint64_t first;

  (void)state;
  relay_init (&relay_state);
  relay (&relay_state, 5, 7, 8, 1000);
  assert_int_equal (missing (&relay_state, 5, 1000 + FEED_LAG_MS - 1, &first), 0);
  relay_finish (&relay_state);
}

static void
test_host_that_lacks_forgotten_changes_gets_none (void **state)
{
  relay_t relay_state;
  uint64_t first;

  (void)state;
  relay_init (&relay_state);
  for (uint64_t i = 0; i < RELAY_ROWS_MAX + 10; i++)
    relay (&relay_state, 100 + i, 101 + i, 101 + i, 1000);
  assert_int_equal (missing (&relay_state, 109, 9000, &first), 0);
  assert_int_equal (missing (&relay_state, 110, 9000, &first), RELAY_ROWS_MAX);
  assert_int_equal (first, 111);
  relay (&relay_state, 500, 501, 501, 1000); /* changes before 500 were not relayed */
  assert_int_equal (missing (&relay_state, 300, 9000, &first), 0);
  assert_int_equal (missing (&relay_state, 500, 9000, &first), 1);
  relay_finish (&relay_state);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_changes_that_a_host_lacks_are_sent_again),
    cmocka_unit_test (test_changes_on_their_way_are_not_sent_again),
    cmocka_unit_test (test_host_that_lacks_forgotten_changes_gets_none),
  };

  return cmocka_run_group_tests_name ("relay", tests, NULL, NULL);
}
