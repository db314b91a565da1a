#include "../spread.h"
#include "../../core/limits.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <stdio.h>

#define NOW 100000

typedef struct
{
  GArray *hosts, *groups;
} fixture_t;

static void
init_fixture (fixture_t *self, guint n)
{
  self->hosts = g_array_new (FALSE, FALSE, sizeof (spread_host_t));
  self->groups = g_array_new (FALSE, FALSE, sizeof (spread_group_t));
  for (guint i = 0; i < n; i++)
    {
      spread_host_t host = { .last_heard = NOW };
      char address[24];
      snprintf (address, sizeof address, "10.0.%u.%u:70", i / 200, i % 200);
      name_set (&host.address, text_from_c (address));
      g_array_append_val (self->hosts, host);
    }
}

static void
free_fixture (fixture_t *self)
{
  g_array_unref (self->hosts);
  g_array_unref (self->groups);
}

static void
assert_groups_partition_the_hosts (const fixture_t *plan)
{
  guint next = 0;

  for (guint i = 0; i < plan->groups->len; i++)
    {
      const spread_group_t *group = &g_array_index (plan->groups, spread_group_t, i);
      assert_int_equal (group->first, next);
      assert_true (group->n > 0);
      next += group->n;
    }
  assert_int_equal (next, plan->hosts->len);
}

static void
test_few_hosts_are_sent_to_directly (void **state)
{
  (void)state;
  for (guint n = 0; n <= SPREAD_DIRECT_HOSTS; n++)
    {
      fixture_t plan;
      init_fixture (&plan, n);
      spread_plan (plan.hosts, NOW, plan.groups);
      assert_int_equal (plan.groups->len, n);
      assert_groups_partition_the_hosts (&plan);
      free_fixture (&plan);
    }
}

/* For the required 510 hosts, the sender and each forwarding host send at most 23
 * messages. */
static void
test_messages_per_host_grow_with_the_square_root (void **state)
{
  (void)state;
  for (guint n = SPREAD_DIRECT_HOSTS + 1; n <= 600; n++)
    {
      fixture_t plan;
      guint root = 1;
      init_fixture (&plan, n);
      spread_plan (plan.hosts, NOW, plan.groups);
      while (root * root < n)
        root++;
      assert_true (plan.groups->len <= root);
      for (guint i = 0; i < plan.groups->len; i++)
        assert_true (g_array_index (plan.groups, spread_group_t, i).n <= root);
      assert_groups_partition_the_hosts (&plan);
      free_fixture (&plan);
    }
}

static void
test_silent_host_does_not_forward (void **state)
{
  fixture_t plan;

  (void)state;
  init_fixture (&plan, 90);
  for (guint i = 0; i < 90; i += 3)
    g_array_index (plan.hosts, spread_host_t, i).last_heard = NOW - SPREAD_ALIVE_MS - 1;
  spread_plan (plan.hosts, NOW, plan.groups);
  for (guint i = 0; i < plan.groups->len; i++)
    {
      guint first = g_array_index (plan.groups, spread_group_t, i).first;
      assert_true (g_array_index (plan.hosts, spread_host_t, first).last_heard == NOW);
    }
  assert_groups_partition_the_hosts (&plan);
  free_fixture (&plan);
}

static void
test_hosts_with_fast_links_forward (void **state)
{
  fixture_t plan;
  guint fast = 0;

  (void)state;
  init_fixture (&plan, 90);
  for (guint i = 0; i < 90; i++)
    g_array_index (plan.hosts, spread_host_t, i).link_mbps = i < 8 ? 200 : 10;
  spread_plan (plan.hosts, NOW, plan.groups);
  for (guint i = 0; i < plan.groups->len; i++)
    {
      guint first = g_array_index (plan.groups, spread_group_t, i).first;
      fast += g_array_index (plan.hosts, spread_host_t, first).link_mbps == 200;
    }
  assert_int_equal (fast, 8);
  assert_groups_partition_the_hosts (&plan);
  free_fixture (&plan);
}

/* Messages to a host have to take the same path, so that they stay in order. */
static void
test_groups_do_not_depend_on_the_input_order (void **state)
{
  fixture_t a, b;

  (void)state;
  init_fixture (&a, 50);
  init_fixture (&b, 50);
  for (guint i = 0; i < 25; i++)
    {
      spread_host_t *left = &g_array_index (b.hosts, spread_host_t, i);
      spread_host_t *right = &g_array_index (b.hosts, spread_host_t, 49 - i);
      spread_host_t swapped = *left;
      *left = *right;
      *right = swapped;
    }
  spread_plan (a.hosts, NOW, a.groups);
  spread_plan (b.hosts, NOW, b.groups);
  for (guint i = 0; i < 50; i++)
    assert_true (name_equal (&g_array_index (a.hosts, spread_host_t, i).address,
                             &g_array_index (b.hosts, spread_host_t, i).address));
  free_fixture (&a);
  free_fixture (&b);
}

static void
test_large_fan_out_exceeds_a_slow_link (void **state)
{
  (void)state;
  assert_false (spread_exceeds_link (2000, 10, 10));
  assert_true (spread_exceeds_link (200000, 10, 10));
  assert_false (spread_exceeds_link (200000, 10, 1000));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_few_hosts_are_sent_to_directly),
    cmocka_unit_test (test_messages_per_host_grow_with_the_square_root),
    cmocka_unit_test (test_silent_host_does_not_forward),
    cmocka_unit_test (test_groups_do_not_depend_on_the_input_order),
    cmocka_unit_test (test_hosts_with_fast_links_forward),
    cmocka_unit_test (test_large_fan_out_exceeds_a_slow_link),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
