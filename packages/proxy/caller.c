#include "exchange.h"

#include "../core/eventlog.h"

#include <string.h>

static void
set_timer (caller_t *self, msec_t wait)
{
  const struct timeval after = { wait / 1000, wait % 1000 * 1000 };

  evtimer_add (self->timer, &after);
}

/* Shuts down the sending side.  Bytes that the caller still sends are read and discarded,
 * since closing a socket with unread bytes resets the connection, and the response could
 * be lost. */
static void
close_gracefully (caller_t *self)
{
  if (self->closing)
    return;
  self->closing = true;
  bufferevent_enable (self->bev, EV_READ); /* may be paused within a body */
  if (evbuffer_get_length (bufferevent_get_output (self->bev)) == 0)
    shutdown (bufferevent_getfd (self->bev), SHUT_WR);
  set_timer (self, PROXY_LINGER_MS);
}

static msec_t
idle_limit (const proxy_t *proxy)
{
  return proxy->limits.idle_timeout_ms > 0 ? proxy->limits.idle_timeout_ms
                                           : PROXY_IDLE_MS;
}

/* Dispatches requests that may run concurrently with the unanswered ones before them. */
static void
start_ready_requests (caller_t *self)
{
  exchange_t *exchange = TAILQ_FIRST (&self->pipeline);
  bool first = true;

  while (exchange != NULL)
    {
      exchange_t *next = TAILQ_NEXT (exchange, link);
      bool readable
          = exchange->request_complete || (first && exchange->request_streaming);
      if (!exchange->dispatched && !exchange->response_ready && readable
          && (first
              || dispatch_may_pipeline (&self->proxy->dispatch,
                                        (text_t){ exchange->host, exchange->host_len },
                                        (text_t){ exchange->path, exchange->path_len })))
        exchange_dispatch (exchange);
      if (!exchange->dispatched && !exchange->response_ready)
        break;
      first = false;
      exchange = next;
    }
}

/* Writes responses in the order of their requests. */
static void
write_responses (caller_t *self)
{
  exchange_t *exchange;

  while ((exchange = TAILQ_FIRST (&self->pipeline)) != NULL && exchange->response_ready
         && !self->closing)
    {
      bool close = exchange->close;
      bufferevent_write_buffer (self->bev, exchange->response);
      TAILQ_REMOVE (&self->pipeline, exchange, link);
      self->pipeline_len--;
      if (self->receiving == exchange)
        self->receiving = NULL;
      exchange_free (exchange);
      if (close)
        close_gracefully (self);
    }
  /* A large response waits for its turn. */
  if (exchange != NULL && exchange->connection != NULL && !exchange->response_streaming)
    target_conn_resume (exchange->connection);
}

/* Rejects a request that cannot be forwarded.  No further requests are read. */
static void
reject_request (caller_t *self, unsigned status, text_t reason)
{
  exchange_t *exchange = self->receiving;

  self->proxy->counts.bad_requests++;
  if (exchange != NULL && exchange->dispatched && status == 413)
    {
      const dispatch_msg_t too_large
          = { .kind = DISPATCH_TOO_LARGE, .request = &exchange->request };
      self->receiving = NULL;
      self->no_more_requests = true;
      proxy_dispatch (self->proxy, &too_large);
      return;
    }
  if (exchange != NULL && exchange->dispatched)
    {
      caller_abort (self); /* already being sent to a target: its outcome is unknown */
      return;
    }
  eventlog_write (EVENT_FAILURE,
                  "proxy",
                  "request_rejected",
                  "status=%u why=%.*s",
                  status,
                  TEXT_ARG (reason));
  if (exchange == NULL)
    {
      http_head_t empty = self->reader.head;
      g_array_set_size (empty.fields, 0);
      empty.keep_alive = false;
      exchange = exchange_new (self, &empty);
      TAILQ_INSERT_TAIL (&self->pipeline, exchange, link);
      self->pipeline_len++;
    }
  exchange->close = true;
  exchange_respond (exchange, status, reason, 0);
  exchange->response_ready = true;
  self->receiving = NULL;
  self->no_more_requests = true;
}

