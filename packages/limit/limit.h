#pragma once

#include <stdbool.h>
#include <stdint.h>

/*
 * LIMIT: adaptive concurrency limit of one worker at one target.
 *
 * No I/O.  Additive increase, multiplicative decrease: the limit grows by one after as
 * many responses as its current value; a shed request or a timeout reduces it to
 * LIMIT_CUT_PERCENT of its value.  Responses count only while at least half of the limit
 * is in flight: others don't show that the target bears more, and a burst after a quiet
 * time would meet a limit that was never tried.
 */

#define LIMIT_SCALE 1000
#define LIMIT_CUT_PERCENT 70

typedef struct
{
  uint32_t in_flight;
  uint32_t cap; /* the current limit, in 1/LIMIT_SCALE requests */
  uint32_t max; /* the limit's maximum, in requests */
} limit_t;

typedef enum
{
  LIMIT_ANSWERED,
  LIMIT_SHED,
  LIMIT_NEUTRAL, /* ended because of the caller or this host; the limit stays */
} limit_outcome_t;

void limit_init (limit_t *self, uint32_t start, uint32_t max);

/* Changes the maximum; the current limit stays, reduced to MAX if it is larger. */
void limit_set_max (limit_t *self, uint32_t max);

bool limit_has_room (const limit_t *self);
void limit_begin (limit_t *self);
void limit_end (limit_t *self, limit_outcome_t outcome);
