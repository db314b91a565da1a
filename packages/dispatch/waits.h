#pragma once

#include "dispatch.h"

/*
 * WAITS: queue and response time limits of a request, and the Retry-After for its caller.
 *
 * Covers bursts, where a long wait only delays the rejection, and targets that lose
 * responses.
 */

/*
 * Random Retry-After in milliseconds: the shortest if only this host rejects the request,
 * because it stops.  If no target takes the request before EARLIEST, somewhat later than
 * that; else spread over the time in which the caller can still retry.
 */
msec_t waits_retry_after (dispatch_t *self,
                          const dispatch_request_t *request,
                          msec_t earliest,
                          msec_t now);

/* When a missing response is treated as lost, if another target has capacity. */
msec_t
waits_overdue_at (const dispatch_t *self, const dispatch_request_t *request, msec_t now);

/* When the wait for a response ends. */
msec_t waits_answer_deadline (const dispatch_request_t *request);

/* When a sent request is checked again. */
msec_t
waits_next_check (const dispatch_t *self, const dispatch_request_t *request, msec_t now);

/* When a request that is queued because of REASON is rejected at the latest. */
msec_t waits_queue_deadline (const dispatch_t *self,
                             const dispatch_request_t *request,
                             dispatch_reason_t reason);

/* Whether a request that starts now has less time until its deadline than half the
 * service's average service time. */
bool waits_cannot_finish (const dispatch_t *self,
                          const dispatch_request_t *request,
                          msec_t now);

/* Sets the key owner whose capacity REQUEST waits for, -1 for none. */
void waits_set_owner (dispatch_t *self, dispatch_request_t *request, int32_t owner);

/*
 * Whether to reject a new request for a key whose owner has no capacity: the last request
 * that was queued for it was not sent in time, and another stays queued to detect free
 * capacity.
 */
bool waits_owner_saturated (const dispatch_t *self,
                            const dispatch_request_t *request,
                            int32_t owner);
