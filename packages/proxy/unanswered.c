#include "exchange.h"

#include "../core/eventlog.h"

/* What a request without an answer waits for. */
static const char *
awaited_name (const exchange_t *self)
{
  if (self->response_ready)
    return "earlier-answers";
  if (!self->dispatched && !self->request_complete && !self->request_streaming)
    return "body";
  if (!self->dispatched)
    return "earlier-requests";
  if (self->response_streaming)
    return "rest-of-answer";
  return self->request.state == REQUEST_SENT ? "answer" : "target";
}

static bool
is_reading (struct bufferevent *bev)
{
  return (bufferevent_get_enabled (bev) & EV_READ) != 0;
}

static void
log_unanswered (const caller_t *self, const exchange_t *exchange, msec_t late)
{
  eventlog_write (EVENT_STATE,
                  "proxy",
                  "unanswered",
                  "request=%.*s late_ms=%lld awaits=%s unanswered=%u unparsed=%zu "
                  "reading=%d unsent=%zu",
                  NAME_ARG (exchange->id),
                  (long long)late,
                  awaited_name (exchange),
                  self->pipeline_len,
                  evbuffer_get_length (bufferevent_get_input (self->bev)),
                  is_reading (self->bev),
                  evbuffer_get_length (bufferevent_get_output (self->bev)));
}

static void
log_unread (const caller_t *self)
{
  eventlog_write (EVENT_STATE,
                  "proxy",
                  "unread",
                  "unparsed=%zu reading=%d unsent=%zu",
                  evbuffer_get_length (bufferevent_get_input (self->bev)),
                  is_reading (self->bev),
                  evbuffer_get_length (bufferevent_get_output (self->bev)));
}

/* Logs the first of the caller's requests that is late, once. */
static void
review_pipeline (caller_t *self, msec_t now)
{
  proxy_t *proxy = self->proxy;
  exchange_t *exchange;

  TAILQ_FOREACH (exchange, &self->pipeline, link)
    {
      msec_t limit = exchange_time_limit (exchange);
      msec_t late = limit == MSEC_NEVER ? 0 : now - exchange->received_at - limit;
      if (late < PROXY_UNANSWERED_MS || exchange->logged_unanswered)
        continue;
      exchange->logged_unanswered = true;
      proxy->counts.unanswered++;
      log_unanswered (self, exchange, late);
      return;
    }
}

/* Logs once that nothing is pending on a connection that isn't read, or has unparsed
 * bytes. */
static void
review_reading (caller_t *self)
{
  bool unread = TAILQ_EMPTY (&self->pipeline) && !self->closing
                && (!is_reading (self->bev)
                    || evbuffer_get_length (bufferevent_get_input (self->bev)) > 0);

  if (unread && !self->logged_unread)
    {
      self->proxy->counts.unread++;
      log_unread (self);
    }
  self->logged_unread = unread;
}

void
unanswered_review (proxy_t *self, msec_t now)
{
  caller_t *caller;

  TAILQ_FOREACH (caller, &self->callers, link)
    {
      review_pipeline (caller, now);
      review_reading (caller);
    }
}
