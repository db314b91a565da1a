#pragma once

#include "dispatch.h"

/*
 * OWNERS: which part of the requests for its keys an owner gets.
 *
 * Load: keys with several times the requests that their owner can end, from hosts of
 * which each has one every few seconds, at targets that swallow what they can't queue.
 *
 * Only the fleet sees such an owner: the granter's list has the requests for it from all
 * hosts, its work time and its mean load.  Each host sends the same part, so that all
 * together send what the owner can end, less while its queue is longer than the
 * objective bears, and somewhat more while it is shorter.  The rest is rejected at once
 * as not run.  Without a list of the granter all requests are sent.
 */

/* Per 1000 requests with OBJECTIVE ms. */
uint32_t
owners_part_permille (const dispatch_target_t *self, msec_t objective, msec_t now);

/* Counts REQUEST, which is for a key of SELF, and returns whether it is sent.  Asked
 * again, or for a retry, it counts no more. */
bool owners_take (dispatch_target_t *self, const dispatch_request_t *request, msec_t now);

/* The owner SELF did not answer REQUEST in time: it counts as full, and as at least so
 * slow that it couldn't end its queue meanwhile. */
void owners_note_unanswered (dispatch_target_t *self,
                             const dispatch_request_t *request,
                             msec_t now);
