#include "../stop_signal.h"

#include <glib.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <cmocka.h>

#define BUSY_MS 400

typedef struct
{
  struct event_base *base;
  int calls, signal;
  msec_t signalled_at;
} fixture_t;

static void
on_signal (void *owner, int signal, msec_t signalled_at)
{
  fixture_t *self = owner;

  self->calls++;
  self->signal = signal;
  self->signalled_at = signalled_at;
}

static msec_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
test_a_busy_task_learns_when_the_signal_arrived (void **state)
{
  fixture_t fixture = { .base = event_base_new () };

  (void)state;
  assert_true (stop_signal_init (fixture.base, on_signal, &fixture));
  const msec_t raised = now_ms ();
  raise (SIGTERM);
  const msec_t delivered = now_ms ();
  while (now_ms () < delivered + BUSY_MS)
    g_usleep (10000);
  raise (SIGINT);
  event_base_loop (fixture.base, EVLOOP_ONCE);
  assert_int_equal (fixture.calls, 1);
  assert_int_equal (fixture.signal, SIGTERM);
  assert_in_range (fixture.signalled_at, raised, delivered);
  stop_signal_finish ();
  event_base_free (fixture.base);
}

static void
test_a_signal_after_the_end_does_not_kill_the_process (void **state)
{
  fixture_t fixture = { .base = event_base_new () };

  (void)state;
  assert_true (stop_signal_init (fixture.base, on_signal, &fixture));
  stop_signal_finish ();
  raise (SIGTERM);
  assert_int_equal (fixture.calls, 0);
  event_base_free (fixture.base);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_busy_task_learns_when_the_signal_arrived),
    cmocka_unit_test (test_a_signal_after_the_end_does_not_kill_the_process),
  };

  return cmocka_run_group_tests_name ("stop-signal", tests, NULL, NULL);
}
