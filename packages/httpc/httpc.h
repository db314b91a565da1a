#pragma once

#include "../core/limits.h"
#include "../core/msclock.h"
#include "../core/text.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

/*
 * HTTPC: calls to one HTTP server over a pool of kept connections (evhttp).
 *
 * A connection carries one call at a time and is never used again after a call
 * that didn't end whole.  Such a connection is reset, so that bytes of the call
 * that a broken link holds back never arrive.  An answer is whole if its length
 * or its last chunk was seen.  A call knows whether any byte of it may have left this
 * process.
 */

typedef enum
{
  HTTPC_UNREACHABLE, /* no connection */
  HTTPC_LOST,        /* the connection broke before the head of an answer */
  HTTPC_CUT,         /* the answer broke off, or has no known end */
  HTTPC_SILENT,      /* no progress in time */
} httpc_failure_t;

typedef struct
{
  /* The head of an answer came.  Returns whether the body is to be streamed; NULL: never.
   */
  bool (*head) (void *owner, struct evhttp_request *answer);
  /* A part of a streamed body; the callee drains it.  NULL if nothing is streamed. */
  void (*data) (void *owner, struct evbuffer *part);
  /* The answer is whole; its body is in the answer unless it was streamed. */
  void (*done) (void *owner, struct evhttp_request *answer);
  /* SENT: a byte of the call may have left. */
  void (*failed) (void *owner, bool sent, httpc_failure_t failure);
} httpc_ops_t;

typedef struct httpc_conn httpc_conn_t;

typedef struct
{
  struct event_base *base;
  char *address;
  uint16_t port;
  msec_t timeout; /* without progress */
  GQueue idle;    /* httpc_conn_t */
  GQueue dead;    /* to be freed outside of callbacks */
  GHashTable *open;
  struct event *reaper;
} httpc_pool_t;

/* TIMEOUT ms without progress fail a call. */
void httpc_pool_init (httpc_pool_t *self,
                      struct event_base *base,
                      text_t address,
                      uint16_t port,
                      msec_t timeout);

/* Drops all connections; calls under way end without a word. */
void httpc_pool_finish (httpc_pool_t *self);

/* Closes idle connections. */
void httpc_pool_close_idle (httpc_pool_t *self);

/* A request to fill in with headers and body and to hand to httpc_call. */
struct evhttp_request *httpc_request_new (void);

/*
 * Sends REQUEST, which is taken over, on a connection that was in use within
 * CONNECTION_IDLE_MS or on a new one.  Ends in one `done` or `failed`, or in
 * httpc_cancel.  Returns NULL if the call couldn't start;
 * `failed` is not called then, and no byte left.
 */
httpc_conn_t *httpc_call (httpc_pool_t *self,
                          struct evhttp_request *request,
                          enum evhttp_cmd_type method,
                          const char *uri,
                          const httpc_ops_t *ops,
                          void *owner,
                          msec_t now);

/* The body of an answer that wasn't streamed, as JSON; NULL if it's none. */
json_t *httpc_json (struct evhttp_request *answer);

/* Ends the call on CONN without a further word; the connection is closed. */
void httpc_cancel (httpc_conn_t *conn);

/* Stops and resumes reading of a streamed answer. */
void httpc_hold (httpc_conn_t *conn, bool hold);
