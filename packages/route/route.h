#pragma once

#include "../config/config.h"
#include "../core/rng.h"
#include "../limit/limit.h"
#include "../retry/retry.h"
#include "../table/table.h"

#include <glib.h>

/*
 * ROUTE: routes the requests of one worker to targets and decides their outcomes.
 *
 * Decision logic without I/O.  Every request ends in exactly one of ROUTE_DELIVER,
 * ROUTE_REPLAY and ROUTE_REFUSE, or without an answer by ROUTE_ABANDONED.  A request is
 * reported as not run only if no byte of it can have been sent, or if the target
 * guarantees by contract that it didn't run it.  A request that isn't idempotent
 * is retried only after such proof.
 */

typedef uint32_t route_id_t; /* identifies an open request; reused after its end */

#define ROUTE_ID_NONE UINT32_MAX

typedef enum
{
  ROUTE_OUTCOME_ANSWERED,
  ROUTE_OUTCOME_NOT_RUN,
  ROUTE_OUTCOME_UNKNOWN,
  ROUTE_OUTCOME_REFUSED,
} route_outcome_t;

typedef enum
{
  ROUTE_REASON_NONE,
  ROUTE_REASON_NO_CONFIG,
  ROUTE_REASON_UNKNOWN_SERVICE,
  ROUTE_REASON_NO_KEY,
  ROUTE_REASON_NO_ORDER_ID,
  ROUTE_REASON_BAD_REQUEST,
  ROUTE_REASON_TOO_LARGE,
  ROUTE_REASON_NO_LEASE,        /* this host holds no valid lease on its table */
  ROUTE_REASON_NO_OWNER,        /* the key's slot has no owner, or is being moved */
  ROUTE_REASON_NO_TARGET,       /* the service has no live instance */
  ROUTE_REASON_FULL,            /* the targets or the request table are full */
  ROUTE_REASON_DEADLINE,        /* the target didn't answer in time */
  ROUTE_REASON_TARGET_LOST,     /* the connection broke after a byte may have been sent */
  ROUTE_REASON_UNREACHABLE,     /* no connection to the target */
  ROUTE_REASON_FENCED,          /* the target doesn't hold the slot at this epoch */
  ROUTE_REASON_SHED,            /* the target was overloaded */
  ROUTE_REASON_ANSWER_CUT,      /* the answer was cut short */
  ROUTE_REASON_CLAIM_LATE,      /* the order's claim was not written in time */
  ROUTE_REASON_ORDER_REPEATED,  /* an order with this id is in progress, or its outcome is
                                   unknown */
  ROUTE_REASON_STORE_DOWN,      /* the store is unreachable */
  ROUTE_REASON_CRASHES_TARGETS, /* two targets were lost while they ran the same request
                                 */
  ROUTE_REASON_SHUTDOWN,
} route_reason_t;

typedef enum
{
  ROUTE_TICK,
  ROUTE_CONFIG,
  ROUTE_TABLE,
  ROUTE_LEASE,
  ROUTE_REVOKE_LEASE, /* the clock jumped: the lease is no longer valid */
  ROUTE_ARRIVE,
  ROUTE_CLAIMED,
  ROUTE_ANSWERED,  /* a complete answer */
  ROUTE_STREAMING, /* the answer's headers arrived; its body is streamed to the caller */
  ROUTE_FAILED,    /* no complete answer */
  ROUTE_ABANDONED, /* the caller disconnected, or its stream was cut */
  ROUTE_BLOCKED,   /* the send was blocked: such requests crash targets */
  ROUTE_DRAIN,     /* the process shuts down: accept no more requests */
} route_msg_kind_t;

typedef enum
{
  ANSWER_COMPLETE,
  ANSWER_NOT_RUN, /* guaranteed by contract */
  ANSWER_FENCED,
  ANSWER_SHED,
} answer_kind_t;

typedef enum
{
  ROUTE_CLAIM_GRANTED,
  ROUTE_CLAIM_REPEATED,
  ROUTE_CLAIM_STORED, /* the order was run, and its answer is stored */
  ROUTE_CLAIM_FAILED, /* nothing was claimed */
} route_claim_t;

