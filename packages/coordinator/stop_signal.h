#pragma once

#include "../core/msclock.h"

#include <event2/event.h>
#include <stdbool.h>

/*
 * STOP_SIGNAL: SIGTERM and SIGINT, and when the first of them arrived.
 *
 * A task that is busy handles a signal late, while the time until SIGKILL runs.  The time
 * is taken as the signal is delivered, on any thread, and the task hears of it through an
 * eventfd.  One per process, as signals are the process's.
 */

/* SIGNALLED_AT: on the clock of g_get_monotonic_time, in ms. */
typedef void (*stop_signal_t) (void *owner, int signal, msec_t signalled_at);

/* Calls DONE in the event loop BASE at the first signal.  False if no eventfd can be
 * created. */
bool stop_signal_init (struct event_base *base, stop_signal_t done, void *owner);

/* Ignores further signals, which must not kill a process that is about to exit. */
void stop_signal_finish (void);
