#pragma once

#include "dispatch.h"

/*
 * REPEATS: whether and when a request is sent once more.
 *
 * Loads that it answers: targets that fail, lose answers or go silent, and keys
 * that are between owners.
 */

/* A failure that another target may do better, while there is time and budget. */
bool repeats_are_worth (dispatch_t *self, const dispatch_request_t *request, msec_t now);

/* How long to wait for a key's next owner: a newer table than the one that named the last
 * one is tried at once, or when it comes. */
msec_t repeats_pause (const dispatch_t *self, const dispatch_request_t *request);

/* Whether the answer is taken for lost, and a send to another target promises more. */
bool repeats_silent (dispatch_t *self, const dispatch_request_t *request, msec_t now);
