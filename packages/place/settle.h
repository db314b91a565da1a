#pragma once

#include "place.h"

/*
 * SETTLE: decides when leases on lower versions and grants of old owners have ended.
 */

/*
 * Whether leases on versions below the last committed one have ended.  Either every
 * host that could hold one has acknowledged the commit, or leases confirmed by a read
 * have expired and no majority of witnesses can have extended one past NOW.
 */
bool settle_leases_ended (place_t *self, msec_t now);

/* Saves who may hold or extend leases on the current table, which is then replaced. */
void settle_save_previous (place_t *self);

/* Records which slots the table just committed withdraws. */
void settle_record_withdrawals (place_t *self);

/* The leases have ended: starts the wait for the old owners' grants, which expire within
 * GRANT_MS of NOW. */
void settle_start_grant_wait (place_t *self, msec_t now);

/* Assigns the slots whose old owner's grant has ended to their next owner, in the
 * candidate.  Returns whether there were any. */
bool settle_finish_moves (place_t *self, msec_t now, GArray *out);
