#include "owners.h"

#include "../core/limits.h"

uint32_t
owners_part_permille (const dispatch_target_t *self, msec_t objective, msec_t now)
{
  uint32_t slots = MAX (self->entry.slots, 1);

  if (now >= self->pace_until || self->pace.wanted_permille == 0)
    return 1000;
  msec_t work = MAX ((msec_t)self->pace.work_ms, 1);
  msec_t ended = 1000000 * (msec_t)slots / work; /* in 1000 s */
  msec_t bears = objective * OWNERS_WAIT_PERCENT / 100 * slots / work;
  msec_t load = CLAMP (bears, slots, slots + DISPATCH_TARGET_QUEUE_MAX);
  msec_t part = CLAMP (1000000 * load / MAX ((msec_t)self->pace.load_permille, 1),
                       OWNERS_LEAST_PERMILLE,
                       OWNERS_MOST_PERMILLE);
  return (uint32_t)MIN (ended * part / self->pace.wanted_permille, 1000);
}

bool
owners_take (dispatch_target_t *self, const dispatch_request_t *request, msec_t now)
{
  if (request->state != REQUEST_NEW || request->attempts > 0)
    return true;
  self->sample.wanted++;
  uint32_t part = owners_part_permille (self, request->objective - request->arrived, now);
  if (part >= 1000)
    return true;
  self->owner_credit += part;
  if (self->owner_credit < 1000)
    return false;
  self->owner_credit -= 1000;
  return true;
}

void
owners_note_unanswered (dispatch_target_t *self,
                        const dispatch_request_t *request,
                        msec_t now)
{
  uint32_t slots = MAX (self->entry.slots, 1);
  uint32_t load = slots + DISPATCH_TARGET_QUEUE_MAX;
  msec_t least = (now - request->sent_at) * slots / load;

  if (!request->keyed || now >= self->pace_until)
    return;
  pace_sample_add (&self->sample, MAX (least, (msec_t)self->pace.work_ms), load, slots);
}