typedef struct
{
  route_msg_kind_t kind;
  const config_t *config; /* CONFIG */
  const table_t *table;   /* TABLE */
  uint64_t version;       /* LEASE */
  msec_t until;           /* LEASE */
  route_id_t id;          /* the open request that the message is about; not in ARRIVE */
  uint32_t service;       /* ARRIVE */
  bool idempotent;        /* ARRIVE */
  bool needs_claim;       /* ARRIVE: claim the order before it is sent */
  uint32_t slot;          /* ARRIVE */
  msec_t deadline;        /* ARRIVE */
  route_claim_t claim;    /* CLAIMED */
  answer_kind_t answer;   /* ANSWERED */
  msec_t retry_after;     /* ANSWERED */
  bool sent;              /* FAILED: a byte may have been sent */
  route_reason_t reason;  /* FAILED */
} route_msg_t;

typedef enum
{
  ROUTE_ACCEPTED, /* ID identifies the new request */
  ROUTE_CLAIM,    /* claim the order; ROUTE_CLAIMED returns the result */
  ROUTE_RELEASE,  /* the claimed order was not run: release the claim */
  ROUTE_SEND,
  ROUTE_CANCEL,  /* cancel the current attempt */
  ROUTE_DELIVER, /* forward the answer to the caller */
  ROUTE_REFUSE,  /* end the request with an outcome and a reason */
  ROUTE_REPLAY,  /* answer with the order's stored answer */
  ROUTE_ACK,     /* this worker applies table VERSION */
} route_out_kind_t;

typedef struct
{
  route_out_kind_t kind;
  route_id_t id;
  int target;
  uint32_t slot;
  uint64_t epoch;
  uint64_t version;
  uint32_t attempt;
  bool keyed;
  route_outcome_t outcome;
  route_reason_t reason;
  msec_t deadline;
  msec_t retry_after;
} route_out_t;

typedef enum
{
  REQUEST_FREE,
  REQUEST_CLAIMING,
  REQUEST_WAITING,
  REQUEST_SENT,
} request_state_t;

typedef struct
{
  request_state_t state;
  uint32_t service;
  name_t service_name; /* this and the next two: configured on arrival */
  uint32_t keyed_index;
  bool fenced;
  bool idempotent;
  bool keyed;
  bool needs_claim;
  bool claimed;
  uint32_t slot;
  uint64_t epoch; /* of the slot, when it was sent */
  int target;     /* of the current or last attempt, or INDEX_NONE */
  uint32_t attempt;
  msec_t arrived;
  msec_t deadline;
  msec_t retry_at;
  msec_t sent_at;
  route_reason_t reason; /* why it waits, or why the last attempt failed */
  int32_t prev, next;    /* in its service's list; next also in the free list */
} route_request_t;

typedef struct
{
  limit_t limit;
  target_t target;
  uint32_t failures;
  msec_t ejected_until;
  uint32_t latency_us; /* exponential moving average */
} route_target_t;

typedef struct
{
  int32_t first, last;
  uint32_t n;
  uint32_t waiting;
  retry_t retry;
} route_service_t;

typedef struct
{
  config_t config;
  table_t table;
  uint64_t lease_version;
  msec_t lease_until;
  uint64_t unacked_version; /* table version whose ROUTE_ACK is pending, or 0 */
  bool draining;
  uint32_t n_workers;
  rng_t rng;
  route_service_t services[SERVICE_MAX];
  route_target_t targets[TARGET_MAX];
  uint32_t loads[KEYED_MAX][SLOT_COUNT]; /* requests sent per slot since the last reset */
  route_request_t *requests;
  int32_t first_free; /* head of the list of unused requests */
  uint32_t n_requests;
} route_t;

/* N_WORKERS workers of this host share the connections allowed per target. */
void route_init (route_t *self, uint32_t n_workers, uint64_t seed);

/* Handles MSG at time NOW and appends the resulting effects, route_out_t, to OUT. */
void route_handle (route_t *self, const route_msg_t *msg, msec_t now, GArray *out);

void route_finish (route_t *self);

/* When route_handle next needs a ROUTE_TICK; MSEC_NEVER if no request is open and no
 * ROUTE_ACK is pending. */
msec_t route_next_due (const route_t *self, msec_t now);

const char *route_outcome_name (route_outcome_t outcome);
const char *route_reason_name (route_reason_t reason);
