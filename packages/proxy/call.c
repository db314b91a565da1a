#include "call_parts.h"

#include "../core/eventlog.h"

#include <string.h>

/* Whether a byte of the request may have left. */
static bool
has_left (const call_t *self)
{
  struct evbuffer *out = bufferevent_get_output (self->bev);

  return self->connected && evbuffer_get_length (out) < self->to_write;
}

/* Takes the exchange off this connection. */
static exchange_t *
detach (call_t *self)
{
  exchange_t *exchange = self->exchange;

  self->exchange = NULL;
  exchange->call = NULL;
  return exchange;
}

/* Closes the connection; what is still to be delivered of a request never arrives. */
static void
drop (call_t *self)
{
  socket_set_reset_on_close (bufferevent_getfd (self->bev), true);
  call_free (self);
}

/* What a failed send says of its target besides. */
typedef enum
{
  SIGN_NONE,
  SIGN_REFUSED,     /* nothing listens there */
  SIGN_TURNED_AWAY, /* it takes no more connections */
} sign_t;

static void
fail_with (call_t *self, const char *why, sign_t sign)
{
  proxy_t *proxy = self->proxy;
  exchange_t *exchange = detach (self);
  dispatch_msg_t msg = { .kind = DISPATCH_FAILED,
                         .request = &exchange->request,
                         .sent = has_left (self),
                         .connected = self->connected,
                         .refused = sign == SIGN_REFUSED,
                         .turned_away = sign == SIGN_TURNED_AWAY };
  const dispatch_target_t *target = dispatch_target (&proxy->dispatch, self->target);

  eventlog_write (EVENT_TROUBLE,
                  "proxy",
                  "send_failed",
                  "request=%.*s target=%.*s why=%s sent=%d send=%u after_ms=%lld",
                  NAME_ARG (exchange->id),
                  NAME_ARG (target->entry.id),
                  why,
                  msg.sent,
                  exchange->request.sends,
                  (long long)(msclock_now (&proxy->clock) - exchange->request.sent_at));
  drop (self);
  proxy_decide (proxy, &msg);
}

static void
fail (call_t *self, const char *why)
{
  fail_with (self, why, SIGN_NONE);
}

static bool
on_head (void *owner)
{
  call_t *self = owner;
  const http_head_t *head = &self->reader.head;

  self->proxy->dialect->read_answer (head, &self->facts);
  self->status = head->status;
  self->alive = head->keep_alive && head->has_framing;
  self->stray = self->exchange == NULL
                || !text_equal (self->facts.id, name_text (&self->exchange->id));
  return self->exchange == NULL || !self->exchange->bodyless;
}

static void
on_body (void *owner, text_t bytes)
{
  call_t *self = owner;

  if (!self->stray)
    evbuffer_add (self->body, bytes.at, bytes.len);
}

static const http_reader_ops_t reader_ops = { on_head, on_body };

/* The status line and the headers that pass, without those that frame the body. */
static void
write_head (const call_t *self, struct evbuffer *out)
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
fresh_answer (exchange_t *exchange)
{
  if (exchange->answer != NULL)
    evbuffer_free (exchange->answer);
  exchange->answer = evbuffer_new ();
  return exchange->answer;
}

/* Prepares what the caller gets if dispatch wants this answer delivered. */
static void
prepare_answer (call_t *self, exchange_t *exchange)
{
  const http_head_t *head = &self->reader.head;
  struct evbuffer *answer = fresh_answer (exchange);

  write_head (self, answer);
  if (exchange->bodyless && head->content_length != UINT64_MAX)
    write_length (answer, head->content_length);
  else if (head->status != 204 && head->status != 304)
    write_length (answer, evbuffer_get_length (self->body));
  write_head_end (exchange, answer);
  evbuffer_add_buffer (answer, self->body);
  exchange->status = head->status;
}

/* Whether the answer may be passed on before it is whole: it is the caller's next. */
static bool
may_stream (const call_t *self)
{
  const exchange_t *exchange = self->exchange;

  return !self->stray && !self->facts.encoded && answer_kind (self) == ANSWER_RUN
         && !self->proxy->dialect->promises_not_run (self->status)
         && exchange->caller != NULL && TAILQ_FIRST (&exchange->caller->line) == exchange;
}

