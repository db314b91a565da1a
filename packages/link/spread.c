#include "spread.h"

#include "../core/limits.h"

#include <string.h>

/* The fastest links first, then by address. */
static int
compare_hosts (const void *left, const void *right)
{
  const spread_host_t *a = left, *b = right;

  if (a->link_mbps != b->link_mbps)
    return a->link_mbps > b->link_mbps ? -1 : 1;
  int order = memcmp (a->address.at, b->address.at, MIN (a->address.len, b->address.len));
  return order != 0 ? order : (int)a->address.len - (int)b->address.len;
}

/* Above SPREAD_DIRECT_HOSTS: the square root of HOSTS, rounded up. */
guint
spread_group_count (guint hosts)
{
  guint groups = 1;

  if (hosts <= SPREAD_DIRECT_HOSTS)
    return hosts;
  while (groups * groups < hosts)
    groups++;
  return groups;
}

/* Moves the first host that was heard from within SPREAD_ALIVE_MS to the front of its
 * group.  If there is none, the group stays as it is. */
static void
choose_forwarder (GArray *hosts, const spread_group_t *group, msec_t now)
{
  spread_host_t *members = &g_array_index (hosts, spread_host_t, group->first);

  for (guint i = 0; i < group->n; i++)
    if (now - members[i].last_heard <= SPREAD_ALIVE_MS)
      {
        spread_host_t chosen = members[i];
        members[i] = members[0];
        members[0] = chosen;
        return;
      }
}

void
spread_plan (GArray *hosts, msec_t now, GArray *groups)
{
  guint n = spread_group_count (hosts->len);
  guint followers = hosts->len - n;
  GArray *sorted = g_array_new (FALSE, FALSE, sizeof (spread_host_t));

  g_array_sort (hosts, compare_hosts);
  g_array_append_vals (sorted, hosts->data, hosts->len);
  g_array_set_size (hosts, 0);
  for (guint i = 0; i < n; i++)
    {
      guint first = (guint)((uint64_t)followers * i / n);
      guint end = (guint)((uint64_t)followers * (i + 1) / n);
      spread_group_t group = { hosts->len, end - first + 1 };
      g_array_append_val (hosts, g_array_index (sorted, spread_host_t, i));
      if (end > first)
        g_array_append_vals (hosts,
                             &g_array_index (sorted, spread_host_t, n + first),
                             end - first);
      choose_forwarder (hosts, &group, now);
      g_array_append_val (groups, group);
    }
  g_array_unref (sorted);
}

bool
spread_exceeds_link (size_t bytes, guint n, double megabits)
{
  double seconds = (double)bytes * 8 * n / (megabits * 1e6);

  return seconds * 1000 > SPREAD_BUSY_MS;
}
