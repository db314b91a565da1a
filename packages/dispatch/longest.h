#pragma once

#include "../core/msclock.h"

/*
 * LONGEST: the longest of the durations that were noted lately.
 *
 * Decision logic without I/O.  It covers the last DISPATCH_LONGEST_MS at least, and twice
 * that at most.  A state of zeros is empty.  Times and durations are in ms.
 */

typedef struct
{
  msec_t since;         /* CURRENT covers the time from then on */
  msec_t current, last; /* LAST: the longest in the DISPATCH_LONGEST_MS before */
} longest_t;

void longest_note (longest_t *self, msec_t took, msec_t now);

/* 0 if nothing was noted. */
msec_t longest_of (const longest_t *self, msec_t now);