static void
begin_stream (call_t *self)
{
  exchange_t *exchange = self->exchange;
  const http_head_t *head = &self->reader.head;
  struct evbuffer *out = bufferevent_get_output (exchange->caller->bev);
  const dispatch_msg_t msg
      = { .kind = DISPATCH_STREAMING, .request = &exchange->request };

  exchange->streaming = true;
  exchange->status = head->status;
  exchange->answer_chunked = head->content_length == UINT64_MAX && !exchange->old;
  if (self->proxy->draining || (head->content_length == UINT64_MAX && exchange->old))
    {
      exchange->close = true;
      exchange->caller->last = true;
    }
  write_head (self, out);
  if (head->content_length != UINT64_MAX)
    write_length (out, head->content_length);
  else if (exchange->answer_chunked)
    evbuffer_add_printf (out, "Transfer-Encoding: chunked\r\n");
  write_head_end (exchange, out);
  proxy_decide (self->proxy, &msg);
}

static void
wait_for_progress (call_t *self)
{
  const struct timeval patience
      = { PROXY_PROGRESS_MS / 1000, PROXY_PROGRESS_MS % 1000 * 1000 };

  evtimer_add (self->timer, &patience);
}

/* Passes a large answer on as it comes.  False if it is too large to be held. */
static bool
pass_on (call_t *self)
{
  size_t held = evbuffer_get_length (self->body);

  if (!self->exchange->streaming && held > PROXY_ANSWER_HOLD_BYTES && may_stream (self))
    begin_stream (self);
  if (!self->exchange->streaming)
    return held <= PROXY_ANSWER_MAX_BYTES;
  stream_answer (self->exchange, self->body, self->bev);
  wait_for_progress (self);
  return true;
}

static void
complete (call_t *self)
{
  proxy_t *proxy = self->proxy;
  bool extra = evbuffer_get_length (bufferevent_get_input (self->bev)) > 0;
  exchange_t *exchange = self->exchange;
  dispatch_msg_t msg = { .kind = DISPATCH_ANSWERED,
                         .request = &exchange->request,
                         .answer = answer_kind (self),
                         .status = self->status,
                         .load = self->facts.load };

  if (self->facts.encoded)
    {
      fail (self, "encoded");
      return;
    }
  if (msg.answer != ANSWER_RUN)
    answer_log_refusal (self, msg.answer);
  detach (self);
  evtimer_del (self->timer);
  if (exchange->uploading && !exchange->whole)
    {
      /* An early answer: the rest of the body belongs to no request any more. */
      exchange->close = true;
      if (exchange->caller != NULL)
        exchange->caller->last = true;
      self->spoilt = true;
    }
  if (exchange->streaming)
    {
      stream_answer (exchange, self->body, self->bev);
      stream_answer_end (exchange);
      fresh_answer (exchange);
    }
  else
    prepare_answer (self, exchange);
  if (msg.answer == ANSWER_RUN && proxy->dialect->promises_not_run (self->status)
      && exchange->request.kind == KIND_MUTATING)
    {
      /* The status would promise the caller what the target doesn't say. */
      exchange_answer (exchange, 502, TEXT ("The target failed.\n"), 0);
    }
  self->answered = true;
  pool_keep (self, extra);
  proxy_decide (proxy, &msg);
}

static void
take_bytes (call_t *self)
{
  struct evbuffer *in = bufferevent_get_input (self->bev);

  while (self->exchange != NULL && evbuffer_get_length (in) > 0)
    {
      http_progress_t progress = http_reader_take (&self->reader, in);
      if (progress == HTTP_INCOMPLETE)
        {
          if (evbuffer_get_length (self->body) > 0 && !pass_on (self))
            fail (self, "answer_too_large");
          return;
        }
      if (progress != HTTP_COMPLETE)
        {
          fail (self, "not_http");
          return;
        }
      if (self->status >= 100 && self->status < 200)
        continue;
      if (!self->stray)
        {
          complete (self);
          return;
        }
      /* A late second answer to an earlier request: ours is still to come. */
      self->proxy->counts.strays++;
      self->spoilt = true;
      if (!self->alive)
        {
          fail (self, "stray_answer");
          return;
        }
    }
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  call_t *self = arg;

  (void)bev;
  if (self->exchange == NULL)
    pool_close (self); /* bytes that answer nothing */
  else
    take_bytes (self);
}

