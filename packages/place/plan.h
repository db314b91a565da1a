#pragma once

#include "place.h"

/*
 * PLAN: chooses owners for slots, by their load and the configured weights.
 *
 * Works on the candidate table and appends PLACE_LOG_MOVE to OUT for each change.
 * plan_repairs and plan_balance return whether anything changed.
 */

/* Assigns unowned slots, and withdraws those of targets that are leaving or lost. */
bool plan_repairs (place_t *self, uint32_t keyed, const name_t *service, GArray *out);

/* Withdraws slots from the most loaded target, to be assigned to the least loaded, at
 * most PLACE_MOVES_PER_ROUND of them. */
bool plan_balance (place_t *self, uint32_t keyed, const name_t *service, GArray *out);

/* Appends PLACE_LOG_MOVE to OUT: the slot moves between targets FROM and TO. */
void plan_log_move (
    GArray *out, uint32_t keyed, uint32_t slot, int from, int to, move_reason_t reason);
