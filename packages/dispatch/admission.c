#include "admission.h"

#include "dispatch_parts.h"
#include "stops.h"
#include "targets.h"

/* Whether this host is below its share of the connections that TARGET accepts from all
 * hosts. */
static bool
has_connection_quota (const dispatch_t *self, const dispatch_target_t *target)
{
  const dispatch_service_t *service = service_at (self, target->service);
  uint32_t share = service->max_connections / MAX (self->bounds.hosts, 1);

  return service->max_connections == 0 || target->in_flight < MAX (share, 1);
}

/* Whether the rate limit that TARGET has now didn't admit the request, or that of another
 * target with the same bit. */
static bool
was_rejected_by_rate (const dispatch_t *self,
                      const dispatch_request_t *request,
                      uint32_t target)
{
  return target_at (self, target)->rate.limited
         && (request->not_admitted & 1ull << target % 64) != 0;
}

admission_t
admission_check (const dispatch_t *self,
                 const dispatch_request_t *request,
                 uint32_t target,
                 msec_t now)
{
  const dispatch_target_t *candidate = target_at (self, target);

  if (pause_is_active (&candidate->pause, now))
    return ADMISSION_PAUSED;
  if (request->keyed && now < candidate->backoff_until)
    return ADMISSION_BACK_OFF;
  if (!stops_allow (self, request, target_cautious_ms (candidate, now), now))
    return ADMISSION_STOPPING;
  if (warmup_is_guarded (&candidate->warmup, now) && candidate->warmup.rate <= 0)
    return ADMISSION_COLD;
  if (was_rejected_by_rate (self, request, target)
      && request->rate_target != (int32_t)target
      && request->admitted_to != (int32_t)target)
    return warmup_is_guarded (&candidate->warmup, now) ? ADMISSION_COLD
                                                       : ADMISSION_RATE_LIMIT;
  if (!pause_admits (&candidate->pause, now) || !has_connection_quota (self, candidate)
      || !target_has_capacity (candidate, request->objective, now))
    return ADMISSION_NO_CAPACITY;
  return ADMISSION_NOW;
}

/* The array entry of the target may have been reused for another one. */
void
admission_leave_rate (const dispatch_t *self, dispatch_request_t *request)
{
  if (request->rate_target >= 0)
    rate_limit_leave (&target_at (self, (uint32_t)request->rate_target)->rate);
  if (request->admitted_to >= 0)
    rate_limit_put_back (&target_at (self, (uint32_t)request->admitted_to)->rate);
  request->rate_target = -1;
  request->admitted_to = -1;
}

void
admission_use_rate (const dispatch_t *self, dispatch_request_t *request)
{
  if (request->admitted_to >= 0)
    rate_limit_sent (&target_at (self, (uint32_t)request->admitted_to)->rate);
  request->admitted_to = -1;
}

static void
note_admitted (dispatch_t *self, dispatch_request_t *request, guint i)
{
  if (!target_at (self, i)->rate.limited)
    return;
  self->cold_sent += target_at (self, i)->warmup.applied ? 1 : 0;
  request->admitted_to = (int32_t)i;
  rate_limit_hold (&target_at (self, i)->rate);
}

/* Whether a request that waits for the rate limit of target I may be sent now. */
static bool
is_admitted_at_last (dispatch_t *self, dispatch_request_t *request, guint i, msec_t now)
{
  rate_limit_t *rate = &target_at (self, i)->rate;

  if (!rate_limit_take (rate, now))
    return false;
  request->rate_target = -1;
  note_admitted (self, request, i);
  return true;
}

/* Whether the rate limit of target I admits the request; asked once per attempt.  A keyed
 * request has no other target, so that it may wait. */
bool
admission_take (dispatch_t *self, dispatch_request_t *request, uint32_t i, msec_t now)
{
  if (request->admitted_to == (int32_t)i)
    return true;
  if (request->rate_target == (int32_t)i)
    return is_admitted_at_last (self, request, i, now);
  admission_leave_rate (self, request);
  if (was_rejected_by_rate (self, request, i))
    return false;
  warmup_apply (&target_at (self, i)->warmup, &target_at (self, i)->rate, now);
  if (rate_limit_admit (&target_at (self, i)->rate, self->bounds.hosts, now))
    {
      note_admitted (self, request, i);
      return true;
    }
  request->not_admitted |= 1ull << i % 64;
  self->cold_held += target_at (self, i)->warmup.applied ? 1 : 0;
  if (request->keyed && rate_limit_wait (&target_at (self, i)->rate, now))
    {
      request->rate_target = (int32_t)i;
      request->rate_until = now + RATE_WAIT_MS;
    }
  return false;
}

msec_t
admission_next (const dispatch_t *self, uint32_t target, msec_t now)
{
  return MAX (now, target_at (self, target)->pause.until);
}

/* Reports once that no target of SERVICE takes requests. */
static void
check_service (dispatch_t *self, uint32_t service, msec_t now, GArray *out)
{
  dispatch_service_t *checked = service_at (self, service);
  const dispatch_out_t paused
      = { .kind = DISPATCH_SERVICE_PAUSE,
          .service = service,
          .paused = true,
          .duration = targets_service_next (self, service, now) - now };

  if (checked->paused_since != MSEC_NEVER || paused.duration <= 0)
    return;
  checked->paused_since = now;
  g_array_append_val (out, paused);
}

void
admission_sent (dispatch_t *self, uint32_t target, msec_t now, GArray *out)
{
  dispatch_target_t *to = target_at (self, target);
  dispatch_service_t *service = service_at (self, to->service);
  const dispatch_out_t target_resumed = { .kind = DISPATCH_TARGET_PAUSE,
                                          .target = target,
                                          .duration = now - to->pause.since };
  const dispatch_out_t service_resumed = { .kind = DISPATCH_SERVICE_PAUSE,
                                           .service = to->service,
                                           .duration = now - service->paused_since };

  if (pause_sent (&to->pause))
    g_array_append_val (out, target_resumed);
  if (service->paused_since == MSEC_NEVER)
    return;
  service->paused_since = MSEC_NEVER;
  g_array_append_val (out, service_resumed);
}

bool
admission_states_pause (const dispatch_msg_t *msg)
{
  return msg->answer == ANSWER_FULL && msg->status == 503 && msg->pause.stated
         && msg->pause.duration > 0;
}

void
admission_answered (dispatch_t *self, const dispatch_msg_t *msg, msec_t now, GArray *out)
{
  const dispatch_request_t *request = msg->request;
  uint32_t index = (uint32_t)request->target;
  dispatch_target_t *target = target_at (self, index);
  const dispatch_out_t paused = { .kind = DISPATCH_TARGET_PAUSE,
                                  .target = index,
                                  .paused = true,
                                  .duration = msg->pause.duration };

  if (msg->answer == ANSWER_RUN)
    pause_run (&target->pause,
               request->sent_at,
               MAX (target->entry.slots, 1) + DISPATCH_TARGET_QUEUE_MAX);
  else if (admission_states_pause (msg))
    {
      if (pause_state (&target->pause, msg->pause.duration, now))
        g_array_append_val (out, paused);
      check_service (self, target->service, now, out);
    }
  else if (msg->answer == ANSWER_FULL)
    pause_rejected (&target->pause);
}

void
admission_rejected (dispatch_t *self,
                    const dispatch_request_t *request,
                    msec_t now,
                    GArray *out)
{
  check_service (self, request->service, now, out);
}
