#include "exchange.h"

#include "../core/eventlog.h"

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  exchange_t *self = arg;
  dispatch_msg_t msg = { .kind = DISPATCH_TIMER, .request = &self->request };
  msec_t left = self->request.timer_at - msclock_now (&self->proxy->clock);

  (void)fd;
  (void)what;
  if (self->request.timer_at == MSEC_NEVER)
    return;
  if (left > 0)
    {
      const struct timeval again = { left / 1000, left % 1000 * 1000 };
      evtimer_add (self->timer, &again);
      return;
    }
  proxy_dispatch (self->proxy, &msg);
}

static uint64_t
hash_combine (uint64_t hash, text_t text)
{
  return hash * 0x9e3779b97f4a7c15u + text_hash (text); /* 2^64 / golden ratio, odd */
}

/* The request line and headers sent to the target on each attempt.  FINGERPRINT is set to
 * a hash that is equal for all attempts of a caller at the same request. */
static GString *
forwarded_head (const proxy_t *proxy, const http_head_t *head, uint64_t *fingerprint)
{
  GString *text = g_string_sized_new (256);
  text_t path = http_head_start_text (head);
  text_t connection = http_head_get (head, TEXT ("connection"));

  g_string_append (text, http_method_str ((enum http_method)head->method));
  g_string_append_c (text, ' ');
  g_string_append_len (text, path.at, (gssize)path.len);
  g_string_append (text, " HTTP/1.1\r\n");
  *fingerprint = hash_combine (head->method, path);
  for (guint i = 0; i < head->fields->len; i++)
    {
      text_t name = http_head_name (head, i);
      text_t value = http_head_value (head, i);
      if (http_header_is_hop_by_hop (name) || !proxy->dialect->is_forwarded (name)
          || http_list_has (connection, name))
        continue;
      if (!proxy->dialect->varies_by_attempt (name))
        *fingerprint = hash_combine (hash_combine (*fingerprint, name), value);
      g_string_append_len (text, name.at, (gssize)name.len);
      g_string_append (text, ": ");
      g_string_append_len (text, value.at, (gssize)value.len);
      g_string_append (text, "\r\n");
    }
  return text;
}

static text_t
without_port (text_t host)
{
  text_t rest;

  return text_split (host, ':', &rest);
}

/* Beside its body and its answer. */
static uint64_t
held_bytes (const exchange_t *self)
{
  return sizeof *self + self->head->allocated_len + self->host_len + self->path_len
         + ACCOUNT_EXCHANGE_BYTES;
}

exchange_t *
exchange_new (caller_t *caller, const http_head_t *head)
{
  proxy_t *proxy = caller->proxy;
  exchange_t *self = g_new0 (exchange_t, 1);
  text_t host = without_port (http_head_get (head, TEXT ("host")));
  text_t path = http_head_start_text (head);

  dispatch_request_init (&self->request);
  self->proxy = proxy;
  self->caller = caller;
  self->received_at = caller->times.head_since;
  self->host = g_memdup2 (host.at, host.len);
  self->host_len = host.len;
  self->path = g_memdup2 (path.at, path.len);
  self->path_len = path.len;
  self->no_response_body = head->method == HTTP_HEAD;
  self->close = !head->keep_alive;
  self->http10 = head->http10;
  self->content_length = head->content_length;
  proxy->dialect->read_request (head, &self->facts);
  if (!name_set (&self->id, self->facts.id))
    self->id.len = 0;
  self->head = forwarded_head (proxy, head, &self->head_fingerprint);
  account_holder_init (&self->holder, &proxy->account, &caller->holder);
  account_charge (&self->holder, ACCOUNT_EXCHANGE, held_bytes (self), 0);
  self->body = account_buffer_new (&self->holder);
  self->timer = evtimer_new (proxy->base, on_timer, self);
  return self;
}

