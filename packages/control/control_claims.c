#include "control_parts.h"

/* Posts the result to the worker whose index plus one is the ticket's top byte. */
static void
post_claim_result (control_t *self, const claim_out_t *effect)
{
  uint32_t worker = (uint32_t)(effect->ticket >> 56) - 1;
  worker_msg_t *msg = g_new0 (worker_msg_t, 1);

  *msg = (worker_msg_t){ .kind = WORKER_CLAIM_RESULT,
                         .ticket = effect->ticket,
                         .outcome = effect->outcome,
                         .service = effect->service,
                         .order_id = effect->order_id };
  if (effect->outcome == CLAIM_OUTCOME_STORED)
    msg->stored = g_memdup2 (effect->stored, sizeof *effect->stored);
  if (worker < self->n_workers && mailbox_post (&self->workers[worker].inbox, msg))
    return;
  metrics_add (&self->metrics, COUNT_MAILBOX_FULL, 1);
  worker_msg_free (msg);
}

static void
arm_claim_timer (control_t *self)
{
  msec_t due = claim_next_due (&self->claim);
  msec_t wait = MAX (due - control_now (self), 0);
  struct timeval tv = { .tv_sec = wait / 1000, .tv_usec = wait % 1000 * 1000 };

  if (due != MSEC_NEVER)
    evtimer_add (self->claim_timer, &tv);
}

void
control_on_claim_timer (evutil_socket_t fd, short what, void *arg)
{
  const claim_msg_t tick = { .kind = CLAIM_MSG_TICK };

  (void)fd;
  (void)what;
  control_handle_claim (arg, &tick);
}

void
control_handle_claim (control_t *self, const claim_msg_t *msg)
{
  guint from = self->claim_out->len;

  claim_handle (&self->claim, msg, control_now (self), self->claim_out);
  for (guint i = from; i < self->claim_out->len; i++)
    {
      claim_out_t effect = g_array_index (self->claim_out, claim_out_t, i);
      if (effect.kind == CLAIM_OUT_TRANSACT)
        store_write_claims (self, effect.group);
      else
        post_claim_result (self, &effect);
    }
  g_array_set_size (self->claim_out, from);
  arm_claim_timer (self);
}
