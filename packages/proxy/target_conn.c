#include "target_conn.h"

#include "../core/eventlog.h"

#include <string.h>

/* Whether a byte of the request may have been sent. */
static bool
may_have_sent (const target_conn_t *self)
{
  struct evbuffer *out = bufferevent_get_output (self->bev);

  return self->connected && evbuffer_get_length (out) < self->request_bytes;
}

/* Separates the exchange from this connection. */
static exchange_t *
detach (target_conn_t *self)
{
  exchange_t *exchange = self->exchange;

  self->exchange = NULL;
  if (exchange->connection == self)
    exchange->connection = exchange->beside;
  exchange->beside = NULL;
  account_holder_move (&self->holder, NULL);
  return exchange;
}

/* Resets the connection, so that undelivered bytes of the request are discarded. */
static void
reset_and_free (target_conn_t *self)
{
  socket_set_reset_on_close (bufferevent_getfd (self->bev), true);
  target_conn_free (self);
}

/* What a failed attempt reveals about connecting to the target. */
typedef enum
{
  CONNECT_FAILURE_NONE,
  CONNECT_FAILURE_REFUSED, /* the connection could not be established */
  CONNECT_FAILURE_RESET,   /* a new connection was reset before any response: the target
                            * may accept no more connections */
} connect_failure_t;

static void
fail_with (target_conn_t *self, const char *reason, connect_failure_t failure)
{
  proxy_t *proxy = self->proxy;
  exchange_t *exchange = detach (self);
  dispatch_msg_t msg = { .kind = DISPATCH_FAILED,
                         .request = &exchange->request,
                         .target = self->target,
                         .sent = may_have_sent (self),
                         .connected = self->connected,
                         .refused = failure == CONNECT_FAILURE_REFUSED,
                         .connection_reset = failure == CONNECT_FAILURE_RESET };
  const dispatch_target_t *target = dispatch_target (&proxy->dispatch, self->target);

  eventlog_write (EVENT_FAILURE,
                  "proxy",
                  "send_failed",
                  "request=%.*s target=%.*s why=%s sent=%d send=%u after_ms=%lld",
                  NAME_ARG (exchange->id),
                  NAME_ARG (target->entry.id),
                  reason,
                  msg.sent,
                  exchange->request.attempts,
                  (long long)(msclock_now (&proxy->clock) - exchange->request.sent_at));
  reset_and_free (self);
  proxy_dispatch (proxy, &msg);
}

static void
fail (target_conn_t *self, const char *reason)
{
  fail_with (self, reason, CONNECT_FAILURE_NONE);
}

/* Any response states it, whatever comes of this one; not if another target sent it. */
static void
note_leaving (const target_conn_t *self)
{
  const target_entry_t *entry
      = &dispatch_target (&self->proxy->dispatch, self->target)->entry;
  const dispatch_msg_t msg
      = { .kind = DISPATCH_LEAVING, .leaving = { entry->id, entry->started_at } };

  if (self->facts.leaving
      && (self->facts.target.len == 0
          || text_equal (self->facts.target, name_text (&entry->id))))
    proxy_dispatch (self->proxy, &msg);
}

static bool
on_head (void *owner)
{
  target_conn_t *self = owner;
  const http_head_t *head = &self->reader.head;

  self->proxy->dialect->read_response (head, &self->facts);
  self->status = head->status;
  self->keep_alive = head->keep_alive && head->has_framing;
  self->mismatched = self->exchange == NULL
                     || !text_equal (self->facts.id, name_text (&self->exchange->id));
  note_leaving (self);
  return self->exchange == NULL || !self->exchange->no_response_body;
}

static void
on_body (void *owner, text_t bytes)
{
  target_conn_t *self = owner;

  if (self->mismatched)
    self->stray_bytes += bytes.len;
  else
    evbuffer_add (self->body, bytes.at, bytes.len);
}

static const http_reader_ops_t reader_ops = { on_head, on_body };

/* Writes the status line and the headers that are forwarded, without those that frame the
 * body. */
