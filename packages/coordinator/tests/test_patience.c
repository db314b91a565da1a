#include "../patience.h"
#include "../../core/limits.h"
#include "../../core/rng.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <glib.h>

static const patience_feed_t working = { false, -1 };
static const patience_feed_t rejected = { true, -1 };
static const patience_feed_t asking = { true, 5 };
static const patience_feed_t hanging = { true, PATIENCE_ANSWER_MS };

static void
test_one_feed_asks_a_store_that_turns_calls_away (void **state)
{
  (void)state;
  assert_true (patience_leaves_it (&rejected, &rejected));
  assert_true (patience_leaves_it (&rejected, &asking));
  assert_false (patience_leaves_it (&rejected, &working));
  assert_false (patience_leaves_it (&working, &rejected));
}

static void
test_no_feed_waits_for_a_call_that_hangs (void **state)
{
  (void)state;
  assert_false (patience_leaves_it (&rejected, &hanging));
}

/* Calls of one feed per host in the second half of SPAN ms, in which the store turns all
 * away; and how long after it the last host notices its end. */
static uint32_t
count_calls (uint32_t hosts, msec_t span, msec_t *latest_notice)
{
  uint32_t calls = 0;
  rng_t rng;

  rng_init (&rng, 1);
  *latest_notice = 0;
  for (uint32_t host = 0; host < hosts; host++)
    {
      msec_t delay = 0, at = 0;
      while (at < span)
        {
          calls += at >= span / 2;
          delay = patience_delay (delay, true, hosts);
          at += delay / 2 + (msec_t)rng_below (&rng, (uint64_t)delay);
        }
      *latest_notice = MAX (*latest_notice, at - span);
    }
  return calls;
}

/* The outage of 8 s of the large deployment's trouble-3.  The rules bind again 3 s after
 * an outage (4 s there); hosts notice its end by then with time for their reads. */
static void
test_calls_in_an_outage_are_bounded_for_the_fleet (void **state)
{
  msec_t notice;

  (void)state;
  count_calls (8, 8000, &notice);
  assert_true (notice <= STORE_RETRY_MAX_MS * 3 / 2);
  for (uint32_t hosts = 8; hosts <= 195; hosts += 11)
    {
      /* In 4 s, and a quarter more for the jitter. */
      assert_true (count_calls (hosts, 8000, &notice)
                   <= PATIENCE_FLEET_CALLS_PER_S * 4 * 5 / 4);
      assert_true (notice <= 2500);
    }
  assert_true (count_calls (510, 8000, &notice) <= 510 * 4000 / PATIENCE_MAX_MS * 5 / 4);
  assert_true (notice <= 2500);
}

static void
test_silent_store_is_asked_as_often_by_large_fleets (void **state)
{
  (void)state;
  assert_int_equal (patience_delay (0, false, 510), STORE_RETRY_MS);
  assert_int_equal (patience_delay (10000, false, 510), STORE_RETRY_MAX_MS);
  assert_int_equal (patience_delay (10000, true, 8), STORE_RETRY_MAX_MS);
  assert_int_equal (patience_delay (10000, true, 510), PATIENCE_MAX_MS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_feed_asks_a_store_that_turns_calls_away),
    cmocka_unit_test (test_no_feed_waits_for_a_call_that_hangs),
    cmocka_unit_test (test_calls_in_an_outage_are_bounded_for_the_fleet),
    cmocka_unit_test (test_silent_store_is_asked_as_often_by_large_fleets),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
