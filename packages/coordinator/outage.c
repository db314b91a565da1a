#include "outage.h"

#include "../core/limits.h"

#include <glib.h>

void
outage_note_failure (outage_t *self, msec_t started, msec_t now)
{
  if (started < self->answered_at)
    return;
  self->lost = true;
  self->lost_at = now;
}

void
outage_note_answer (outage_t *self, msec_t at)
{
  self->answered_at = MAX (self->answered_at, at);
  if (!self->lost || at < self->lost_at)
    return;
  self->lost = false;
  self->recovered_at = at;
}

msec_t
outage_end (const outage_t *self, msec_t now)
{
  return self->lost && now - self->lost_at < STORE_RECOVERY_MS ? now : self->recovered_at;
}
