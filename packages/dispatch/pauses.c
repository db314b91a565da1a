#include "pauses.h"

#include "../core/limits.h"

#include <glib.h>

bool
pause_state (pause_t *self, msec_t duration, msec_t now)
{
  bool begins = !pause_is_active (self, now);

  if (duration <= 0)
    return false;
  if (begins)
    *self = (pause_t){ .since = now, .allowed = 1 };
  msec_t bounded = MIN (duration, DISPATCH_PAUSE_MAX_MS);
  self->until = MAX (self->until, now + bounded + DISPATCH_PAUSE_MARGIN_MS);
  return begins;
}

bool
pause_is_active (const pause_t *self, msec_t now)
{
  return now < self->until;
}

bool
pause_admits (const pause_t *self, msec_t now)
{
  return !pause_is_active (self, now)
         && (self->allowed == 0 || self->in_flight < self->allowed);
}

/* Whether a request that was sent at SENT_AT is among those counted after the pause. */
static bool
is_counted (const pause_t *self, msec_t sent_at)
{
  return self->allowed > 0 && sent_at >= self->until;
}

bool
pause_sent (pause_t *self)
{
  bool first = self->allowed > 0 && !self->resumed;

  self->resumed = true;
  if (self->allowed > 0)
    self->in_flight++;
  return first;
}

void
pause_released (pause_t *self, msec_t sent_at)
{
  if (is_counted (self, sent_at) && self->in_flight > 0)
    self->in_flight--;
}

void
pause_run (pause_t *self, msec_t sent_at, uint32_t limit)
{
  if (!is_counted (self, sent_at))
    return;
  self->allowed++;
  if (self->allowed > limit)
    self->allowed = 0;
}

void
pause_rejected (pause_t *self)
{
  self->allowed = self->allowed > 1 ? self->allowed / 2 : self->allowed;
}

const char *
pause_exception_name (pause_exception_t exception)
{
  static const char *const names[] = {
    [PAUSE_AS_STATED] = "as_stated",
    [PAUSE_UNREADABLE] = "unreadable",
    [PAUSE_TOO_LONG] = "too_long",
    [PAUSE_REPEATED] = "repeated",
  };

  return names[exception];
}
