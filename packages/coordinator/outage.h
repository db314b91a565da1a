#pragma once

#include "../core/msclock.h"

#include <stdbool.h>

/*
 * OUTAGE: when this host last lost the store, and when the store answered again.
 *
 * Decision logic on what all calls of the host, and the granter's updates, show.  Times
 * are in ms, on one clock.
 */

typedef struct
{
  bool lost;           /* nothing shows that the store answered since the last failure */
  msec_t lost_at;      /* the last failure */
  msec_t answered_at;  /* the latest time at which the store is known to have answered */
  msec_t recovered_at; /* the first such time after a failure; 0: none */
} outage_t;

/* A call that began at STARTED failed.  It shows nothing if the store is known to have
 * answered since then: it may have been lost before. */
void outage_note_failure (outage_t *self, msec_t started, msec_t now);

/* The store answered this host or the granter at the time AT. */
void outage_note_answer (outage_t *self, msec_t at);

/* The end of the last outage; NOW while it lasts, but not for longer than
 * STORE_RECOVERY_MS without another failure. */
msec_t outage_end (const outage_t *self, msec_t now);
