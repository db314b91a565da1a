#pragma once

#include "../core/limits.h"
#include "../core/msclock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * BUDGET: the retry budget of one service.
 *
 * No I/O.  Over a sliding window, the number of retries stays within a percentage of the
 * requests plus a fixed number.  The hosts of a fleet share a limit of the fleet; each
 * counts its retries over one bucket more than the window, so that the sum keeps to the
 * limit in every window, whenever it begins.  Without this bound, retries multiply the
 * load on a service that fails or sheds load, when it has the least capacity.
 */

typedef struct
{
  msec_t bucket_ms;      /* the window is divided into BUDGET_BUCKETS */
  uint32_t percent;      /* retries allowed per 100 requests */
  uint32_t extra;        /* retries allowed in addition, per window */
  int64_t newest_bucket; /* number of the current bucket, counted from time 0 */
  uint32_t requests[BUDGET_BUCKETS + 1];
  uint32_t retries[BUDGET_BUCKETS + 1];
} budget_t;

/* The percentage for one of HOSTS where the limit of the fleet is RATIO retries a
 * request: what hosts count differs less from the sum the more of them there are. */
uint32_t budget_percent (double ratio, uint32_t hosts);

/* WINDOW is in milliseconds. */
void budget_init (budget_t *self, msec_t window, uint32_t percent, uint32_t extra);

/* Changes the limits and keeps the counts. */
void budget_set_limits (budget_t *self, uint32_t percent, uint32_t extra);

/* Counts a request for the service. */
void budget_count_request (budget_t *self, msec_t now);

/* Spends one retry; false if none is left. */
bool budget_spend (budget_t *self, msec_t now);

/* Retries that are left now. */
uint32_t budget_left (budget_t *self, msec_t now);
