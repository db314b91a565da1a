#include "longest.h"

#include "../core/limits.h"

#include <glib.h>

static longest_t
advanced (const longest_t *self, msec_t now)
{
  msec_t age = now - self->since;

  if (age < DISPATCH_LONGEST_MS)
    return *self;
  return (longest_t){ .since = now,
                      .last = age < 2 * DISPATCH_LONGEST_MS ? self->current : 0 };
}

void
longest_note (longest_t *self, msec_t took, msec_t now)
{
  *self = advanced (self, now);
  self->current = MAX (self->current, took);
}

msec_t
longest_of (const longest_t *self, msec_t now)
{
  const longest_t state = advanced (self, now);

  return MAX (state.current, state.last);
}
