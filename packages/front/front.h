#pragma once

#include "../core/fault.h"
#include "../route/classify.h"
#include "../route/route.h"

#include <event2/buffer.h>
#include <event2/event.h>

/*
 * FRONT: the HTTP server for callers, built on libevhtp.
 *
 * Presents requests to the decision logic as request_view_t, and writes its answers as
 * HTTP.  Runs in the event loop of the worker that owns it.  Requests on one
 * connection are handled one at a time.
 */

typedef struct front_request front_request_t;

typedef struct
{
  /* A complete, well-formed request.  The owner ends it by exactly one front_reply,
   * front_reply_outcome, front_stream_end or front_abort. */
  void (*received) (void *owner, front_request_t *request);
  /* The caller disconnected before its answer was complete; REQUEST is freed after the
   * call. */
  void (*disconnected) (void *owner, front_request_t *request);
  /* The output buffer of a streamed answer fell below STREAM_LOW_BYTES. */
  void (*drained) (void *owner, front_request_t *request);
  /* A malformed or too large request was refused. */
  void (*rejected) (void *owner, route_reason_t reason);
} front_ops_t;

typedef struct
{
  struct evhtp *htp;
  struct event_base *base;
  const front_ops_t *ops;
  void *owner;
  bool keep_alive_disabled;
  uint32_t n_connections; /* open */
} front_t;

/* Listens on ADDRESS and PORT, which the workers share by SO_REUSEPORT.  STATUS_IO. */
status_t front_init (front_t *self,
                     struct event_base *base,
                     text_t address,
                     uint32_t port,
                     const front_ops_t *ops,
                     void *owner,
                     fault_t *fault);
void front_finish (front_t *self);

/* From now on each connection is closed after its next answer. */
void front_disable_keep_alive (front_t *self);

/* Accepts no further connections; open ones stay. */
void front_stop_listening (front_t *self);

void front_view (const front_request_t *request, request_view_t *view);
struct evbuffer *front_body (front_request_t *request);

typedef void (*front_header_func_t) (void *context, text_t name, text_t value);
void front_foreach_header (const front_request_t *request,
                           front_header_func_t func,
                           void *context);

/* A pointer that the owner attaches to the request. */
void front_set_user_data (front_request_t *request, void *user_data);
void *front_user_data (const front_request_t *request);

/* Adds a header to the answer; to be called before the reply or stream starts. */
void front_add_header (front_request_t *request, text_t name, text_t value);

/* Answers with STATUS and BODY, which is drained and may be NULL.  Frees REQUEST. */
void front_reply (front_request_t *request, int status, struct evbuffer *body);

/* Answers a request for which there is no target's answer with OUTCOME and REASON, as
 * headers and as a JSON body.  Frees REQUEST. */
void front_reply_outcome (front_request_t *request,
                          route_outcome_t outcome,
                          route_reason_t reason);

/* A streamed answer: status and headers, data, end.  SIZED: a Content-Length header was
 * added; otherwise the body is sent chunked.  front_stream_data drains DATA;
 * front_stream_end frees REQUEST. */
void front_stream_start (front_request_t *request, int status, bool sized);
void front_stream_data (front_request_t *request, struct evbuffer *data);
void front_stream_end (front_request_t *request);

/* Number of bytes in the connection's output buffer. */
size_t front_stream_backlog (const front_request_t *request);

/* Closes the connection, so that the caller sees its answer as incomplete.  Frees
 * REQUEST. */
void front_abort (front_request_t *request);

/* Whether NAME is a hop-by-hop header, which must not be forwarded. */
bool front_is_hop_header (text_t name);
