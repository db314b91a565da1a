#include "httpc.h"

#include "../http/sockets.h"

#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

struct httpc_conn
{
  httpc_pool_t *pool;
  struct evhttp_connection *evcon;
  const httpc_ops_t *ops; /* NULL while no call is in progress */
  void *owner;
  msec_t last_used;
  uint64_t bytes_sent; /* bytes drained from the output buffer since the call started */
  bool alone;          /* closed after its call */
  bool reused;
  bool not_permitted;
  bool head_received;
  bool streaming;
  bool timed_out;
  bool refused; /* of a failed call, as is the next one */
  bool acknowledged;
  bufferevent_event_cb on_connected; /* evhttp's, with its argument */
  void *on_connected_arg;
  bool options_set;
  uint64_t body_received;
  msec_t timeout;  /* maximum time without progress */
  int64_t started; /* when the latest call was, by timer_clock */
  struct event *connect_timer;
  struct event *end_timer; /* when the call fails, whatever its progress */
};

/* The clock of libevent's timers, in microseconds. */
static int64_t
timer_clock (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC_COARSE, &now);
  return now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

static void
free_conn (httpc_conn_t *self)
{
  event_free (self->connect_timer);
  event_free (self->end_timer);
  evhttp_connection_set_closecb (self->evcon, NULL, NULL);
  evhttp_connection_free (self->evcon);
  g_free (self);
}

static void
on_free (evutil_socket_t fd, short what, void *arg)
{
  httpc_pool_t *self = arg;
  httpc_conn_t *conn;

  (void)fd;
  (void)what;
  while ((conn = g_queue_pop_head (&self->closed)) != NULL)
    free_conn (conn);
}

/* The connection is freed from the event loop, since one of its callbacks may be running.
 */
static void
free_later (httpc_conn_t *conn)
{
  httpc_pool_t *pool = conn->pool;

  conn->ops = NULL;
  event_del (conn->connect_timer);
  event_del (conn->end_timer);
  g_hash_table_remove (pool->open, conn);
  g_queue_push_tail (&pool->closed, conn);
  event_active (pool->free_event, EV_TIMEOUT, 0);
}

static evutil_socket_t
get_socket (const httpc_conn_t *self)
{
  return bufferevent_getfd (evhttp_connection_get_bufferevent (self->evcon));
}

/* Reset before the owner learns of the failure: it counts on that nothing arrives any
 * more. */
static void
reset (httpc_conn_t *conn)
{
  socket_reset (get_socket (conn));
  free_later (conn);
}

/* No call is in progress on the connection, so it is closed without a reset. */
static void
close_gracefully (httpc_conn_t *conn)
{
  socket_set_reset_on_close (get_socket (conn), false);
  free_later (conn);
}

/* An idle connection ended, or bytes arrived on it that belong to no call. */
static void
on_closed (struct evhttp_connection *evcon, void *arg)
{
  httpc_conn_t *self = arg;

  (void)evcon;
  if (g_queue_remove (&self->pool->idle, self))
    reset (self);
}

/* Called before the first byte of the call is in the output buffer.  A shut down socket
 * accepts none: the call fails from the event loop. */
static void
ask_permission (httpc_conn_t *self, evutil_socket_t fd)
{
  if (self->ops == NULL || self->ops->may_send == NULL
      || self->ops->may_send (self->owner))
    return;
  self->not_permitted = true;
  shutdown (fd, SHUT_RDWR);
}

static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *arg)
{
  httpc_conn_t *self = arg;

  (void)buffer;
  self->bytes_sent += info->n_deleted;
  if (!self->options_set && info->n_added > 0)
    {
      evutil_socket_t fd = get_socket (self);
      if (fd >= 0)
        {
          socket_set_options (fd, (unsigned)self->pool->timeout);
          /* An aborted call must not be delivered later, since its deadline may have
           * passed by then.  Set in advance: libevent closes the socket before it reports
           * a failure. */
          socket_set_reset_on_close (fd, true);
          ask_permission (self, fd);
        }
      self->options_set = fd >= 0;
    }
  if (info->n_added > 0)
    event_del (self->connect_timer);
}

/* Whether the call has arrived at the server's host entirely.  If not, a response is
 * a repeated one. */
static bool
is_acknowledged (const httpc_conn_t *self)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (self->evcon);

  return evbuffer_get_length (bufferevent_get_output (bev)) == 0
         && socket_unacknowledged (bufferevent_getfd (bev)) == 0;
}

