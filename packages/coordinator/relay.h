#pragma once

#include "../core/msclock.h"
#include "../store/store.h"

/*
 * RELAY: changes of a table that this host relayed to the others, kept so that it can
 * send them again to a host that lacks them.
 *
 * Decision logic without I/O.  A message between hosts may be lost, and a host on a busy
 * link reads what it lacks more slowly from the store than it gets it from another host.
 */

typedef struct
{
  GQueue rows;   /* relayed_row_t, the oldest first */
  uint64_t from; /* ROWS has all changes later than this version */
  uint64_t to;   /* and up to this one */
} relay_t;

void relay_init (relay_t *self);
void relay_finish (relay_t *self);

/* All changes up to VERSION are known otherwise; forgets the rows. */
void relay_reset (relay_t *self, uint64_t version);

/* The rows of REPLY, which follow the row of version BEFORE, are relayed at time NOW. */
void relay_add (relay_t *self, uint64_t before, const store_reply_t *reply, msec_t now);

/*
 * Appends the rows (const store_row_t *) that a host lacks which has all changes up to
 * VERSION.  None if the first of them was relayed less than FEED_LAG_MS before NOW and
 * may be on its way, or if some are no longer kept.
 */
void relay_missing (const relay_t *self, uint64_t version, msec_t now, GPtrArray *rows);