/* Whether the body is larger than the configuration of the request's arrival allows, as
 * stated by its length or as received so far. */
static bool
is_too_large (const exchange_t *exchange)
{
  bool has_length = exchange->content_length != UINT64_MAX;

  return (has_length && exchange->content_length > exchange->body_max)
         || exchange->body_received > exchange->body_max;
}

static uint64_t
body_limit (const proxy_t *proxy)
{
  uint64_t configured = proxy->limits.max_body_bytes;

  return configured > 0 ? configured : PROXY_BODY_MAX_BYTES;
}

static bool
on_head (void *owner)
{
  caller_t *self = owner;
  exchange_t *exchange = exchange_new (self, &self->reader.head);

  TAILQ_INSERT_TAIL (&self->pipeline, exchange, link);
  self->pipeline_len++;
  self->receiving = exchange;
  exchange->body_max = body_limit (self->proxy);
  if (http_list_has (http_head_get (&self->reader.head, TEXT ("expect")),
                     TEXT ("100-continue"))
      && exchange == TAILQ_FIRST (&self->pipeline) && !is_too_large (exchange))
    bufferevent_write (self->bev, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  if (exchange->close)
    self->no_more_requests = true;
  return true;
}

static void
on_body (void *owner, text_t bytes)
{
  caller_t *self = owner;

  exchange_t *exchange = self->receiving;

  if (exchange == NULL || exchange->response_ready)
    return; /* the response was prepared early; the rest is discarded */
  exchange->body_received += bytes.len;
  if (is_too_large (exchange))
    return; /* read_requests rejects it */
  size_t part = buffers_part (&self->proxy->buffers, PROXY_BODY_BUFFER_BYTES);
  evbuffer_add (exchange->body, bytes.at, bytes.len);
  if (evbuffer_get_length (exchange->body) > part && !exchange->dispatched)
    exchange->request_streaming = true;
  if (!exchange->request_streaming)
    return;
  if (exchange->connection != NULL)
    target_conn_write_body (exchange->connection);
  else if (evbuffer_get_length (exchange->body) > 2 * part)
    bufferevent_disable (self->bev, EV_READ); /* until the request is sent */
}

static const http_reader_ops_t reader_ops = { on_head, on_body };

static void
read_requests (caller_t *self)
{
  struct evbuffer *in = bufferevent_get_input (self->bev);

  while (!self->no_more_requests && self->pipeline_len < PROXY_PIPELINE_MAX
         && evbuffer_get_length (in) > 0)
    {
      http_progress_t progress = http_reader_consume (&self->reader, in);
      if (progress == HTTP_TOO_LARGE)
        reject_request (self, 431, TEXT ("The headers are too large."));
      else if (progress == HTTP_MALFORMED)
        reject_request (self, 400, TEXT ("The request is malformed."));
      else if (self->receiving != NULL && is_too_large (self->receiving))
        reject_request (self, 413, EXCHANGE_TOO_LARGE_NOT_RUN);
      else if (progress == HTTP_COMPLETE)
        {
          g_assert (self->receiving != NULL);
          exchange_t *exchange = self->receiving;
          self->receiving = NULL;
          exchange->request_complete = true;
          if (exchange->request_streaming && exchange->connection != NULL)
            target_conn_write_body (exchange->connection);
        }
      else
        break;
    }
  if (self->no_more_requests && self->receiving == NULL)
    evbuffer_drain (in, evbuffer_get_length (in));
}

void
caller_advance (caller_t *self)
{
  if (self->advancing)
    return; /* the outer call continues with the new state */
  self->advancing = true;
  start_ready_requests (self);
  write_responses (self);
  /* The next request may have had to wait until it was the first one. */
  start_ready_requests (self);
  write_responses (self);
  self->advancing = false;
  if (self->closing)
    return;
  bool reading = self->receiving != NULL || !self->no_more_requests;
  if (reading && self->reader.in_message && self->proxy->limits.head_timeout_ms > 0)
    set_timer (self, self->proxy->limits.head_timeout_ms);
  else if (TAILQ_EMPTY (&self->pipeline))
    set_timer (self, idle_limit (self->proxy));
  else
    evtimer_del (self->timer);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  caller_t *self = arg;

  if (self->closing)
    {
      struct evbuffer *in = bufferevent_get_input (bev);
      evbuffer_drain (in, evbuffer_get_length (in));
      return;
    }
  /* Completed responses may make room in the pipeline for requests that were received but
   * not parsed yet. */
  do
    {
      read_requests (self);
      caller_advance (self);
    }
  while (!self->closing && !self->no_more_requests
         && self->pipeline_len < PROXY_PIPELINE_MAX && self->receiving == NULL
         && !self->reader.in_message
         && evbuffer_get_length (bufferevent_get_input (bev)) > 0);
}

static void
on_written (struct bufferevent *bev, void *arg)
{
  caller_t *self = arg;
  const exchange_t *first = TAILQ_FIRST (&self->pipeline);

  if (first != NULL && first->response_streaming && first->connection != NULL)
    target_conn_resume (first->connection);
  if (self->closing && evbuffer_get_length (bufferevent_get_output (bev)) == 0)
    shutdown (bufferevent_getfd (self->bev), SHUT_WR);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)bev;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    caller_free (arg);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  caller_t *self = arg;

  (void)fd;
  (void)what;
  if (self->closing || TAILQ_EMPTY (&self->pipeline))
    {
      caller_free (self);
      return;
    }
  if ((bufferevent_get_enabled (self->bev) & EV_READ) == 0)
    {
      /* Paused: the target is slow, not the caller. */
      set_timer (self, self->proxy->limits.head_timeout_ms);
      return;
    }
  if (self->receiving != NULL || self->reader.in_message)
    {
      reject_request (self, 408, TEXT ("The request took too long to arrive."));
      caller_advance (self);
    }
}

