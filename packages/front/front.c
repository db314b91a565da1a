#include "front_parts.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 1024

static method_t
get_method (const evhtp_request_t *req)
{
  switch (req->method)
    {
    case htp_method_GET:
      return METHOD_GET;
    case htp_method_HEAD:
      return METHOD_HEAD;
    case htp_method_POST:
      return METHOD_POST;
    case htp_method_PUT:
      return METHOD_PUT;
    case htp_method_DELETE:
      return METHOD_DELETE;
    case htp_method_PATCH:
      return METHOD_PATCH;
    default:
      return METHOD_OTHER;
    }
}

static text_t
find_header (const void *context, text_t name)
{
  const evhtp_request_t *req = context;
  evhtp_kv_t *kv;

  TAILQ_FOREACH (kv, req->headers_in, next)
    if (kv->klen == name.len && strncasecmp (kv->key, name.at, name.len) == 0)
      return (text_t){ kv->val, kv->vlen };
  return TEXT_NONE;
}

static unsigned
count_header (const evhtp_request_t *req, text_t name)
{
  evhtp_kv_t *kv;
  unsigned n = 0;

  TAILQ_FOREACH (kv, req->headers_in, next)
    if (kv->klen == name.len && strncasecmp (kv->key, name.at, name.len) == 0)
      n++;
  return n;
}

static size_t
get_header_bytes (const evhtp_request_t *req)
{
  evhtp_kv_t *kv;
  size_t sum = 0;

  TAILQ_FOREACH (kv, req->headers_in, next)
    sum += kv->klen + kv->vlen;
  return sum;
}

/* More than one Content-Length or Transfer-Encoding header would allow request smuggling.
 */
static route_reason_t
check_request (const evhtp_request_t *req)
{
  unsigned lengths = count_header (req, TEXT ("Content-Length"));
  unsigned codings = count_header (req, TEXT ("Transfer-Encoding"));
  text_t length = find_header (req, TEXT ("Content-Length"));
  uint64_t value;

  if (lengths + codings > 1)
    return ROUTE_REASON_BAD_REQUEST;
  if (lengths == 1 && !text_to_u64 (length, &value))
    return ROUTE_REASON_BAD_REQUEST;
  if (lengths == 1 && value > BODY_MAX_BYTES)
    return ROUTE_REASON_TOO_LARGE;
  if (get_header_bytes (req) > HEADER_MAX_BYTES)
    return ROUTE_REASON_TOO_LARGE;
  if (req->uri == NULL || req->uri->path == NULL || req->uri->path->full == NULL)
    return ROUTE_REASON_BAD_REQUEST;
  return ROUTE_REASON_NONE;
}

front_conn_t *
front_get_conn (evhtp_connection_t *conn)
{
  return conn->hooks != NULL ? conn->hooks->on_connection_fini_arg : NULL;
}

void
front_free_request (front_request_t *self)
{
  if (self->pending != NULL)
    evbuffer_free (self->pending);
  g_free (self);
}

void
front_detach (front_request_t *self)
{
  front_conn_t *conn = front_get_conn (self->req->conn);

  if (conn != NULL && conn->request == self)
    conn->request = NULL;
  evhtp_request_unset_hook (self->req, evhtp_hook_on_request_fini);
  front_free_request (self);
}

static evhtp_res
on_request_fini (evhtp_request_t *req, void *arg)
{
  front_request_t *self = arg;
  front_conn_t *conn = front_get_conn (req->conn);

  if (conn != NULL && conn->request == self)
    conn->request = NULL;
  self->front->ops->disconnected (self->front->owner, self);
  front_free_request (self);
  return EVHTP_RES_OK;
}

static void
on_request (evhtp_request_t *req, void *arg)
{
  front_t *front = arg;
  front_conn_t *conn = front_get_conn (req->conn);

  if (conn != NULL && conn->rejected)
    return;
  front_request_t *self = g_new0 (front_request_t, 1);
  *self = (front_request_t){ .front = front, .req = req };
  if (conn != NULL)
    conn->request = self;
  evhtp_request_set_hook (req,
                          evhtp_hook_on_request_fini,
                          (evhtp_hook)on_request_fini,
                          self);
  evhtp_request_pause (req);
  front->ops->received (front->owner, self);
}

static void
on_peer_closed (evutil_socket_t fd, short what, void *arg)
{
  front_conn_t *conn = arg;

  (void)fd;
  (void)what;
  /* An idle connection isn't paused: libevhtp detects its close itself. */
  if (conn->request != NULL)
    evhtp_connection_free (conn->conn);
}

static evhtp_res
on_connection_fini (evhtp_connection_t *htp_conn, void *arg)
{
  front_conn_t *conn = arg;

  (void)htp_conn;
  conn->front->n_connections--;
  event_free (conn->close_event);
  g_free (conn->query);
  g_free (conn);
  return EVHTP_RES_OK;
}

/*
 * Connections are paused while a request is open, and libevhtp reports a drained buffer
 * only for connections that aren't, so this callback is set on the buffer itself.
 */
