#pragma once

#include "dispatch.h"

/*
 * LOSSES: detects requests that may have crashed the target that ran them.
 *
 * A request whose connection broke before a response is recorded with its target.  If
 * the target is then found to have exited (its address refuses connections, it has
 * restarted, or its entry is gone), the request was in flight when it exited and is
 * reported to all hosts.  The suspect package decides which of these requests are
 * blocked.  A broken connection alone proves nothing: responses are also lost in
 * transit.
 */

/* Records that the connection to TARGET broke before REQUEST was answered. */
void
losses_record (dispatch_target_t *target, const dispatch_request_t *request, msec_t now);

/* TARGET has exited: appends to OUT reports of the requests whose connections to it broke
 * within the last DISPATCH_LOSS_MAX_AGE_MS. */
void
losses_confirm (dispatch_t *self, dispatch_target_t *target, msec_t now, GArray *out);

/* A target ran REQUEST and answered it, so the request does not crash targets. */
void losses_clear (dispatch_t *self,
                   const dispatch_request_t *request,
                   msec_t now,
                   GArray *out);

/* Applies another host's report that a request was lost with its target, or answered. */
void losses_apply_remote (dispatch_t *self, const suspect_out_t *report, msec_t now);

/* Whether REQUEST is blocked because it crashes targets. */
bool
losses_is_blocked (const dispatch_t *self, const dispatch_request_t *request, msec_t now);
