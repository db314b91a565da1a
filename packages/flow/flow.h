#pragma once

#include "../core/msclock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * FLOW: what a connection does next, decided by its state alone.
 *
 * Decision logic without I/O and without memory of its own.  The task that owns a
 * connection describes its state after each event and does what the answers say: nothing
 * waits to be resumed by an event that may not come.  Sizes are in bytes, times in ms on
 * one clock.
 */

/* Bytes on their way through the router. */
typedef struct
{
  size_t held;     /* that their receiver has not taken yet */
  size_t held_max; /* above it their sender is not read */
  bool paused;     /* their sender is not read now */
} flow_queue_t;

/* Whether the sender of QUEUE is read; once paused, from a quarter of held_max on. */
bool flow_has_room (const flow_queue_t *queue);

/* The connection of a caller. */
typedef struct
{
  uint32_t unanswered;  /* requests without a complete answer */
  size_t unparsed;      /* bytes received and not parsed */
  size_t unsent;        /* bytes of answers that the caller has not taken */
  bool in_head;         /* the head of a request has begun and is not complete */
  bool in_body;         /* the same of its body */
  bool uninvited;       /* its caller hasn't been told yet to send the body */
  bool body_dispatched; /* the request whose body arrives is being sent to a target */
  bool last_request;    /* no further request is read */
  bool closing;         /* no further answer is written */
  uint64_t held;        /* all bytes that are held for it */
  uint64_t share;       /* above it, earlier requests end before the next is read */
  flow_queue_t body;    /* of the request whose body arrives */
} flow_caller_t;

/* Whether what has arrived is parsed: the rest of a body, or the next request. */
bool flow_caller_parses (const flow_caller_t *self);

/* Whether the connection is read.  What is read of a connection that is closing, or has
 * no further request, is discarded: it shows that the caller has left. */
bool flow_caller_reads (const flow_caller_t *self);

/* Times of a caller's connection. */
typedef struct
{
  msec_t head_since;    /* of the first byte of the head that arrives */
  msec_t body_until;    /* the time-out of the request whose body arrives; MSEC_NEVER */
  msec_t received_at;   /* bytes of the body arrived last, or could again */
  msec_t taken_at;      /* bytes of an answer were taken last */
  msec_t idle_since;    /* no request is on the connection since */
  msec_t closing_at;    /* it is being closed since */
  msec_t head_limit;    /* for a head, and for the next bytes of a body; 0: none */
  msec_t idle_limit;    /* without a request */
  msec_t linger_limit;  /* for the rest of what a closed connection still sends */
  msec_t stalled_limit; /* for the next bytes of an answer to be taken, when closing */
  msec_t untaken_limit; /* the same in all other states; 0: none */
} flow_times_t;

typedef enum
{
  FLOW_WAIT,   /* nothing is due while the state stays as it is */
  FLOW_CLOSE,  /* then the connection is closed */
  FLOW_END,    /* the same: its caller takes nothing of its answers */
  FLOW_REJECT, /* then the request that arrives is rejected: it took too long */
} flow_due_t;

/* What is due, and when, AT, if the state stays as it is. */
flow_due_t
flow_caller_due (const flow_caller_t *self, const flow_times_t *times, msec_t *at);

/* The connection of a target. */
typedef struct
{
  bool in_use;         /* a request is on it */
  bool awaits_turn;    /* its answer is held back by earlier ones and fills its buffer */
  bool streaming;      /* its answer is forwarded as it arrives */
  flow_queue_t answer; /* to the caller */
} flow_target_t;

/* Whether the connection is read.  An idle one is: the target may close it. */
bool flow_target_reads (const flow_target_t *self);
