#pragma once

#include "proxy.h"

#include "../http/sockets.h"

#include <event2/bufferevent.h>
#include <sys/queue.h>

/*
 * EXCHANGE: one request of a caller, from its head to the end of its answer.
 * Private to the proxy's files.
 */

struct exchange
{
  dispatch_request_t request;
  proxy_t *proxy;
  caller_t *caller; /* NULL once it left */
  call_t *call;     /* the send under way */
  name_t id;
  uint64_t
      fingerprint; /* of the head, without what differs between a caller's attempts */
  GString *head;   /* for the target: start line and the headers that pass */
  char *host;      /* both for dispatch; they don't end in a 0 byte that counts */
  size_t host_len, path_len;
  char *path;
  struct evbuffer *body; /* of the request; what is still to be sent of an upload */
  uint64_t uploaded;     /* bytes of it that were read */
  request_facts_t facts; /* id is empty: see above */
  msec_t head_at;
  bool bodyless;       /* the answer has no body: HEAD */
  bool old;            /* the caller speaks HTTP/1.0 */
  uint64_t length;     /* of the body if the caller told it, else UINT64_MAX */
  bool whole;          /* the request was read to its end */
  bool uploading;      /* the body passes through: it is sent as it comes */
  bool body_chunked;   /* ... in chunks */
  bool streaming;      /* the answer passes through: its head was written */
  bool answer_chunked; /* ... in chunks */
  bool begun;          /* dispatch knows it */
  bool answered;       /* ANSWER is what the caller gets */
  bool close;          /* its answer ends the connection */
  unsigned status;     /* of the answer */
  struct evbuffer *answer;
  struct event *timer;
  TAILQ_ENTRY (exchange) link;
};

TAILQ_HEAD (exchange_list, exchange);

struct caller
{
  proxy_t *proxy;
  struct bufferevent *bev;
  http_reader_t reader;
  struct exchange_list line; /* unanswered, in order of arrival */
  uint32_t n_line;
  exchange_t *reading; /* its body is still to come */
  bool last;           /* no further request is read */
  bool closing;        /* all was written; waits for the caller's end */
  bool busy;           /* caller_advance is under way */
  struct event *timer;
  TAILQ_ENTRY (caller) link;
};

/* caller.c */
void caller_accept (proxy_t *proxy, evutil_socket_t fd);
void caller_free (caller_t *self);

/* Whether nothing is under way on it, not even an answer's last bytes. */
bool caller_is_idle (const caller_t *self);

/* Writes what is answered, in order, and reads on. */
void caller_advance (caller_t *self);

/* exchange.c */
exchange_t *exchange_new (caller_t *caller, const http_head_t *head);
void exchange_free (exchange_t *self);
void exchange_begin (exchange_t *self);

/* The caller left or its connection is to end. */
void exchange_leave (exchange_t *self);

/* Prepares an answer of our own. */
void
exchange_answer (exchange_t *self, unsigned status, text_t reason, msec_t retry_after);

/* Gives MSG to dispatch and does what it wants. */
void proxy_decide (proxy_t *self, const dispatch_msg_t *msg);

/* Ends the connection at once, from the loop; an answer under way stays incomplete. */
void caller_abort (caller_t *self);

/* Reads on after the target took what was held back. */
void caller_resume (caller_t *self);

/* report.c: what the proxy counts, and tells the coordinator */
service_counts_t *report_counts (proxy_t *self, const dispatch_request_t *request);
void report_answer (proxy_t *self, const dispatch_request_t *request);
void report_tell (proxy_t *self);

/* Has all hosts told of a request that may crash targets, or of one that doesn't. */
void report_suspect (proxy_t *self, const suspect_out_t *suspect);

/* stream.c */

/* Passes PIECE of the answer on to the caller. */
void stream_answer (exchange_t *self, struct evbuffer *piece, struct bufferevent *from);
void stream_answer_end (exchange_t *self);

/* Passes on what was read of the request's body. */
void stream_request (exchange_t *self, struct bufferevent *to);

/* call.c */

/* More of an uploaded body was read. */
void call_upload (call_t *self);

/* The caller left before its body was whole: the send can't end well. */
void call_abandon (call_t *self);

/* Reads on after the caller took what was held back. */
void call_resume (call_t *self);

/* Sends EXCHANGE to TARGET, which may work on it for WAIT. */
void call_send (proxy_t *proxy, exchange_t *exchange, uint32_t target, msec_t wait);

/* Ends the send under way: its connection is closed. */
void call_cancel (call_t *self);
void call_forget (proxy_t *proxy, uint32_t target);
void call_close_all (proxy_t *proxy);
