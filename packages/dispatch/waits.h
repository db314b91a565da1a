#pragma once

#include "dispatch.h"

/*
 * WAITS: how long a request waits, for what, and when its caller may come back.
 *
 * Loads that it answers: bursts, where waiting long only delays a refusal, and
 * targets that lose answers.
 */

/* When a caller may come back: spread over the time within which it still may. */
msec_t waits_return (dispatch_t *self, const dispatch_request_t *request, msec_t now);

/* An answer that doesn't come until then is taken for lost, if another target is free. */
msec_t
waits_silent_from (const dispatch_t *self, const dispatch_request_t *request, msec_t now);

/* The last moment at which an answer is waited for. */
msec_t waits_last_answer (const dispatch_request_t *request);

/* When a request that was sent is looked at again. */
msec_t
waits_next_look (const dispatch_t *self, const dispatch_request_t *request, msec_t now);

/* The latest time at which a request that waits for REASON is given up. */
msec_t waits_patience (const dispatch_t *self,
                       const dispatch_request_t *request,
                       dispatch_reason_t reason);

/* Whether the work on a request that begins now can't end by its deadline. */
bool
waits_is_hopeless (const dispatch_t *self, const dispatch_request_t *request, msec_t now);

/* The owner whose room REQUEST waits for is now OWNER, or -1. */
void waits_at (dispatch_t *self, dispatch_request_t *request, int32_t owner);

/*
 * Whether a request that finds no room at its key's owner would wait in vain: the last
 * one did, and another waits to see whether that has changed.
 */
bool
waits_in_vain (const dispatch_t *self, const dispatch_request_t *request, int32_t owner);
