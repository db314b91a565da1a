#include "retries.h"

#include "admission.h"
#include "dispatch_parts.h"
#include "stops.h"
#include "targets.h"
#include "waits.h"

bool
retries_after_error (dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  dispatch_service_t *service = service_at (self, request->service);

  return request_kind_may_repeat (request->kind) && !request->keyed && !request->no_retry
         && request->executions < request->executions_max
         && request->attempts < DISPATCH_ATTEMPTS_MAX
         && now + service->service_time_ms < request->deadline
         && stops_allow (self, request, service->service_time_ms, now)
         && budget_left (&service->budget, now) > 0;
}

msec_t
retries_delay (const dispatch_t *self, const dispatch_request_t *request)
{
  uint64_t newest = service_at (self, request->service)->keys.version;

  return newest > request->key_table_version ? DISPATCH_GRANT_DELAY_MS
                                             : DISPATCH_OWNER_RETRY_MS;
}

bool
retries_when_overdue (dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  dispatch_reason_t reason;
  dispatch_request_t second_attempt = *request;

  if (self->draining || !request_kind_may_repeat (request->kind) || request->keyed
      || request->no_retry || request->other_target >= 0
      || request->executions >= request->executions_max
      || now < waits_overdue_at (self, request, now))
    return false;
  second_attempt.last_failed_target = request->target;
  second_attempt.admitted_to = -1;
  int other = targets_select (self, &second_attempt, now, &reason);
  admission_leave_rate (self, &second_attempt);
  return other >= 0 && other != request->target
         && now + target_expected_ms (target_at (self, (uint32_t)other), now)
                < request->deadline
         && budget_left (&service_at (self, request->service)->budget, now) > 0;
}
