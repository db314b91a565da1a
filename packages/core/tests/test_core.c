#include "../eventlog.h"
#include "../limits.h"
#include "../mailbox.h"
#include "../metrics.h"
#include "../msclock.h"
#include "../text.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

static void
test_text_to_u64 (void **state)
{
  uint64_t value;

  (void)state;
  assert_true (text_to_u64 (TEXT ("18446744073709551615"), &value));
  assert_true (value == UINT64_MAX);
  assert_false (text_to_u64 (TEXT ("18446744073709551616"), &value));
  assert_false (text_to_u64 (TEXT (""), &value));
  assert_false (text_to_u64 (TEXT ("-1"), &value));
  assert_false (text_to_u64 (TEXT ("1 "), &value));
}

static void
test_text_split (void **state)
{
  text_t rest;

  (void)state;
  assert_true (text_equal (text_split (TEXT ("a:b:c"), ':', &rest), TEXT ("a")));
  assert_true (text_equal (rest, TEXT ("b:c")));
  assert_true (text_equal (text_split (TEXT ("abc"), ':', &rest), TEXT ("abc")));
  assert_int_equal (rest.len, 0);
}

static void
test_name_length_is_limited (void **state)
{
  char bytes[NAME_MAX_BYTES + 1];
  name_t name;

  (void)state;
  memset (bytes, 'x', sizeof bytes);
  assert_true (name_set (&name, (text_t){ bytes, NAME_MAX_BYTES }));
  assert_false (name_set (&name, (text_t){ bytes, NAME_MAX_BYTES + 1 }));
  assert_int_equal (name.len, NAME_MAX_BYTES);
}

static void
test_settable_clock (void **state)
{
  msclock_t clock;

  (void)state;
  msclock_init_settable (&clock, 5);
  assert_int_equal (msclock_now (&clock), 5);
  msclock_set (&clock, 9);
  assert_int_equal (msclock_now (&clock), 9);
}

static void
test_latency_buckets (void **state)
{
  metrics_t *metrics = g_new (metrics_t, 1);

  (void)state;
  metrics_init (metrics);
  metrics_record_latency (metrics, 0, 0);
  metrics_record_latency (metrics, 0, 1);
  metrics_record_latency (metrics, 0, 2);
  metrics_record_latency (metrics, 0, 1000000);
  assert_int_equal (metrics->buckets[0][0], 2);
  assert_int_equal (metrics->buckets[0][1], 1);
  assert_int_equal (metrics->buckets[0][METRICS_BUCKETS - 1], 1);
  g_free (metrics);
}

#define SENDERS 4
#define MESSAGES_PER_SENDER 20000

typedef struct
{
  struct event_base *base;
  mailbox_t mailbox;
  int received;
} inbox_t;

static void
on_message (void *owner, void *message)
{
  inbox_t *self = owner;

  g_free (message);
  if (++self->received == SENDERS * MESSAGES_PER_SENDER)
    event_base_loopbreak (self->base);
}

static void *
send_all (void *arg)
{
  inbox_t *self = arg;

  for (int i = 0; i < MESSAGES_PER_SENDER; i++)
    {
      int *message = g_new (int, 1);
      *message = i;
      while (!mailbox_post (&self->mailbox, message))
        g_usleep (100);
    }
  return NULL;
}

static void
test_mailbox_delivers_all_messages (void **state)
{
  inbox_t self = { .base = event_base_new () };
  pthread_t senders[SENDERS];

  (void)state;
  assert_true (mailbox_init (&self.mailbox, self.base, 1000, on_message, g_free, &self));
  for (int i = 0; i < SENDERS; i++)
    pthread_create (&senders[i], NULL, send_all, &self);
  event_base_dispatch (self.base);
  for (int i = 0; i < SENDERS; i++)
    pthread_join (senders[i], NULL);
  assert_int_equal (self.received, SENDERS * MESSAGES_PER_SENDER);
  mailbox_finish (&self.mailbox);
  event_base_free (self.base);
}

static void
test_post_to_full_mailbox_fails (void **state)
{
  inbox_t self = { .base = event_base_new () };

  (void)state;
  assert_true (mailbox_init (&self.mailbox, self.base, 1, on_message, g_free, &self));
  assert_true (mailbox_post (&self.mailbox, g_new0 (int, 1)));
  int *second = g_new0 (int, 1);
  assert_false (mailbox_post (&self.mailbox, second));
  g_free (second);
  mailbox_finish (&self.mailbox);
  event_base_free (self.base);
}

/* The log's reader is blocked until all lines have been written. */
static void
test_failures_do_not_displace_state_lines (void **state)
{
  char *read_back = g_malloc0 (EVENTLOG_BUFFER_BYTES);
  int fds[2];
  size_t len = 0;

  (void)state;
  assert_int_equal (pipe (fds), 0);
  eventlog_open (fds[1]);
  for (int i = 0; i < 2000; i++)
    eventlog_write (EVENT_FAILURE, "test", "failed", "why=%0500d", i);
  eventlog_write (EVENT_STATE, "test", "changed", "value=1");
  for (int i = 0; i < EVENTLOG_BUFFER_BYTES / 4096; i++)
    {
      eventlog_flush ();
      ssize_t n = read (fds[0], read_back + len, 4096);
      assert_true (n > 0);
      len += (size_t)n;
      if (strstr (read_back, "event=changed value=1") != NULL)
        break;
    }
  assert_non_null (strstr (read_back, "event=changed value=1"));
  close (fds[0]);
  close (fds[1]);
  g_free (read_back);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_text_to_u64),
    cmocka_unit_test (test_text_split),
    cmocka_unit_test (test_name_length_is_limited),
    cmocka_unit_test (test_settable_clock),
    cmocka_unit_test (test_latency_buckets),
    cmocka_unit_test (test_mailbox_delivers_all_messages),
    cmocka_unit_test (test_post_to_full_mailbox_fails),
    cmocka_unit_test (test_failures_do_not_displace_state_lines),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
