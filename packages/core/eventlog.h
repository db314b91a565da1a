#pragma once

#include <glib.h>
#include <stdint.h>

/*
 * EVENTLOG: structured lines on standard output, one a decision.
 *
 * A line reads "ts=SECONDS part=PART event=EVENT key=value ...".  Values
 * without spaces stand bare.  Lines wait in a buffer that eventlog_flush
 * writes out without ever blocking: when the reader stands still, lines are
 * dropped and counted, and the next line that fits says how many.
 *
 * Lines of served requests are bounded in number for each second; how many
 * were left out stands in a line of its own.  Failures, refusals and changes
 * of what the process believes are bounded by the buffer alone.
 */

typedef enum
{
  EVENT_ROUTINE, /* a request that went well */
  EVENT_TROUBLE, /* a request that was refused, failed or was sent again */
  EVENT_BELIEF,  /* the process starts, stops, or believes something new */
} event_class_t;

/* Writes to descriptor FD, which is made non-blocking. */
void eventlog_open (int fd);

void eventlog_write (event_class_t class,
                     const char *part,
                     const char *event,
                     const char *format,
                     ...) G_GNUC_PRINTF (4, 5);

/* Writes out what the descriptor takes now. */
void eventlog_flush (void);

/* Lines lost to a reader that stands still, since the start. */
uint64_t eventlog_lost (void);
