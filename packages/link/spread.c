#include "spread.h"

#include "../core/limits.h"

#include <string.h>

static int
compare_addresses (const void *left, const void *right)
{
  const name_t *a = &((const spread_host_t *)left)->address;
  const name_t *b = &((const spread_host_t *)right)->address;
  int order = memcmp (a->at, b->at, MIN (a->len, b->len));

  return order != 0 ? order : (int)a->len - (int)b->len;
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

  g_array_sort (hosts, compare_addresses);
  for (guint i = 0; i < n; i++)
    {
      guint first = (guint)((uint64_t)hosts->len * i / n);
      guint end = (guint)((uint64_t)hosts->len * (i + 1) / n);
      spread_group_t group = { first, end - first };
      choose_forwarder (hosts, &group, now);
      g_array_append_val (groups, group);
    }
}

bool
spread_exceeds_link (size_t bytes, guint n, double megabits)
{
  double seconds = (double)bytes * 8 * n / (megabits * 1e6);

  return seconds * 1000 > SPREAD_BUSY_MS;
}
