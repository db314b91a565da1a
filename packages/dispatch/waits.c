#include "waits.h"

#include "dispatch_parts.h"
#include "second.h"
#include "targets.h"

/* Spread after the WAIT until a target takes requests again. */
static msec_t
retry_after_pause (dispatch_t *self, msec_t wait)
{
  msec_t spread = CLAMP (wait * DISPATCH_PAUSE_SPREAD_PERCENT / 100,
                         DISPATCH_RETRY_AFTER_MIN_MS,
                         DISPATCH_PAUSE_SPREAD_MAX_MS);

  return wait + (msec_t)rng_below (&self->rng, (uint64_t)spread + 1);
}

msec_t
waits_retry_after (dispatch_t *self,
                   const dispatch_request_t *request,
                   msec_t earliest,
                   msec_t now)
{
  if (request->reason == REASON_STOPPING)
    return DISPATCH_RETRY_AFTER_MIN_MS; /* other hosts serve it */
  if (earliest > now)
    return retry_after_pause (self, earliest - now);
  msec_t most = MAX ((request->deadline - now) / 3, DISPATCH_RETRY_AFTER_MIN_MS);
  msec_t least = MAX (most / 3, DISPATCH_RETRY_AFTER_MIN_MS);

  return least + (msec_t)rng_below (&self->rng, (uint64_t)(most - least + 1));
}

msec_t
waits_overdue_at (const dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  const dispatch_target_t *target = target_at (self, (uint32_t)request->target);

  return request->sent_at
         + MAX (DISPATCH_OVERDUE_FACTOR * target_expected_ms (target, now),
                request->objective - request->arrived);
}

msec_t
waits_answer_deadline (const dispatch_request_t *request)
{
  return request->deadline + DISPATCH_ANSWER_TRANSIT_MS;
}

msec_t
waits_next_check (const dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  if (!request_kind_may_repeat (request->kind) || request->keyed
      || request->executions >= request->executions_max)
    return waits_answer_deadline (request);
  msec_t due
      = MIN (waits_overdue_at (self, request, now), second_due_at (self, request, now));
  return MIN (MAX (due, now + DISPATCH_POLL_MS), waits_answer_deadline (request));
}

msec_t
waits_queue_deadline (const dispatch_t *self,
                      const dispatch_request_t *request,
                      dispatch_reason_t reason)
{
  msec_t objective = request->objective - request->arrived;

  if (reason == REASON_RATE_LIMIT || reason == REASON_COLD)
    return MIN (request->rate_until, request->deadline);
  if (reason == REASON_OVERLOAD
      && service_at (self, request->service)->queue.length <= DISPATCH_SHORT_QUEUE)
    return MIN (request->objective, request->deadline);
  if (reason == REASON_OVERLOAD)
    return MIN (request->arrived + objective * DISPATCH_CAPACITY_WAIT_PERCENT / 100,
                request->deadline);
  return MIN (request->arrived + objective * DISPATCH_OWNER_WAIT_PERCENT / 100,
              request->deadline);
}

bool
waits_cannot_finish (const dispatch_t *self,
                     const dispatch_request_t *request,
                     msec_t now)
{
  msec_t service_time = service_at (self, request->service)->service_time_ms;

  return now + service_time / 2 >= request->deadline;
}

void
waits_set_owner (dispatch_t *self, dispatch_request_t *request, int32_t owner)
{
  if (request->queued_owner == owner)
    return;
  if (request->queued_owner >= 0)
    {
      dispatch_target_t *previous = target_at (self, (uint32_t)request->queued_owner);
      /* The array entry may have been reused for another target. */
      previous->waiting -= previous->waiting > 0 ? 1 : 0;
    }
  request->queued_owner = owner;
  if (owner >= 0)
    target_at (self, (uint32_t)owner)->waiting++;
}

bool
waits_owner_saturated (const dispatch_t *self,
                       const dispatch_request_t *request,
                       int32_t owner)
{
  const dispatch_target_t *target;

  if (owner < 0 || request->state == REQUEST_WAITING)
    return false;
  target = target_at (self, (uint32_t)owner);
  return target->saturated && target->waiting > 0;
}
