#include "dispatch.h"

#include "admission.h"
#include "dispatch_parts.h"
#include "evacuations.h"
#include "losses.h"
#include "owners.h"
#include "retries.h"
#include "second.h"
#include "services.h"
#include "stops.h"
#include "targets.h"
#include "waits.h"

#include <string.h>

static void
emit (GArray *out, const dispatch_out_t *action)
{
  g_array_append_val (out, *action);
}

static void
dequeue (dispatch_t *self, dispatch_request_t *request)
{
  waits_set_owner (self, request, -1);
  admission_leave_rate (self, request);
  if (request->state == REQUEST_WAITING)
    g_queue_unlink (&service_at (self, request->service)->queue, &request->link);
}

static void
release_target (dispatch_t *self, dispatch_request_t *request)
{
  dispatch_target_t *target = target_at (self, (uint32_t)request->target);

  g_assert (request->state == REQUEST_SENT && target->in_flight > 0);
  target->in_flight--;
  pause_released (&target->pause, request->sent_at);
  if (target->in_flight == 0 && !target->listed && target->pause.since == 0)
    target->in_use = false;
}

static void
end (dispatch_t *self,
     dispatch_request_t *request,
     dispatch_reason_t reason,
     msec_t now,
     GArray *out)
{
  dispatch_out_t ended = { .kind = DISPATCH_END, .request = request, .reason = reason };

  dequeue (self, request);
  request->state = REQUEST_ENDED;
  request->timer_at = MSEC_NEVER;
  request->reason = reason;
  if (reason == REASON_NO_ROUTE)
    ended.outcome = OUTCOME_NO_ROUTE;
  else if (request->executions == 0)
    {
      /* Unless it was sent, or found all targets paused, it may have no service yet. */
      bool has_service = request->attempts > 0 || reason == REASON_PAUSED;
      msec_t earliest = has_service ? targets_next (self, request, now) : now;
      ended.outcome = OUTCOME_NOT_RUN;
      ended.retry_after = waits_retry_after (self, request, earliest, now);
    }
  else
    ended.outcome = reason == REASON_DEADLINE ? OUTCOME_TIMED_OUT : OUTCOME_UNKNOWN;
  emit (out, &ended);
}

static void
enqueue (dispatch_t *self,
         dispatch_request_t *request,
         dispatch_reason_t reason,
         msec_t until)
{
  if (request->state != REQUEST_WAITING)
    {
      request->link = (GList){ .data = request };
      g_queue_push_tail_link (&service_at (self, request->service)->queue,
                              &request->link);
      request->state = REQUEST_WAITING;
    }
  request->reason = reason;
  request->timer_at = until;
}

static void
send (dispatch_t *self,
      dispatch_request_t *request,
      uint32_t target,
      msec_t now,
      GArray *out)
{
  dispatch_target_t *to = target_at (self, target);

  admission_use_rate (self, request);
  dequeue (self, request);
  request->not_admitted = 0;
  request->state = REQUEST_SENT;
  request->target = (int32_t)target;
  request->attempts++;
  request->executions++; /* decremented if the target reports that it did not run it */
  request->sent_at = now;
  request->left_at_send = self->draining ? self->work_until - now : -1;
  request->expected_at_send = target_cautious_ms (to, now);
  to->in_flight++;
  request->load_at_send = target_load (to, now);
  request->timer_at = waits_next_check (self, request, now);
  admission_sent (self, target, now, out);
  dispatch_out_t out_send
      = { .kind = DISPATCH_SEND,
          .request = request,
          .target = target,
          .timeout = MIN (request->deadline, self->work_until) - now };
  emit (out, &out_send);
}

/* Sends the request to TARGET too, if it may have a second attempt now. */
static bool
send_second (dispatch_t *self, dispatch_request_t *request, msec_t now, GArray *out)
{
  int target = second_select (self, request, now);

  if (target < 0 || !budget_spend (&service_at (self, request->service)->budget, now))
    return false;
  second_put_beside (request);
  send (self, request, (uint32_t)target, now, out);
  return true;
}

