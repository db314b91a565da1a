#include "worker.h"

#include "../core/log.h"
#include "worker_parts.h"

#include <string.h>

#define INBOX_MAX_MESSAGES 8192

msec_t
worker_now (const worker_t *self)
{
  return msclock_now (&self->clock);
}

void
worker_post (worker_t *self, worker_out_t *msg)
{
  msg->worker = self->index;
  if (mailbox_post (self->control, msg))
    return;
  metrics_add (&self->metrics, COUNT_MAILBOX_FULL, 1);
  worker_out_free (msg);
}

static job_t *
get_job (worker_t *self, route_id_t id)
{
  return &self->jobs[id];
}

static void
arm_timer (worker_t *self)
{
  msec_t now = worker_now (self);
  msec_t due = route_next_due (&self->route, now);
  struct timeval tv;

  if (due == MSEC_NEVER || evtimer_pending (self->timer, NULL))
    return;
  tv.tv_sec = (due - now) / 1000;
  tv.tv_usec = (due - now) % 1000 * 1000;
  evtimer_add (self->timer, &tv);
}

/* Effects of the routing logic. */

static void
do_accepted (worker_t *self, const route_out_t *effect)
{
  job_t *job = get_job (self, effect->id);

  *job = *self->new_job;
  job->request_id = effect->id;
  if (job->needs_claim)
    job->ticket = ((ticket_t)(self->index + 1) << TICKET_WORKER_SHIFT)
                  | (job->serial << TICKET_SERIAL_SHIFT) | job->request_id;
  front_set_user_data (job->request, job);
}

static void
send_claim (job_t *job, claim_op_kind_t kind, stored_answer_t *answer)
{
  worker_out_t *msg = g_new0 (worker_out_t, 1);

  msg->kind = WORKER_OUT_CLAIM;
  msg->op = (claim_op_t){ .kind = kind,
                          .ticket = job->ticket,
                          .service = job->service.name,
                          .order_id = job->order_id,
                          .answer = answer };
  metrics_add (&job->worker->metrics, COUNT_CLAIMS, 1);
  worker_post (job->worker, msg);
}

static void
do_send (worker_t *self, const route_out_t *effect)
{
  job_t *job = get_job (self, effect->id);

  if (suspect_is_blocked (&self->suspect, job->fingerprint, worker_now (self)))
    {
      const route_msg_t msg = { .kind = ROUTE_BLOCKED, .id = effect->id };
      worker_feed (self, &msg);
      return;
    }
  const target_t *target = &self->route.table.targets[effect->target];

  metrics_add (&self->metrics, COUNT_ATTEMPTS, 1);
  log_decision ("route",
                "Request %" G_GUINT64_FORMAT
                " of %.*s to %.*s: slot %d, version %" G_GUINT64_FORMAT
                ", epoch %" G_GUINT64_FORMAT ", attempt %u, %s.",
                job->serial,
                NAME_ARG (job->service.name),
                NAME_ARG (target->name),
                effect->keyed ? (int)effect->slot : INDEX_NONE,
                effect->version,
                effect->epoch,
                effect->attempt,
                effect->keyed ? "owner" : "lowest cost");
  calls_start (job, effect);
}

static void
end_job (job_t *job)
{
  metrics_record_latency (&job->worker->metrics,
                          job->service_index,
                          worker_now (job->worker) - job->arrived_at);
  job_finish (job);
}

static void
do_deliver (worker_t *self, const route_out_t *effect)
{
  job_t *job = get_job (self, effect->id);
  front_request_t *request = job->request;

  metrics_add (&self->metrics, COUNT_ANSWERED, 1);
  log_decision ("route", "Request %" G_GUINT64_FORMAT " answered.", job->serial);
  if (job->ticket != 0)
    send_claim (job, CLAIM_OP_COMPLETE, job_store_answer (self->current_answer));
  if (!job->streaming)
    job_copy_headers (job, self->current_answer);
  job->request = NULL;
  if (job->streaming)
    front_stream_end (request);
  else
    front_reply (request,
                 evhttp_request_get_response_code (self->current_answer),
                 evhttp_request_get_input_buffer (self->current_answer));
  end_job (job);
}

static counter_t
counter_of_outcome (route_outcome_t outcome)
{
  static const counter_t counts[] = {
    [ROUTE_OUTCOME_ANSWERED] = COUNT_ANSWERED,
    [ROUTE_OUTCOME_NOT_RUN] = COUNT_NOT_RUN,
    [ROUTE_OUTCOME_UNKNOWN] = COUNT_UNKNOWN,
    [ROUTE_OUTCOME_REFUSED] = COUNT_REFUSED,
  };
  return counts[outcome];
}

