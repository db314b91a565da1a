#pragma once

#include "dispatch.h"

/*
 * TARGETS: what one host knows of each target, and which it picks.
 *
 * Loads that it answers: targets of unequal speed, ones that start cold, shed,
 * fail part of their requests or can't be reached, and other hosts' requests
 * at the same targets.
 */

/*
 * Requests at the target: this host's and the others'.  The others' are known from the
 * target's last report, which counts less as it ages, and from what was usual before.
 */
uint32_t target_load (const dispatch_target_t *self, msec_t now);

/* The target's expected time for one more request, queueing included. */
msec_t target_expected (const dispatch_target_t *self, msec_t now);

/* Whether a request that should end by OBJECTIVE may be sent there now. */
bool target_has_room (const dispatch_target_t *self, msec_t objective, msec_t now);

void target_answered (dispatch_target_t *self,
                      const dispatch_request_t *request,
                      const dispatch_msg_t *msg,
                      msec_t now);
void target_failed (dispatch_target_t *self, const dispatch_msg_t *msg, msec_t now);

/* No answer came, though there was a connection. */
void target_silent (dispatch_target_t *self, msec_t now);

/* Takes over the entries of all listed targets; those gone are told in OUT. */
void targets_update (dispatch_t *self, const GArray *entries, msec_t now, GArray *out);

/*
 * The best target of an undivided service for REQUEST, or -1.  *REASON then
 * says whether there is none or only none with room.
 */
int targets_pick (dispatch_t *self,
                  const dispatch_request_t *request,
                  msec_t now,
                  dispatch_reason_t *reason);

/* The owner says that it doesn't hold the request's key: it isn't asked for a while. */
void targets_denied (dispatch_t *self, const dispatch_request_t *request, msec_t now);

/*
 * The owner of the request's key, or -1.  *REASON is REASON_OVERLOAD if it only has no
 * room; *OWNER is the owner then, else -1.
 */
int targets_owner (dispatch_t *self,
                   dispatch_request_t *request,
                   msec_t now,
                   int32_t *owner,
                   dispatch_reason_t *reason);