/* Sends the request, queues it or ends it. */
static void
try_send (dispatch_t *self, dispatch_request_t *request, msec_t now, GArray *out)
{
  dispatch_reason_t reason = request->reason;

  if (now >= request->deadline)
    {
      end (self, request, REASON_DEADLINE, now, out);
      return;
    }
  if (self->stopping || !stops_allow_any (self, request, now))
    {
      end (self, request, REASON_STOPPING, now, out);
      return;
    }
  if (self->outdated)
    {
      end (self, request, REASON_OUTDATED, now, out);
      return;
    }
  if (losses_is_blocked (self, request, now))
    {
      end (self, request, REASON_CRASHES_TARGETS, now, out);
      return;
    }
  if (now < request->not_before)
    {
      enqueue (self, request, reason, MIN (request->not_before, request->deadline));
      return;
    }
  int32_t owner = -1;
  int target = request->keyed ? targets_find_owner (self, request, now, &owner, &reason)
                              : targets_select (self, request, now, &reason);
  if (target >= 0 && request->state == REQUEST_WAITING)
    target_at (self, (uint32_t)target)->saturated = false;
  if (target >= 0
      && (request->attempts == 0
          || budget_spend (&service_at (self, request->service)->budget, now)))
    send (self, request, (uint32_t)target, now, out);
  else if (target >= 0)
    end (self, request, REASON_RETRY_BUDGET, now, out);
  else if (reason == REASON_PAUSED)
    {
      admission_rejected (self, request, now, out);
      end (self, request, reason, now, out);
    }
  else if (((reason == REASON_RATE_LIMIT || reason == REASON_COLD)
            && request->rate_target < 0)
           || reason == REASON_OWNER_FULL || reason == REASON_STOPPING
           || reason == REASON_EVACUATED || waits_owner_saturated (self, request, owner)
           || waits_cannot_finish (self, request, now))
    end (self, request, reason, now, out);
  else if (now >= waits_queue_deadline (self, request, reason))
    {
      if (owner >= 0)
        target_at (self, (uint32_t)owner)->saturated = true;
      end (self, request, reason, now, out);
    }
  else
    {
      waits_set_owner (self, request, owner);
      enqueue (
          self,
          request,
          reason,
          MIN (now + DISPATCH_POLL_MS, waits_queue_deadline (self, request, reason)));
    }
}

/* Tries to send the queued requests of SERVICE, the highest priority (the lowest number)
 * first; priorities from 31 on count as equal. */
static void
process_queue (dispatch_t *self, uint32_t service, msec_t now, GArray *out)
{
  GQueue *queue = &service_at (self, service)->queue;
  uint32_t priorities = 0;

  for (GList *link = queue->head; link != NULL; link = link->next)
    priorities |= 1u << MIN (((dispatch_request_t *)link->data)->priority, 31);
  for (uint32_t priority = 0; priorities >> priority != 0 && priority < 32; priority++)
    {
      GList *next;
      if ((priorities & 1u << priority) == 0)
        continue;
      for (GList *link = queue->head; link != NULL; link = next)
        {
          dispatch_request_t *request = link->data;
          next = link->next;
          if (MIN (request->priority, 31) == priority)
            try_send (self, request, now, out);
        }
    }
}

static void
process_queues (dispatch_t *self, msec_t now, GArray *out)
{
  for (guint i = 0; i < self->services->len; i++)
    process_queue (self, i, now, out);
}

/* A key table may arrive before the configuration that names its service. */
static void
set_key_table (dispatch_t *self, const key_table_t *keys, msec_t now, GArray *out)
{
  const service_entry_t entry = { .name = name_text (&keys->service), .keyed = true };
  uint32_t index;
  dispatch_service_t *service = services_find_or_add (self, &entry, &index);

  if (keys->version < service->keys.version)
    return;
  key_table_finish (&service->keys);
  key_table_copy (&service->keys, keys);
  g_array_set_size (service->not_owner_until, 0);
  g_array_set_size (service->not_owner_until, keys->ranges->len);
  for (GList *link = service->queue.head; link != NULL; link = link->next)
    {
      dispatch_request_t *request = link->data;
      request->not_before = MIN (request->not_before, now + DISPATCH_GRANT_DELAY_MS);
    }
  process_queue (self, index, now, out);
}

