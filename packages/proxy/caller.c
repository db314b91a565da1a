#include "exchange.h"

#include "../core/eventlog.h"

#include <string.h>

static struct evbuffer *
input_of (const caller_t *self)
{
  return bufferevent_get_input (self->bev);
}

static struct evbuffer *
output_of (const caller_t *self)
{
  return bufferevent_get_output (self->bev);
}

static msec_t
now_of (const caller_t *self)
{
  return msclock_now (&self->proxy->clock);
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
  self->times.closing_at = now_of (self);
  if (evbuffer_get_length (output_of (self)) == 0)
    shutdown (bufferevent_getfd (self->bev), SHUT_WR);
}

static msec_t
idle_limit (const proxy_t *proxy)
{
  return proxy->limits.idle_timeout_ms > 0 ? proxy->limits.idle_timeout_ms
                                           : PROXY_IDLE_MS;
}

/* Answers a request that wasn't dispatched, as too much is held. */
static void
refuse_request (caller_t *self, exchange_t *exchange)
{
  self->proxy->counts.refused++;
  eventlog_write (EVENT_FAILURE,
                  "proxy",
                  "request_refused",
                  "request=%.*s why=memory held=%llu connection_held=%llu",
                  NAME_ARG (exchange->id),
                  (unsigned long long)self->proxy->account.held,
                  (unsigned long long)self->holder.held);
  if (!exchange->request_complete)
    {
      exchange->close = true;
      self->no_more_requests = true;
    }
  exchange_respond (exchange,
                    503,
                    TEXT ("Not run; come back later.\n"),
                    ACCOUNT_RETRY_AFTER_MS);
  exchange->response_ready = true;
}

static void
start_request (caller_t *self, exchange_t *exchange)
{
  if (account_step (&self->proxy->account) >= ACCOUNT_REFUSE)
    refuse_request (self, exchange);
  else
    exchange_dispatch (exchange);
}

/* Whether an answer before that to EXCHANGE is being forwarded as it arrives while the
 * process stops.  If its target doesn't end it in time, the connection ends within it,
 * and with it whatever waits behind. */
static bool
is_behind_stream (const caller_t *self, const exchange_t *exchange)
{
  const exchange_t *before;

  if (!self->proxy->draining)
    return false;
  for (before = TAILQ_FIRST (&self->pipeline); before != exchange;
       before = TAILQ_NEXT (before, link))
    if (before->response_streaming && !before->response_ready)
      return true;
  return false;
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
          && !is_behind_stream (self, exchange)
          && (first
              || dispatch_may_pipeline (&self->proxy->dispatch,
                                        (text_t){ exchange->host, exchange->host_len },
                                        (text_t){ exchange->path, exchange->path_len })))
        start_request (self, exchange);
      if (!exchange->dispatched && !exchange->response_ready)
        break;
      first = false;
      exchange = next;
    }
}

static void
update_target_conns (const exchange_t *exchange)
{
  if (exchange->connection != NULL)
    target_conn_update (exchange->connection);
  if (exchange->beside != NULL)
    target_conn_update (exchange->beside);
}

/* A buffer that is moved keeps its blocks, of which a short answer fills a small part. */
static void
write_response (caller_t *self, struct evbuffer *response)
{
  char copy[PROXY_COPIED_BYTES];
  size_t len = evbuffer_get_length (response);

  if (len > sizeof copy)
    {
      bufferevent_write_buffer (self->bev, response);
      return;
    }
  evbuffer_remove (response, copy, len);
  bufferevent_write (self->bev, copy, len);
}

/* Writes responses in the order of their requests.  Returns whether there were any. */
static bool
write_responses (caller_t *self)
{
  exchange_t *exchange;
  bool written = false;

  while ((exchange = TAILQ_FIRST (&self->pipeline)) != NULL && exchange->response_ready
         && !self->closing)
    {
      bool close = exchange->close;
      write_response (self, exchange->response);
      TAILQ_REMOVE (&self->pipeline, exchange, link);
      self->pipeline_len--;
      if (self->receiving == exchange)
        self->receiving = NULL;
      exchange_free (exchange);
      if (close)
        close_gracefully (self);
      written = true;
    }
  /* A large response waits for its turn. */
  if (exchange != NULL)
    update_target_conns (exchange);
  return written;
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
  self->has_requested = true;
  self->times.received_at = now_of (self);
  exchange->body_max = body_limit (self->proxy);
  exchange->expects_invitation
      = http_list_has (http_head_get (&self->reader.head, TEXT ("expect")),
                       TEXT ("100-continue"))
        && !is_too_large (exchange);
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
  self->times.received_at = now_of (self);
  if (is_too_large (exchange))
    return; /* read_requests rejects it */
  size_t part = buffers_part (&self->proxy->account.buffers, PROXY_BODY_BUFFER_BYTES);
  evbuffer_add (exchange->body, bytes.at, bytes.len);
  if (evbuffer_get_length (exchange->body) > part && !exchange->dispatched)
    exchange->request_streaming = true;
  if (!exchange->request_streaming)
    return;
  if (exchange->connection != NULL)
    target_conn_write_body (exchange->connection);
}

