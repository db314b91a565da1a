#pragma once

#include "exchange.h"

/* TARGET_CONN: a connection to a target.  Private to target_conn.c, pool.c and
 * response.c. */

/* Carries one request at a time, or is idle in the pool. */
struct target_conn
{
  proxy_t *proxy;
  uint64_t serial; /* number of the connection, from 1 */
  uint32_t target;
  exchange_t *exchange; /* NULL: idle */
  struct bufferevent *bev;
  http_reader_t reader;
  bool connected;
  bool mismatched;      /* the response being read belongs to another request */
  uint64_t stray_bytes; /* of bodies of such responses, since the request was sent */
  uint32_t skipped_responses; /* interim or to other requests, since it was sent */
  /* The target closed or reset the connection while the request was being sent.  What it
   * had sent before that is still read. */
  bool write_failed;
  bool not_reusable;      /* the connection is closed after this response */
  size_t request_bytes;   /* bytes of the request queued for writing */
  response_facts_t facts; /* its texts point into the reader's head */
  unsigned status;
  bool keep_alive;  /* the target keeps the connection open after the response */
  bool used_before; /* a complete response was received on it before */
  struct evbuffer *body;
  msec_t held_up_at; /* reading the response first waited for its caller; 0: never */
  bool kept_longer;  /* than PROXY_TCP_USER_TIMEOUT_MS, as its window was closed */
  account_holder_t holder; /* the exchange's above it, while one is on the connection */
  uint64_t head_held;      /* of the head that is being parsed */
  msec_t idle_until;
  msec_t idle_timeout;
  struct event *timer; /* connect or idle timeout, check of acknowledgements */
  TAILQ_ENTRY (target_conn) link;
};

/* Charges the head that is being parsed. */
void target_conn_charge_head (target_conn_t *self);

void target_conn_free (target_conn_t *self);

/* Closes an idle connection. */
void pool_close (target_conn_t *self);

/* Returns a connection to the pool after a complete response, or closes it.  EXTRA: bytes
 * were received after the response. */
void pool_put (target_conn_t *self, bool extra);

/* Takes an idle connection for EXCHANGE out of the pool; NULL if there is none.  A
 * mutating request gets only a recently used one, since the target may be about to close
 * an older one.  No request gets one on which it was rejected: a target that writes that
 * response again would reject an attempt that it runs. */
target_conn_t *pool_take (proxy_t *proxy, uint32_t target, const exchange_t *exchange);

/* response.c */

/* What the response that was read says about the request. */
dispatch_answer_t response_classify (const target_conn_t *self);

/* Logs that the target did not run the request. */
void response_log_refusal (const target_conn_t *self, dispatch_answer_t answer);

/* Logs that the pause which the target states is not taken literally. */
void response_log_odd_pause (const target_conn_t *self);
