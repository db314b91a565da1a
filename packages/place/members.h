#pragma once

#include "place.h"

/*
 * MEMBERS: which hosts and targets belong in the table, by the platform's list,
 * which lags behind, and by hellos and answers of the hosts and targets themselves.
 */

place_host_t *members_find_host (place_t *self, const name_t *name);

/* Handle PLACE_HELLO and PLACE_TARGET_REPORT. */
void members_handle_hello (place_t *self, const place_msg_t *msg, msec_t now);
void members_handle_report (place_t *self, const place_msg_t *msg, msec_t now);

/* Update the hosts, with their witnesses, and the targets of the candidate.  Return
 * whether it changed. */
bool members_update_hosts (place_t *self, msec_t now);
bool members_update_targets (place_t *self, msec_t now);

/* Copies the witnesses of the current table to the candidate's previous_witnesses. */
void members_save_witnesses (place_t *self);
