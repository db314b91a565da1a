#pragma once

#include "../core/limits.h"
#include "../core/msclock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * SUSPECT: detects requests that crash every target that runs them.
 *
 * Decision logic without I/O; one instance per task that sends requests.  Requests
 * are identified by a fingerprint.  The task decides when a target counts as lost: the
 * worker when the connection broke, dispatch when the exit of the target is confirmed.
 *
 * A request that was in flight at the loss of a given number of different targets, as
 * seen by any host, without an answer from a target in between, is blocked for
 * SUSPECT_KEEP_MS.  Other requests that were in flight at a lost target are cleared when
 * a target answers their retry, or the same request of another caller.
 */

typedef enum
{
  SUSPECT_LOST,            /* TARGET was lost while the request was in flight there */
  SUSPECT_LOSS_REPORTED,   /* another task or host reports SUSPECT_LOST */
  SUSPECT_ANSWERED,        /* a target answered such a request */
  SUSPECT_ANSWER_REPORTED, /* another task or host reports SUSPECT_ANSWERED */
} suspect_msg_kind_t;

typedef struct
{
  suspect_msg_kind_t kind;
  uint64_t fingerprint;
  uint64_t target; /* hash that tells targets apart, chosen by the task */
} suspect_msg_t;

/* To be broadcast to all tasks of all hosts. */
typedef struct
{
  uint64_t fingerprint;
  uint64_t target;
  bool cleared; /* true: a target answered it; false: it was in flight at the target's
                   loss */
} suspect_out_t;

typedef struct
{
  uint64_t fingerprint;
  uint64_t targets[SUSPECT_TARGETS_MAX]; /* lost while they ran it, without duplicates */
  uint32_t n_targets;
  msec_t until; /* when the entry expires; 0: it is free */
  bool blocked;
} suspect_entry_t;

typedef struct
{
  uint32_t loss_threshold; /* losses at different targets that block a request */
  suspect_entry_t entries[SUSPECT_MAX];
} suspect_t;

/* A request is blocked after the loss of LOSS_THRESHOLD different targets, from 1 to
 * SUSPECT_TARGETS_MAX. */
void suspect_init (suspect_t *self, uint32_t loss_threshold);

/* Handles MSG at time NOW and appends suspect_out_t to OUT. */
void suspect_handle (suspect_t *self, const suspect_msg_t *msg, msec_t now, GArray *out);

void suspect_finish (suspect_t *self);

bool suspect_is_blocked (const suspect_t *self, uint64_t fingerprint, msec_t now);
