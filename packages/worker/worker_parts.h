#pragma once

#include "job.h"

/* WORKER_PARTS: declarations shared by the source files of worker. */

/* A ticket packs the worker's index + 1, the request's serial number and its id. */
#define TICKET_WORKER_SHIFT 56
#define TICKET_SERIAL_SHIFT 12
#define TICKET_ID_MASK ((1u << TICKET_SERIAL_SHIFT) - 1)

G_STATIC_ASSERT (REQUEST_MAX <= TICKET_ID_MASK + 1);

/* worker.c */
msec_t worker_now (const worker_t *self);

/* Passes MSG to the routing logic and executes the effects it returns. */
void worker_feed (worker_t *self, const route_msg_t *msg);

/* Sends MSG to the control task and takes ownership of it.  If the control task's mailbox
 * is full, MSG is dropped and counted. */
void worker_post (worker_t *self, worker_out_t *msg);

/* calls.c: calls to targets */

/* Sends the job's request to EFFECT's target. */
void calls_start (job_t *job, const route_out_t *effect);

/* Cancels the current call, if any. */
void calls_cancel (job_t *job);

/* Closes the caller's connection in the middle of a streamed answer. */
void calls_abort_stream (job_t *job);

/* Passes MSG to the suspect logic and sends its reports to the control task. */
void calls_handle_suspect (worker_t *self, const suspect_msg_t *msg);

/* inbox.c: handles and frees a message from the control task; a mailbox_deliver_t */
void inbox_deliver (void *owner, void *message);
