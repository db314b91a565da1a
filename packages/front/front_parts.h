#pragma once

#include "front.h"

#include <evhtp/evhtp.h>
#include <glib.h>

/* FRONT_PARTS: what front's files share.  Private to them. */

struct front_request
{
  front_t *front;
  evhtp_request_t *req;
  void *tag;
  bool chunked;
  struct evbuffer *tail; /* the last part of a streamed answer, not yet written */
};

/* One caller's connection. */
typedef struct
{
  front_t *front;
  evhtp_connection_t *conn;
  struct event *closed;
  front_request_t *open;
  char *query;  /* of the request being read */
  bool refused; /* the connection ends with the refusal already written */
} front_conn_t;

/* NULL: the connection has ended. */
front_conn_t *front_conn_of (evhtp_connection_t *conn);

void front_free_request (front_request_t *self);

/* The request's answer is written or given up: its end is told no more. */
void front_forget (front_request_t *self);

/* The connection ends after this answer, and the caller is told: libevhtp doesn't say so.
 */
void front_close_after (front_request_t *self);