static void
handle_arrival (dispatch_t *self, const dispatch_msg_t *msg, msec_t now, GArray *out)
{
  dispatch_request_t *request = msg->request;

  request->arrived = now;
  request->deadline = now + (msg->timeout >= 0 ? msg->timeout - msg->waited : 0);
  if (self->directory == NULL)
    {
      end (self, request, REASON_NO_CONFIGURATION, now, out);
      return;
    }
  if (self->outdated)
    {
      end (self, request, REASON_OUTDATED, now, out);
      return;
    }
  request->directory_version = self->directory->version;
  int i = directory_match_route (self->directory, msg->host, msg->path);
  if (i < 0)
    {
      end (self, request, REASON_NO_ROUTE, now, out);
      return;
    }
  const route_entry_t *route
      = &g_array_index (self->directory->routes, route_entry_t, (guint)i);
  if (route->kind == KIND_UNSUPPORTED)
    {
      end (self, request, REASON_UNSUPPORTED, now, out);
      return;
    }
  msec_t limit = msg->timeout >= 0 ? MIN (msg->timeout, route->timeout) : route->timeout;
  msec_t wait = MAX (limit - msg->waited, 0);
  request->service = services_select (self, route);
  dispatch_service_t *service = service_at (self, request->service);
  request->kind = route->kind;
  request->priority = route->priority;
  request->executions_max = MAX (route->max_executions, 1);
  request->deadline = now + wait;
  request->objective = now + MIN (route->latency_objective, wait);
  request->keyed = service->keyed && msg->has_key && msg->key <= KEY_LAST;
  request->key = msg->key;
  request->no_retry = msg->not_replayable;
  request->fingerprint = msg->fingerprint;
  if (request->keyed)
    service->key_loads[request->key / KEY_BUCKET_SIZE]++;
  budget_count_request (&service->budget, now);
  try_send (self, request, now, out);
}

/* Retries the request if that is allowed and there is time, or ends it. */
static void
retry (dispatch_t *self,
       dispatch_request_t *request,
       dispatch_reason_t reason,
       msec_t not_before,
       msec_t now,
       GArray *out)
{
  bool may_run_again
      = (!request->caller_left && !request->no_retry && request->executions == 0)
        || (request_kind_may_repeat (request->kind) && !request->no_retry
            && request->executions < request->executions_max);

  request->last_failed_target = request->target;
  request->reason = reason;
  request->state = REQUEST_NEW;
  request->not_before = not_before;
  if (now >= request->deadline)
    end (self, request, REASON_DEADLINE, now, out);
  else if (!may_run_again || request->attempts >= DISPATCH_ATTEMPTS_MAX)
    end (self, request, reason, now, out);
  else
    try_send (self, request, now, out);
}

static void
deliver (dispatch_request_t *request, GArray *out)
{
  dispatch_out_t out_deliver
      = { .kind = DISPATCH_DELIVER, .request = request, .reason = REASON_ANSWERED };

  request->state = REQUEST_ENDED;
  request->timer_at = MSEC_NEVER;
  request->reason = REASON_ANSWERED;
  emit (out, &out_deliver);
}

/* The newest attempt has failed.  If there is one beside it, that one goes on. */
static bool
continue_other (const dispatch_t *self, dispatch_request_t *request, msec_t now)
{
  if (!second_continue (request))
    return false;
  request->timer_at = waits_next_check (self, request, now);
  return true;
}

/* Cancels the newest attempt. */
static void
cancel_newest (dispatch_t *self, dispatch_request_t *request, GArray *out)
{
  dispatch_out_t out_cancel = { .kind = DISPATCH_CANCEL,
                                .request = request,
                                .target = (uint32_t)request->target };

  release_target (self, request);
  emit (out, &out_cancel);
}

/* Cancels the attempt beside the newest one, which has ended or goes on. */
static void
cancel_other (dispatch_t *self, dispatch_request_t *request, GArray *out)
{
  dispatch_request_t other = *request;

  if (!second_continue (&other))
    return;
  request->other_target = -1;
  dispatch_out_t out_cancel
      = { .kind = DISPATCH_CANCEL, .request = request, .target = (uint32_t)other.target };
  release_target (self, &other);
  emit (out, &out_cancel);
}

/* Cancels all attempts in progress. */
static void
cancel (dispatch_t *self, dispatch_request_t *request, GArray *out)
{
  cancel_newest (self, request, out);
  cancel_other (self, request, out);
}

