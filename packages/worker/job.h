#pragma once

#include "worker.h"

/*
 * JOB: a worker's I/O state of one open request: the caller's request, the call to a
 * target, and the forwarding between them.  The routing state is in route_t.
 */

struct job
{
  bool open;
  worker_t *worker;
  route_id_t request_id;
  uint64_t serial;          /* number of the request in this worker, as logged */
  front_request_t *request; /* NULL after the answer, or once the caller disconnected */
  httpc_conn_t *call;       /* the current call, or NULL */
  int target;               /* index of the call's target in the table */
  uint32_t service_index;
  service_t service;
  method_t method;
  char *uri;
  uint64_t fingerprint; /* of method, path, query, order id and body */
  bool needs_claim;     /* the order is claimed before it is sent */
  ticket_t ticket;      /* 0 if the order isn't claimed */
  name_t order_id;
  msec_t arrived_at;
  msec_t deadline;
  msec_t timeout; /* ms from arrival to the deadline */
  bool streaming;
  bool reading_paused; /* no data is read from the target: the caller reads too slowly */
  stored_answer_t *stored_answer; /* of an earlier execution of the order, or NULL */
};

void job_init (job_t *self,
               worker_t *worker,
               front_request_t *request,
               const request_view_t *view,
               const request_class_t *class,
               msec_t now);
void job_finish (job_t *self);

enum evhttp_cmd_type job_method (const job_t *self);

/* Builds the request to EFFECT's target, with the fence and deadline headers. */
struct evhttp_request *
job_make_request (job_t *self, const route_out_t *effect, msec_t now);

/* Whether to stream the answer: it is too large to buffer, or of unknown size.
 * Answers of claimed orders are never streamed, since they are stored. */
bool job_wants_stream (const job_t *self, struct evhttp_request *answer);

/* Classifies the answer by the service's contract.  *RETRY_AFTER in ms, 0 if none. */
answer_kind_t job_classify_answer (const job_t *self,
                                   struct evhttp_request *answer,
                                   msec_t *retry_after);

/* Copies the end-to-end headers of the target's answer to the caller's answer. */
void job_copy_headers (job_t *self, struct evhttp_request *answer);

/* Returns the answer in the form that is stored with the order's claim; status 0 and no
 * body if it can't be stored. */
stored_answer_t *job_store_answer (struct evhttp_request *answer);

/* Answers REQUEST with the stored answer. */
void job_replay (job_t *self, front_request_t *request);
