#include "evacuation.h"

#include "../core/limits.h"

static evacuation_t *
row_at (const evacuations_t *self, guint i)
{
  return &g_array_index (self->rows, evacuation_t, i);
}

static evacuation_t *
find_row (const evacuations_t *self, const name_t *data_centre)
{
  for (guint i = 0; i < self->rows->len; i++)
    if (name_equal (&row_at (self, i)->data_centre, data_centre))
      return row_at (self, i);
  return NULL;
}

evacuation_change_t
evacuations_put (evacuations_t *self,
                 const name_t *data_centre,
                 uint64_t version,
                 msec_t age,
                 msec_t now)
{
  evacuation_t fresh = { .data_centre = *data_centre };
  evacuation_t *row = find_row (self, data_centre);

  if (row != NULL)
    row->seen = true;
  if (row != NULL && (row->in_force || version <= row->version))
    {
      row->version = MAX (row->version, version);
      return EVACUATION_SAME;
    }
  if (row == NULL)
    {
      g_array_append_val (self->rows, fresh);
      row = row_at (self, self->rows->len - 1);
    }
  row->version = version;
  row->in_force = true;
  row->seen = true;
  row->since = age == MSEC_NEVER ? MSEC_NEVER : now - age;
  row->learned_at = now;
  return EVACUATION_BEGAN;
}

evacuation_change_t
evacuations_remove (evacuations_t *self, const name_t *data_centre, uint64_t version)
{
  evacuation_t fresh = { .data_centre = *data_centre, .version = version };
  evacuation_t *row = find_row (self, data_centre);

  if (row == NULL)
    {
      g_array_append_val (self->rows, fresh);
      return EVACUATION_SAME;
    }
  if (version <= row->version)
    return EVACUATION_SAME;
  bool ended = row->in_force;
  row->in_force = false;
  row->version = version;
  return ended ? EVACUATION_ENDED : EVACUATION_SAME;
}

void
evacuations_read_started (evacuations_t *self)
{
  for (guint i = 0; i < self->rows->len; i++)
    row_at (self, i)->seen = false;
}

void
evacuations_read_done (evacuations_t *self,
                       uint64_t version,
                       uint64_t (*era_of) (uint64_t version),
                       GArray *ended)
{
  for (guint i = self->rows->len; i-- > 0;)
    {
      const evacuation_t *row = row_at (self, i);
      bool covered = row->version <= version;
      if (!row->in_force && covered)
        g_array_remove_index_fast (self->rows, i); /* no older row follows the read */
      else if (row->in_force && !row->seen && covered
               && era_of (row->version) == era_of (version))
        {
          g_array_append_vals (ended, row, 1);
          g_array_remove_index_fast (self->rows, i);
        }
    }
}

const evacuation_t *
evacuations_find (const evacuations_t *self, const name_t *data_centre)
{
  const evacuation_t *row = find_row (self, data_centre);

  return row != NULL && row->in_force ? row : NULL;
}

uint32_t
evacuations_count (const evacuations_t *self)
{
  uint32_t n = 0;

  for (guint i = 0; i < self->rows->len; i++)
    n += row_at (self, i)->in_force;
  return n;
}

msec_t
evacuations_age (const evacuations_t *self, msec_t now)
{
  msec_t age = 0;

  for (guint i = 0; i < self->rows->len; i++)
    {
      const evacuation_t *row = row_at (self, i);
      msec_t from = row->since == MSEC_NEVER ? row->learned_at : row->since;
      if (row->in_force)
        age = MAX (age, now - from);
    }
  return age;
}

msec_t
evacuation_owner_until (msec_t since, msec_t bound)
{
  return since == MSEC_NEVER ? 0 : since + bound * EVACUATION_OWNER_PERCENT / 100;
}

void
evacuations_init (evacuations_t *self)
{
  self->rows = g_array_new (FALSE, FALSE, sizeof (evacuation_t));
}

void
evacuations_finish (evacuations_t *self)
{
  g_array_unref (self->rows);
}
