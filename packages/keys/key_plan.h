#pragma once

#include "keys.h"

/*
 * KEY_PLAN: decides which target should own which keys.
 *
 * Makes the initial even split, gives keys to targets that join, and spreads hot keys
 * that lie close together and shift within seconds.  A move costs warm caches, so moves
 * are few: a range is split only if it carries far more than the mean load, and only the
 * part that evens the load moves.
 */

/* Splits all keys evenly among the eligible targets that aren't cold, or all of them. */
void key_plan_initial (const keys_t *keys, key_service_t *self);

/* Sets OWNER to the eligible target with the least load, weighted by its time per
 * request; false if there is none. */
bool key_plan_least_loaded (const keys_t *keys, const key_service_t *self, name_t *owner);

/* Splits ranges as needed and revokes those that should move. */
void key_plan_rebalance (const keys_t *keys, key_service_t *self, msec_t now);

/* Whether TARGET may be given keys of the service; TARGET may be NULL. */
bool key_plan_is_eligible (const target_entry_t *target, const key_service_t *self);

/* Whether TARGET, which may be NULL, is to be given keys now: it is eligible, and not
 * cold while one that isn't is eligible too. */
bool key_plan_is_receiver (const keys_t *keys,
                           const key_service_t *self,
                           const target_entry_t *target);

/* Sorts targets by id, as key_plan_find_target requires. */
void key_plan_sort_targets (GArray *targets);

/* The listed target with this id, or NULL. */
const target_entry_t *key_plan_find_target (const keys_t *keys, const name_t *id);

/* Starts to revoke a range for NEXT; if NULL, for the least loaded target at that time.
 */
void key_plan_revoke (key_range_state_t *range, const name_t *next);
