#pragma once

#include <glib.h>
#include <stdint.h>

/*
 * EVENTLOG: structured log, one line per decision.  The log of `chicorywood route`;
 * that of `chicorywood` is in log.h.
 *
 * Format: "ts=SECONDS part=PART event=EVENT key=value ...".  Values without
 * spaces are not quoted.  Lines are buffered, and eventlog_flush writes them
 * without blocking.  When the reader is blocked and the buffer is full, lines
 * are dropped and counted, and a later line (event=lost) gives their number.
 *
 * Lines of requests are limited to EVENTLOG_ROUTINE_PER_S and
 * EVENTLOG_FAILURES_PER_S; a line of its own (event=suppressed) gives the number
 * of those left out.  State lines are limited by the buffer alone, of which
 * EVENTLOG_STATE_RESERVE_BYTES are theirs.  All functions can be called from any
 * task, except eventlog_open, which is called before the first task starts.
 */

typedef enum
{
  EVENT_ROUTINE, /* a request was answered */
  EVENT_FAILURE, /* a request was refused, failed or was retried */
  EVENT_STATE,   /* the process starts, stops or changes its state */
} event_class_t;

/* Sets the descriptor for all lines and makes it non-blocking.  Before this call lines
 * are discarded. */
void eventlog_open (int fd);

void eventlog_write (event_class_t class,
                     const char *part,
                     const char *event,
                     const char *format,
                     ...) G_GNUC_PRINTF (4, 5);

/* Writes as many buffered bytes as the descriptor accepts without blocking. */
void eventlog_flush (void);

/* Number of lines dropped since the start because the buffer was full. */
uint64_t eventlog_dropped_lines (void);
