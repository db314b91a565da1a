#pragma once

#include "suspect.h"

/*
 * REPORTS: the losses that this host reported and that may not have reached the others.
 *
 * Decision logic without I/O.  A report goes to the granter, which sends it to all hosts,
 * also to the one that made it.  If the granter was lost with it, it is repeated to the
 * next one, or to the hosts themselves if this host is the next one.  Only losses of
 * requests that were in flight at the loss of two targets at least are repeated: many
 * requests are in flight when a part of the targets is lost, and their reports would
 * arrive at a new granter from all hosts at once.
 *
 * At most REPORTS_MAX are kept, for SUSPECT_KEEP_MS.
 */

typedef struct
{
  GArray *entries; /* the oldest first */
} reports_t;

void reports_init (reports_t *self);
void reports_finish (reports_t *self);

/* This host reports SUSPECT, or passes it on as the granter. */
void reports_add (reports_t *self, const suspect_out_t *suspect, msec_t now);

/* SUSPECT has come from the granter, or from a host that reports to this one. */
void reports_confirm (reports_t *self, const suspect_out_t *suspect);

/* Appends the reports to repeat, suspect_out_t, to OUT. */
void reports_repeat (reports_t *self, msec_t now, GArray *out);
