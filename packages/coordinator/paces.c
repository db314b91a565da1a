#include "coordinator_parts.h"

#include "../core/eventlog.h"

void
paces_apply (coordinator_t *self, GArray *paces)
{
  proxy_msg_t *msg = g_new0 (proxy_msg_t, 1);

  msg->kind = PROXY_PACES;
  msg->paces = paces;
  discovery_post (self, msg);
}

void
paces_handle_samples (coordinator_t *self, const GArray *samples)
{
  if (self->role.state == ROLE_HELD)
    pace_fleet_report (&self->paces, samples, msclock_now (&self->clock));
}

void
paces_forward_samples (coordinator_t *self, GArray *samples)
{
  const link_samples_t message = { samples };

  if (samples == NULL || samples->len == 0 || self->host_count < PACE_HOSTS_LEAST)
    return;
  if (self->role.state == ROLE_HELD)
    paces_handle_samples (self, samples);
  else if (self->granter.len > 0)
    peers_send (self, &self->granter, link_encode_samples (&message));
}

static void
log_list (const GArray *paces)
{
  uint32_t least = UINT32_MAX, most = 0, strained = 0;

  for (guint i = 0; i < paces->len; i++)
    {
      const pace_t *pace = &g_array_index (paces, pace_t, i);
      least = MIN (least, pace->work_ms);
      most = MAX (most, pace->work_ms);
      strained += pace->strain_permille > PACE_STRAINED_PERMILLE;
    }
  eventlog_write (EVENT_STATE,
                  "pace",
                  "listed",
                  "targets=%u least_ms=%u most_ms=%u strained=%u",
                  paces->len,
                  least,
                  most,
                  strained);
}

void
paces_step (coordinator_t *self, msec_t now)
{
  link_paces_t list = { g_array_new (FALSE, FALSE, sizeof (pace_t)) };

  if (!pace_fleet_plan (&self->paces, now, list.paces))
    {
      g_array_unref (list.paces);
      return;
    }
  log_list (list.paces);
  GByteArray *body = link_encode_paces (&list);
  peers_broadcast (self, body);
  g_byte_array_unref (body);
  paces_apply (self, list.paces);
}
