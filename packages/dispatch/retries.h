#pragma once

#include "dispatch.h"

/*
 * RETRIES: whether and when a request is retried.
 *
 * Covers targets that fail, lose responses or stop responding, and keys whose
 * ownership is moving.
 */

/* Whether to retry after a server error: another target may succeed, and time and retry
 * budget remain. */
bool
retries_after_error (dispatch_t *self, const dispatch_request_t *request, msec_t now);

/*
 * Delay in milliseconds before a keyed request is retried.  Short if a newer key table
 * than the one that named the last owner has arrived; otherwise longer, and cut short
 * when a newer table arrives.
 */
msec_t retries_delay (const dispatch_t *self, const dispatch_request_t *request);

/* Whether the response is overdue and another target is expected to answer before the
 * deadline. */
bool
retries_when_overdue (dispatch_t *self, const dispatch_request_t *request, msec_t now);
