#pragma once

#include "keys.h"

/*
 * KEY_PLAN: which target should own which keys.
 *
 * Loads that it answers: a first even split; targets that join with nothing;
 * hot keys that lie close together and shift within seconds.  Moves cost warm
 * caches and are few: a run is cut only where it carries far more than the
 * mean, and only the part that evens the load moves.
 */

/* Splits all keys evenly among the usable targets. */
void key_plan_first (const keys_t *keys, key_service_t *self);

/* The usable target with the least load for a run that lost its owner; false: none. */
bool key_plan_owner (const keys_t *keys, const key_service_t *self, name_t *owner);

/* Marks runs that should move, cut to size. */
void key_plan_moves (const keys_t *keys, key_service_t *self, msec_t now);

/* Whether TARGET may be given keys of the service. */
bool key_plan_usable (const target_entry_t *target, const key_service_t *self);

/* Puts targets in the order in which key_plan_find looks for them. */
void key_plan_sort (GArray *targets);

const target_entry_t *key_plan_find (const keys_t *keys, const name_t *id);

/* Takes a run back from its owner, for NEXT, or for whoever is least loaded then. */
void key_plan_take_back (key_span_t *span, const name_t *next);