static void
write_head (const target_conn_t *self, struct evbuffer *out)
{
  const http_head_t *head = &self->reader.head;
  text_t connection = http_head_get (head, TEXT ("connection"));
  text_t reason = http_head_start_text (head);

  evbuffer_add_printf (out, "HTTP/1.1 %u %.*s\r\n", head->status, TEXT_ARG (reason));
  for (guint i = 0; i < head->fields->len; i++)
    {
      text_t name = http_head_name (head, i);
      text_t value = http_head_value (head, i);
      if (!http_header_is_hop_by_hop (name) && !http_list_has (connection, name))
        evbuffer_add_printf (out, "%.*s: %.*s\r\n", TEXT_ARG (name), TEXT_ARG (value));
    }
}

static void
write_length (struct evbuffer *out, uint64_t length)
{
  evbuffer_add_printf (out, "Content-Length: %llu\r\n", (unsigned long long)length);
}

static void
write_head_end (const exchange_t *exchange, struct evbuffer *out)
{
  if (exchange->close)
    evbuffer_add_printf (out, "Connection: close\r\n");
  evbuffer_add (out, "\r\n", 2);
}

static struct evbuffer *
new_response_buffer (exchange_t *exchange)
{
  account_buffer_free (&exchange->holder, exchange->response);
  exchange->response = account_buffer_new (&exchange->holder);
  return exchange->response;
}

/* Prepares the response to the caller, in case dispatch delivers this one. */
static void
prepare_response (target_conn_t *self, exchange_t *exchange)
{
  const http_head_t *head = &self->reader.head;
  struct evbuffer *response = new_response_buffer (exchange);

  write_head (self, response);
  if (exchange->no_response_body && head->content_length != UINT64_MAX)
    write_length (response, head->content_length);
  else if (head->status != 204 && head->status != 304)
    write_length (response, evbuffer_get_length (self->body));
  write_head_end (exchange, response);
  evbuffer_add_buffer (response, self->body);
  exchange->status = head->status;
}

/* Whether the response may be forwarded before it is complete: the target ran the
 * request. */
static bool
may_stream (const target_conn_t *self)
{
  return !self->mismatched && !self->facts.content_encoded
         && response_classify (self) == ANSWER_RUN
         && !self->proxy->dialect->guarantees_not_run (self->status)
         && self->exchange->caller != NULL;
}

/* Whether this is the next response to write to the caller. */
static bool
is_next_response (const exchange_t *exchange)
{
  return TAILQ_FIRST (&exchange->caller->pipeline) == exchange;
}

static void
start_streaming (target_conn_t *self)
{
  exchange_t *exchange = self->exchange;
  const http_head_t *head = &self->reader.head;
  struct evbuffer *out = bufferevent_get_output (exchange->caller->bev);
  const dispatch_msg_t msg = { .kind = DISPATCH_STREAMING,
                               .request = &exchange->request,
                               .target = self->target };

  exchange->response_streaming = true;
  exchange->status = head->status;
  exchange->response_chunked = head->content_length == UINT64_MAX && !exchange->http10;
  if ((self->proxy->draining && TAILQ_NEXT (exchange, link) == NULL)
      || (head->content_length == UINT64_MAX && exchange->http10))
    {
      exchange->close = true;
      exchange->caller->no_more_requests = true;
    }
  write_head (self, out);
  if (head->content_length != UINT64_MAX)
    write_length (out, head->content_length);
  else if (exchange->response_chunked)
    evbuffer_add_printf (out, "Transfer-Encoding: chunked\r\n");
  write_head_end (exchange, out);
  proxy_dispatch (self->proxy, &msg);
}

/* Whether the answer fills its buffer and is held back by earlier ones. */
static bool
awaits_turn (const target_conn_t *self)
{
  size_t part = buffers_part (&self->proxy->account.buffers, PROXY_RESPONSE_BUFFER_BYTES);

  return evbuffer_get_length (self->body) > part && may_stream (self)
         && !is_next_response (self->exchange);
}

