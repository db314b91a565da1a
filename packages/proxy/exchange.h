#pragma once

#include "proxy.h"

#include "../account/account_watch.h"
#include "../flow/arrivals.h"
#include "../flow/flow.h"
#include "../http/sockets.h"

#include <event2/bufferevent.h>
#include <sys/queue.h>

/*
 * EXCHANGE: one request of a caller and its response.  Private to the proxy's files.
 */

#define EXCHANGE_TOO_LARGE_NOT_RUN TEXT ("The body is too large; not run.")

struct exchange
{
  dispatch_request_t request;
  proxy_t *proxy;
  caller_t *caller;          /* NULL once the caller has disconnected */
  target_conn_t *connection; /* of the newest attempt in progress, or NULL */
  target_conn_t *beside;     /* of the one beside it, or NULL */
  name_t id;
  uint64_t head_fingerprint; /* without the headers that differ between attempts */
  GString *head; /* for the target: request line and the headers that are forwarded */
  char *host;    /* HOST and PATH are for dispatch; not null-terminated */
  size_t host_len, path_len;
  char *path;
  struct evbuffer *body;  /* of the request; if streamed, the part not sent yet */
  uint64_t body_received; /* bytes of the request body received from the caller */
  uint64_t body_max;      /* bytes that the configuration allowed when the head arrived */
  account_holder_t holder; /* its caller's above it, while that is connected */
  request_facts_t facts;   /* its id is not valid after exchange_new: ID holds a copy */
  msec_t time_limit;       /* exchange_time_limit; 0: not looked up */
  msec_t received_at;      /* its first byte */
  bool expects_invitation; /* the caller waits for an interim response before the body */
  bool no_response_body;   /* the request is HEAD */
  bool http10;             /* the caller uses HTTP/1.0 */
  uint64_t content_length; /* of the request body; UINT64_MAX if the caller gave none */
  bool request_complete;   /* the request was received up to its end */
  bool request_streaming;  /* the body is sent to the target as it arrives */
  bool request_chunked;    /* the streamed body is sent with chunked encoding */
  bool response_streaming; /* its head was sent; the body is forwarded as it arrives */
  bool response_chunked;   /* the streamed response is sent with chunked encoding */
  bool dispatched;         /* the request was passed to dispatch */
  bool response_ready;     /* RESPONSE is final and can be written to the caller */
  bool close;              /* the caller's connection is closed after the response */
  unsigned status;         /* HTTP status of the response */
  bool logged_unanswered;  /* that it is late was logged */
  /* Serial numbers of the connections on which a target rejected the request. */
  uint64_t rejected_on[DISPATCH_ATTEMPTS_MAX];
  uint32_t n_rejected;
  struct evbuffer *response;
  struct event *timer;
  TAILQ_ENTRY (exchange) link;
};

TAILQ_HEAD (exchange_list, exchange);

struct caller
{
  proxy_t *proxy;
  struct bufferevent *bev;
  http_reader_t reader;
  struct exchange_list pipeline; /* unanswered requests, in order of arrival */
  uint32_t pipeline_len;
  exchange_t *receiving; /* the exchange whose request is incomplete, or NULL */
  bool has_requested;    /* a head of it has arrived */
  bool no_more_requests; /* no further request is read */
  bool closing;          /* no more responses; the connection is being closed */
  bool aborted;          /* its timer closes it, whatever is unsent */
  bool advancing;        /* caller_advance is on the stack */
  bool advance_again;    /* the state has changed since it looked */
  arrivals_t arrivals;   /* of the unparsed bytes */
  flow_times_t times;
  account_holder_t holder;
  uint64_t head_held; /* of the head that is being parsed */
  msec_t timer_at;    /* MSEC_NEVER: it isn't set */
  bool logged_unread; /* that it isn't read, with nothing pending, was logged */
  struct event *timer;
  TAILQ_ENTRY (caller) link;
};

/* caller.c */
void caller_accept (proxy_t *proxy, evutil_socket_t fd);
void caller_free (caller_t *self);

/* Whether no request is in progress and all output was written. */
bool caller_is_idle (const caller_t *self);

/* Does all that the state of the connection allows: parses requests, dispatches those
 * that can start, writes finished responses in order, and reads on or pauses.  To be
 * called after each change of that state. */
