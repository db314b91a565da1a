#include "drain.h"

#include "exchange.h"

#include "../core/eventlog.h"

/* A request that is at a target, or waits for one; NULL: there is none. */
static exchange_t *
find_running (const proxy_t *self)
{
  const caller_t *caller;
  exchange_t *exchange;

  TAILQ_FOREACH (caller, &self->callers, link)
    TAILQ_FOREACH (exchange, &caller->pipeline, link)
      if (exchange->dispatched && exchange->request.state != REQUEST_ENDED)
        return exchange;
  return NULL;
}

/* Answers all requests in progress.  An answer may end its caller's connection. */
static void
abandon_requests (proxy_t *self)
{
  exchange_t *exchange;

  while ((exchange = find_running (self)) != NULL)
    {
      const dispatch_msg_t abandon
          = { .kind = DISPATCH_ABANDON, .request = &exchange->request };
      proxy_dispatch (self, &abandon);
    }
}

void
drain_begin (proxy_t *self, msec_t signalled_at)
{
  if (self->draining)
    return;
  msec_t now = msclock_now (&self->clock);
  self->drain = drain_times (signalled_at, now, self->bounds.grace_s);
  const dispatch_msg_t drain = { .kind = DISPATCH_DRAIN,
                                 .callers_until = self->drain.unbounded_until,
                                 .answers_until = self->drain.answers_until };
  self->draining = true;
  proxy_dispatch (self, &drain);
  proxy_set_tick_period (self, PROXY_DRAIN_TICK_MS);
  eventlog_write (EVENT_STATE,
                  "proxy",
                  "draining",
                  "callers=%u within_ms=%lld late_ms=%lld",
                  self->caller_count,
                  (long long)(self->drain.end - now),
                  (long long)(now - signalled_at));
}

void
drain_step (proxy_t *self, msec_t now)
{
  bool expired = now >= self->drain.end;
  bool idle_expired = now >= self->drain.callers_until;
  caller_t *caller;

  if (now >= self->drain.waits_until && !self->dispatch.stopping)
    {
      const dispatch_msg_t stop = { .kind = DISPATCH_STOP };
      proxy_dispatch (self, &stop);
    }
  if (now >= self->drain.answers_until && !self->abandoned)
    {
      abandon_requests (self);
      self->abandoned = true;
    }
  if (idle_expired && self->listener != NULL)
    {
      evconnlistener_free (self->listener);
      self->listener = NULL;
    }
  caller = TAILQ_FIRST (&self->callers);
  while (caller != NULL)
    {
      caller_t *next = TAILQ_NEXT (caller, link);
      if (expired || (idle_expired && caller_is_idle (caller)))
        caller_free (caller);
      caller = next;
    }
  if (expired || (idle_expired && TAILQ_EMPTY (&self->callers)))
    event_base_loopbreak (self->base);
}
