#include "waits.h"

#include "dispatch_parts.h"

#include "targets.h"

msec_t
waits_return (dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  msec_t most = MAX ((request->deadline - now) / 3, DISPATCH_RETRY_AFTER_MIN_MS);
  msec_t least = MAX (most / 3, DISPATCH_RETRY_AFTER_MIN_MS);

  return least + (msec_t)rng_below (&self->rng, (uint64_t)(most - least + 1));
}

msec_t
waits_silent_from (const dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  const dispatch_target_t *target = target_at (self, (uint32_t)request->target);

  return request->sent_at
         + MAX (DISPATCH_SILENCE_FACTOR * target_expected (target, now),
                request->objective - request->arrived);
}

msec_t
waits_last_answer (const dispatch_request_t *request)
{
  return request->deadline + DISPATCH_LAST_ANSWER_MS;
}

msec_t
waits_next_look (const dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  if (request->kind == KIND_MUTATING || request->keyed
      || request->runs >= request->runs_max)
    return waits_last_answer (request);
  return MIN (MAX (waits_silent_from (self, request, now), now + DISPATCH_POLL_MS),
              waits_last_answer (request));
}

msec_t
waits_patience (const dispatch_t *self,
                const dispatch_request_t *request,
                dispatch_reason_t reason)
{
  msec_t objective = request->objective - request->arrived;

  if (reason == REASON_OVERLOAD
      && service_at (self, request->service)->waiting.length <= DISPATCH_SHORT_QUEUE)
    return MIN (request->objective, request->deadline);
  if (reason == REASON_OVERLOAD)
    return MIN (request->arrived + objective * DISPATCH_ROOM_WAIT_PERCENT / 100,
                request->deadline);
  return MIN (request->arrived + objective * DISPATCH_OWNER_WAIT_PERCENT / 100,
              request->deadline);
}

bool
waits_is_hopeless (const dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  msec_t work = service_at (self, request->service)->work_ms;

  return now + work / 2 >= request->deadline;
}

void
waits_at (dispatch_t *self, dispatch_request_t *request, int32_t owner)
{
  if (request->owner == owner)
    return;
  if (request->owner >= 0)
    {
      dispatch_target_t *before = target_at (self, (uint32_t)request->owner);
      before->waiting -= before->waiting > 0 ? 1 : 0; /* its place may be another's now */
    }
  request->owner = owner;
  if (owner >= 0)
    target_at (self, (uint32_t)owner)->waiting++;
}

bool
waits_in_vain (const dispatch_t *self, const dispatch_request_t *request, int32_t owner)
{
  const dispatch_target_t *target;

  if (owner < 0 || request->state == REQUEST_WAITING)
    return false;
  target = target_at (self, (uint32_t)owner);
  return target->crowded && target->waiting > 0;
}
