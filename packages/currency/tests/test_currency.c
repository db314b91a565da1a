#include "../currency.h"
#include "../../core/limits.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define START 100000
#define LIMIT 1600

/* A host whose copy is at VERSION, was complete at COMPLETE_AT, and that heard of the
 * store at HEARD_AT. */
typedef struct
{
  currency_t currency;
  GArray *out;
  uint64_t version;
  msec_t complete_at, heard_at;
} host_t;

static void
setup (host_t *self)
{
  *self = (host_t){ .out = g_array_new (FALSE, FALSE, sizeof (currency_out_t)),
                    .version = 5,
                    .complete_at = START,
                    .heard_at = START };
  currency_init (&self->currency, LIMIT);
}

static void
teardown (host_t *self)
{
  g_array_unref (self->out);
}

static void
handle (host_t *self, currency_msg_t msg, msec_t now)
{
  g_array_set_size (self->out, 0);
  currency_handle (&self->currency, &msg, now, self->out);
}

static void
review (host_t *self, msec_t now)
{
  handle (self,
          (currency_msg_t){ .kind = CURRENCY_REVIEW,
                            .version = self->version,
                            .complete_at = self->complete_at,
                            .heard_at = self->heard_at },
          now);
}

static void
learn (host_t *self, uint64_t version, msec_t now)
{
  handle (self, (currency_msg_t){ .kind = CURRENCY_NEWER, .version = version }, now);
  review (self, now);
}

static bool
did (const host_t *self, currency_out_kind_t kind)
{
  for (guint i = 0; i < self->out->len; i++)
    if (g_array_index (self->out, currency_out_t, i).kind == kind)
      return true;
  return false;
}

/* Reviews the copy each 100 ms after START + FROM up to START + TO.  The store answers
 * all the time if HEARD.  Returns the first time at which requests were rejected. */
static msec_t
rejected_at (host_t *self, msec_t from, msec_t to, bool heard)
{
  msec_t first = MSEC_NEVER;

  for (msec_t now = START + from + 100; now <= START + to; now += 100)
    {
      if (heard)
        self->heard_at = now;
      review (self, now);
      if (did (self, CURRENCY_REJECT) && first == MSEC_NEVER)
        first = now;
    }
  return first;
}

static void
test_copy_that_nothing_confirms_is_reported_once (void **state)
{
  host_t host;
  unsigned reports = 0;

  (void)state;
  setup (&host);
  review (&host, START + LIMIT - 1);
  assert_false (did (&host, CURRENCY_UNCONFIRMED));
  for (msec_t now = START + LIMIT; now < START + 60000; now += 100)
    {
      review (&host, now);
      reports += did (&host, CURRENCY_UNCONFIRMED);
    }
  assert_int_equal (reports, 1);
  host.complete_at = START + 60000;
  review (&host, START + 60000);
  assert_true (did (&host, CURRENCY_CONFIRMED));
  teardown (&host);
}

static void
test_copy_without_a_newer_version_is_used (void **state)
{
  host_t host;

  (void)state;
  setup (&host);
  assert_int_equal (rejected_at (&host, 0, 60000, true), MSEC_NEVER);
  teardown (&host);
}

static void
test_outdated_copy_is_not_used_beyond_the_limit (void **state)
{
  host_t host;

  (void)state;
  setup (&host);
  learn (&host, 6, START + 100);
  assert_int_equal (rejected_at (&host, 100, 3000, true), START + LIMIT);
  host.version = 6;
  review (&host, START + 3100);
  assert_true (did (&host, CURRENCY_SERVE));
  teardown (&host);
}

/* A host that watches the store itself has been without a confirmation for long. */
static void
test_change_that_just_became_known_may_still_arrive (void **state)
{
  host_t host;

  (void)state;
  setup (&host);
  learn (&host, 6, START + 9000);
  assert_int_equal (rejected_at (&host, 9000, 12000, true),
                    START + 9000 + CURRENCY_PATIENCE_MS);
  teardown (&host);
}

/* Each version arrives 700 ms after the host learned of it, and the next is known then.
 */