static void
fail (httpc_conn_t *self, httpc_failure_t failure)
{
  const httpc_ops_t *ops = self->ops;
  void *owner = self->owner;
  bool sent = self->bytes_sent > 0 && !self->not_permitted;

  if (ops == NULL)
    return;
  self->acknowledged = sent && (get_socket (self) < 0 || is_acknowledged (self));
  reset (self);
  ops->failed (owner, sent, failure);
}

static void
on_connect_timeout (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  fail (arg, HTTPC_UNREACHABLE);
}

static void
on_end_timeout (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  fail (arg, HTTPC_TIMED_OUT);
}

static void
on_error (enum evhttp_request_error error, void *arg)
{
  httpc_conn_t *self = arg;

  self->timed_out = error == EVREQ_HTTP_TIMEOUT;
}

/* The value of Content-Length, or -1 if it is absent or invalid.  Not needed for a
 * chunked body, which marks its own end. */
static int64_t
content_length (struct evhttp_request *response)
{
  const char *value = evhttp_find_header (evhttp_request_get_input_headers (response),
                                          "Content-Length");
  uint64_t length;

  if (value == NULL || !text_to_u64 (text_from_c (value), &length) || length > INT64_MAX)
    return -1;
  return (int64_t)length;
}

static bool
has_no_body (struct evhttp_request *response)
{
  int status = evhttp_request_get_response_code (response);

  return evhttp_request_get_command (response) == EVHTTP_REQ_HEAD || status == 204
         || status == 304;
}

static bool
is_complete (const httpc_conn_t *self, struct evhttp_request *response)
{
  int64_t length = content_length (response);
  uint64_t received
      = self->streaming
            ? self->body_received
            : evbuffer_get_length (evhttp_request_get_input_buffer (response));

  if (has_no_body (response) || response->chunked)
    return true;
  return length >= 0 && received == (uint64_t)length;
}

static bool
has_surplus_input (const httpc_conn_t *self)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (self->evcon);

  return evbuffer_get_length (bufferevent_get_input (bev)) > 0;
}

static void
keep_or_close (httpc_conn_t *self, struct evhttp_request *response)
{
  const char *value
      = evhttp_find_header (evhttp_request_get_input_headers (response), "Connection");

  if (has_surplus_input (self))
    {
      reset (self);
      return;
    }
  if (self->alone || (value != NULL && g_ascii_strcasecmp (value, "close") == 0))
    {
      close_gracefully (self);
      return;
    }
  event_del (self->end_timer);
  self->ops = NULL;
  self->last_used = g_get_monotonic_time () / 1000;
  g_queue_push_head (&self->pool->idle, self);
}

static void
on_complete (struct evhttp_request *response, void *arg)
{
  httpc_conn_t *self = arg;
  const httpc_ops_t *ops = self->ops;
  void *owner = self->owner;

  if (ops == NULL)
    return;
  if (response == NULL || evhttp_request_get_response_code (response) == 0)
    {
      httpc_failure_t failure = self->not_permitted    ? HTTPC_NOT_PERMITTED
                                : self->timed_out      ? HTTPC_TIMED_OUT
                                : self->head_received  ? HTTPC_TRUNCATED
                                : self->bytes_sent > 0 ? HTTPC_CONNECTION_LOST
                                                       : HTTPC_UNREACHABLE;
      fail (self, failure);
      return;
    }
  if (!is_complete (self, response))
    {
      fail (self, HTTPC_TRUNCATED);
      return;
    }
  if (self->reused && !is_acknowledged (self))
    {
      fail (self, HTTPC_CONNECTION_LOST);
      return;
    }
  keep_or_close (self, response);
  ops->done (owner, response);
}

static void
on_data (struct evhttp_request *response, void *arg)
{
  httpc_conn_t *self = arg;
  struct evbuffer *part = evhttp_request_get_input_buffer (response);

  if (self->ops == NULL)
    return;
  self->body_received += evbuffer_get_length (part);
  self->ops->data (self->owner, part);
}

/* evhttp skips 100, and takes the other interim responses for final ones. */
static bool
is_status (int status)
{
  return status == 100 || (status >= 200 && status <= 599);
}

static int
on_head (struct evhttp_request *response, void *arg)
{
  httpc_conn_t *self = arg;

  if (self->ops == NULL)
    return -1;
  self->head_received = true;
  if (!is_status (evhttp_request_get_response_code (response)))
    return -1;
  self->streaming = self->ops->head != NULL && self->ops->head (self->owner, response);
  if (self->streaming)
    {
      event_del (self->end_timer);
      evhttp_connection_set_max_body_size (self->evcon, EV_SSIZE_MAX);
      evhttp_request_set_chunked_cb (response, on_data);
    }
  return 0;
}

