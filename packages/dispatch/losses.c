#include "losses.h"

#include "dispatch_parts.h"

void
losses_note (dispatch_target_t *target, const dispatch_request_t *request, msec_t now)
{
  if (request->fingerprint == 0)
    return;
  target->losses[target->next_loss] = (dispatch_loss_t){ request->fingerprint, now };
  target->next_loss = (target->next_loss + 1) % DISPATCH_LOSSES;
}

/* Gives MSG to the suspects; what they want told goes to OUT, if there is one. */
static void
suspect (dispatch_t *self, const suspect_msg_t *msg, msec_t now, GArray *out)
{
  GArray *told = g_array_new (FALSE, FALSE, sizeof (suspect_out_t));

  suspect_handle (&self->suspects, msg, now, told);
  for (guint i = 0; out != NULL && i < told->len; i++)
    {
      dispatch_out_t tell = { .kind = DISPATCH_TELL_SUSPECT,
                              .suspect = g_array_index (told, suspect_out_t, i) };
      g_array_append_val (out, tell);
    }
  g_array_unref (told);
}

void
losses_confirm (dispatch_t *self, dispatch_target_t *target, msec_t now, GArray *out)
{
  for (guint i = 0; i < DISPATCH_LOSSES; i++)
    {
      dispatch_loss_t *loss = &target->losses[i];
      const suspect_msg_t lost
          = { SUSPECT_LOST,
              loss->fingerprint,
              text_hash (name_text (&target->entry.id)) ^ target->entry.born };
      if (loss->fingerprint != 0 && now - loss->at <= DISPATCH_LOSS_KEEP_MS)
        suspect (self, &lost, now, out);
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
    suspect (self, &answered, now, out);
}

void
losses_hear (dispatch_t *self, const suspect_out_t *told, msec_t now)
{
  const suspect_msg_t heard = { told->cleared ? SUSPECT_CLEARED : SUSPECT_HEARD,
                                told->fingerprint,
                                told->target };

  suspect (self, &heard, now, NULL);
}

bool
losses_is_condemned (const dispatch_t *self,
                     const dispatch_request_t *request,
                     msec_t now)
{
  return request->fingerprint != 0
         && suspect_is_condemned (&self->suspects, request->fingerprint, now);
}