static void
on_written (struct bufferevent *bev, void *arg)
{
  call_t *self = arg;

  (void)bev;
  if (self->exchange != NULL && self->exchange->uploading
      && self->exchange->caller != NULL)
    caller_resume (self->exchange->caller);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  call_t *self = arg;

  (void)bev;
  if (what & BEV_EVENT_CONNECTED)
    {
      self->connected = true;
      self->proxy->counts.connections++;
      evtimer_del (self->timer);
      socket_set_options (bufferevent_getfd (self->bev), CALL_SILENT_MS);
      return;
    }
  if (self->exchange == NULL)
    {
      pool_close (self);
      return;
    }
  if ((what & BEV_EVENT_EOF) && http_reader_eof (&self->reader) == HTTP_COMPLETE
      && !self->stray)
    {
      self->alive = false;
      complete (self);
      return;
    }
  if (what & BEV_EVENT_EOF)
    fail (self, "closed");
  else if (self->connected)
    fail_with (self,
               "reset",
               self->answered || self->status != 0 ? SIGN_NONE : SIGN_TURNED_AWAY);
  else
    fail_with (self, "no_connection", SIGN_REFUSED);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  call_t *self = arg;

  (void)fd;
  (void)what;
  if (self->exchange == NULL)
    pool_close (self);
  else if (!self->connected)
    fail (self, "connect_timeout");
  else if ((bufferevent_get_enabled (self->bev) & EV_READ) == 0)
    wait_for_progress (self); /* it waits for the caller, not for the target */
  else
    fail (self, "no_progress");
}

static call_t *
connect_to (proxy_t *proxy, uint32_t target)
{
  const dispatch_target_t *to = dispatch_target (&proxy->dispatch, target);
  const struct timeval patience
      = { CALL_CONNECT_MS / 1000, CALL_CONNECT_MS % 1000 * 1000 };
  call_t *self = g_new0 (call_t, 1);
  struct sockaddr_in address;

  self->proxy = proxy;
  self->target = target;
  self->bev = bufferevent_socket_new (proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
  self->body = evbuffer_new ();
  self->timer = evtimer_new (proxy->base, on_timer, self);
  http_reader_init (&self->reader, HTTP_ANSWERS, PROXY_HEAD_MAX_BYTES, &reader_ops, self);
  bufferevent_setcb (self->bev, on_read, on_written, on_event, self);
  bufferevent_enable (self->bev, EV_READ | EV_WRITE);
  evtimer_add (self->timer, &patience);
  /* An address that can't be read, or a connect that fails at once, is noticed by the
   * timer, so that no failure is told from within the send. */
  if (!router_settings_endpoint (name_text (&to->entry.address), &address)
      || bufferevent_socket_connect (self->bev,
                                     (struct sockaddr *)&address,
                                     sizeof address)
             != 0)
    eventlog_write (EVENT_BELIEF,
                    "proxy",
                    "connect_failed",
                    "target=%.*s address=%.*s",
                    NAME_ARG (to->entry.id),
                    NAME_ARG (to->entry.address));
  return self;
}

void
call_send (proxy_t *proxy, exchange_t *exchange, uint32_t target, msec_t wait)
{
  const dispatch_target_t *to = dispatch_target (&proxy->dispatch, target);
  call_t *call = pool_take (proxy, target, exchange->request.kind);
  GString *head = g_string_new_len (exchange->head->str, (gssize)exchange->head->len);
  size_t body = evbuffer_get_length (exchange->body);

  if (call == NULL)
    call = connect_to (proxy, target);
  proxy->dialect->write_send (head, name_text (&to->entry.id), wait);
  if (exchange->uploading && exchange->length == UINT64_MAX)
    {
      exchange->body_chunked = true;
      g_string_append (head, "Transfer-Encoding: chunked\r\n");
    }
  else if (exchange->uploading)
    g_string_append_printf (head,
                            "Content-Length: %llu\r\n",
                            (unsigned long long)exchange->length);
  else if (body > 0 || exchange->request.kind == KIND_MUTATING)
    g_string_append_printf (head, "Content-Length: %zu\r\n", body);
  g_string_append (head, "\r\n");
  call->exchange = exchange;
  exchange->call = call;
  call->to_write = head->len;
  evbuffer_drain (call->body, evbuffer_get_length (call->body));
  bufferevent_write (call->bev, head->str, head->len);
  if (exchange->uploading)
    {
      call_upload (call);
      if (exchange->caller != NULL)
        caller_resume (exchange->caller);
    }
  else if (body > 0)
    {
      call->to_write += body;
      evbuffer_add_buffer_reference (bufferevent_get_output (call->bev), exchange->body);
    }
  g_string_free (head, TRUE);
  proxy->counts.sends++;
  if (exchange->request.sends > 1)
    proxy->counts.repeats++;
}

void
call_upload (call_t *self)
{
  struct evbuffer *out = bufferevent_get_output (self->bev);
  size_t before = evbuffer_get_length (out);

  stream_request (self->exchange, self->bev);
  self->to_write += evbuffer_get_length (out) - before;
}

void
call_abandon (call_t *self)
{
  fail (self, "upload_cut");
}

void
call_resume (call_t *self)
{
  bufferevent_enable (self->bev, EV_READ);
}

void
call_cancel (call_t *self)
{
  detach (self);
  drop (self);
}
