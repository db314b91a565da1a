#pragma once

#include "../core/msclock.h"
#include "../core/text.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * EVACUATION: the data centres that an operator wants to be emptied.
 *
 * Decision logic without I/O.  Load: an operator empties a data centre of 17 to 100
 * targets while the others have their usual demand, and takes it back; several may be
 * emptied at once, or all.
 *
 * A row of the configuration's table per data centre is in force from when this host has
 * it until it is removed.  The rows come in any order, from the store and from other
 * hosts: the later version counts.  A complete read ends an evacuation that it lacks, but
 * not one of an earlier era: the store came back from an older copy, which may lack what
 * was acknowledged, so that only a later row or removal ends it.
 *
 * The bound counts from the store's acknowledgement.  The host goes by the earliest time
 * at which that can have been: the last time at which its copy of the table was known to
 * be complete without the row.  Times are in ms, on one clock.
 */

typedef struct
{
  name_t data_centre;
  uint64_t version; /* of its row, or of the removal */
  bool in_force;    /* false: it ended; kept so that an older row doesn't bring it back */
  bool seen;        /* during the complete read in progress */
  msec_t since;     /* the earliest time of its acknowledgement; MSEC_NEVER: unknown */
  msec_t learned_at;
} evacuation_t;

typedef enum
{
  EVACUATION_SAME,
  EVACUATION_BEGAN,
  EVACUATION_ENDED,
} evacuation_change_t;

typedef struct
{
  GArray *rows; /* evacuation_t */
} evacuations_t;

void evacuations_init (evacuations_t *self);
void evacuations_finish (evacuations_t *self);

/* The row of DATA_CENTRE at VERSION; the copy of the table was complete AGE ms before
 * NOW, MSEC_NEVER: it never was. */
evacuation_change_t evacuations_put (evacuations_t *self,
                                     const name_t *data_centre,
                                     uint64_t version,
                                     msec_t age,
                                     msec_t now);

/* The row of DATA_CENTRE was removed at VERSION. */
evacuation_change_t
evacuations_remove (evacuations_t *self, const name_t *data_centre, uint64_t version);

/* A complete read starts. */
void evacuations_read_started (evacuations_t *self);

/* It ends, and has all changes up to VERSION.  Ends the evacuations that it lacks and
 * appends them (evacuation_t) to ENDED.  ERA_OF tells the era of a version. */
void evacuations_read_done (evacuations_t *self,
                            uint64_t version,
                            uint64_t (*era_of) (uint64_t version),
                            GArray *ended);

/* The evacuation of DATA_CENTRE that is in force; NULL: there is none. */
const evacuation_t *evacuations_find (const evacuations_t *self,
                                      const name_t *data_centre);

/* How many are in force. */
uint32_t evacuations_count (const evacuations_t *self);

/* The longest time for which one of them can have been acknowledged; 0: there is none. */
msec_t evacuations_age (const evacuations_t *self, msec_t now);

/* Until when an owner of keys in a data centre whose evacuation can have been
 * acknowledged at SINCE still gets requests for them, while they move.  BOUND: the time
 * after which none may reach it. */
msec_t evacuation_owner_until (msec_t since, msec_t bound);
