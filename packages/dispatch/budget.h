#pragma once

#include "../core/limits.h"
#include "../core/msclock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * BUDGET: bounds how often requests of one service are sent once more.
 *
 * Decision part.  Over a sliding window, the sends beyond each request's first
 * stay below a share of the requests plus a fixed number.  It answers the load
 * of a service that fails or sheds: without it, repeats multiply the load just
 * when there is least room for it.
 */

typedef struct
{
  msec_t part_ms;
  uint32_t percent; /* repeats allowed for 100 requests */
  uint32_t extra;   /* repeats allowed besides */
  int64_t newest;   /* number of the newest part since time 0 */
  uint32_t requests[BUDGET_PARTS];
  uint32_t repeats[BUDGET_PARTS];
} budget_t;

void budget_init (budget_t *self, msec_t window, uint32_t percent, uint32_t extra);

/* Changes what is allowed and keeps the counts. */
void budget_set (budget_t *self, uint32_t percent, uint32_t extra);

/* A request for the service arrived. */
void budget_request (budget_t *self, msec_t now);

/* Takes one repeat; false if none is left. */
bool budget_spend (budget_t *self, msec_t now);

/* Repeats that could be spent now. */
uint32_t budget_left (budget_t *self, msec_t now);
