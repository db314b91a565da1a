#pragma once

#include "dispatch.h"

/*
 * STOPS: which requests are still sent to targets while the process stops.
 *
 * What a target hasn't answered when the process ends is cut, and its caller can't know
 * whether it ran.  How long a target is expected to need doesn't bound how long it does:
 * its work may be longer than usual, and other hosts may have filled its queue.
 *
 * - A request whose deadline is before the end is always sent: no later answer counts.
 * - While callers may still be directed to this host, others are sent if one of the same
 *   service hasn't lately needed longer than what is left, and DISPATCH_STOP_FACTOR times
 *   the expected time isn't longer either.
 * - After that, requests come on connections that are still open only, and other hosts
 *   serve their callers.  Nothing is sent without a deadline before the end.
 */

/* The process stops, as MSG (DISPATCH_DRAIN) says. */
void stops_begin (dispatch_t *self, const dispatch_msg_t *msg);

/* Whether REQUEST may still be sent to any target. */
bool
stops_allow_any (const dispatch_t *self, const dispatch_request_t *request, msec_t now);

/* Whether REQUEST may be sent to a target that is expected to need EXPECTED ms. */
bool stops_allow (const dispatch_t *self,
                  const dispatch_request_t *request,
                  msec_t expected,
                  msec_t now);

/* REQUEST was answered, or given up, at ENDED_AT: its service needed as long as that
 * since it was sent. */
void stops_note (dispatch_t *self, const dispatch_request_t *request, msec_t ended_at);
