#include "exchange.h"

#include "../core/eventlog.h"

#include <string.h>

static void
set_timer (caller_t *self, msec_t wait)
{
  const struct timeval after = { wait / 1000, wait % 1000 * 1000 };

  evtimer_add (self->timer, &after);
}

/* Ends the sending side; what the caller still sends is read and dropped, since closing
 * over unread bytes would reset the connection and lose the answer. */
static void
close_in_order (caller_t *self)
{
  if (self->closing)
    return;
  self->closing = true;
  if (evbuffer_get_length (bufferevent_get_output (self->bev)) == 0)
    shutdown (bufferevent_getfd (self->bev), SHUT_WR);
  set_timer (self, PROXY_LINGER_MS);
}

static msec_t
idle_limit (const proxy_t *proxy)
{
  return proxy->limits.idle_ms > 0 ? proxy->limits.idle_ms : PROXY_IDLE_MS;
}

/* Starts requests that may run beside unanswered ones before them. */
static void
begin_ready (caller_t *self)
{
  exchange_t *exchange = TAILQ_FIRST (&self->line);
  bool first = true;

  while (exchange != NULL)
    {
      exchange_t *next = TAILQ_NEXT (exchange, link);
      bool readable = exchange->whole || (first && exchange->uploading);
      if (!exchange->begun && !exchange->answered && readable
          && (first
              || dispatch_may_overlap (&self->proxy->dispatch,
                                       (text_t){ exchange->host, exchange->host_len },
                                       (text_t){ exchange->path, exchange->path_len })))
        exchange_begin (exchange);
      if (!exchange->begun && !exchange->answered)
        break;
      first = false;
      exchange = next;
    }
}

/* Writes answers in the order of their requests. */
static void
write_ready (caller_t *self)
{
  exchange_t *exchange;

  while ((exchange = TAILQ_FIRST (&self->line)) != NULL && exchange->answered
         && !self->closing)
    {
      bool close = exchange->close;
      bufferevent_write_buffer (self->bev, exchange->answer);
      TAILQ_REMOVE (&self->line, exchange, link);
      self->n_line--;
      if (self->reading == exchange)
        self->reading = NULL;
      exchange_free (exchange);
      if (close)
        close_in_order (self);
    }
}

/* Answers a request that can't be passed on and reads nothing after it. */
static void
refuse_malformed (caller_t *self, unsigned status, text_t why)
{
  exchange_t *exchange = self->reading;

  self->proxy->counts.bad_requests++;
  if (exchange != NULL && exchange->begun)
    {
      caller_abort (self); /* it is being sent; no answer of ours would be true */
      return;
    }
  eventlog_write (EVENT_TROUBLE,
                  "proxy",
                  "malformed",
                  "status=%u why=%.*s",
                  status,
                  TEXT_ARG (why));
  if (exchange == NULL)
    {
      http_head_t empty = self->reader.head;
      g_array_set_size (empty.fields, 0);
      empty.keep_alive = false;
      exchange = exchange_new (self, &empty);
      TAILQ_INSERT_TAIL (&self->line, exchange, link);
      self->n_line++;
    }
  exchange->close = true;
  exchange_answer (exchange, status, why, 0);
  exchange->answered = true;
  self->reading = NULL;
  self->last = true;
}

