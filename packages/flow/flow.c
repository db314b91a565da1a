#include "flow.h"

#include "../core/limits.h"

#include <glib.h>

bool
flow_has_room (const flow_queue_t *queue)
{
  return queue->held <= (queue->paused ? queue->held_max / 4 : queue->held_max);
}

/* Whether its earlier requests have to end first.  When they have, it is served whatever
 * others hold. */
static bool
is_over_share (const flow_caller_t *self)
{
  return self->held > self->share && (self->unanswered > 0 || self->unsent > 0);
}

bool
flow_caller_parses (const flow_caller_t *self)
{
  if (self->closing || self->unparsed == 0)
    return false;
  return self->in_body
         || (!self->last_request && self->unanswered < PROXY_PIPELINE_MAX
             && self->unsent <= PROXY_UNSENT_MAX_BYTES && !is_over_share (self));
}

bool
flow_caller_reads (const flow_caller_t *self)
{
  if (self->closing || (self->last_request && !self->in_body))
    return true;
  if (self->unparsed >= PROXY_UNPARSED_MAX_BYTES)
    return false;
  if (self->in_body)
    return flow_has_room (&self->body);
  /* Only what it sends ahead adds to what it holds.  A connection that isn't read doesn't
   * show that its caller has left. */
  return self->unparsed == 0 || !is_over_share (self);
}

static flow_due_t
due (flow_due_t what, msec_t when, msec_t *at)
{
  *at = when;
  return what;
}

static flow_due_t
body_due (const flow_caller_t *self, const flow_times_t *times, msec_t *at)
{
  msec_t next = MSEC_NEVER;

  /* While reading is paused, the target is slow, not the caller. */
  if (times->head_limit > 0 && !self->uninvited && flow_caller_reads (self))
    next = times->received_at + times->head_limit;
  if (!self->body_dispatched)
    next = MIN (next, times->body_until);
  return next == MSEC_NEVER ? FLOW_WAIT : due (FLOW_REJECT, next, at);
}

static flow_due_t
open_due (const flow_caller_t *self, const flow_times_t *times, msec_t *at)
{
  if (self->in_body)
    return body_due (self, times, at);
  if (self->in_head && !self->last_request)
    return due (FLOW_REJECT,
                times->head_since
                    + (times->head_limit > 0 ? times->head_limit : times->idle_limit),
                at);
  if (self->unanswered == 0)
    return due (FLOW_CLOSE,
                MAX (times->idle_since, times->taken_at) + times->idle_limit,
                at);
  return FLOW_WAIT;
}

flow_due_t
flow_caller_due (const flow_caller_t *self, const flow_times_t *times, msec_t *at)
{
  *at = MSEC_NEVER;
  if (self->closing)
    return due (FLOW_CLOSE,
                MAX (times->closing_at, times->taken_at)
                    + (self->unsent > 0 ? times->stalled_limit : times->linger_limit),
                at);
  flow_due_t what = open_due (self, times, at);
  msec_t untaken = times->taken_at + times->untaken_limit;
  if (self->unsent > 0 && times->untaken_limit > 0 && untaken < *at)
    return due (FLOW_END, untaken, at);
  return what;
}

bool
flow_target_reads (const flow_target_t *self)
{
  if (!self->in_use)
    return true;
  if (self->streaming)
    return flow_has_room (&self->answer);
  return !self->awaits_turn;
}