static void
do_refuse (worker_t *self, const route_out_t *effect)
{
  bool accepted = effect->id != ROUTE_ID_NONE;
  job_t *job = accepted ? get_job (self, effect->id) : self->new_job;
  front_request_t *request = job->request;

  metrics_add (&self->metrics, counter_of_outcome (effect->outcome), 1);
  log_decision ("route",
                "Request %" G_GUINT64_FORMAT " of %.*s %s: %s, attempt %u.",
                job->serial,
                NAME_ARG (job->service.name),
                route_outcome_name (effect->outcome),
                route_reason_name (effect->reason),
                effect->attempt);
  if (job->streaming)
    calls_abort_stream (job);
  else
    {
      job->request = NULL;
      front_reply_outcome (request, effect->outcome, effect->reason);
    }
  end_job (job);
}

static void
do_replay (worker_t *self, const route_out_t *effect)
{
  job_t *job = get_job (self, effect->id);
  front_request_t *request = job->request;

  metrics_add (&self->metrics, COUNT_REPLAYED, 1);
  log_decision ("route",
                "Request %" G_GUINT64_FORMAT " answered with the order's stored answer.",
                job->serial);
  job->request = NULL;
  job_replay (job, request);
  end_job (job);
}

static void
do_ack (worker_t *self, const route_out_t *effect)
{
  worker_out_t *msg = g_new0 (worker_out_t, 1);

  msg->kind = WORKER_OUT_ACK;
  msg->version = effect->version;
  worker_post (self, msg);
}

static void
execute_effect (worker_t *self, const route_out_t *effect)
{
  switch (effect->kind)
    {
    case ROUTE_ACCEPTED:
      do_accepted (self, effect);
      break;
    case ROUTE_CLAIM:
      send_claim (get_job (self, effect->id), CLAIM_OP_ACQUIRE, NULL);
      break;
    case ROUTE_RELEASE:
      send_claim (get_job (self, effect->id), CLAIM_OP_RELEASE, NULL);
      break;
    case ROUTE_SEND:
      do_send (self, effect);
      break;
    case ROUTE_CANCEL:
      calls_cancel (get_job (self, effect->id));
      break;
    case ROUTE_DELIVER:
      do_deliver (self, effect);
      break;
    case ROUTE_REFUSE:
      do_refuse (self, effect);
      break;
    case ROUTE_REPLAY:
      do_replay (self, effect);
      break;
    case ROUTE_ACK:
      do_ack (self, effect);
      break;
    }
}

/* Executing an effect may call worker_feed again; the nested call only appends its
 * effects to the list, which the outer call works through. */
void
worker_feed (worker_t *self, const route_msg_t *msg)
{
  route_handle (&self->route, msg, worker_now (self), self->effects);
  if (self->handling_effects)
    return;
  self->handling_effects = true;
  for (guint i = 0; i < self->effects->len; i++)
    {
      route_out_t effect = g_array_index (self->effects, route_out_t, i);
      execute_effect (self, &effect);
    }
  g_array_set_size (self->effects, 0);
  self->handling_effects = false;
  arm_timer (self);
}

/* Callers. */

static route_reason_t
reason_of_class (class_result_t result)
{
  static const route_reason_t reasons[] = {
    [CLASS_OK] = ROUTE_REASON_NONE,
    [CLASS_NO_CONFIG] = ROUTE_REASON_NO_CONFIG,
    [CLASS_NO_SERVICE] = ROUTE_REASON_UNKNOWN_SERVICE,
    [CLASS_NO_KEY] = ROUTE_REASON_NO_KEY,
    [CLASS_NO_ORDER_ID] = ROUTE_REASON_NO_ORDER_ID,
  };
  return reasons[result];
}

static void
refuse_unclassified (worker_t *self, front_request_t *request, class_result_t result)
{
  route_outcome_t outcome
      = result == CLASS_NO_CONFIG ? ROUTE_OUTCOME_NOT_RUN : ROUTE_OUTCOME_REFUSED;

  metrics_add (&self->metrics, counter_of_outcome (outcome), 1);
  log_decision ("route",
                "Request refused: %s.",
                route_reason_name (reason_of_class (result)));
  front_reply_outcome (request, outcome, reason_of_class (result));
}

