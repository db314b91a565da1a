#pragma once

#include "exchange.h"

/* CALL_PARTS: a connection to a target, as call.c and pool.c share it.  Private to them.
 */

/* A connection to a target: one request at a time, or idle. */
struct call
{
  proxy_t *proxy;
  uint32_t target;
  exchange_t *exchange; /* NULL: idle */
  struct bufferevent *bev;
  http_reader_t reader;
  bool connected;
  bool stray;           /* the message being read answers another request */
  bool spoilt;          /* not to be used again */
  size_t to_write;      /* bytes of the request that were queued */
  answer_facts_t facts; /* its texts point into the reader's head */
  unsigned status;
  bool alive;    /* the target keeps the connection */
  bool answered; /* it carried a whole answer before */
  struct evbuffer *body;
  msec_t idle_until;
  msec_t idle_span;
  struct event *timer; /* connecting, or idle */
  TAILQ_ENTRY (call) link;
};

void call_free (call_t *self);

/* Ends an idle connection. */
void pool_close (call_t *self);

/* Keeps a connection whose answer is whole for the next request, or closes it.  EXTRA:
 * bytes came after the answer. */
void pool_keep (call_t *self, bool extra);

/* An idle connection; a mutating request wants one that was used a short while ago, since
 * the target may be about to close an older one.  NULL: there is none. */
call_t *pool_take (proxy_t *proxy, uint32_t target, request_kind_t kind);

/* answer.c: what the answer that was read means. */
dispatch_answer_t answer_kind (const call_t *self);

/* The target says that it didn't run the request. */
void answer_log_refusal (const call_t *self, dispatch_answer_t answer);
