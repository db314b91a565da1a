#include "../outbox.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define CAPACITY 2

/* A proxy that reads its mailbox only in deliver(). */
typedef struct
{
  struct event_base *base;
  mailbox_t mailbox;
  outbox_t outbox;
  GArray *received; /* host counts, or 1000 + kind of other messages */
} fixture_t;

static void
on_message (void *owner, void *item)
{
  fixture_t *self = owner;
  const proxy_msg_t *msg = item;
  uint32_t what = msg->kind == PROXY_HOST_COUNT ? msg->host_count : 1000 + msg->kind;

  g_array_append_val (self->received, what);
  proxy_msg_free (item);
}

static void
setup (fixture_t *self)
{
  *self = (fixture_t){ .base = event_base_new (),
                       .received = g_array_new (FALSE, FALSE, sizeof (uint32_t)) };
  outbox_init (&self->outbox);
  assert_true (mailbox_init (&self->mailbox,
                             self->base,
                             CAPACITY,
                             on_message,
                             proxy_msg_free,
                             self));
}

static void
teardown (fixture_t *self)
{
  outbox_finish (&self->outbox);
  mailbox_finish (&self->mailbox);
  event_base_free (self->base);
  g_array_unref (self->received);
}

static void
post (fixture_t *self, proxy_msg_kind_t kind, uint32_t host_count)
{
  proxy_msg_t *msg = g_new0 (proxy_msg_t, 1);

  msg->kind = kind;
  msg->host_count = host_count;
  outbox_post (&self->outbox, &self->mailbox, msg);
}

/* The proxy reads its mailbox until nothing more is sent to it. */
static void
deliver (fixture_t *self)
{
  guint before;

  do
    {
      before = self->received->len;
      event_base_loop (self->base, EVLOOP_NONBLOCK);
      outbox_flush (&self->outbox, &self->mailbox);
    }
  while (self->received->len > before);
}

static uint32_t
received (const fixture_t *self, guint i)
{
  assert_true (i < self->received->len);
  return g_array_index (self->received, uint32_t, i);
}

static void
test_change_for_a_busy_proxy_is_not_lost (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  post (&fixture, PROXY_HOST_COUNT, 1);
  post (&fixture, PROXY_HOST_COUNT, 2);
  post (&fixture, PROXY_BOUNDS, 0);
  post (&fixture, PROXY_CURRENCY, 0);
  deliver (&fixture);
  assert_int_equal (fixture.received->len, 4);
  assert_int_equal (received (&fixture, 1), 2);
  assert_int_equal (received (&fixture, 2), 1000 + PROXY_BOUNDS);
  assert_int_equal (received (&fixture, 3), 1000 + PROXY_CURRENCY);
  teardown (&fixture);
}

static void
test_later_change_replaces_one_that_waits (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  for (uint32_t i = 1; i <= 50; i++)
    post (&fixture, PROXY_HOST_COUNT, i);
  assert_int_equal (fixture.outbox.waiting.length, 1);
  deliver (&fixture);
  assert_int_equal (fixture.received->len, CAPACITY + 1);
  assert_int_equal (received (&fixture, CAPACITY), 50);
  teardown (&fixture);
}

static void
test_requests_that_crash_targets_do_not_replace_one_another (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture);
  for (int i = 0; i < CAPACITY + 5; i++)
    post (&fixture, PROXY_SUSPECT, 0);
  deliver (&fixture);
  assert_int_equal (fixture.received->len, CAPACITY + 5);
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_change_for_a_busy_proxy_is_not_lost),
    cmocka_unit_test (test_later_change_replaces_one_that_waits),
    cmocka_unit_test (test_requests_that_crash_targets_do_not_replace_one_another),
  };

  return cmocka_run_group_tests_name ("outbox", tests, NULL, NULL);
}
