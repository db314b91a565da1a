#include "budget.h"

#include <glib.h>

static void
advance (budget_t *self, msec_t now)
{
  int64_t part = now / self->part_ms;
  int64_t steps = MIN (part - self->newest, BUDGET_PARTS);

  for (int64_t i = 1; i <= steps; i++)
    {
      self->requests[(self->newest + i) % BUDGET_PARTS] = 0;
      self->repeats[(self->newest + i) % BUDGET_PARTS] = 0;
    }
  if (steps == BUDGET_PARTS)
    {
      for (int i = 0; i < BUDGET_PARTS; i++)
        self->requests[i] = self->repeats[i] = 0;
    }
  self->newest = MAX (self->newest, part);
}

void
budget_init (budget_t *self, msec_t window, uint32_t percent, uint32_t extra)
{
  *self = (budget_t){ .part_ms = MAX (window / BUDGET_PARTS, 1),
                      .percent = percent,
                      .extra = extra };
}

void
budget_set (budget_t *self, uint32_t percent, uint32_t extra)
{
  self->percent = percent;
  self->extra = extra;
}

void
budget_request (budget_t *self, msec_t now)
{
  advance (self, now);
  self->requests[self->newest % BUDGET_PARTS]++;
}

uint32_t
budget_left (budget_t *self, msec_t now)
{
  uint64_t requests = 0, repeats = 0;

  advance (self, now);
  for (int i = 0; i < BUDGET_PARTS; i++)
    {
      requests += self->requests[i];
      repeats += self->repeats[i];
    }
  uint64_t allowed = requests * self->percent / 100 + self->extra;
  return allowed > repeats ? (uint32_t)(allowed - repeats) : 0;
}

bool
budget_spend (budget_t *self, msec_t now)
{
  if (budget_left (self, now) == 0)
    return false;
  self->repeats[self->newest % BUDGET_PARTS]++;
  return true;
}
