#include "stops.h"

#include "dispatch_parts.h"

void
stops_begin (dispatch_t *self, const dispatch_msg_t *msg)
{
  self->draining = true;
  self->work_until = msg->answers_until - DISPATCH_ANSWER_TRANSIT_MS;
  self->callers_until = msg->callers_until;
}

bool
stops_allow_any (const dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  return request->deadline <= self->work_until || now < self->callers_until;
}

bool
stops_allow (const dispatch_t *self,
             const dispatch_request_t *request,
             msec_t expected,
             msec_t now)
{
  const longest_t *longest = &service_at (self, request->service)->longest;

  if (request->deadline <= self->work_until)
    return true;
  return stops_allow_any (self, request, now)
         && now + MAX (DISPATCH_STOP_FACTOR * expected, longest_of (longest, now))
                <= self->work_until;
}

void
stops_note (dispatch_t *self, const dispatch_request_t *request, msec_t ended_at)
{
  longest_note (&service_at (self, request->service)->longest,
                ended_at - request->sent_at,
                ended_at);
}
