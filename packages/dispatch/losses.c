#include "losses.h"

#include "dispatch_parts.h"

void
losses_record (dispatch_target_t *target, const dispatch_request_t *request, msec_t now)
{
  if (request->fingerprint == 0)
    return;
  target->losses[target->next_loss] = (dispatch_loss_t){ request->fingerprint, now };
  target->next_loss = (target->next_loss + 1) % DISPATCH_LOSS_HISTORY;
}

/* Passes MSG to the suspect list and appends the resulting reports to OUT, unless it is
 * NULL. */
static void
notify_suspects (dispatch_t *self, const suspect_msg_t *msg, msec_t now, GArray *out)
{
  GArray *reports = g_array_new (FALSE, FALSE, sizeof (suspect_out_t));

  suspect_handle (&self->suspects, msg, now, reports);
  for (guint i = 0; out != NULL && i < reports->len; i++)
    {
      dispatch_out_t broadcast = { .kind = DISPATCH_BROADCAST_SUSPECT,
                                   .suspect = g_array_index (reports, suspect_out_t, i) };
      g_array_append_val (out, broadcast);
    }
  g_array_unref (reports);
}

void
losses_confirm (dispatch_t *self, dispatch_target_t *target, msec_t now, GArray *out)
{
  for (guint i = 0; i < DISPATCH_LOSS_HISTORY; i++)
    {
      dispatch_loss_t *loss = &target->losses[i];
      const suspect_msg_t lost
          = { SUSPECT_LOST,
              loss->fingerprint,
              text_hash (name_text (&target->entry.id)) ^ target->entry.started_at };
      if (loss->fingerprint != 0 && now - loss->at <= DISPATCH_LOSS_MAX_AGE_MS)
        notify_suspects (self, &lost, now, out);
      loss->fingerprint = 0;
    }
}

void
losses_clear (dispatch_t *self,
              const dispatch_request_t *request,
              msec_t now,
              GArray *out)
{
  const suspect_msg_t answered
      = { .kind = SUSPECT_ANSWERED, .fingerprint = request->fingerprint };

  if (request->fingerprint != 0)
    notify_suspects (self, &answered, now, out);
}

void
losses_apply_remote (dispatch_t *self, const suspect_out_t *report, msec_t now)
{
  const suspect_msg_t remote
      = { report->cleared ? SUSPECT_ANSWER_REPORTED : SUSPECT_LOSS_REPORTED,
          report->fingerprint,
          report->target };

  notify_suspects (self, &remote, now, NULL);
}

bool
losses_is_blocked (const dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  return request->fingerprint != 0
         && suspect_is_blocked (&self->suspects, request->fingerprint, now);
}
