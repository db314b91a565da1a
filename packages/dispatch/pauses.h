#pragma once

#include "../core/msclock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * PAUSES: times for which a target has asked this host for no requests.
 *
 * Several requests may be at the target when it asks; each of its answers counts, and the
 * pause lasts until the latest end.  After it the target gets one request; each answer to
 * a request sent since then allows one more at the same time, until the limit no longer
 * matters.
 *
 * Decision logic without I/O.  Times are in ms on one clock.
 */

/* Why a statement was not taken literally. */
typedef enum
{
  PAUSE_AS_STATED,
  PAUSE_UNREADABLE, /* neither a number of at least 0 nor a date: it counts as none */
  PAUSE_TOO_LONG,   /* reduced to DISPATCH_PAUSE_MAX_MS */
  PAUSE_REPEATED,   /* given several times with different values: the longest counts */
} pause_exception_t;

/* What a response states. */
typedef struct
{
  bool stated;
  msec_t duration; /* 0 to DISPATCH_PAUSE_MAX_MS */
  pause_exception_t exception;
} pause_statement_t;

/* One target's pause. */
typedef struct
{
  msec_t since; /* start of the last pause; 0: there was none */
  msec_t until;
  uint32_t allowed;   /* requests that may be there at a time after it; 0: any number */
  uint32_t in_flight; /* requests there that were sent after it */
  bool resumed;       /* one was sent after it */
} pause_t;

/* A response stated DURATION.  Returns whether a pause begins now. */
bool pause_state (pause_t *self, msec_t duration, msec_t now);

bool pause_is_active (const pause_t *self, msec_t now);

/* Whether one more request may be sent.  False while the pause is active. */
bool pause_admits (const pause_t *self, msec_t now);

/* A request is sent.  Returns whether it is the first one after a pause. */
bool pause_sent (pause_t *self);

/* A request that was sent at SENT_AT is no longer at the target. */
void pause_released (pause_t *self, msec_t sent_at);

/* The target ran a request that was sent at SENT_AT.  LIMIT: the number of requests at a
 * time from which on the pause is over. */
void pause_run (pause_t *self, msec_t sent_at, uint32_t limit);

/* The target had no capacity for a request, and stated no pause. */
void pause_rejected (pause_t *self);

/* The word for EXCEPTION in log lines. */
const char *pause_exception_name (pause_exception_t exception);