void caller_advance (caller_t *self);

/* Reads on or pauses, and sets the timer, as the state of the connection says. */
void caller_update (caller_t *self);

/* exchange.c */
exchange_t *exchange_new (caller_t *caller, const http_head_t *head);
void exchange_free (exchange_t *self);
void exchange_dispatch (exchange_t *self);

/* The time-out of the request's route, in ms; MSEC_NEVER if it has no route. */
msec_t exchange_time_limit (exchange_t *self);

/* When the request has to be answered, by its route and by its caller; MSEC_NEVER:
 * neither says. */
msec_t exchange_until (exchange_t *self);

/* The caller has disconnected, or its connection is being closed.  Frees the exchange, or
 * has it freed once dispatch has ended the request. */
void exchange_caller_left (exchange_t *self);

/* Prepares a response generated by the proxy.  RETRY_AFTER is in milliseconds; 0: none.
 */
void
exchange_respond (exchange_t *self, unsigned status, text_t reason, msec_t retry_after);

/* Passes MSG to dispatch and performs the resulting actions. */
void proxy_dispatch (proxy_t *self, const dispatch_msg_t *msg);

/* Closes the connection from the event loop; a response in progress stays incomplete. */
void caller_abort (caller_t *self);

/* report.c: counters, and reports to the coordinator */
service_counts_t *report_service_counts (proxy_t *self,
                                         const dispatch_request_t *request);
void report_answered (proxy_t *self, const dispatch_request_t *request);
void report_post_counts (proxy_t *self);

/* Has the coordinator tell all hosts of a request that may crash targets, or that a
 * suspect request did not. */
void report_suspect (proxy_t *self, const suspect_out_t *suspect);

/* Logs and counts a DISPATCH_TARGET_PAUSE or DISPATCH_SERVICE_PAUSE. */
void report_pause (proxy_t *self, const dispatch_out_t *out);

/* unanswered.c */

/* Logs and counts requests without an answer PROXY_UNANSWERED_MS after the time-out of
 * their route, and connections that aren't read although nothing is pending on them. */
void unanswered_review (proxy_t *self, msec_t now);

/* pressure.c */
void pressure_init (proxy_t *self, uint64_t memory);
void pressure_finish (proxy_t *self);

/* To be called after events that may have added to the account. */
void pressure_check (proxy_t *self);

/* Accepts connections, or pauses that, as the account says. */
void pressure_update_accepting (proxy_t *self);

/* Accepting failed: it pauses until the next tick. */
void pressure_accept_failed (proxy_t *self);

/* To be called by each tick. */
void pressure_review (proxy_t *self, msec_t now);

/* Logs that the connection of CALLER is closed before its requests have ended. */
void pressure_log_closed (const caller_t *caller, const char *why);

/* stream.c */

/* Forwards PART of the response body to the caller. */
void stream_response (exchange_t *self, struct evbuffer *part);
void stream_response_end (exchange_t *self);

/* Forwards the part of the request body that was received.  TO: the target's connection.
 */
void stream_request (exchange_t *self, struct bufferevent *to);

/* What waits for TO, whose sender was PAUSED or not. */
flow_queue_t stream_queue (const proxy_t *proxy, struct bufferevent *to, bool paused);

/* target_conn.c */

/* Sends what was received of a streamed request body. */
void target_conn_write_body (target_conn_t *self);

/* The caller disconnected before its request was complete, so the attempt fails. */
void target_conn_abort (target_conn_t *self);

/* Reads on or pauses, as the state of the connection says. */
void target_conn_update (target_conn_t *self);

/* What of the request waits for the target, whose sender was PAUSED or not. */
flow_queue_t target_conn_request_queue (const target_conn_t *self, bool paused);

/* Sends EXCHANGE to TARGET, which may work on it for WAIT milliseconds. */
void
target_conn_send (proxy_t *proxy, exchange_t *exchange, uint32_t target, msec_t wait);

/* Cancels the attempt in progress: its connection is reset. */
void target_conn_cancel (target_conn_t *self);

/* pool.c */
void pool_close_target (proxy_t *proxy, uint32_t target);
void pool_close_all (proxy_t *proxy);
