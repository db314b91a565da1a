#pragma once

#include "../core/msclock.h"
#include "../core/rng.h"

#include <stdbool.h>

/*
 * RETRY: retry budget and backoff.
 *
 * No I/O; one instance per service and worker.  The budget grows with answered first
 * attempts and shrinks with retries, so that retries stay a bounded share of the load.
 * Source: PAPER-rate-limits-backoff-user-ab13, "Retry budgets".
 */

typedef struct
{
  uint32_t budget; /* in hundredths of a retry */
} retry_t;

void retry_init (retry_t *self);

/* Credits the budget for an answered first attempt. */
void retry_earn (retry_t *self);

/* Debits one retry; false if the budget is too low. */
bool retry_spend (retry_t *self);

/*
 * The earliest start of attempt number ATTEMPT (the first retry is 1): NOW plus FLOOR,
 * the target's Retry-After in milliseconds, plus exponential backoff with full jitter.
 */
msec_t retry_time (uint32_t attempt, msec_t floor, msec_t now, rng_t *rng);
