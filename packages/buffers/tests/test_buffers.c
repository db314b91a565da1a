#include "../../core/limits.h"
#include "../../core/rng.h"
#include "../buffers.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define MEMORY (160u * 1024 * 1024) /* of the smallest hosts */
#define MOST (256u * 1024)

/* MESSAGES buffer as much as they may, one after the other.  Returns the bytes held. */
static uint64_t
fill (buffers_t *self, uint32_t messages)
{
  for (uint32_t i = 0; i < messages; i++)
    buffers_changed (self, buffers_part (self, MOST), 0);
  return self->held;
}

static void
test_few_messages_get_large_buffers (void **state)
{
  buffers_t buffers;

  (void)state;
  buffers_init (&buffers, MEMORY);
  for (int i = 0; i < 20; i++)
    {
      assert_int_equal (buffers_part (&buffers, MOST), MOST);
      buffers_changed (&buffers, MOST, 0);
    }
}

static void
test_many_messages_stay_within_the_memory (void **state)
{
  buffers_t buffers;

  (void)state;
  for (uint32_t messages = 1; messages <= 4000; messages += 137)
    {
      buffers_init (&buffers, MEMORY);
      assert_true (fill (&buffers, messages)
                   <= buffers.max + (uint64_t)messages * BUFFERS_LEAST_BYTES);
    }
  assert_true (buffers.max + 2000 * (uint64_t)BUFFERS_LEAST_BYTES < MEMORY / 2);
}

/* The least part lets each message go on, whatever the others hold. */
static void
test_no_message_is_left_without_a_buffer (void **state)
{
  buffers_t buffers;

  (void)state;
  buffers_init (&buffers, MEMORY);
  fill (&buffers, 10000);
  assert_int_equal (buffers_part (&buffers, MOST), BUFFERS_LEAST_BYTES);
}

static void
test_bytes_that_are_released_can_be_used_again (void **state)
{
  buffers_t buffers;
  rng_t rng;
  uint64_t own = 0;

  (void)state;
  buffers_init (&buffers, MEMORY);
  rng_init (&rng, 1);
  for (int i = 0; i < 100000; i++)
    {
      uint64_t removed = rng_below (&rng, own + 1);
      uint32_t added = buffers_part (&buffers, MOST);
      buffers_changed (&buffers, added, removed);
      own += added - removed;
      assert_int_equal (buffers.held, own);
      assert_true (buffers.peak >= own && buffers.peak <= buffers.max + MOST);
    }
  buffers_changed (&buffers, 0, own);
  assert_int_equal (buffers_part (&buffers, MOST), MOST);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_few_messages_get_large_buffers),
    cmocka_unit_test (test_many_messages_stay_within_the_memory),
    cmocka_unit_test (test_no_message_is_left_without_a_buffer),
    cmocka_unit_test (test_bytes_that_are_released_can_be_used_again),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
