#include "budget.h"

#include <glib.h>

static void
advance_window (budget_t *self, msec_t now)
{
  int64_t bucket = now / self->bucket_ms;
  int64_t steps = MIN (bucket - self->newest_bucket, BUDGET_BUCKETS);

  for (int64_t i = 1; i <= steps; i++)
    {
      self->requests[(self->newest_bucket + i) % BUDGET_BUCKETS] = 0;
      self->retries[(self->newest_bucket + i) % BUDGET_BUCKETS] = 0;
    }
  if (steps == BUDGET_BUCKETS)
    {
      for (int i = 0; i < BUDGET_BUCKETS; i++)
        self->requests[i] = self->retries[i] = 0;
    }
  self->newest_bucket = MAX (self->newest_bucket, bucket);
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
  self->requests[self->newest_bucket % BUDGET_BUCKETS]++;
}

uint32_t
budget_left (budget_t *self, msec_t now)
{
  uint64_t requests = 0, retries = 0;

  advance_window (self, now);
  for (int i = 0; i < BUDGET_BUCKETS; i++)
    {
      requests += self->requests[i];
      retries += self->retries[i];
    }
  uint64_t allowed = requests * self->percent / 100 + self->extra;
  return allowed > retries ? (uint32_t)(allowed - retries) : 0;
}

bool
budget_spend (budget_t *self, msec_t now)
{
  if (budget_left (self, now) == 0)
    return false;
  self->retries[self->newest_bucket % BUDGET_BUCKETS]++;
  return true;
}
