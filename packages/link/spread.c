#include "spread.h"

#include "../core/limits.h"

#include <string.h>

static int
by_address (const void *left, const void *right)
{
  const name_t *a = &((const spread_host_t *)left)->address;
  const name_t *b = &((const spread_host_t *)right)->address;
  int order = memcmp (a->at, b->at, MIN (a->len, b->len));

  return order != 0 ? order : (int)a->len - (int)b->len;
}

/* As many as the largest of them has hosts, or one more. */
guint
spread_groups (guint hosts)
{
  guint groups = 1;

  if (hosts <= SPREAD_DIRECT)
    return hosts;
  while (groups * groups < hosts)
    groups++;
  return groups;
}

/* The first host of the group that was heard of lately becomes its first. */
static void
choose_first (GArray *hosts, const spread_group_t *group, msec_t now)
{
  spread_host_t *at = &g_array_index (hosts, spread_host_t, group->first);

  for (guint i = 0; i < group->n; i++)
    if (now - at[i].heard <= SPREAD_HEARD_MS)
      {
        spread_host_t chosen = at[i];
        at[i] = at[0];
        at[0] = chosen;
        return;
      }
}

void
spread_plan (GArray *hosts, msec_t now, GArray *groups)
{
  guint n = spread_groups (hosts->len);

  g_array_sort (hosts, by_address);
  for (guint i = 0; i < n; i++)
    {
      guint first = (guint)((uint64_t)hosts->len * i / n);
      guint end = (guint)((uint64_t)hosts->len * (i + 1) / n);
      spread_group_t group = { first, end - first };
      choose_first (hosts, &group, now);
      g_array_append_val (groups, group);
    }
}

bool
spread_is_heavy (size_t bytes, guint n, double megabits)
{
  double seconds = (double)bytes * 8 * n / (megabits * 1e6);

  return seconds * 1000 > SPREAD_BUSY_MS;
}
