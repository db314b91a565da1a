#pragma once

#include "dispatch.h"

/*
 * LOSSES: requests that may have crashed the target that ran them.
 *
 * A request whose connection broke before an answer is remembered with its
 * target.  If that target turns out to have ended, by a refused connection, a
 * new life or an entry that is gone, the request was in flight at its end and
 * is told to all hosts; SUSPECT says which of these are condemned.  A broken
 * connection alone proves nothing: answers are lost on the way as well.
 */

/* REQUEST was sent to TARGET and its connection broke before an answer. */
void
losses_note (dispatch_target_t *target, const dispatch_request_t *request, msec_t now);

/* TARGET has ended: what was lost there a short while ago is told in OUT. */
void
losses_confirm (dispatch_t *self, dispatch_target_t *target, msec_t now, GArray *out);

/* A target ran REQUEST and answered it: it crashes nothing. */
void losses_clear (dispatch_t *self,
                   const dispatch_request_t *request,
                   msec_t now,
                   GArray *out);

/* Another host tells of a loss or of an answer. */
void losses_hear (dispatch_t *self, const suspect_out_t *told, msec_t now);

/* Whether REQUEST crashes each target that runs it. */
bool losses_is_condemned (const dispatch_t *self,
                          const dispatch_request_t *request,
                          msec_t now);
