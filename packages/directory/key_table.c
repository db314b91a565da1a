#include "key_table.h"

static const key_range_t *
range_at (const key_table_t *self, guint i)
{
  return &g_array_index (self->ranges, key_range_t, i);
}

void
key_table_init (key_table_t *self, text_t service)
{
  *self = (key_table_t){ .ranges = g_array_new (FALSE, TRUE, sizeof (key_range_t)) };
  name_set (&self->service, service);
}

void
key_table_finish (key_table_t *self)
{
  g_array_unref (self->ranges);
}

void
key_table_copy (key_table_t *self, const key_table_t *from)
{
  key_table_init (self, name_text (&from->service));
  self->version = from->version;
  self->era = from->era;
  g_array_append_vals (self->ranges, from->ranges->data, from->ranges->len);
}

const key_range_t *
key_table_find (const key_table_t *self, uint32_t key)
{
  guint low = 0, high = self->ranges->len;

  while (low < high)
    {
      guint middle = (low + high) / 2;
      const key_range_t *range = range_at (self, middle);
      if (key < range->first)
        high = middle;
      else if (key > range->last)
        low = middle + 1;
      else
        return range;
    }
  return NULL;
}

static bool
same_range (const key_range_t *a, const key_range_t *b)
{
  return a->first == b->first && a->last == b->last && a->fence == b->fence
         && a->target_started_at == b->target_started_at
         && name_equal (&a->target, &b->target) && name_equal (&a->address, &b->address);
}

void
key_table_diff (const key_table_t *before, const key_table_t *after, key_table_t *changes)
{
  changes->version = after->version;
  for (guint i = 0; i < after->ranges->len; i++)
    {
      const key_range_t *range = range_at (after, i);
      const key_range_t *old = key_table_find (before, range->first);
      if (old == NULL || !same_range (old, range))
        g_array_append_vals (changes->ranges, range, 1);
    }
}

static bool
overlap (const key_range_t *a, const key_range_t *b)
{
  return a->first <= b->last && b->first <= a->last;
}

static bool
overlaps_changes (const key_range_t *range, const key_table_t *changes)
{
  for (guint i = 0; i < changes->ranges->len; i++)
    if (overlap (range, range_at (changes, i)))
      return true;
  return false;
}

static int
by_first (const void *left, const void *right)
{
  const key_range_t *a = left, *b = right;

  return a->first < b->first ? -1 : a->first > b->first;
}

/* The ranges of SELF that don't overlap CHANGES, and those of CHANGES, ascending. */
static GArray *
merge (const key_table_t *self, const key_table_t *changes)
{
  GArray *ranges = g_array_new (FALSE, TRUE, sizeof (key_range_t));

  for (guint i = 0; i < self->ranges->len; i++)
    if (!overlaps_changes (range_at (self, i), changes))
      g_array_append_vals (ranges, range_at (self, i), 1);
  g_array_append_vals (ranges, changes->ranges->data, changes->ranges->len);
  g_array_sort (ranges, by_first);
  return ranges;
}

static bool
is_complete (const GArray *ranges)
{
  uint32_t next = 0;

  for (guint i = 0; i < ranges->len; i++)
    {
      const key_range_t *range = &g_array_index (ranges, key_range_t, i);
      if (range->first != next || range->last < range->first)
        return false;
      next = range->last + 1;
    }
  return next == KEY_LAST + 1;
}

status_t
key_table_apply (key_table_t *self, const key_table_t *changes, fault_t *fault)
{
  GArray *ranges = merge (self, changes);

  if (!is_complete (ranges))
    {
      g_array_unref (ranges);
      return fault_raise (fault,
                          STATUS_DECODE,
                          "changes of version %llu don't apply to key table version %llu",
                          (unsigned long long)changes->version,
                          (unsigned long long)self->version);
    }
  g_array_unref (self->ranges);
  self->ranges = ranges;
  self->version = changes->version;
  return STATUS_OK;
}
