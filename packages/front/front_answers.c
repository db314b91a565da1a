#include "front_parts.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define RETRY_AFTER_S "1"

void
front_close_after_reply (front_request_t *self)
{
  evhtp_request_set_keepalive (self->req, 0);
  front_add_header (self, TEXT ("Connection"), TEXT ("close"));
}

void
front_add_header (front_request_t *request, text_t name, text_t value)
{
  char *n = text_dup_c (name);
  char *v = text_dup_c (value);

  evhtp_headers_add_header (request->req->headers_out, evhtp_header_new (n, v, 1, 1));
  g_free (n);
  g_free (v);
}

void
front_reply (front_request_t *request, int status, struct evbuffer *body)
{
  evhtp_request_t *req = request->req;

  if (body != NULL)
    evbuffer_add_buffer (req->buffer_out, body);
  if (request->front->keep_alive_disabled)
    front_close_after_reply (request);
  front_detach (request);
  if (req->conn->flags & EVHTP_CONN_FLAG_PAUSED)
    evhtp_request_resume (req);
  evhtp_send_reply (req, (evhtp_res)status);
}

static int
status_of_outcome (route_outcome_t outcome, route_reason_t reason)
{
  switch (outcome)
    {
    case ROUTE_OUTCOME_ANSWERED:
      return 200;
    case ROUTE_OUTCOME_NOT_RUN:
      return 503;
    case ROUTE_OUTCOME_UNKNOWN:
      return reason == ROUTE_REASON_ORDER_REPEATED ? 409 : 504;
    case ROUTE_OUTCOME_REFUSED:
      break;
    }
  if (reason == ROUTE_REASON_UNKNOWN_SERVICE)
    return 404;
  return reason == ROUTE_REASON_TOO_LARGE ? 413 : 400;
}

void
front_reply_outcome (front_request_t *request,
                     route_outcome_t outcome,
                     route_reason_t reason)
{
  json_t *object = json_pack ("{s:s,s:s}",
                              "outcome",
                              route_outcome_name (outcome),
                              "reason",
                              route_reason_name (reason));
  char *dump = json_dumps (object, JSON_COMPACT | JSON_SORT_KEYS);

  front_add_header (request,
                    TEXT ("Request-Outcome"),
                    text_from_c (route_outcome_name (outcome)));
  front_add_header (request,
                    TEXT ("Request-Reason"),
                    text_from_c (route_reason_name (reason)));
  front_add_header (request, TEXT ("Content-Type"), TEXT ("application/json"));
  if (outcome == ROUTE_OUTCOME_NOT_RUN)
    front_add_header (request, TEXT ("Retry-After"), TEXT (RETRY_AFTER_S));
  evbuffer_add (request->req->buffer_out, dump, strlen (dump));
  free (dump);
  json_decref (object);
  front_reply (request, status_of_outcome (outcome, reason), NULL);
}

void
front_stream_start (front_request_t *request, int status, bool sized)
{
  request->chunked = !sized;
  request->pending = evbuffer_new ();
  /* libevhtp always closes the connection after a streamed answer. */
  front_close_after_reply (request);
  if (sized)
    evhtp_send_reply_start (request->req, (evhtp_res)status);
  else
    evhtp_send_reply_chunk_start (request->req, (evhtp_res)status);
}

static void
write_pending (evhtp_request_t *req, struct evbuffer *data, bool chunked)
{
  if (evbuffer_get_length (data) == 0)
    return;
  if (chunked)
    evhtp_send_reply_chunk (req, data);
  else
    evhtp_send_reply_body (req, data);
  evbuffer_drain (data, evbuffer_get_length (data));
}

/*
 * Each piece is held back until the next one arrives, and the last one until the end.
 * Otherwise a caller could receive the whole body before front_stream_end and send its
 * next request on a connection that is still busy with this one; the request would be
 * lost when the connection is closed.
 */
void
front_stream_data (front_request_t *request, struct evbuffer *data)
{
  write_pending (request->req, request->pending, request->chunked);
  evbuffer_add_buffer (request->pending, data);
}

void
front_stream_end (front_request_t *request)
{
  evhtp_request_t *req = request->req;
  struct evbuffer *data = g_steal_pointer (&request->pending);
  bool chunked = request->chunked;

  front_detach (request);
  evhtp_request_resume (req);
  write_pending (req, data, chunked);
  evbuffer_free (data);
  if (chunked)
    evhtp_send_reply_chunk_end (req);
  else
    evhtp_send_reply_end (req);
}

size_t
front_stream_backlog (const front_request_t *request)
{
  return evbuffer_get_length (
      bufferevent_get_output (evhtp_request_get_bev (request->req)));
}

void
front_abort (front_request_t *request)
{
  evhtp_connection_t *conn = request->req->conn;

  front_detach (request);
  evhtp_connection_free (conn);
}

bool
front_is_hop_header (text_t name)
{
  static const char *const hop_headers[]
      = { "Connection", "Keep-Alive",       "Transfer-Encoding", "TE",     "Trailer",
          "Upgrade",    "Proxy-Connection", "Content-Length",    "Expect", "Host" };

  for (size_t i = 0; i < G_N_ELEMENTS (hop_headers); i++)
    if (strlen (hop_headers[i]) == name.len
        && strncasecmp (hop_headers[i], name.at, name.len) == 0)
      return true;
  return false;
}