void
target_conn_update (target_conn_t *self)
{
  const exchange_t *exchange = self->exchange;
  flow_target_t state = { .in_use = exchange != NULL };

  if (exchange != NULL && exchange->response_streaming && exchange->caller != NULL)
    {
      bool paused = (bufferevent_get_enabled (self->bev) & EV_READ) == 0;
      state.streaming = true;
      state.answer = stream_queue (self->proxy, exchange->caller->bev, paused);
    }
  else if (exchange != NULL)
    state.awaits_turn = awaits_turn (self);
  if (flow_target_reads (&state))
    {
      bufferevent_enable (self->bev, EV_READ);
      return;
    }
  bufferevent_disable (self->bev, EV_READ);
  if (self->held_up_at == 0)
    self->held_up_at = msclock_now (&self->proxy->clock);
}

/* Forwards a large response as it arrives, when it is its turn.  False if it is too large
 * to be buffered and can't be forwarded. */
static bool
forward_part (target_conn_t *self)
{
  exchange_t *exchange = self->exchange;

  if (!exchange->response_streaming)
    {
      size_t len = evbuffer_get_length (self->body);
      if (len
          <= buffers_part (&self->proxy->account.buffers, PROXY_RESPONSE_BUFFER_BYTES))
        return true;
      if (!may_stream (self))
        return len <= PROXY_RESPONSE_BUFFER_BYTES;
      if (!is_next_response (exchange))
        return true;
      start_streaming (self);
    }
  stream_response (exchange, self->body);
  return true;
}

static void
check_acknowledged (target_conn_t *self)
{
  self->kept_longer = socket_keep_while_acknowledged (bufferevent_getfd (self->bev),
                                                      PROXY_TCP_USER_TIMEOUT_MS);
}

/* The target may take no more of a request's body for some time. */
static void
watch_body (target_conn_t *self)
{
  const struct timeval again = { 0, PROXY_ACKNOWLEDGED_CHECK_MS * 1000 };
  const exchange_t *exchange = self->exchange;

  if (exchange->request_streaming || evbuffer_get_length (exchange->body) > 0)
    evtimer_add (self->timer, &again);
}

static void
finish_attempt (target_conn_t *self)
{
  proxy_t *proxy = self->proxy;
  bool extra = evbuffer_get_length (bufferevent_get_input (self->bev)) > 0;
  exchange_t *exchange = self->exchange;
  dispatch_msg_t msg = { .kind = DISPATCH_ANSWERED,
                         .request = &exchange->request,
                         .target = self->target,
                         .answer = response_classify (self),
                         .status = self->status,
                         .held_up_at = self->held_up_at,
                         .load = self->facts.load,
                         .rate_limited = self->facts.rate_limited,
                         .rate_limit = self->facts.rate_limit,
                         .pause = self->facts.pause };

  if (self->facts.content_encoded)
    {
      fail (self, "content_encoding");
      return;
    }
  if (msg.answer != ANSWER_RUN)
    {
      response_log_refusal (self, msg.answer);
      response_log_odd_pause (self);
      if (exchange->n_rejected < DISPATCH_ATTEMPTS_MAX)
        exchange->rejected_on[exchange->n_rejected++] = self->serial;
    }
  proxy->counts.odd_speeds += self->facts.load.odd_moment;
  detach (self);
  evtimer_del (self->timer);
  if (self->kept_longer)
    check_acknowledged (self);
  if (exchange->request_streaming && !exchange->request_complete)
    {
      /* An early response: the rest of the request body is not forwarded, so neither
       * connection can carry another request. */
      exchange->close = true;
      if (exchange->caller != NULL)
        exchange->caller->no_more_requests = true;
      self->not_reusable = true;
    }
  if (exchange->response_streaming)
    {
      stream_response (exchange, self->body);
      stream_response_end (exchange);
      new_response_buffer (exchange);
    }
  else
    prepare_response (self, exchange);
  if (msg.answer == ANSWER_RUN && proxy->dialect->guarantees_not_run (self->status)
      && !request_kind_may_repeat (exchange->request.kind))
    {
      /* The status would guarantee to the caller that the request did not run, which the
       * target did not report. */
      exchange_respond (exchange, 502, TEXT ("The target failed.\n"), 0);
    }
  self->used_before = true;
  pool_put (self, extra);
  proxy_dispatch (proxy, &msg);
}