static void
handle_answer (dispatch_t *self, const dispatch_msg_t *msg, msec_t now, GArray *out)
{
  dispatch_request_t *request = msg->request;
  uint32_t service = request->service;

  second_focus (request, msg);
  dispatch_target_t *target = target_at (self, (uint32_t)request->target);
  release_target (self, request);
  target_answered (target, request, msg, now);
  targets_note_moment (self, target, &msg->load, now);
  admission_answered (self, msg, now, out);
  if (msg->answer == ANSWER_RUN)
    {
      dispatch_service_t *service_state = service_at (self, service);
      /* From then on the caller was slow, not the target. */
      stops_note (self, request, msg->held_up_at > 0 ? MIN (msg->held_up_at, now) : now);
      service_state->service_time_ms
          = (service_state->service_time_ms * 15 + target->service_time_ms) / 16;
      losses_clear (self, request, now, out);
      if (msg->status >= 500 && continue_other (self, request, now))
        ;
      else if (msg->status >= 500 && retries_after_error (self, request, now))
        retry (self, request, REASON_ANSWER_LOST, now, now, out);
      else
        {
          cancel_other (self, request, out);
          deliver (request, out);
        }
    }
  else
    {
      /* The owner is known to take no request after the delay either. */
      bool delayed = request->keyed && !pause_is_active (&target->pause, now);
      request->executions--;
      if (msg->answer == ANSWER_NOT_OWNER && request->keyed)
        targets_note_not_owner (self, request, now);
      if (!continue_other (self, request, now))
        retry (self,
               request,
               msg->answer == ANSWER_FULL ? REASON_OVERLOAD : REASON_NO_OWNER,
               delayed ? now + retries_delay (self, request) : now,
               now,
               out);
    }
  process_queue (self, service, now, out);
}

static void
handle_failure (dispatch_t *self, const dispatch_msg_t *msg, msec_t now, GArray *out)
{
  dispatch_request_t *request = msg->request;
  uint32_t service = request->service;

  second_focus (request, msg);
  dispatch_target_t *target = target_at (self, (uint32_t)request->target);
  release_target (self, request);
  target_failed (target, msg, now);
  if (msg->refused)
    losses_confirm (self, target, now, out);
  else if (msg->sent)
    losses_record (target, request, now);
  if (!msg->sent)
    request->executions--;
  if (!continue_other (self, request, now))
    retry (self,
           request,
           msg->sent ? REASON_ANSWER_LOST : REASON_NO_TARGET,
           request->keyed ? now + retries_delay (self, request) : now,
           now,
           out);
  process_queue (self, service, now, out);
}

/* Ends a request that is in progress, whatever its target does. */
static void
give_up (dispatch_t *self,
         dispatch_request_t *request,
         dispatch_reason_t reason,
         msec_t now,
         GArray *out)
{
  if (request->state == REQUEST_SENT)
    cancel (self, request, out);
  if (request->state != REQUEST_ENDED)
    end (self, request, reason, now, out);
}

static void
handle_caller_left (dispatch_t *self,
                    dispatch_request_t *request,
                    msec_t now,
                    GArray *out)
{
  uint32_t service = request->service;
  bool sent = request->state == REQUEST_SENT;

  if (request->state == REQUEST_ENDED)
    return;
  if (sent && !request_kind_may_repeat (request->kind) && !request->streaming)
    {
      request->caller_left = true;
      return;
    }
  if (sent)
    cancel (self, request, out);
  dequeue (self, request);
  request->state = REQUEST_ENDED;
  request->timer_at = MSEC_NEVER;
  request->reason = REASON_CALLER_LEFT;
  if (sent)
    process_queue (self, service, now, out);
}

/* The request's timer expired: tries to send a queued request; checks a sent one for its
 * deadline and an overdue response. */
static void
handle_timer (dispatch_t *self, dispatch_request_t *request, msec_t now, GArray *out)
{
  if (request->state == REQUEST_WAITING)
    try_send (self, request, now, out);
  if (request->state != REQUEST_SENT || now < request->timer_at)
    return;
  if (now >= waits_answer_deadline (request))
    {
      owners_note_unanswered (target_at (self, (uint32_t)request->target), request, now);
      stops_note (self, request, now);
      cancel (self, request, out);
      end (self, request, REASON_DEADLINE, now, out);
    }
  else if (send_second (self, request, now, out))
    ;
  else if (retries_when_overdue (self, request, now))
    {
      target_timed_out (target_at (self, (uint32_t)request->target), now);
      stops_note (self, request, now);
      cancel (self, request, out);
      retry (self, request, REASON_ANSWER_LOST, now, now, out);
    }
  else
    request->timer_at = waits_next_check (self, request, now);
}

