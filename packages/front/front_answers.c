#include "front_parts.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define RETRY_AFTER_S "1"

void
front_close_after (front_request_t *self)
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
  if (request->front->closing)
    front_close_after (request);
  front_forget (request);
  if (req->conn->flags & EVHTP_CONN_FLAG_PAUSED)
    evhtp_request_resume (req);
  evhtp_send_reply (req, (evhtp_res)status);
}

static int
fate_status (fate_t fate, why_t why)
{
  switch (fate)
    {
    case FATE_ANSWERED:
      return 200;
    case FATE_NOT_RUN:
      return 503;
    case FATE_UNKNOWN:
      return why == WHY_REPEATED ? 409 : 504;
    case FATE_REFUSED:
      break;
    }
  if (why == WHY_NO_SERVICE)
    return 404;
  return why == WHY_TOO_LARGE ? 413 : 400;
}

void
front_reply_fate (front_request_t *request, fate_t fate, why_t why)
{
  json_t *object
      = json_pack ("{s:s,s:s}", "outcome", fate_name (fate), "reason", why_name (why));
  char *dump = json_dumps (object, JSON_COMPACT | JSON_SORT_KEYS);

  front_add_header (request, TEXT ("Request-Outcome"), text_from_c (fate_name (fate)));
  front_add_header (request, TEXT ("Request-Reason"), text_from_c (why_name (why)));
  front_add_header (request, TEXT ("Content-Type"), TEXT ("application/json"));
  if (fate == FATE_NOT_RUN)
    front_add_header (request, TEXT ("Retry-After"), TEXT (RETRY_AFTER_S));
  evbuffer_add (request->req->buffer_out, dump, strlen (dump));
  free (dump);
  json_decref (object);
  front_reply (request, fate_status (fate, why), NULL);
}

void
front_stream_start (front_request_t *request, int status, bool sized)
{
  request->chunked = !sized;
  request->tail = evbuffer_new ();
  /* libevhtp ends the connection after a streamed answer in any case. */
  front_close_after (request);
  if (sized)
    evhtp_send_reply_start (request->req, (evhtp_res)status);
  else
    evhtp_send_reply_chunk_start (request->req, (evhtp_res)status);
}

static void
write_tail (evhtp_request_t *req, struct evbuffer *tail, bool chunked)
{
  if (evbuffer_get_length (tail) == 0)
    return;
  if (chunked)
    evhtp_send_reply_chunk (req, tail);
  else
    evhtp_send_reply_body (req, tail);
  evbuffer_drain (tail, evbuffer_get_length (tail));
}

/*
 * A part is written when the next one comes, the last one with the end.  A
 * caller that had the whole body before the end was marked would send its next
 * request into a connection that is still busy with this one, and be cut off.
 */
void
front_stream_part (front_request_t *request, struct evbuffer *part)
{
  write_tail (request->req, request->tail, request->chunked);
  evbuffer_add_buffer (request->tail, part);
}

void
front_stream_end (front_request_t *request)
{
  evhtp_request_t *req = request->req;
  struct evbuffer *tail = g_steal_pointer (&request->tail);
  bool chunked = request->chunked;

  front_forget (request);
  evhtp_request_resume (req);
  write_tail (req, tail, chunked);
  evbuffer_free (tail);
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
front_cut (front_request_t *request)
{
  evhtp_connection_t *conn = request->req->conn;

  front_forget (request);
  evhtp_connection_free (conn);
}

bool
front_is_hop_header (text_t name)
{
  static const char *const hop[]
      = { "Connection", "Keep-Alive",       "Transfer-Encoding", "TE",     "Trailer",
          "Upgrade",    "Proxy-Connection", "Content-Length",    "Expect", "Host" };

  for (size_t i = 0; i < G_N_ELEMENTS (hop); i++)
    if (strlen (hop[i]) == name.len && strncasecmp (hop[i], name.at, name.len) == 0)
      return true;
  return false;
}