void
exchange_free (exchange_t *self)
{
  g_assert (self->connection == NULL && self->beside == NULL);
  event_free (self->timer);
  account_buffer_free (&self->holder, self->body);
  account_buffer_free (&self->holder, self->response);
  account_charge (&self->holder, ACCOUNT_EXCHANGE, 0, held_bytes (self));
  g_assert (self->holder.held == 0);
  g_string_free (self->head, TRUE);
  g_free (self->host);
  g_free (self->path);
  g_free (self);
}

/* The hash of head and body; 0 for a streamed request, whose body is not kept. */
static uint64_t
request_fingerprint (const exchange_t *self)
{
  size_t len = evbuffer_get_length (self->body);
  const char *body = len > 0 ? (const char *)evbuffer_pullup (self->body, -1) : "";

  return self->request_streaming
             ? 0
             : hash_combine (self->head_fingerprint, (text_t){ body, len });
}

void
exchange_dispatch (exchange_t *self)
{
  msec_t waited = msclock_now (&self->proxy->clock) - self->received_at;
  dispatch_msg_t msg = { .kind = DISPATCH_ARRIVED,
                         .request = &self->request,
                         .host = { self->host, self->host_len },
                         .path = { self->path, self->path_len },
                         .has_key = self->facts.has_key,
                         .key = self->facts.key,
                         .fingerprint = request_fingerprint (self),
                         .not_replayable = self->request_streaming,
                         .waited = waited,
                         .timeout = self->facts.timeout };

  self->dispatched = true;
  self->proxy->counts.requests++;
  proxy_dispatch (self->proxy, &msg);
}

msec_t
exchange_time_limit (exchange_t *self)
{
  if (self->time_limit == 0)
    self->time_limit = dispatch_time_limit (&self->proxy->dispatch,
                                            (text_t){ self->host, self->host_len },
                                            (text_t){ self->path, self->path_len });
  return self->time_limit;
}

msec_t
exchange_until (exchange_t *self)
{
  msec_t limit = exchange_time_limit (self);

  if (self->facts.timeout >= 0)
    limit = MIN (limit, self->facts.timeout);
  return limit == MSEC_NEVER ? MSEC_NEVER : self->received_at + limit;
}

void
exchange_caller_left (exchange_t *self)
{
  dispatch_msg_t msg = { .kind = DISPATCH_CALLER_LEFT, .request = &self->request };

  self->caller = NULL;
  account_holder_move (&self->holder, NULL);
  if (self->request_streaming && !self->request_complete && self->connection != NULL)
    {
      /* The exchange is freed once dispatch has ended the request. */
      target_conn_abort (self->connection);
      return;
    }
  if (self->dispatched && !self->response_ready)
    {
      proxy_dispatch (self->proxy, &msg);
      if (self->request.state == REQUEST_SENT)
        return; /* a mutating request continues; the exchange is freed at its end */
      self->proxy->counts.callers_left++;
    }
  exchange_free (self);
}

void
exchange_respond (exchange_t *self, unsigned status, text_t reason, msec_t retry_after)
{
  GString *head = g_string_sized_new (128);

  g_string_append_printf (head,
                          "HTTP/1.1 %u %s\r\n",
                          status,
                          http_status_str ((enum http_status)status));
  if (retry_after > 0)
    self->proxy->dialect->write_retry_after (head, retry_after);
  g_string_append_printf (head,
                          "Content-Type: text/plain\r\nContent-Length: %zu\r\n",
                          reason.len);
  account_buffer_free (&self->holder, self->response);
  self->response = account_buffer_new (&self->holder);
  evbuffer_add (self->response, head->str, head->len);
  if (self->close)
    evbuffer_add_printf (self->response, "Connection: close\r\n");
  evbuffer_add (self->response, "\r\n", 2);
  if (!self->no_response_body)
    evbuffer_add (self->response, reason.at, reason.len);
  g_string_free (head, TRUE);
  self->status = status;
}
