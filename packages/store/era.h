#pragma once

#include <stdint.h>

/*
 * ERA: the history of the store to which an answer belongs.
 *
 * Decision logic without I/O.  The store may come back from an older copy, and then gives
 * versions out again; its answers state an era, which rises by one each time.  A store
 * that has never stated one has one history only, 0.
 */

/* Returns of the store that a host may miss; a larger rise is none of the store's. */
#define ERA_RISE_MAX 1000

typedef enum
{
  ERA_CURRENT,
  ERA_RISEN,   /* the first answer of a later history */
  ERA_EARLIER, /* an answer of an earlier history arrived late */
  ERA_MISSING, /* none, or no possible one, although earlier answers had one */
} era_verdict_t;

/* An answer states the era STATED; 0: none.  KNOWN is the latest era, and never falls. */
era_verdict_t era_note (uint64_t *known, uint64_t stated);

const char *era_verdict_name (era_verdict_t verdict);
