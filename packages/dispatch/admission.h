#pragma once

#include "dispatch.h"

/*
 * ADMISSION: whether a target may get a request now, and when the next may be sent to it.
 *
 * The one decision on pauses, the back-off after failures, rate limits, connection shares
 * and capacity.  The selection of targets (targets.h) asks it for each candidate.
 */

/* In this order: of several targets, the last of their results says why a request isn't
 * sent. */
typedef enum
{
  ADMISSION_PAUSED,      /* it asked this host for no requests */
  ADMISSION_BACK_OFF,    /* a key's owner, and attempts failed */
  ADMISSION_STOPPING,    /* the process ends before it would end the request */
  ADMISSION_COLD,        /* it is cold, and all hosts send it as much as it bears */
  ADMISSION_RATE_LIMIT,  /* its rate limit did not admit the request */
  ADMISSION_NO_CAPACITY, /* it has no capacity, or is only resuming after a pause */
  ADMISSION_NOW,
} admission_t;

/* Whether TARGET may get REQUEST, as far as that is known without using its rate limit.
 */
admission_t admission_check (const dispatch_t *self,
                             const dispatch_request_t *request,
                             uint32_t target,
                             msec_t now);

/* Whether the rate limit of TARGET admits REQUEST; it is asked once per attempt.  A keyed
 * request has no other target, so that it may wait. */
bool admission_take (dispatch_t *self,
                     dispatch_request_t *request,
                     uint32_t target,
                     msec_t now);

/* REQUEST no longer waits for a rate limit, and gives back what it was admitted by. */
void admission_leave_rate (const dispatch_t *self, dispatch_request_t *request);

/* REQUEST is sent to the target that admitted it. */
void admission_use_rate (const dispatch_t *self, dispatch_request_t *request);

/* The earliest time at which TARGET may get a request; NOW unless it is paused.  The
 * back-off of an owner does not count: its keys may have another owner before that ends.
 */
msec_t admission_next (const dispatch_t *self, uint32_t target, msec_t now);

/* Whether MSG, DISPATCH_ANSWERED, asks for a pause: the target rejected the request, and
 * says for how long it wants no others. */
bool admission_states_pause (const dispatch_msg_t *msg);

/*
 * What changes the decision.  Each appends DISPATCH_TARGET_PAUSE and
 * DISPATCH_SERVICE_PAUSE to OUT when a pause begins or ends.
 */

/* A request was sent to TARGET. */
void admission_sent (dispatch_t *self, uint32_t target, msec_t now, GArray *out);

/* MSG, DISPATCH_ANSWERED, arrived. */
void
admission_answered (dispatch_t *self, const dispatch_msg_t *msg, msec_t now, GArray *out);

/* REQUEST ends with REASON_PAUSED. */
void admission_rejected (dispatch_t *self,
                         const dispatch_request_t *request,
                         msec_t now,
                         GArray *out);
