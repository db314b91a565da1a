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
 * HTTPC: HTTP client for one server, with a pool of persistent connections (evhttp).
 *
 * A connection carries one call at a time.  After a call that did not complete it is
 * reset and not reused, so that bytes of the call that a network fault delayed are never
 * delivered.  A response is complete if its Content-Length was reached or its last chunk
 * was received.  A failed call reports whether any byte of it may have left this process.
 *
 * A server may repeat a response, also late, where the next one is expected; it can't be
 * told from the response to the next call on that connection.  Bytes beyond a response,
 * and a response to a call that the server's host has not acknowledged entirely, are
 * reasons to reset the connection.  What must not be taken from a repeated response is to
 * be asked by httpc_call_alone.
 *
 * A response that is not streamed has to be complete within HTTPC_PROGRESS_FACTOR times
 * the time without progress that is allowed, and its head and its body are limited to
 * HTTPC_HEAD_MAX_BYTES and HTTPC_BODY_MAX_BYTES.
 */

typedef enum
{
  HTTPC_UNREACHABLE,     /* no connection was established */
  HTTPC_CONNECTION_LOST, /* the connection was lost before the head of a response */
  HTTPC_TRUNCATED,       /* the response is cut, or has no explicit end or no status */
  HTTPC_TIMED_OUT,       /* no progress within the timeout, or not complete in time */
  HTTPC_NOT_PERMITTED,   /* `may_send` returned false; nothing was sent */
} httpc_failure_t;

typedef struct
{
  /* The head of a response was received.  Returns whether to stream the body.  NULL:
   * never streamed. */
  bool (*head) (void *owner, struct evhttp_request *response);
  /* A part of a streamed body; the callee drains it.  May be NULL if nothing is streamed.
   */
  void (*data) (void *owner, struct evbuffer *part);
  /* The response is complete and contains its body, unless that was streamed. */
  void (*done) (void *owner, struct evhttp_request *response);
  /* SENT: a byte of the call may have left this process. */
  void (*failed) (void *owner, bool sent, httpc_failure_t failure);
  /* Whether the call may still be sent.  Asked once a connection is established, right
   * before the first byte is handed to it.  The process has to ignore SIGPIPE.  NULL:
   * always. */
  bool (*may_send) (void *owner);
} httpc_ops_t;

typedef struct httpc_conn httpc_conn_t;

typedef struct
{
  struct event_base *base;
  char *address;
  uint16_t port;
  msec_t timeout; /* maximum time without progress */
  msec_t connect_timeout;
  msec_t call_limit; /* maximum time of a call; 0: HTTPC_PROGRESS_FACTOR timeouts */
  GQueue idle;       /* httpc_conn_t, the most recently used first */
  GQueue closed;     /* httpc_conn_t to free outside of their callbacks */
  GHashTable *open;  /* set of httpc_conn_t, idle ones included */
  struct event *free_event;
} httpc_pool_t;

/* A call fails after TIMEOUT milliseconds without progress, or if its connection is not
 * established within CONNECT_MS. */
void httpc_pool_init (httpc_pool_t *self,
                      struct event_base *base,
                      text_t address,
                      uint16_t port,
                      msec_t timeout);

/* Replaces CONNECT_MS for connections that are opened from now on. */
void httpc_pool_set_connect_timeout (httpc_pool_t *self, msec_t timeout);

/* Calls that are started from now on end within LIMIT, connecting included and whatever
 * their progress. */
void httpc_pool_set_call_limit (httpc_pool_t *self, msec_t limit);

/* Closes all connections; calls in progress end without a callback. */
void httpc_pool_finish (httpc_pool_t *self);

/* Closes idle connections. */
void httpc_pool_close_idle (httpc_pool_t *self);

/* The same with a reset, so that no byte that was written to them is delivered later. */
void httpc_pool_reset_idle (httpc_pool_t *self);

/* A new request, for the caller to add headers and a body and pass to httpc_call. */
struct evhttp_request *httpc_request_new (void);

/*
 * Takes ownership of REQUEST and sends it on a connection that was in use within the last
 * CONNECTION_IDLE_MS, or on a new one.  The call ends with one `done` or `failed`, or
 * with httpc_cancel.  NOW is in milliseconds.  Returns NULL if the call could not start;
 * then `failed` is not called and no byte was sent.
 */
httpc_conn_t *httpc_call (httpc_pool_t *self,
                          struct evhttp_request *request,
                          enum evhttp_cmd_type method,
                          const char *uri,
                          const httpc_ops_t *ops,
                          void *owner,
                          msec_t now);

/* The same on a new connection, which is closed after the call: its response belongs to
 * no other call. */
httpc_conn_t *httpc_call_alone (httpc_pool_t *self,
                                struct evhttp_request *request,
                                enum evhttp_cmd_type method,
                                const char *uri,
                                const httpc_ops_t *ops,
                                void *owner);

/* Whether CONN carried a call before the latest one, so that the response to this one may
 * be a repeated one. */
bool httpc_is_reused (const httpc_conn_t *conn);

/* Whether the response to the call on CONN has begun to arrive: its head is complete. */
bool httpc_is_receiving (const httpc_conn_t *conn);

/* Of a call that has failed, asked from within `failed`: whether the server's host may
 * have acknowledged all of its bytes.  The server may then still read them, also after
 * the connection's reset.  It is known of a call that has reached its limit before the
 * connection was lost or timed out. */
bool httpc_was_acknowledged (const httpc_conn_t *conn);

/* The same: whether the server's host answered that nobody listens there. */
bool httpc_was_refused (const httpc_conn_t *conn);

/* Replaces the pool's TIMEOUT for the call on CONN, and for later ones on it.  A limit on
 * the whole call counts from its start all the same. */
void httpc_set_timeout (httpc_conn_t *conn, msec_t timeout);

/* Parses the body of a response that was not streamed as JSON; NULL if it is not valid.
 * Its strings may contain 0 bytes. */
json_t *httpc_json (struct evhttp_request *response);

/* Aborts the call on CONN without a callback and resets the connection. */
void httpc_cancel (httpc_conn_t *conn);

/* Pauses or resumes reading of a streamed response. */
void httpc_set_paused (httpc_conn_t *conn, bool pause);