static const http_reader_ops_t reader_ops = { on_head, on_body };

/* What of the body that arrives waits for a target. */
static flow_queue_t
body_queue (const caller_t *self)
{
  const exchange_t *exchange = self->receiving;
  bool paused = (bufferevent_get_enabled (self->bev) & EV_READ) == 0;

  if (exchange == NULL || exchange->response_ready || !exchange->request_streaming)
    return (flow_queue_t){ 0 };
  if (exchange->connection != NULL)
    return target_conn_request_queue (exchange->connection, paused);
  return (flow_queue_t){
    .held = evbuffer_get_length (exchange->body),
    .held_max = 2 * buffers_part (&self->proxy->account.buffers, PROXY_BODY_BUFFER_BYTES),
    .paused = paused,
  };
}

static flow_caller_t
describe (const caller_t *self)
{
  return (flow_caller_t){
    .unanswered = self->pipeline_len,
    .unparsed = evbuffer_get_length (input_of (self)),
    .unsent = evbuffer_get_length (output_of (self)),
    .in_head = self->receiving == NULL && self->reader.in_message,
    .in_body = self->receiving != NULL,
    .uninvited = self->receiving != NULL && self->receiving->expects_invitation,
    .body_dispatched = self->receiving != NULL && self->receiving->dispatched,
    .last_request = self->no_more_requests,
    .closing = self->closing,
    .held = self->holder.held,
    .share = account_share (&self->proxy->account),
    .body = body_queue (self),
  };
}

static void
charge_head (caller_t *self)
{
  uint64_t held = http_reader_held (&self->reader);

  account_charge (&self->holder, ACCOUNT_HEAD, held, self->head_held);
  self->head_held = held;
}

static void
complete_request (caller_t *self)
{
  exchange_t *exchange = self->receiving;

  g_assert (exchange != NULL);
  self->receiving = NULL;
  exchange->request_complete = true;
  http_reader_trim (&self->reader);
  charge_head (self);
  if (exchange->request_streaming && exchange->connection != NULL)
    target_conn_write_body (exchange->connection);
}

/* Parses what has arrived, up to the end of one request.  Returns false if the state of
 * the connection doesn't allow it. */
static bool
read_request (caller_t *self)
{
  struct evbuffer *in = input_of (self);
  const flow_caller_t state = describe (self);
  size_t before = state.unparsed;

  if (!flow_caller_parses (&state))
    return false;
  if (!self->reader.in_message)
    self->times.head_since = arrivals_next (&self->arrivals, now_of (self));
  http_progress_t progress = http_reader_consume (&self->reader, in);
  arrivals_take (&self->arrivals, before - evbuffer_get_length (in));
  charge_head (self);
  if (progress == HTTP_TOO_LARGE)
    reject_request (self, 431, TEXT ("The headers are too large."));
  else if (progress == HTTP_MALFORMED)
    reject_request (self, 400, TEXT ("The request is malformed."));
  else if (self->receiving != NULL && is_too_large (self->receiving))
    reject_request (self, 413, EXCHANGE_TOO_LARGE_NOT_RUN);
  else if (progress == HTTP_COMPLETE)
    complete_request (self);
  return true;
}

static void
discard_input (caller_t *self)
{
  size_t len = evbuffer_get_length (input_of (self));

  evbuffer_drain (input_of (self), len);
  arrivals_take (&self->arrivals, len);
}