void
caller_accept (proxy_t *proxy, evutil_socket_t fd)
{
  caller_t *self = g_new0 (caller_t, 1);
  uint32_t head_max = proxy->limits.max_head_bytes > 0 ? proxy->limits.max_head_bytes
                                                       : PROXY_HEAD_MAX_BYTES;

  socket_set_options (fd, PROXY_TCP_USER_TIMEOUT_MS * 4);
  self->proxy = proxy;
  self->bev = bufferevent_socket_new (proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
  buffers_watch_output (&proxy->buffers, self->bev);
  TAILQ_INIT (&self->pipeline);
  http_reader_init (&self->reader, HTTP_REQUESTS, head_max, &reader_ops, self);
  self->timer = evtimer_new (proxy->base, on_timer, self);
  TAILQ_INSERT_TAIL (&proxy->callers, self, link);
  proxy->caller_count++;
  bufferevent_setcb (self->bev, on_read, on_written, on_event, self);
  bufferevent_enable (self->bev, EV_READ | EV_WRITE);
  set_timer (self, idle_limit (proxy));
}

void
caller_free (caller_t *self)
{
  exchange_t *exchange;

  TAILQ_REMOVE (&self->proxy->callers, self, link);
  self->proxy->caller_count--;
  while ((exchange = TAILQ_FIRST (&self->pipeline)) != NULL)
    {
      TAILQ_REMOVE (&self->pipeline, exchange, link);
      exchange_caller_left (exchange);
    }
  event_free (self->timer);
  http_reader_finish (&self->reader);
  buffers_forget_output (&self->proxy->buffers, self->bev);
  bufferevent_free (self->bev);
  g_free (self);
}

bool
caller_is_idle (const caller_t *self)
{
  return TAILQ_EMPTY (&self->pipeline) && !self->reader.in_message && !self->closing
         && evbuffer_get_length (bufferevent_get_output (self->bev)) == 0;
}

void
caller_abort (caller_t *self)
{
  self->closing = true;
  self->no_more_requests = true;
  set_timer (self, 0);
}

void
caller_resume (caller_t *self)
{
  if (!self->closing)
    bufferevent_enable (self->bev, EV_READ);
}