void
target_conn_charge_head (target_conn_t *self)
{
  uint64_t held = http_reader_held (&self->reader);

  account_charge (&self->holder, ACCOUNT_HEAD, held, self->head_held);
  self->head_held = held;
}

static void
read_responses (target_conn_t *self)
{
  struct evbuffer *in = bufferevent_get_input (self->bev);

  while (self->exchange != NULL && evbuffer_get_length (in) > 0)
    {
      http_progress_t progress = http_reader_consume (&self->reader, in);
      target_conn_charge_head (self);
      if (progress == HTTP_INCOMPLETE)
        {
          if (self->stray_bytes > PROXY_RESPONSE_BUFFER_BYTES)
            fail (self, "stray_response");
          else if (evbuffer_get_length (self->body) > 0 && !forward_part (self))
            fail (self, "response_too_large");
          else
            target_conn_update (self);
          return;
        }
      if (progress != HTTP_COMPLETE)
        {
          fail (self, "malformed_response");
          return;
        }
      bool interim = self->status >= 100 && self->status < 200;
      if (!interim && !self->mismatched)
        {
          finish_attempt (self);
          return;
        }
      if (!interim)
        {
          /* Late or duplicate, to an earlier request: ours has not arrived yet. */
          self->proxy->counts.stray_responses++;
          self->not_reusable = true;
        }
      self->skipped_responses++;
      if ((!interim && !self->keep_alive)
          || self->skipped_responses > PROXY_SKIPPED_RESPONSES_MAX)
        {
          fail (self, "stray_response");
          return;
        }
    }
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  target_conn_t *self = arg;

  proxy_t *proxy = self->proxy;

  (void)bev;
  if (self->exchange == NULL)
    pool_close (self); /* unexpected bytes */
  else
    read_responses (self);
  pressure_check (proxy);
}

static void
on_written (struct bufferevent *bev, void *arg)
{
  target_conn_t *self = arg;

  (void)bev;
  if (self->exchange != NULL && self->exchange->caller != NULL)
    caller_update (self->exchange->caller);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  target_conn_t *self = arg;

  (void)bev;
  if (what & BEV_EVENT_CONNECTED)
    {
      self->connected = true;
      self->proxy->counts.target_connections++;
      evtimer_del (self->timer);
      socket_set_options (bufferevent_getfd (self->bev), PROXY_TCP_USER_TIMEOUT_MS);
      if (self->exchange != NULL)
        watch_body (self);
      return;
    }
  if (self->exchange == NULL)
    {
      pool_close (self);
      return;
    }
  if ((what & BEV_EVENT_ERROR) && (what & BEV_EVENT_WRITING) && self->connected)
    {
      self->write_failed = true;
      self->not_reusable = true;
      return;
    }
  if ((what & BEV_EVENT_EOF) && !self->write_failed
      && http_reader_eof (&self->reader) == HTTP_COMPLETE && !self->mismatched)
    {
      self->keep_alive = false;
      finish_attempt (self);
      return;
    }
  if ((what & BEV_EVENT_EOF) && !self->write_failed)
    fail (self, "closed");
  else if (self->connected)
    fail_with (self,
               "reset",
               self->used_before || self->status != 0 ? CONNECT_FAILURE_NONE
                                                      : CONNECT_FAILURE_RESET);
  else
    fail_with (self, "connect_error", CONNECT_FAILURE_REFUSED);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  target_conn_t *self = arg;

  (void)fd;
  (void)what;
  if (self->exchange == NULL)
    pool_close (self);
  else if (self->connected)
    {
      check_acknowledged (self);
      watch_body (self);
    }
  else
    fail (self, "connect_timeout");
}