static void
test_changes_in_quick_succession_that_arrive_in_time_are_no_lag (void **state)
{
  host_t host;

  (void)state;
  setup (&host);
  for (uint64_t i = 0; i < 20; i++)
    {
      msec_t at = START + (msec_t)i * 500;
      learn (&host, 6 + i, at);
      assert_false (did (&host, CURRENCY_REJECT));
      review (&host, at + 200);
      assert_false (did (&host, CURRENCY_REJECT));
      host.heard_at = at;
      if (i > 0)
        host.version = 5 + i;
    }
  teardown (&host);
}

static void
test_newer_version_is_queried_and_a_hung_call_repeated_once (void **state)
{
  host_t host;
  unsigned requeries = 0;

  (void)state;
  setup (&host);
  learn (&host, 6, START);
  review (&host, START + FEED_LAG_MS - 1);
  assert_false (did (&host, CURRENCY_QUERY));
  review (&host, START + FEED_LAG_MS);
  assert_true (did (&host, CURRENCY_QUERY));
  for (msec_t now = START + 500; now < START + 5000; now += 100)
    {
      review (&host, now);
      for (guint i = 0; i < host.out->len; i++)
        if (g_array_index (host.out, currency_out_t, i).kind == CURRENCY_REQUERY)
          {
            requeries++;
            assert_int_equal (g_array_index (host.out, currency_out_t, i).since, START);
          }
    }
  assert_int_equal (requeries, 1);
  teardown (&host);
}

/* All hosts are in the same situation, so that rejections would serve nobody. */
static void
test_outdated_copy_is_used_while_nobody_has_a_newer_one (void **state)
{
  host_t host;

  (void)state;
  setup (&host);
  learn (&host, 6, START);
  assert_int_equal (rejected_at (&host, 0, 2000, true), START + LIMIT);
  assert_int_equal (rejected_at (&host, 2000, 4400, false), MSEC_NEVER);
  review (&host, START + 2000 + CURRENCY_SOURCE_MS);
  assert_true (did (&host, CURRENCY_SERVE));
  host.heard_at = START + 6000;
  review (&host, START + 6000);
  assert_true (did (&host, CURRENCY_REJECT));
  teardown (&host);
}

static void
test_process_that_did_not_run_asks_before_it_serves (void **state)
{
  host_t host;
  msec_t resumed = START + 5000;

  (void)state;
  setup (&host);
  handle (&host, (currency_msg_t){ .kind = CURRENCY_STALLED }, resumed);
  review (&host, resumed);
  assert_true (did (&host, CURRENCY_REQUERY));
  assert_true (did (&host, CURRENCY_REJECT));
  host.complete_at = resumed - 1; /* a reply from before */
  review (&host, resumed + 50);
  assert_true (did (&host, CURRENCY_REQUERY));
  host.complete_at = resumed + 60;
  review (&host, resumed + 100);
  assert_false (did (&host, CURRENCY_REQUERY));
  assert_false (host.currency.rejecting);
  teardown (&host);
}

static void
test_silence_after_a_stall_counts_as_an_outage_in_the_end (void **state)
{
  host_t host;
  msec_t resumed = START + 5000;

  (void)state;
  setup (&host);
  handle (&host, (currency_msg_t){ .kind = CURRENCY_STALLED }, resumed);
  review (&host, resumed);
  assert_true (did (&host, CURRENCY_REJECT));
  review (&host, resumed + CURRENCY_UNSURE_MS - 1);
  assert_false (did (&host, CURRENCY_SERVE));
  review (&host, resumed + CURRENCY_UNSURE_MS);
  assert_true (did (&host, CURRENCY_SERVE));
  teardown (&host);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_copy_that_nothing_confirms_is_reported_once),
    cmocka_unit_test (test_copy_without_a_newer_version_is_used),
    cmocka_unit_test (test_outdated_copy_is_not_used_beyond_the_limit),
    cmocka_unit_test (test_change_that_just_became_known_may_still_arrive),
    cmocka_unit_test (test_changes_in_quick_succession_that_arrive_in_time_are_no_lag),
    cmocka_unit_test (test_newer_version_is_queried_and_a_hung_call_repeated_once),
    cmocka_unit_test (test_outdated_copy_is_used_while_nobody_has_a_newer_one),
    cmocka_unit_test (test_process_that_did_not_run_asks_before_it_serves),
    cmocka_unit_test (test_silence_after_a_stall_counts_as_an_outage_in_the_end),
  };

  return cmocka_run_group_tests_name ("currency", tests, NULL, NULL);
}
