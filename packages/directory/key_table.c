#include "key_table.h"

static const key_run_t *
run_at (const key_table_t *self, guint i)
{
  return &g_array_index (self->runs, key_run_t, i);
}

void
key_table_init (key_table_t *self, text_t service)
{
  *self = (key_table_t){ .runs = g_array_new (FALSE, TRUE, sizeof (key_run_t)) };
  name_set (&self->service, service);
}

void
key_table_finish (key_table_t *self)
{
  g_array_unref (self->runs);
}

void
key_table_copy (key_table_t *self, const key_table_t *from)
{
  key_table_init (self, name_text (&from->service));
  self->version = from->version;
  g_array_append_vals (self->runs, from->runs->data, from->runs->len);
}

const key_run_t *
key_table_find (const key_table_t *self, uint32_t key)
{
  guint low = 0, high = self->runs->len;

  while (low < high)
    {
      guint middle = (low + high) / 2;
      const key_run_t *run = run_at (self, middle);
      if (key < run->first)
        high = middle;
      else if (key > run->last)
        low = middle + 1;
      else
        return run;
    }
  return NULL;
}

static bool
same_run (const key_run_t *a, const key_run_t *b)
{
  return a->first == b->first && a->last == b->last && a->fence == b->fence
         && a->born == b->born && name_equal (&a->target, &b->target)
         && name_equal (&a->address, &b->address);
}

void
key_table_diff (const key_table_t *before, const key_table_t *after, key_table_t *changes)
{
  changes->version = after->version;
  for (guint i = 0; i < after->runs->len; i++)
    {
      const key_run_t *run = run_at (after, i);
      const key_run_t *old = key_table_find (before, run->first);
      if (old == NULL || !same_run (old, run))
        g_array_append_vals (changes->runs, run, 1);
    }
}

static bool
overlap (const key_run_t *a, const key_run_t *b)
{
  return a->first <= b->last && b->first <= a->last;
}

static bool
is_touched (const key_run_t *run, const key_table_t *changes)
{
  for (guint i = 0; i < changes->runs->len; i++)
    if (overlap (run, run_at (changes, i)))
      return true;
  return false;
}

static int
by_first (const void *left, const void *right)
{
  const key_run_t *a = left, *b = right;

  return a->first < b->first ? -1 : a->first > b->first;
}

/* The runs of SELF that CHANGES doesn't touch, and those of CHANGES, ascending. */
static GArray *
merge (const key_table_t *self, const key_table_t *changes)
{
  GArray *runs = g_array_new (FALSE, TRUE, sizeof (key_run_t));

  for (guint i = 0; i < self->runs->len; i++)
    if (!is_touched (run_at (self, i), changes))
      g_array_append_vals (runs, run_at (self, i), 1);
  g_array_append_vals (runs, changes->runs->data, changes->runs->len);
  g_array_sort (runs, by_first);
  return runs;
}

static bool
is_whole (const GArray *runs)
{
  uint32_t next = 0;

  for (guint i = 0; i < runs->len; i++)
    {
      const key_run_t *run = &g_array_index (runs, key_run_t, i);
      if (run->first != next || run->last < run->first)
        return false;
      next = run->last + 1;
    }
  return next == KEY_LAST + 1;
}

status_t
key_table_apply (key_table_t *self, const key_table_t *changes, fault_t *fault)
{
  GArray *runs = merge (self, changes);

  if (!is_whole (runs))
    {
      g_array_unref (runs);
      return fault_raise (fault,
                          STATUS_DECODE,
                          "changes of version %llu don't fit version %llu",
                          (unsigned long long)changes->version,
                          (unsigned long long)self->version);
    }
  g_array_unref (self->runs);
  self->runs = runs;
  self->version = changes->version;
  return STATUS_OK;
}
