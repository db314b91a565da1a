#include "budget.h"

#include <glib.h>

#define KEPT (BUDGET_BUCKETS + 1)

static void
advance_window (budget_t *self, msec_t now)
{
  int64_t bucket = now / self->bucket_ms;
  int64_t steps = MIN (bucket - self->newest_bucket, KEPT);

  for (int64_t i = 1; i <= steps; i++)
    {
      self->requests[(self->newest_bucket + i) % KEPT] = 0;
      self->retries[(self->newest_bucket + i) % KEPT] = 0;
    }
  self->newest_bucket = MAX (self->newest_bucket, bucket);
}

uint32_t
budget_percent (double ratio, uint32_t hosts)
{
  return (uint32_t)(ratio
                    * (hosts >= PACE_HOSTS_LEAST ? BUDGET_SAFETY_LARGE_PERCENT
                                                 : BUDGET_SAFETY_PERCENT));
}

void
budget_init (budget_t *self, msec_t window, uint32_t percent, uint32_t extra)
{
  *self = (budget_t){ .bucket_ms = MAX (window / BUDGET_BUCKETS, 1),
                      .percent = percent,
                      .extra = extra };
}

void
budget_set_limits (budget_t *self, uint32_t percent, uint32_t extra)
{
  self->percent = percent;
  self->extra = extra;
}

void
budget_count_request (budget_t *self, msec_t now)
{
  advance_window (self, now);
  self->requests[self->newest_bucket % KEPT]++;
}

uint32_t
budget_left (budget_t *self, msec_t now)
{
  uint64_t requests = 0, retries = 0;

  advance_window (self, now);
  for (int i = 0; i < KEPT; i++)
    {
      requests += self->requests[i];
      retries += self->retries[i];
    }
  requests -= self->requests[(self->newest_bucket + 1) % KEPT]; /* the oldest bucket */
  uint64_t allowed = requests * self->percent / 100 + self->extra;
  return allowed > retries ? (uint32_t)(allowed - retries) : 0;
}

bool
budget_spend (budget_t *self, msec_t now)
{
  if (budget_left (self, now) == 0)
    return false;
  self->retries[self->newest_bucket % KEPT]++;
  return true;
}