static bool
on_head (void *owner)
{
  caller_t *self = owner;
  exchange_t *exchange = exchange_new (self, &self->reader.head);

  TAILQ_INSERT_TAIL (&self->line, exchange, link);
  self->n_line++;
  self->reading = exchange;
  if (http_list_has (http_head_get (&self->reader.head, TEXT ("expect")),
                     TEXT ("100-continue"))
      && exchange == TAILQ_FIRST (&self->line))
    bufferevent_write (self->bev, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  if (exchange->close)
    self->last = true;
  return true;
}

static void
on_body (void *owner, text_t bytes)
{
  caller_t *self = owner;

  exchange_t *exchange = self->reading;

  if (exchange == NULL || exchange->answered)
    return; /* it was answered before its end; the rest is of no use */
  exchange->uploaded += bytes.len;
  evbuffer_add (exchange->body, bytes.at, bytes.len);
  if (evbuffer_get_length (exchange->body) > PROXY_BODY_HOLD_BYTES && !exchange->begun)
    exchange->uploading = true;
  if (!exchange->uploading)
    return;
  if (exchange->call != NULL)
    call_upload (exchange->call);
  else if (evbuffer_get_length (exchange->body) > 2 * PROXY_BODY_HOLD_BYTES)
    bufferevent_disable (self->bev, EV_READ); /* until it is sent */
}

static const http_reader_ops_t reader_ops = { on_head, on_body };

static uint64_t
body_limit (const proxy_t *proxy)
{
  uint64_t told = proxy->limits.body_bytes;

  return told > 0 ? told : PROXY_BODY_MAX_BYTES;
}

static void
read_requests (caller_t *self)
{
  struct evbuffer *in = bufferevent_get_input (self->bev);

  while (!self->last && self->n_line < PROXY_LINE_MAX && evbuffer_get_length (in) > 0)
    {
      http_progress_t progress = http_reader_take (&self->reader, in);
      if (progress == HTTP_TOO_LARGE)
        refuse_malformed (self, 431, TEXT ("The headers are too large."));
      else if (progress == HTTP_MALFORMED)
        refuse_malformed (self, 400, TEXT ("The request is malformed."));
      else if (self->reading != NULL
               && self->reading->uploaded > body_limit (self->proxy))
        refuse_malformed (self, 413, TEXT ("The body is too large."));
      else if (progress == HTTP_COMPLETE)
        {
          g_assert (self->reading != NULL);
          exchange_t *exchange = self->reading;
          self->reading = NULL;
          exchange->whole = true;
          if (exchange->uploading && exchange->call != NULL)
            call_upload (exchange->call);
        }
      else
        break;
    }
  if (self->last && self->reading == NULL)
    evbuffer_drain (in, evbuffer_get_length (in));
}

void
caller_advance (caller_t *self)
{
  if (self->busy)
    return; /* the call that is under way goes on from here */
  self->busy = true;
  begin_ready (self);
  write_ready (self);
  begin_ready (self); /* the next in line may have had to be first */
  write_ready (self);
  self->busy = false;
  if (self->closing)
    return;
  if (self->reader.in_message && self->proxy->limits.head_ms > 0)
    set_timer (self, self->proxy->limits.head_ms);
  else if (TAILQ_EMPTY (&self->line))
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
  /* Answers may make room in the line for requests that were read but not parsed. */
  do
    {
      read_requests (self);
      caller_advance (self);
    }
  while (!self->closing && !self->last && self->n_line < PROXY_LINE_MAX
         && self->reading == NULL && !self->reader.in_message
         && evbuffer_get_length (bufferevent_get_input (bev)) > 0);
}

static void
on_written (struct bufferevent *bev, void *arg)
{
  caller_t *self = arg;
  const exchange_t *first = TAILQ_FIRST (&self->line);

  if (first != NULL && first->streaming && first->call != NULL)
    call_resume (first->call);
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
  if (self->closing || TAILQ_EMPTY (&self->line))
    {
      caller_free (self);
      return;
    }
  if (self->reading != NULL || self->reader.in_message)
    {
      refuse_malformed (self, 408, TEXT ("The request took too long to arrive."));
      caller_advance (self);
    }
}

void
caller_accept (proxy_t *proxy, evutil_socket_t fd)
{
  caller_t *self = g_new0 (caller_t, 1);
  uint32_t head_max
      = proxy->limits.head_bytes > 0 ? proxy->limits.head_bytes : PROXY_HEAD_MAX_BYTES;

  socket_set_options (fd, CALL_SILENT_MS * 4);
  self->proxy = proxy;
  self->bev = bufferevent_socket_new (proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
  TAILQ_INIT (&self->line);
  http_reader_init (&self->reader, HTTP_REQUESTS, head_max, &reader_ops, self);
  self->timer = evtimer_new (proxy->base, on_timer, self);
  TAILQ_INSERT_TAIL (&proxy->callers, self, link);
  proxy->n_callers++;
  bufferevent_setcb (self->bev, on_read, on_written, on_event, self);
  bufferevent_enable (self->bev, EV_READ | EV_WRITE);
  set_timer (self, idle_limit (proxy));
}

void
caller_free (caller_t *self)
{
  exchange_t *exchange;

  TAILQ_REMOVE (&self->proxy->callers, self, link);
  self->proxy->n_callers--;
  while ((exchange = TAILQ_FIRST (&self->line)) != NULL)
    {
      TAILQ_REMOVE (&self->line, exchange, link);
      exchange_leave (exchange);
    }
  event_free (self->timer);
  http_reader_finish (&self->reader);
  bufferevent_free (self->bev);
  g_free (self);
}

bool
caller_is_idle (const caller_t *self)
{
  return TAILQ_EMPTY (&self->line) && !self->reader.in_message && !self->closing
         && evbuffer_get_length (bufferevent_get_output (self->bev)) == 0;
}

void
caller_abort (caller_t *self)
{
  self->closing = true;
  self->last = true;
  set_timer (self, 0);
}

void
caller_resume (caller_t *self)
{
  if (!self->closing)
    bufferevent_enable (self->bev, EV_READ);
}
