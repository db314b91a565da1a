#pragma once

#include "../buffers/buffers.h"
#include "../core/msclock.h"

#include <glib.h>
#include <stdbool.h>

/*
 * ACCOUNT: how much of a host's memory and descriptors callers and targets may occupy.
 *
 * Load: thousands of connections that send requests ahead and take no answers, heads
 * without end, silent connections; machines of 120 to 512 MB.  All that is held for a
 * connection is charged to its holder and to the process.  While the sum grows, in this
 * order: a connection that holds more than its share has no further request read; new
 * requests are refused; connections that take nothing, then those that hold most, are
 * closed; no connection is accepted.
 *
 * No I/O.  Sizes are in bytes, times in ms on one clock.
 */

typedef enum
{
  ACCOUNT_INPUT,      /* received and not parsed */
  ACCOUNT_HEAD,       /* heads that are being parsed */
  ACCOUNT_EXCHANGE,   /* requests and the copies of their heads */
  ACCOUNT_BODY,       /* bodies of requests, and answers that wait for their turn */
  ACCOUNT_OUTPUT,     /* waits to be written */
  ACCOUNT_CONNECTION, /* open connections */
  ACCOUNT_KINDS,
} account_kind_t;

/* Each step includes those before it. */
typedef enum
{
  ACCOUNT_CALM,
  ACCOUNT_REFUSE,
  ACCOUNT_CLOSE,
  ACCOUNT_ACCEPT_NONE,
} account_step_t;

typedef struct
{
  buffers_t buffers; /* of ACCOUNT_BODY and ACCOUNT_OUTPUT */
  uint64_t max;      /* bytes for all connections */
  uint64_t held;
  uint64_t peak; /* the most that was held */
  uint64_t by_kind[ACCOUNT_KINDS];
  uint64_t high;        /* the most that was held since memory was given back */
  msec_t given_back_at; /* account_give_back said so last */
  msec_t settled_at;    /* until then small amounts are given back too */
  uint32_t callers_max; /* connections of callers */
} account_t;

/* What is held for one connection or request.  Each byte of it is charged to ABOVE too.
 */
typedef struct account_holder
{
  account_t *account;
  struct account_holder *above; /* NULL: none */
  uint64_t held;
} account_holder_t;

/* MEMORY: bytes that the process may use.  FILES: descriptors that it may open. */
void account_init (account_t *self, uint64_t memory, uint64_t files);

/* ABOVE may be NULL. */
void
account_holder_init (account_holder_t *self, account_t *account, account_holder_t *above);

/* What SELF holds is charged to ABOVE, and no longer to the one before; NULL: to none. */
void account_holder_move (account_holder_t *self, account_holder_t *above);

void account_charge (account_holder_t *self,
                     account_kind_t kind,
                     uint64_t added,
                     uint64_t removed);

account_step_t account_step (const account_t *self);

/* Above it, no further request is read of a connection that has unanswered ones or
 * answers that it hasn't taken. */
uint64_t account_share (const account_t *self);

/* Whether a connection is accepted when CALLERS are open. */
bool account_accepts (const account_t *self, uint32_t callers);

/* Whether memory that was freed is given back to the system now. */
bool account_give_back (account_t *self, msec_t now);

/* A connection that may be closed. */
typedef struct
{
  void *connection;
  uint64_t held;
  bool takes_nothing; /* and answers wait for it */
} account_claim_t;

/* Sorts CLAIMS, account_claim_t, and returns how many of the first are to be closed. */
guint account_choose (const account_t *self, GArray *claims);
