#pragma once

#include "keys.h"

/*
 * KEY_RECALL: the ranges of a granter after the store has lost its latest commits.
 *
 * Part of keys, which has the rules.  A range whose owner isn't known for certain is
 * granted to nobody until all grants of earlier granters have expired, and keeps the
 * table of its service from being written, as a successor would trust that.
 */

/* The role ended, which was held until ROLE_END.  HOLD: the longest grant that this host
 * has stated.  What is remembered of an earlier tenure stays as it is if the table wasn't
 * read in this one. */
void key_recall_role_ended (key_service_t *self, msec_t role_end, msec_t hold);

/* Takes the ranges of the last tenure for this one, as far as their owners confirm them.
 * Grants of earlier granters last for PREDECESSOR_HOLD at most.  False if nothing is
 * remembered, or too long ago. */
bool key_recall_ranges (const keys_t *keys,
                        key_service_t *self,
                        msec_t predecessor_hold,
                        msec_t now);

/* RANGE may have been granted to any target until UNTIL. */
void key_recall_lose_owner (key_range_state_t *range, msec_t until, msec_t now);

/* The call of RANGE, which has to be confirmed, ended as KIND.  False if the owner has
 * not confirmed it, so that the range has none any more. */
bool key_recall_answered (const key_service_t *self,
                          key_range_state_t *range,
                          keys_msg_kind_t kind,
                          bool shared,
                          msec_t now);

/* Gives up owners that haven't confirmed their ranges in time. */
void key_recall_step (key_service_t *self, msec_t now);

/* Whether all ranges are known to have the owner that they name, or none. */
bool key_recall_is_complete (const key_service_t *self, msec_t now);