void
dispatch_handle (dispatch_t *self, const dispatch_msg_t *msg, msec_t now, GArray *out)
{
  switch (msg->kind)
    {
    case DISPATCH_DIRECTORY:
      services_set_directory (self, msg->directory);
      targets_set_cold_rates (self);
      process_queues (self, now, out);
      break;
    case DISPATCH_TARGETS:
      targets_update (self, msg->targets, now, out);
      process_queues (self, now, out);
      break;
    case DISPATCH_KEY_TABLE:
      set_key_table (self, msg->keys, now, out);
      break;
    case DISPATCH_ARRIVED:
      handle_arrival (self, msg, now, out);
      break;
    case DISPATCH_STREAMING:
      second_focus (msg->request, msg);
      cancel_other (self, msg->request, out);
      msg->request->no_retry = true;
      msg->request->streaming = true;
      msg->request->timer_at = waits_answer_deadline (msg->request);
      break;
    case DISPATCH_ANSWERED:
      handle_answer (self, msg, now, out);
      break;
    case DISPATCH_FAILED:
      handle_failure (self, msg, now, out);
      break;
    case DISPATCH_CALLER_LEFT:
      handle_caller_left (self, msg->request, now, out);
      break;
    case DISPATCH_TIMER:
      handle_timer (self, msg->request, now, out);
      break;
    case DISPATCH_ABANDON:
      give_up (self, msg->request, REASON_STOPPING, now, out);
      break;
    case DISPATCH_TOO_LARGE:
      give_up (self, msg->request, REASON_TOO_LARGE, now, out);
      process_queues (self, now, out);
      break;
    case DISPATCH_BOUNDS:
      self->bounds = msg->bounds;
      for (guint i = 0; i < self->services->len; i++)
        budget_set_limits (&service_at (self, i)->budget,
                           msg->bounds.retry_percent,
                           msg->bounds.retry_extra);
      targets_set_cold_rates (self);
      break;
    case DISPATCH_SUSPECT:
      losses_apply_remote (self, &msg->suspect, now);
      break;
    case DISPATCH_SHARES:
      targets_set_shares (self, msg->shares, now);
      break;
    case DISPATCH_PACES:
      targets_set_paces (self, msg->paces, now);
      break;
    case DISPATCH_GRANTS:
      targets_add_grants (self, msg->grants, msg->rates_at, now);
      process_queues (self, now, out);
      break;
    case DISPATCH_LEAVING:
      targets_note_leaving (self, &msg->leaving, now, out);
      break;
    case DISPATCH_EVACUATIONS:
      evacuations_set (self, msg->evacuations, now);
      process_queues (self, now, out);
      break;
    case DISPATCH_CURRENCY:
      self->outdated = msg->outdated;
      process_queues (self, now, out);
      break;
    case DISPATCH_STOP:
      self->stopping = true;
      process_queues (self, now, out);
      break;
    case DISPATCH_DRAIN:
      stops_begin (self, msg);
      break;
    }
}

void
dispatch_init (dispatch_t *self, text_t data_centre, uint64_t seed)
{
  *self = (dispatch_t){
    .service_map = g_array_new (FALSE, TRUE, sizeof (uint32_t)),
    .current_weights = g_array_new (FALSE, TRUE, sizeof (double)),
    .services = g_ptr_array_new_with_free_func (services_free),
    .evacuations = g_array_new (FALSE, FALSE, sizeof (evacuation_t)),
    .targets = g_ptr_array_new_with_free_func (g_free),
    .work_until = MSEC_NEVER,
  };
  name_set (&self->data_centre, data_centre);
  suspect_init (&self->suspects, SUSPECT_LOSS_THRESHOLD);
  rng_init (&self->rng, seed);
}

void
dispatch_finish (dispatch_t *self)
{
  if (self->directory != NULL)
    {
      directory_finish (self->directory);
      g_free (self->directory);
    }
  suspect_finish (&self->suspects);
  g_array_unref (self->evacuations);
  g_array_unref (self->service_map);
  g_array_unref (self->current_weights);
  g_ptr_array_unref (self->services);
  g_ptr_array_unref (self->targets);
}

void
dispatch_request_init (dispatch_request_t *self)
{
  *self = (dispatch_request_t){ .timer_at = MSEC_NEVER,
                                .target = -1,
                                .other_target = -1,
                                .queued_owner = -1,
                                .admitted_to = -1,
                                .rate_target = -1,
                                .left_at_send = -1,
                                .last_failed_target = -1 };
}
