#include "limit.h"

#include <glib.h>

void
limit_init (limit_t *self, uint32_t start, uint32_t max)
{
  *self = (limit_t){ .max = MAX (max, 1) };
  self->cap = CLAMP (start, 1, self->max) * LIMIT_SCALE;
}

void
limit_set_max (limit_t *self, uint32_t max)
{
  self->max = MAX (max, 1);
  self->cap = MIN (self->cap, self->max * LIMIT_SCALE);
}

bool
limit_has_room (const limit_t *self)
{
  return (self->in_flight + 1) * LIMIT_SCALE <= self->cap;
}

void
limit_begin (limit_t *self)
{
  self->in_flight++;
}

void
limit_end (limit_t *self, limit_outcome_t outcome)
{
  bool used = self->in_flight * 2 * LIMIT_SCALE >= self->cap;

  g_assert (self->in_flight > 0);
  self->in_flight--;
  if (outcome == LIMIT_ANSWERED && used)
    self->cap += LIMIT_SCALE * LIMIT_SCALE / self->cap;
  else if (outcome == LIMIT_SHED)
    self->cap = self->cap / 100 * LIMIT_CUT_PERCENT;
  self->cap = CLAMP (self->cap, LIMIT_SCALE, self->max * LIMIT_SCALE);
}
