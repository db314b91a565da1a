#pragma once

#include "../core/msclock.h"
#include "../core/text.h"

#include <glib.h>

/*
 * CLAIM: claims an order's id in the store before the order is sent to a target.
 *
 * Decision logic without I/O; one instance per host.  Claims that arrive within
 * CLAIM_GROUP_MS are written in one transaction.  A transaction whose outcome is
 * unknown is retried: a conflict with this host's own claim then means that the
 * earlier attempt was committed.
 */

typedef uint64_t ticket_t; /* identifies a claim within one run of the host's process */

typedef enum
{
  CLAIM_OP_ACQUIRE,  /* insert the claim unless the row exists */
  CLAIM_OP_COMPLETE, /* replace this host's claim by the order's answer */
  CLAIM_OP_RELEASE,  /* delete this host's claim: the order was not run */
} claim_op_kind_t;

typedef struct
{
  int status;
  name_t type; /* the content type */
  uint16_t len;
  char body[STORED_ANSWER_MAX_BYTES];
} stored_answer_t;

typedef struct
{
  claim_op_kind_t kind;
  ticket_t ticket;
  name_t service;
  name_t order_id;
  stored_answer_t *answer; /* COMPLETE: owned by the claim_t */
} claim_op_t;

/* State of an operation's row after a conflict. */
typedef enum
{
  CLAIM_ROW_MATCHED, /* the condition held */
  CLAIM_ROW_OWN,     /* this same claim, from an earlier attempt */
  CLAIM_ROW_OTHER,   /* another claim, without an answer */
  CLAIM_ROW_DONE,    /* the order's answer */
  CLAIM_ROW_ABSENT,
} claim_row_t;

typedef enum
{
  CLAIM_MSG_OP,
  CLAIM_MSG_TICK,
  CLAIM_MSG_WRITE_RESULT,
} claim_msg_kind_t;

typedef enum
{
  CLAIM_WRITE_OK,
  CLAIM_WRITE_CONFLICT,
  CLAIM_WRITE_FAILED, /* not committed, or unknown: to be retried */
} claim_write_t;

typedef struct
{
  claim_msg_kind_t kind;
  claim_op_t op;       /* OP */
  claim_write_t write; /* WRITE_RESULT */
  const claim_row_t
      *rows; /* WRITE_RESULT with CONFLICT: one per operation of the group */
  const stored_answer_t *stored; /* like rows; set where a row is CLAIM_ROW_DONE */
} claim_msg_t;

typedef enum
{
  CLAIM_OUT_TRANSACT, /* write the operations of `group` in one transaction */
  CLAIM_OUT_RESULT,
} claim_out_kind_t;

typedef enum
{
  CLAIM_OUTCOME_GRANTED,
  CLAIM_OUTCOME_REPEATED,
  CLAIM_OUTCOME_STORED,
} claim_outcome_t;

typedef struct
{
  claim_out_kind_t kind;
  const GArray *group; /* TRANSACT: of claim_op_t, valid until CLAIM_MSG_WRITE_RESULT */
  ticket_t ticket;     /* RESULT, with the next three */
  name_t service;
  name_t order_id;
  claim_outcome_t outcome;
  const stored_answer_t *stored; /* RESULT: valid during the call */
} claim_out_t;

typedef struct
{
  GArray *waiting; /* claim_op_t */
  GArray *group;   /* claim_op_t in the current transaction, if writing */
  bool writing;
  msec_t window_start; /* start of the CLAIM_GROUP_MS during which operations are
                          collected */
  msec_t retry_at;
} claim_t;

void claim_init (claim_t *self);

/* Handles MSG at time NOW and appends the resulting effects, claim_out_t, to OUT. */
void claim_handle (claim_t *self, const claim_msg_t *msg, msec_t now, GArray *out);

void claim_finish (claim_t *self);

/* When claim_handle next needs a CLAIM_MSG_TICK; MSEC_NEVER if none is due. */
msec_t claim_next_due (const claim_t *self);