/* Counts from the start of the call, whenever it is set. */
static void
set_end (httpc_conn_t *self)
{
  const msec_t limit = self->pool->call_limit;
  const msec_t longest = limit > 0 ? limit : self->timeout * HTTPC_PROGRESS_FACTOR;
  const int64_t left = MAX (longest * 1000 - (timer_clock () - self->started), 0);
  const struct timeval end = { left / G_USEC_PER_SEC, left % G_USEC_PER_SEC };

  evtimer_add (self->end_timer, &end);
}

void
httpc_set_timeout (httpc_conn_t *conn, msec_t timeout)
{
  const struct timeval tv = { timeout / 1000, timeout % 1000 * 1000 };

  conn->timeout = timeout;
  evhttp_connection_set_timeout_tv (conn->evcon, &tv);
  if (conn->ops != NULL && !conn->streaming)
    set_end (conn);
}

static httpc_conn_t *
open_conn (httpc_pool_t *pool)
{
  httpc_conn_t *self = g_new0 (httpc_conn_t, 1);

  self->pool = pool;
  self->evcon = evhttp_connection_base_new (pool->base, NULL, pool->address, pool->port);
  evhttp_connection_set_max_headers_size (self->evcon, HTTPC_HEAD_MAX_BYTES);
  self->connect_timer = evtimer_new (pool->base, on_connect_timeout, self);
  self->end_timer = evtimer_new (pool->base, on_end_timeout, self);
  self->timeout = pool->timeout;
  struct bufferevent *bev = evhttp_connection_get_bufferevent (self->evcon);
  evbuffer_add_cb (bufferevent_get_output (bev), on_output, self);
  evhttp_connection_set_closecb (self->evcon, on_closed, self);
  g_hash_table_add (pool->open, self);
  return self;
}

/* Connections that were idle for long are not reused: a middlebox may have dropped their
 * state without notice. */
static httpc_conn_t *
take_idle (httpc_pool_t *pool, msec_t now)
{
  httpc_conn_t *conn = g_queue_peek_head (&pool->idle);

  if (conn != NULL && now - conn->last_used < CONNECTION_IDLE_MS)
    {
      conn->reused = true;
      return g_queue_pop_head (&pool->idle);
    }
  httpc_pool_close_idle (pool);
  return NULL;
}

static void
start_call (httpc_conn_t *self, const httpc_ops_t *ops, void *owner, int64_t started)
{
  const msec_t connect = self->pool->connect_timeout;
  const struct timeval connect_tv = { connect / 1000, connect % 1000 * 1000 };

  self->ops = ops;
  self->owner = owner;
  self->started = started;
  self->bytes_sent = 0;
  self->options_set = false; /* evhttp may open a new socket for this call */
  self->not_permitted = false;
  self->head_received = false;
  self->streaming = false;
  self->timed_out = false;
  self->refused = false;
  self->acknowledged = false;
  self->body_received = 0;
  evhttp_connection_set_max_body_size (self->evcon, HTTPC_BODY_MAX_BYTES);
  httpc_set_timeout (self, self->timeout);
  evtimer_add (self->connect_timer, &connect_tv);
}

/* Writes without waiting for the event loop, so that no time passes since the permission
 * was given.  What is left, and errors, are the event loop's. */
static void
write_now (httpc_conn_t *self)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (self->evcon);
  struct evbuffer *output = bufferevent_get_output (bev);

  if (bufferevent_getfd (bev) < 0 || evbuffer_get_length (output) == 0)
    return;
  evbuffer_unfreeze (output, 1);
  evbuffer_write (output, bufferevent_getfd (bev));
  evbuffer_freeze (output, 1);
}

/* The connection was established, or failed: evhttp doesn't tell why. */
static void
on_connecting (struct bufferevent *bev, short what, void *arg)
{
  httpc_conn_t *self = arg;

  self->refused = (what & BEV_EVENT_ERROR) != 0 && errno == ECONNREFUSED;
  self->on_connected (bev, what, self->on_connected_arg);
}

/* evhttp replaces the callbacks once the connection is established. */
static void
watch_connecting (httpc_conn_t *self)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (self->evcon);
  bufferevent_data_cb on_read, on_write;
  bufferevent_event_cb on_event;
  void *arg;

  if (self->options_set || self->ops == NULL)
    return; /* it was open, or has failed */
  bufferevent_getcb (bev, &on_read, &on_write, &on_event, &arg);
  if (on_event == NULL || on_event == on_connecting)
    return;
  self->on_connected = on_event;
  self->on_connected_arg = arg;
  bufferevent_setcb (bev, on_read, on_write, on_connecting, self);
}

