#pragma once

#include "../core/msclock.h"

/*
 * DRAIN_TIMES: when what ends as the process stops.  Decision logic without I/O; times
 * are in ms on one clock.
 */

typedef struct
{
  /* Until then requests are sent that may outlast the process. */
  msec_t unbounded_until;
  /* The platform has noticed that the host isn't ready: connections without a request are
   * closed. */
  msec_t callers_until;
  msec_t waits_until;   /* requests that wait for a target are rejected */
  msec_t answers_until; /* requests that targets haven't answered are given up */
  msec_t end;           /* all other connections are closed */
} drain_times_t;

/* The process is killed GRACE_S seconds after the signal, which arrived at SIGNALLED_AT.
 * The host isn't ready from NOTICED_AT on. */
drain_times_t drain_times (msec_t signalled_at, msec_t noticed_at, double grace_s);
