#include "second.h"

#include "admission.h"
#include "dispatch_parts.h"
#include "targets.h"

static bool
is_eligible (const dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  return now < service_at (self, request->service)->paced_until && !self->draining
         && request->kind == KIND_IDEMPOTENT && !request->keyed && !request->no_retry
         && request->other_target < 0 && request->executions == 1
         && request->executions < request->executions_max;
}

msec_t
second_due_at (const dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  msec_t work = service_at (self, request->service)->pace_ms;

  if (!is_eligible (self, request, now))
    return MSEC_NEVER;
  return MAX (request->objective - work * SECOND_LEAD_PERCENT / 100,
              request->sent_at + work);
}

/* Whether a second attempt that takes EXPECTED ms helps the caller: its answer is within
 * the objective, or the first one is so late that it may miss the deadline. */
static bool
is_worth (const dispatch_t *self,
          const dispatch_request_t *request,
          msec_t expected,
          msec_t now)
{
  msec_t work = service_at (self, request->service)->pace_ms;

  return now + expected <= request->objective
         || (now >= request->objective
             && now - request->sent_at >= SECOND_LATE_FACTOR * work
             && now + expected <= request->deadline);
}

int
second_select (dispatch_t *self, dispatch_request_t *request, msec_t now)
{
  dispatch_request_t second = *request;
  dispatch_reason_t reason;
  const dispatch_target_t *other;

  if (now < second_due_at (self, request, now)
      || budget_left (&service_at (self, request->service)->budget, now)
             < SECOND_BUDGET_LEAST)
    return -1;
  second.last_failed_target = request->target;
  second.admitted_to = -1;
  second.rate_target = -1;
  int candidate = targets_select (self, &second, now, &reason);
  admission_leave_rate (self, &second);
  if (candidate < 0 || candidate == request->target)
    return -1;
  other = target_at (self, (uint32_t)candidate);
  bool has_room = target_load (other, now) < MAX (other->entry.slots, 1);
  return has_room && !other->rate.limited && !warmup_is_guarded (&other->warmup, now)
                 && is_worth (self, request, target_expected_ms (other, now), now)
             ? candidate
             : -1;
}

void
second_put_beside (dispatch_request_t *request)
{
  request->other_target = request->target;
  request->other_sent_at = request->sent_at;
  request->other_load_at_send = request->load_at_send;
}

void
second_focus (dispatch_request_t *request, const dispatch_msg_t *msg)
{
  const dispatch_request_t newest = *request;

  if (request->other_target < 0 || (uint32_t)request->other_target != msg->target)
    return;
  request->target = request->other_target;
  request->sent_at = request->other_sent_at;
  request->load_at_send = request->other_load_at_send;
  request->other_target = newest.target;
  request->other_sent_at = newest.sent_at;
  request->other_load_at_send = newest.load_at_send;
}

bool
second_continue (dispatch_request_t *request)
{
  if (request->other_target < 0)
    return false;
  request->target = request->other_target;
  request->sent_at = request->other_sent_at;
  request->load_at_send = request->other_load_at_send;
  request->other_target = -1;
  return true;
}