static httpc_conn_t *
send_request (httpc_conn_t *self,
              struct evhttp_request *request,
              enum evhttp_cmd_type method,
              const char *uri,
              const httpc_ops_t *ops,
              void *owner,
              int64_t started)
{
  start_call (self, ops, owner, started);
  request->cb_arg = self;
  evhttp_request_set_header_cb (request, on_head);
  evhttp_request_set_error_cb (request, on_error);
  if (evhttp_make_request (self->evcon, request, method, uri) == 0)
    {
      watch_connecting (self);
      if (ops->may_send != NULL)
        write_now (self);
      return self;
    }
  reset (self);
  return NULL;
}

void
httpc_pool_init (httpc_pool_t *self,
                 struct event_base *base,
                 text_t address,
                 uint16_t port,
                 msec_t timeout)
{
  *self = (httpc_pool_t){ .base = base,
                          .port = port,
                          .timeout = timeout,
                          .connect_timeout = CONNECT_MS };
  self->address = text_dup_c (address);
  self->open = g_hash_table_new (NULL, NULL);
  self->free_event = evtimer_new (base, on_free, self);
  g_queue_init (&self->idle);
  g_queue_init (&self->closed);
}

void
httpc_pool_set_connect_timeout (httpc_pool_t *self, msec_t timeout)
{
  self->connect_timeout = timeout;
}

void
httpc_pool_set_call_limit (httpc_pool_t *self, msec_t limit)
{
  self->call_limit = limit;
}

void
httpc_pool_finish (httpc_pool_t *self)
{
  httpc_pool_close_idle (self);
  GList *open = g_hash_table_get_keys (self->open);

  for (GList *node = open; node != NULL; node = node->next)
    reset (node->data);
  g_list_free (open);
  on_free (-1, 0, self);
  g_queue_clear (&self->idle);
  g_hash_table_unref (self->open);
  event_free (self->free_event);
  g_free (self->address);
}

void
httpc_pool_close_idle (httpc_pool_t *self)
{
  httpc_conn_t *conn;

  while ((conn = g_queue_pop_head (&self->idle)) != NULL)
    close_gracefully (conn);
}

void
httpc_pool_reset_idle (httpc_pool_t *self)
{
  httpc_conn_t *conn;

  while ((conn = g_queue_pop_head (&self->idle)) != NULL)
    reset (conn);
}

struct evhttp_request *
httpc_request_new (void)
{
  return evhttp_request_new (on_complete, NULL);
}

httpc_conn_t *
httpc_call (httpc_pool_t *self,
            struct evhttp_request *request,
            enum evhttp_cmd_type method,
            const char *uri,
            const httpc_ops_t *ops,
            void *owner,
            msec_t now)
{
  const int64_t started = timer_clock (); /* not after a stall of the process below */
  httpc_conn_t *conn = take_idle (self, now);

  if (conn == NULL)
    conn = open_conn (self);
  return send_request (conn, request, method, uri, ops, owner, started);
}

httpc_conn_t *
httpc_call_alone (httpc_pool_t *self,
                  struct evhttp_request *request,
                  enum evhttp_cmd_type method,
                  const char *uri,
                  const httpc_ops_t *ops,
                  void *owner)
{
  const int64_t started = timer_clock ();
  httpc_conn_t *conn = open_conn (self);

  conn->alone = true;
  return send_request (conn, request, method, uri, ops, owner, started);
}

bool
httpc_is_reused (const httpc_conn_t *conn)
{
  return conn->reused;
}

bool
httpc_was_acknowledged (const httpc_conn_t *conn)
{
  return conn->acknowledged;
}

bool
httpc_was_refused (const httpc_conn_t *conn)
{
  return conn->refused;
}

bool
httpc_is_receiving (const httpc_conn_t *conn)
{
  return conn->ops != NULL && conn->head_received;
}

json_t *
httpc_json (struct evhttp_request *response)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (response);
  size_t len = evbuffer_get_length (body);
  json_error_t error;

  if (len == 0)
    return NULL;
  return json_loadb ((const char *)evbuffer_pullup (body, -1),
                     len,
                     JSON_ALLOW_NUL,
                     &error);
}

void
httpc_cancel (httpc_conn_t *conn)
{
  reset (conn);
}

void
httpc_set_paused (httpc_conn_t *conn, bool pause)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (conn->evcon);

  if (pause)
    bufferevent_disable (bev, EV_READ);
  else
    bufferevent_enable (bev, EV_READ);
}
