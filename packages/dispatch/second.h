#pragma once

#include "dispatch.h"

/*
 * SECOND: a second attempt beside the first.
 *
 * Load: look-ups with an objective of a few times their work, at targets of which some
 * are several times slower for a moment.  An answer that is late by then is seldom in
 * time, while another target would answer in time.
 *
 * Only requests without a key that may be repeated, with a small answer, get one; only
 * where the hosts know the pace of targets, while another target has a free slot and can
 * answer within the objective, or within the deadline once the first is several work
 * times late, and within the retry budget.  The first good answer is
 * delivered and the other attempt cancelled.  A failed attempt ends; the other goes on.
 *
 * TARGET and SENT_AT of a request are of its newest attempt, OTHER_* of the one beside
 * it.
 */

/* When a second attempt is due; MSEC_NEVER: there will be none. */
msec_t
second_due_at (const dispatch_t *self, const dispatch_request_t *request, msec_t now);

/* The target for a second attempt now, or -1. */
int second_select (dispatch_t *self, dispatch_request_t *request, msec_t now);

/* The attempt in progress goes on beside a newer one. */
void second_put_beside (dispatch_request_t *request);

/* The event in MSG is of one of the attempts: that one becomes the newest. */
void second_focus (dispatch_request_t *request, const dispatch_msg_t *msg);

/* Makes the attempt beside the newest one, which has ended, the newest.  False if there
 * is none. */
bool second_continue (dispatch_request_t *request);
