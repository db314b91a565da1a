#include "dispatch_parts.h"
#include "targets.h"

/* The pace of targets: what a host knows by the granter's list, and what it reports. */

/* The mean over the listed targets, which the granter's list doesn't have. */
static void
update_service_pace (dispatch_t *self, uint32_t service, msec_t now)
{
  dispatch_service_t *paced = service_at (self, service);
  uint64_t sum = 0;
  uint32_t n = 0;

  for (guint i = 0; i < self->targets->len; i++)
    {
      const dispatch_target_t *target = target_at (self, i);
      if (!target->in_use || target->service != service || target->pace_until <= now)
        continue;
      sum += target->pace.work_ms;
      n++;
      paced->paced_until = MAX (paced->paced_until, target->pace_until);
    }
  if (n > 0)
    paced->pace_ms = (uint32_t)(sum / n);
}

void
targets_set_paces (dispatch_t *self, const GArray *paces, msec_t now)
{
  GHashTable *by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < paces->len; i++)
    {
      const pace_t *pace = &g_array_index (paces, pace_t, i);
      g_hash_table_insert (by_id, text_dup_c (name_text (&pace->target)), (gpointer)pace);
    }
  for (guint i = 0; i < self->targets->len; i++)
    {
      dispatch_target_t *target = target_at (self, i);
      char *id = text_dup_c (name_text (&target->entry.id));
      const pace_t *pace = g_hash_table_lookup (by_id, id);
      g_free (id);
      if (!target->in_use || pace == NULL)
        continue;
      target->pace = *pace;
      target->pace_until = now + PACE_KEEP_MS;
    }
  g_hash_table_unref (by_id);
  for (guint i = 0; i < self->services->len; i++)
    update_service_pace (self, i, now);
}

void
targets_note_moment (dispatch_t *self,
                     dispatch_target_t *target,
                     const load_report_t *load,
                     msec_t now)
{
  dispatch_service_t *service = service_at (self, target->service);

  if (!load->reported || load->moment_percent == 0)
    return;
  target->moment_percent = load->moment_percent;
  target->moment_at = now;
  service->moment_permille
      = (service->moment_permille * 63 + load->moment_percent * 10) / 64;
}

void
targets_report_paces (dispatch_t *self, GArray *samples)
{
  for (guint i = 0; i < self->targets->len; i++)
    {
      dispatch_target_t *target = target_at (self, i);
      pace_sample_t sample = target->sample;
      target->sample = (pace_sample_t){ 0 };
      if (!target->in_use || !target->listed || pace_sample_is_empty (&sample))
        continue;
      sample.target = target->entry.id;
      sample.service = target->entry.service;
      g_array_append_val (samples, sample);
    }
}
