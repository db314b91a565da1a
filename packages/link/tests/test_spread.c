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
} plan_t;

static void
begin (plan_t *self, guint n)
{
  self->hosts = g_array_new (FALSE, FALSE, sizeof (spread_host_t));
  self->groups = g_array_new (FALSE, FALSE, sizeof (spread_group_t));
  for (guint i = 0; i < n; i++)
    {
      spread_host_t host = { .heard = NOW };
      char address[24];
      snprintf (address, sizeof address, "10.0.%u.%u:70", i / 200, i % 200);
      name_set (&host.address, text_from_c (address));
      g_array_append_val (self->hosts, host);
    }
}

static void
finish (plan_t *self)
{
  g_array_unref (self->hosts);
  g_array_unref (self->groups);
}

static void
assert_each_host_is_in_one_group (const plan_t *plan)
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
test_few_hosts_get_it_directly (void **state)
{
  (void)state;
  for (guint n = 0; n <= SPREAD_DIRECT; n++)
    {
      plan_t plan;
      begin (&plan, n);
      spread_plan (plan.hosts, NOW, plan.groups);
      assert_int_equal (plan.groups->len, n);
      assert_each_host_is_in_one_group (&plan);
      finish (&plan);
    }
}

/* The target's 510 hosts: neither the sender nor one that passes on sends over 23. */
static void
test_many_hosts_cost_each_sender_the_square_root (void **state)
{
  (void)state;
  for (guint n = SPREAD_DIRECT + 1; n <= 600; n++)
    {
      plan_t plan;
      guint root = 1;
      begin (&plan, n);
      spread_plan (plan.hosts, NOW, plan.groups);
      while (root * root < n)
        root++;
      assert_true (plan.groups->len <= root);
      for (guint i = 0; i < plan.groups->len; i++)
        assert_true (g_array_index (plan.groups, spread_group_t, i).n <= root);
      assert_each_host_is_in_one_group (&plan);
      finish (&plan);
    }
}

static void
test_a_silent_host_passes_nothing_on (void **state)
{
  plan_t plan;

  (void)state;
  begin (&plan, 90);
  for (guint i = 0; i < 90; i += 3)
    g_array_index (plan.hosts, spread_host_t, i).heard = NOW - SPREAD_HEARD_MS - 1;
  spread_plan (plan.hosts, NOW, plan.groups);
  for (guint i = 0; i < plan.groups->len; i++)
    {
      guint first = g_array_index (plan.groups, spread_group_t, i).first;
      assert_true (g_array_index (plan.hosts, spread_host_t, first).heard == NOW);
    }
  assert_each_host_is_in_one_group (&plan);
  finish (&plan);
}

/* Messages to a host come over the same one, so that they stay in order. */
static void
test_groups_do_not_change_with_the_order_of_hosts (void **state)
{
  plan_t a, b;

  (void)state;
  begin (&a, 50);
  begin (&b, 50);
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
  finish (&a);
  finish (&b);
}

static void
test_what_would_fill_a_slow_link_is_heavy (void **state)
{
  (void)state;
  assert_false (spread_is_heavy (2000, 10, 10));
  assert_true (spread_is_heavy (200000, 10, 10));
  assert_false (spread_is_heavy (200000, 10, 1000));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_few_hosts_get_it_directly),
    cmocka_unit_test (test_many_hosts_cost_each_sender_the_square_root),
    cmocka_unit_test (test_a_silent_host_passes_nothing_on),
    cmocka_unit_test (test_groups_do_not_change_with_the_order_of_hosts),
    cmocka_unit_test (test_what_would_fill_a_slow_link_is_heavy),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
