#include "repeats.h"

#include "dispatch_parts.h"
#include "targets.h"
#include "waits.h"

bool
repeats_are_worth (dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  dispatch_service_t *service = service_at (self, request->service);

  return request->kind != KIND_MUTATING && !request->keyed && !request->once
         && request->runs < request->runs_max && request->sends < DISPATCH_SENDS_MAX
         && now + service->work_ms < request->deadline
         && budget_left (&service->budget, now) > 0;
}

msec_t
repeats_pause (const dispatch_t *self, const dispatch_request_t *request)
{
  uint64_t newest = service_at (self, request->service)->keys.version;

  return newest > request->key_version ? DISPATCH_GRANT_MS : DISPATCH_OWNER_RETRY_MS;
}

bool
repeats_silent (dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  dispatch_reason_t reason;
  dispatch_request_t probe = *request;

  if (self->draining || request->kind == KIND_MUTATING || request->keyed || request->once
      || request->runs >= request->runs_max
      || now < waits_silent_from (self, request, now))
    return false;
  probe.last_failed = request->target;
  int other = targets_pick (self, &probe, now, &reason);
  return other >= 0 && other != request->target
         && now + target_expected (target_at (self, (uint32_t)other), now)
                < request->deadline
         && budget_left (&service_at (self, request->service)->budget, now) > 0;
}
