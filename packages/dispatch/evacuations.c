#include "evacuations.h"

#include "targets.h"

static evacuation_t *
find (const GArray *evacuations, const name_t *data_centre)
{
  for (guint i = 0; i < evacuations->len; i++)
    {
      evacuation_t *evacuation = &g_array_index (evacuations, evacuation_t, i);
      if (name_equal (&evacuation->data_centre, data_centre))
        return evacuation;
    }
  return NULL;
}

void
evacuations_set (dispatch_t *self, const GArray *evacuations, msec_t now)
{
  GArray *before = self->evacuations;

  self->evacuations = g_array_new (FALSE, FALSE, sizeof (evacuation_t));
  g_array_append_vals (self->evacuations, evacuations->data, evacuations->len);
  for (guint i = 0; i < before->len; i++)
    {
      const evacuation_t *known = &g_array_index (before, evacuation_t, i);
      if (find (evacuations, &known->data_centre) == NULL)
        targets_suspect_cold (self, name_text (&known->data_centre), now);
    }
  g_array_unref (before);
}

bool
evacuations_cover (const dispatch_t *self, const dispatch_target_t *target)
{
  return find (self->evacuations, &target->entry.data_centre) != NULL;
}

msec_t
evacuations_owner_until (const dispatch_t *self, const dispatch_target_t *target)
{
  const evacuation_t *evacuation = find (self->evacuations, &target->entry.data_centre);

  return evacuation == NULL
             ? MSEC_NEVER
             : evacuation_owner_until (evacuation->since, self->bounds.evacuation);
}

bool
evacuations_leave_none (const dispatch_t *self, uint32_t service)
{
  return self->evacuations->len > 0 && targets_all_evacuated (self, service);
}
