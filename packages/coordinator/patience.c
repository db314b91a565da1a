#include "patience.h"

#include "../core/limits.h"

#include <glib.h>

bool
patience_leaves_it (const patience_feed_t *self, const patience_feed_t *asking)
{
  return self->turned_away && asking->turned_away
         && asking->asking_for < PATIENCE_ANSWER_MS;
}

msec_t
patience_delay (msec_t previous, bool turned_away, uint32_t hosts)
{
  msec_t most = STORE_RETRY_MAX_MS;

  if (turned_away)
    most = CLAMP ((msec_t)hosts * 1000 / PATIENCE_FLEET_CALLS_PER_S,
                  STORE_RETRY_MAX_MS,
                  PATIENCE_MAX_MS);
  return CLAMP (previous * 2, STORE_RETRY_MS, most);
}
