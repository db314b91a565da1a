#pragma once

#include "../core/msclock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * PATIENCE: how often a host asks a store that turns its calls away.
 *
 * Load: an outage of the store that hundreds of hosts meet at the same moment, each with
 * calls for several tables.  Such a store answers at once, so one call shows whether it
 * is back: one feed of a host asks for the others, and the larger the fleet, the less
 * often. A call that hangs shows nothing; feeds that meet one don't wait for each other.
 *
 * Decision logic without I/O.  Times are in ms.
 */

/* What is known of the calls of one feed. */
typedef struct
{
  bool turned_away;  /* the store itself rejected its last call, and it goes on asking */
  msec_t asking_for; /* since the call in flight was started; -1: there is none */
} patience_feed_t;

/* Whether a feed leaves it to ASKING, another feed of the host, to find out whether the
 * store is back. */
bool patience_leaves_it (const patience_feed_t *self, const patience_feed_t *asking);

/* The time until the next call after another failure, before jitter.  PREVIOUS is the
 * last one, 0 after a success; HOSTS the number of hosts. */
msec_t patience_delay (msec_t previous, bool turned_away, uint32_t hosts);