/* The caller sends the body when it is told to, once earlier responses are out. */
static void
invite_body (caller_t *self)
{
  exchange_t *exchange = self->receiving;

  if (exchange == NULL || !exchange->expects_invitation || exchange->response_ready
      || exchange != TAILQ_FIRST (&self->pipeline))
    return;
  exchange->expects_invitation = false;
  self->times.received_at = now_of (self);
  bufferevent_write (self->bev, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

static void
set_timer (caller_t *self, msec_t at)
{
  msec_t wait = MAX (at - now_of (self), 0);
  const struct timeval after = { wait / 1000, wait % 1000 * 1000 };

  if (at == self->timer_at)
    return;
  self->timer_at = at;
  if (at == MSEC_NEVER)
    evtimer_del (self->timer);
  else
    evtimer_add (self->timer, &after);
}

static flow_due_t
find_due (caller_t *self, msec_t *at)
{
  const flow_caller_t state = describe (self);

  self->times.head_limit = self->proxy->limits.head_timeout_ms;
  self->times.idle_limit = idle_limit (self->proxy);
  self->times.body_until
      = self->receiving != NULL ? exchange_until (self->receiving) : MSEC_NEVER;
  return flow_caller_due (&state, &self->times, at);
}

void
caller_update (caller_t *self)
{
  const flow_caller_t state = describe (self);
  msec_t due_at;

  if (self->aborted)
    return; /* it is closed by its timer */
  bool was_reading = (bufferevent_get_enabled (self->bev) & EV_READ) != 0;
  if (!flow_caller_reads (&state))
    bufferevent_disable (self->bev, EV_READ);
  else if (!was_reading)
    {
      self->times.received_at = now_of (self);
      bufferevent_enable (self->bev, EV_READ);
    }
  find_due (self, &due_at);
  set_timer (self, due_at);
}

void
caller_advance (caller_t *self)
{
  self->advance_again = true;
  if (self->advancing)
    return; /* the outer call goes on with the new state */
  self->advancing = true;
  while (self->advance_again && !self->closing)
    {
      self->advance_again = read_request (self);
      start_ready_requests (self);
      if (write_responses (self))
        self->advance_again = true;
      invite_body (self);
    }
  self->advancing = false;
  if (self->closing || (self->no_more_requests && self->receiving == NULL))
    discard_input (self);
  self->times.idle_since = now_of (self);
  caller_update (self);
  pressure_check (self->proxy);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  caller_t *self = arg;

  (void)bev;
  arrivals_note (&self->arrivals, evbuffer_get_length (input_of (self)), now_of (self));
  caller_advance (self);
}

static void
on_written (struct bufferevent *bev, void *arg)
{
  caller_t *self = arg;
  const exchange_t *first = TAILQ_FIRST (&self->pipeline);

  if (first != NULL)
    update_target_conns (first);
  if (self->closing && evbuffer_get_length (bufferevent_get_output (bev)) == 0)
    shutdown (bufferevent_getfd (self->bev), SHUT_WR);
  caller_advance (self);
}

static void
on_output_changed (struct evbuffer *output,
                   const struct evbuffer_cb_info *info,
                   void *arg)
{
  caller_t *self = arg;

  (void)output;
  /* Of an output that was empty, nothing was left to take. */
  if (info->n_deleted > 0 || info->orig_size == 0)
    self->times.taken_at = now_of (self);
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
  msec_t due_at;
  flow_due_t due = find_due (self, &due_at);

  (void)fd;
  (void)what;
  self->timer_at = MSEC_NEVER;
  if (self->aborted || (due == FLOW_CLOSE && due_at <= now_of (self)))
    {
      caller_free (self);
      return;
    }
  if (due == FLOW_END && due_at <= now_of (self))
    {
      self->proxy->counts.closed_untaken++;
      pressure_log_closed (self, "untaken");
      caller_free (self);
      return;
    }
  if (due == FLOW_REJECT && due_at <= now_of (self))
    reject_request (self, 408, TEXT ("The request took too long to arrive."));
  caller_advance (self);
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
  account_holder_init (&self->holder, &proxy->account, NULL);
  account_charge (&self->holder, ACCOUNT_CONNECTION, ACCOUNT_CONNECTION_BYTES, 0);
  account_watch (&self->holder, self->bev);
  TAILQ_INIT (&self->pipeline);
  http_reader_init (&self->reader, HTTP_REQUESTS, head_max, &reader_ops, self);
  self->timer = evtimer_new (proxy->base, on_timer, self);
  self->timer_at = MSEC_NEVER;
  self->times = (flow_times_t){ .linger_limit = PROXY_LINGER_MS,
                                .stalled_limit = PROXY_STALLED_MS,
                                .untaken_limit = PROXY_UNTAKEN_MS,
                                .idle_since = now_of (self) };
  arrivals_init (&self->arrivals);
  TAILQ_INSERT_TAIL (&proxy->callers, self, link);
  proxy->caller_count++;
  pressure_update_accepting (proxy);
  evbuffer_add_cb (output_of (self), on_output_changed, self);
  bufferevent_setcb (self->bev, on_read, on_written, on_event, self);
  bufferevent_enable (self->bev, EV_WRITE);
  caller_update (self);
}

void
caller_abort (caller_t *self)
{
  self->aborted = true;
  self->closing = true;
  self->no_more_requests = true;
  set_timer (self, now_of (self));
}

void
caller_free (caller_t *self)
{
  exchange_t *exchange;

  caller_abort (self); /* nothing more is done for it while its requests end */
  TAILQ_REMOVE (&self->proxy->callers, self, link);
  self->proxy->caller_count--;
  while ((exchange = TAILQ_FIRST (&self->pipeline)) != NULL)
    {
      TAILQ_REMOVE (&self->pipeline, exchange, link);
      exchange_caller_left (exchange);
    }
  event_free (self->timer);
  http_reader_finish (&self->reader);
  arrivals_finish (&self->arrivals);
  evbuffer_remove_cb (output_of (self), on_output_changed, self);
  account_forget (&self->holder, self->bev);
  account_charge (&self->holder, ACCOUNT_HEAD, 0, self->head_held);
  account_charge (&self->holder, ACCOUNT_CONNECTION, 0, ACCOUNT_CONNECTION_BYTES);
  g_assert (self->holder.held == 0);
  bufferevent_free (self->bev);
  pressure_update_accepting (self->proxy);
  g_free (self);
}

bool
caller_is_idle (const caller_t *self)
{
  return TAILQ_EMPTY (&self->pipeline) && !self->reader.in_message && !self->closing
         && evbuffer_get_length (bufferevent_get_output (self->bev)) == 0;
}
