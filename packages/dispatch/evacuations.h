#pragma once

#include "dispatch.h"

/*
 * EVACUATIONS: which targets get no requests because their data centre is emptied.
 *
 * What is under way there ends; nothing new is sent but requests for keys that a target
 * there owns, for part of the time in which the data centre has to be emptied, while
 * these keys move.
 */

/* EVACUATIONS (evacuation_t) lists all that are in force, their times on the clock of
 * NOW.  The targets of a data centre that is no longer among them may be cold. */
void evacuations_set (dispatch_t *self, const GArray *evacuations, msec_t now);

/* Whether the target's data centre is emptied. */
bool evacuations_cover (const dispatch_t *self, const dispatch_target_t *target);

/* The time after which the target gets no requests for keys that it owns either;
 * MSEC_NEVER: its data centre isn't emptied. */
msec_t evacuations_owner_until (const dispatch_t *self, const dispatch_target_t *target);

/* Whether all usable targets of SERVICE are in data centres that are emptied. */
bool evacuations_leave_none (const dispatch_t *self, uint32_t service);
