#include "retry.h"

#include "../core/limits.h"

#include <glib.h>

/* The budget is kept in hundredths of a retry. */
#define RETRY_COST 100
#define RETRY_START (10 * RETRY_COST)
#define RETRY_SHIFT_MAX 10

void
retry_init (retry_t *self)
{
  self->budget = RETRY_START;
}

void
retry_earn (retry_t *self)
{
  self->budget = MIN (self->budget + RETRY_BUDGET_PERCENT, RETRY_BUDGET_MAX * RETRY_COST);
}

bool
retry_spend (retry_t *self)
{
  if (self->budget < RETRY_COST)
    return false;
  self->budget -= RETRY_COST;
  return true;
}

msec_t
retry_time (uint32_t attempt, msec_t floor, msec_t now, rng_t *rng)
{
  uint32_t shift = MIN (attempt > 0 ? attempt - 1 : 0, RETRY_SHIFT_MAX);
  uint64_t span = MIN ((uint64_t)RETRY_BASE_MS << shift, RETRY_CAP_MS);

  return now + floor + (msec_t)rng_below (rng, span + 1);
}