static void
on_received (void *owner, front_request_t *request)
{
  worker_t *self = owner;
  request_view_t view;
  request_class_t class;
  job_t job;

  metrics_add (&self->metrics, COUNT_REQUESTS, 1);
  front_view (request, &view);
  class_result_t result = classify (&self->route.config, &view, &class);
  if (result != CLASS_OK)
    {
      refuse_unclassified (self, request, result);
      return;
    }
  self->last_serial++;
  job_init (&job, self, request, &view, &class, worker_now (self));
  route_msg_t msg = { .kind = ROUTE_ARRIVE,
                      .service = class.service,
                      .idempotent = class.idempotent,
                      .needs_claim = job.needs_claim,
                      .slot = class.slot,
                      .deadline = job.deadline };
  self->new_job = &job;
  worker_feed (self, &msg);
  self->new_job = NULL;
}

static void
on_disconnected (void *owner, front_request_t *request)
{
  worker_t *self = owner;
  job_t *job = front_user_data (request);

  if (job == NULL || job->request != request)
    return;
  route_msg_t msg = { .kind = ROUTE_ABANDONED, .id = job->request_id };
  job->request = NULL;
  metrics_add (&self->metrics, COUNT_CALLERS_GONE, 1);
  worker_feed (self, &msg);
  job_finish (job);
}

static void
on_drained (void *owner, front_request_t *request)
{
  job_t *job = front_user_data (request);

  (void)owner;
  if (job == NULL || !job->reading_paused || job->call == NULL)
    return;
  job->reading_paused = false;
  httpc_set_paused (job->call, false);
}

static void
on_rejected (void *owner, route_reason_t reason)
{
  worker_t *self = owner;

  metrics_add (&self->metrics, COUNT_BAD_REQUEST, 1);
  metrics_add (&self->metrics, COUNT_REFUSED, 1);
  log_decision ("front", "Request refused: %s.", route_reason_name (reason));
}

static const front_ops_t front_ops
    = { on_received, on_disconnected, on_drained, on_rejected };

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  worker_t *self = arg;
  route_msg_t msg = { .kind = ROUTE_TICK };

  (void)fd;
  (void)what;
  worker_feed (self, &msg);
}

void
worker_msg_free (void *message)
{
  worker_msg_t *msg = message;

  g_free (msg->config);
  g_free (msg->table);
  g_free (msg->stored);
  g_free (msg);
}

void
worker_out_free (void *message)
{
  worker_out_t *msg = message;

  g_free (msg->metrics);
  g_free (msg->loads);
  g_free (msg);
}

status_t
worker_init (worker_t *self,
             uint32_t index,
             const settings_t *settings,
             uint64_t incarnation,
             mailbox_t *control,
             fault_t *fault)
{
  memset (self, 0, sizeof *self);
  self->index = index;
  self->settings = settings;
  self->incarnation = incarnation;
  self->control = control;
  msclock_init_real (&self->clock);
  metrics_init (&self->metrics);
  route_init (&self->route, settings->workers, incarnation + index);
  self->base = event_base_new ();
  self->timer = evtimer_new (self->base, on_timer, self);
  self->effects = g_array_new (FALSE, FALSE, sizeof (route_out_t));
  self->jobs = g_new0 (job_t, REQUEST_MAX);
  suspect_init (&self->suspect, 2);
  self->suspect_out = g_array_new (FALSE, FALSE, sizeof (suspect_out_t));
  if (!mailbox_init (&self->inbox,
                     self->base,
                     INBOX_MAX_MESSAGES,
                     inbox_deliver,
                     worker_msg_free,
                     self))
    return fault_raise (fault, STATUS_IO, "worker %u: can't create an eventfd", index);
  return front_init (&self->front,
                     self->base,
                     name_text (&settings->address),
                     settings->caller_port,
                     &front_ops,
                     self,
                     fault);
}

void *
worker_run (void *self)
{
  worker_t *worker = self;

  event_base_dispatch (worker->base);
  return NULL;
}

void
worker_finish (worker_t *self)
{
  front_finish (&self->front);
  for (uint32_t i = 0; i < TARGET_MAX; i++)
    if (self->pools[i] != NULL)
      {
        httpc_pool_finish (self->pools[i]);
        g_free (self->pools[i]);
      }
  mailbox_finish (&self->inbox);
  event_free (self->timer);
  event_base_free (self->base);
  g_array_unref (self->effects);
  g_array_unref (self->suspect_out);
  suspect_finish (&self->suspect);
  g_free (self->jobs);
  route_finish (&self->route);
}