static void
on_output_changed (struct evbuffer *output,
                   const struct evbuffer_cb_info *info,
                   void *arg)
{
  front_conn_t *conn = arg;
  size_t left = evbuffer_get_length (output);

  if (info->n_deleted > 0 && left < STREAM_LOW_BYTES && conn->request != NULL)
    conn->front->ops->drained (conn->front->owner, conn->request);
}

static void
refuse_malformed (front_t *front, evhtp_request_t *req, route_reason_t reason)
{
  front_request_t *self = g_new0 (front_request_t, 1);

  *self = (front_request_t){ .front = front, .req = req };
  front_close_after_reply (self);
  front->ops->rejected (front->owner, reason);
  front_reply_outcome (self, ROUTE_OUTCOME_REFUSED, reason);
}

/*
 * A malformed request is refused before its body is read.  The query is copied here
 * because libevhtp later replaces it with the body of a form.
 */
static evhtp_res
on_headers (evhtp_request_t *req, evhtp_headers_t *headers, void *arg)
{
  front_conn_t *conn = arg;
  route_reason_t reason = check_request (req);

  (void)headers;
  g_free (conn->query);
  conn->query = g_strdup (req->uri != NULL ? (const char *)req->uri->query_raw : NULL);
  if (reason == ROUTE_REASON_NONE)
    return EVHTP_RES_OK;
  conn->rejected = true;
  refuse_malformed (conn->front, req, reason);
  return EVHTP_RES_OK;
}

static evhtp_res
on_accept (evhtp_connection_t *htp_conn, void *arg)
{
  front_t *front = arg;
  front_conn_t *conn = g_new0 (front_conn_t, 1);

  conn->front = front;
  front->n_connections++;
  conn->conn = htp_conn;
  conn->close_event = event_new (front->base,
                                 htp_conn->sock,
                                 EV_CLOSED | EV_PERSIST,
                                 on_peer_closed,
                                 conn);
  event_add (conn->close_event, NULL);
  evhtp_connection_set_hook (htp_conn,
                             evhtp_hook_on_connection_fini,
                             (evhtp_hook)on_connection_fini,
                             conn);
  evhtp_connection_set_hook (htp_conn,
                             evhtp_hook_on_headers,
                             (evhtp_hook)on_headers,
                             conn);
  evbuffer_add_cb (bufferevent_get_output (htp_conn->bev), on_output_changed, conn);
  return EVHTP_RES_OK;
}

static int
open_socket (text_t address, uint32_t port)
{
  const int on = 1;
  char *str = text_dup_c (address);
  struct sockaddr_in sin = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  evutil_inet_pton (AF_INET, str, &sin.sin_addr);
  g_free (str);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&sin, sizeof sin) == 0)
    return fd;
  close (fd);
  return -1;
}

status_t
front_init (front_t *self,
            struct event_base *base,
            text_t address,
            uint32_t port,
            const front_ops_t *ops,
            void *owner,
            fault_t *fault)
{
  const struct timeval timeout = { .tv_sec = HEADER_IDLE_MS / 1000 };

  *self = (front_t){ .base = base, .ops = ops, .owner = owner };
  int fd = open_socket (address, port);
  if (fd < 0)
    return fault_raise (fault,
                        STATUS_IO,
                        "can't listen on %.*s:%u",
                        TEXT_ARG (address),
                        port);
  self->htp = evhtp_new (base, self);
  evhtp_set_gencb (self->htp, on_request, self);
  evhtp_set_post_accept_cb (self->htp, on_accept, self);
  evhtp_set_timeouts (self->htp, &timeout, &timeout);
  evhtp_set_max_body_size (self->htp, BODY_MAX_BYTES);
  evhtp_enable_flag (self->htp, EVHTP_FLAG_ENABLE_NODELAY);
  if (evhtp_accept_socket (self->htp, fd, LISTEN_BACKLOG) != 0)
    return fault_raise (fault,
                        STATUS_IO,
                        "can't listen on %.*s:%u",
                        TEXT_ARG (address),
                        port);
  return STATUS_OK;
}

void
front_finish (front_t *self)
{
  if (self->htp != NULL)
    evhtp_free (self->htp);
}

void
front_disable_keep_alive (front_t *self)
{
  self->keep_alive_disabled = true;
}

void
front_stop_listening (front_t *self)
{
  evhtp_unbind_socket (self->htp);
}

void
front_view (const front_request_t *request, request_view_t *view)
{
  const evhtp_request_t *req = request->req;
  const front_conn_t *conn = front_get_conn (req->conn);

  *view = (request_view_t){ .method = get_method (req),
                            .path = text_from_c (req->uri->path->full),
                            .query = text_from_c (conn != NULL ? conn->query : NULL),
                            .header = find_header,
                            .context = req };
}

struct evbuffer *
front_body (front_request_t *request)
{
  return request->req->buffer_in;
}

void
front_foreach_header (const front_request_t *request,
                      front_header_func_t func,
                      void *context)
{
  evhtp_kv_t *kv;

  TAILQ_FOREACH (kv, request->req->headers_in, next)
    func (context, (text_t){ kv->key, kv->klen }, (text_t){ kv->val, kv->vlen });
}

void
front_set_user_data (front_request_t *request, void *user_data)
{
  request->user_data = user_data;
}

void *
front_user_data (const front_request_t *request)
{
  return request->user_data;
}
