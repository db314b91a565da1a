#pragma once

#include "front.h"

#include <evhtp/evhtp.h>
#include <glib.h>

/* FRONT_PARTS: declarations shared by the source files of front. */

struct front_request
{
  front_t *front;
  evhtp_request_t *req;
  void *user_data;
  bool chunked;
  struct evbuffer *pending; /* data of a streamed answer, held back until more follows */
};

/* A caller's connection. */
typedef struct
{
  front_t *front;
  evhtp_connection_t *conn;
  struct event *close_event; /* the caller closed the connection */
  front_request_t *request;  /* open, or NULL */
  char *query;               /* of the current request */
  bool rejected; /* a refusal was written; the connection is closed after it */
} front_conn_t;

/* Returns NULL once the connection has ended. */
front_conn_t *front_get_conn (evhtp_connection_t *conn);

void front_free_request (front_request_t *self);

/* Detaches the request from its connection, so that `disconnected` isn't called for it,
 * and frees it. */
void front_detach (front_request_t *self);

/* Closes the connection after this answer.  Adds `Connection: close`, which libevhtp
 * doesn't. */
void front_close_after_reply (front_request_t *self);