static target_conn_t *
connect_to (proxy_t *proxy, uint32_t target)
{
  const dispatch_target_t *to = dispatch_target (&proxy->dispatch, target);
  const struct timeval timeout
      = { TARGET_CONNECT_MS / 1000, TARGET_CONNECT_MS % 1000 * 1000 };
  target_conn_t *self = g_new0 (target_conn_t, 1);
  struct sockaddr_in address;

  self->proxy = proxy;
  self->serial = ++proxy->connections_opened;
  self->target = target;
  self->bev = bufferevent_socket_new (proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
  account_holder_init (&self->holder, &proxy->account, NULL);
  account_charge (&self->holder, ACCOUNT_CONNECTION, ACCOUNT_CONNECTION_BYTES, 0);
  account_watch (&self->holder, self->bev);
  self->body = account_buffer_new (&self->holder);
  self->timer = evtimer_new (proxy->base, on_timer, self);
  http_reader_init (&self->reader,
                    HTTP_RESPONSES,
                    PROXY_HEAD_MAX_BYTES,
                    &reader_ops,
                    self);
  bufferevent_setcb (self->bev, on_read, on_written, on_event, self);
  bufferevent_enable (self->bev, EV_READ | EV_WRITE);
  evtimer_add (self->timer, &timeout);
  /* An invalid address, or a connect that fails immediately, is handled when the timer
   * expires, so that dispatch is not called from within its own action. */
  if (!router_settings_parse_endpoint (name_text (&to->entry.address), &address)
      || bufferevent_socket_connect (self->bev,
                                     (struct sockaddr *)&address,
                                     sizeof address)
             != 0)
    eventlog_write (EVENT_STATE,
                    "proxy",
                    "connect_failed",
                    "target=%.*s address=%.*s",
                    NAME_ARG (to->entry.id),
                    NAME_ARG (to->entry.address));
  return self;
}

void
target_conn_send (proxy_t *proxy, exchange_t *exchange, uint32_t target, msec_t wait)
{
  const dispatch_target_t *to = dispatch_target (&proxy->dispatch, target);
  target_conn_t *conn = pool_take (proxy, target, exchange);
  GString *head = g_string_new_len (exchange->head->str, (gssize)exchange->head->len);
  size_t body = evbuffer_get_length (exchange->body);

  if (conn == NULL)
    conn = connect_to (proxy, target);
  proxy->dialect->write_attempt_headers (head, name_text (&to->entry.id), wait);
  if (exchange->request_streaming && exchange->content_length == UINT64_MAX)
    {
      exchange->request_chunked = true;
      g_string_append (head, "Transfer-Encoding: chunked\r\n");
    }
  else if (exchange->request_streaming)
    g_string_append_printf (head,
                            "Content-Length: %llu\r\n",
                            (unsigned long long)exchange->content_length);
  else if (body > 0 || !request_kind_may_repeat (exchange->request.kind))
    g_string_append_printf (head, "Content-Length: %zu\r\n", body);
  g_string_append (head, "\r\n");
  conn->exchange = exchange;
  exchange->beside = exchange->connection;
  exchange->connection = conn;
  account_holder_move (&conn->holder, &exchange->holder);
  conn->request_bytes = head->len;
  conn->stray_bytes = 0;
  conn->skipped_responses = 0;
  conn->held_up_at = 0;
  evbuffer_drain (conn->body, evbuffer_get_length (conn->body));
  bufferevent_write (conn->bev, head->str, head->len);
  if (exchange->request_streaming)
    {
      target_conn_write_body (conn);
      if (exchange->caller != NULL)
        caller_update (exchange->caller);
    }
  else if (body > 0)
    {
      conn->request_bytes += body;
      evbuffer_add_buffer_reference (bufferevent_get_output (conn->bev), exchange->body);
    }
  if (conn->connected)
    watch_body (conn);
  g_string_free (head, TRUE);
  proxy->counts.attempts++;
  if (exchange->request.attempts > 1)
    proxy->counts.retries++;
}

void
target_conn_write_body (target_conn_t *self)
{
  struct evbuffer *out = bufferevent_get_output (self->bev);
  size_t before = evbuffer_get_length (out);

  stream_request (self->exchange, self->bev);
  self->request_bytes += evbuffer_get_length (out) - before;
}

void
target_conn_abort (target_conn_t *self)
{
  fail (self, "upload_aborted");
}

flow_queue_t
target_conn_request_queue (const target_conn_t *self, bool paused)
{
  return stream_queue (self->proxy, self->bev, paused);
}

void
target_conn_cancel (target_conn_t *self)
{
  detach (self);
  reset_and_free (self);
}
