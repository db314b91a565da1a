#pragma once

#include "../config/config.h"
#include "../table/table.h"

#include <glib.h>

/*
 * GRANT: renews the grants of targets and checks which targets answer.
 *
 * Decision logic without I/O: it takes messages and appends effects to an array.  A
 * grant lists the slots that a target owns, each with its epoch, and expires at a time
 * on the target's own clock.  That time is computed from the clock value in the target's
 * last answer.  Therefore a grant that arrives late, or at a target that was suspended,
 * ends at most GRANT_MS after it was sent, when the sending host had its lease.
 *
 * The holder of the placement role calls every target.  In addition, GRANT_RENEWERS hosts
 * renew each target that checks fences, so that no grant expires when the holder fails.
 */

typedef enum
{
  GRANT_TICK,
  GRANT_TABLE,  /* a table took effect, or the placement role was gained or lost */
  GRANT_LEASE,  /* this host's lease on a version of the table */
  GRANT_ANSWER, /* a target's answer to GRANT_SEND, or a failure */
} grant_msg_kind_t;

typedef struct
{
  grant_msg_kind_t kind;
  const table_t *table;   /* GRANT_TABLE */
  const config_t *config; /* GRANT_TABLE */
  bool holder;            /* GRANT_TABLE: this host holds the placement role */
  uint64_t version;       /* GRANT_LEASE; GRANT_ANSWER: in effect at the target */
  msec_t until;           /* GRANT_LEASE: end of the lease */
  int target;             /* GRANT_ANSWER: index in the table */
  bool ok;                /* GRANT_ANSWER: the target answered */
  int64_t clock;          /* GRANT_ANSWER: the target's clock, ms */
  uint64_t incarnation;   /* GRANT_ANSWER: incarnation of the target's process */
} grant_msg_t;

typedef enum
{
  /* Send TARGET a grant of its slots in VERSION until UNTIL on its clock.  If UNTIL is 0,
   * the call only probes the target. */
  GRANT_SEND,
  GRANT_REPORT, /* TARGET answered or failed: report it to PLACE */
} grant_out_kind_t;

typedef struct
{
  grant_out_kind_t kind;
  int target;
  uint64_t version;     /* GRANT_SEND: of the grant; GRANT_REPORT: at the target, or 0 */
  int64_t until;        /* GRANT_SEND: end of the grant, in ms of the target's clock */
  uint64_t incarnation; /* the target accepts the grant only in this incarnation */
  bool fenced;          /* the service checks fences, and so takes grants */
  bool ok;              /* GRANT_REPORT: the target answered */
} grant_out_t;

typedef struct
{
  target_t target;
  bool called_here; /* this host calls it */
  bool fenced;      /* its service checks fences */
  bool keyed;
  bool in_flight;   /* a call awaits its answer */
  bool clock_known; /* the last call got an answer */
  int64_t clock;    /* in ms, from that answer */
  uint64_t incarnation;
  msec_t next_call_at; /* time of the next call */
} grant_target_t;

typedef struct
{
  name_t host;
  uint64_t version;
  uint64_t lease_version;
  msec_t lease_until;
  uint32_t n_targets;
  grant_target_t targets[TARGET_MAX];
} grant_t;

void grant_init (grant_t *self, const name_t *host);

/* Handles MSG at time NOW and appends the resulting effects, grant_out_t, to OUT. */
void grant_handle (grant_t *self, const grant_msg_t *msg, msec_t now, GArray *out);

void grant_finish (grant_t *self);
