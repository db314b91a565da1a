#pragma once

#include <glib.h>

/*
 * LOG: one line per event, through GLib's structured logging.  The log of
 * `chicorywood`; that of `chicorywood route` is in eventlog.h.
 *
 * Format: "TIME LEVEL part: sentence.", where each module has its own prefix
 * as the part.  Standard error is block-buffered: log_flush writes the buffer,
 * and warnings and errors are written immediately.
 */

typedef enum
{
  LOG_ERRORS,
  LOG_WARNINGS,
  LOG_NOTES,
  LOG_DECISIONS,
} log_level_t;

/* Installs the GLib log writer.  Lines less severe than LEVEL are discarded. */
void log_init (log_level_t level);
void log_flush (void);

/* Returns whether decisions are logged, so that hot paths can skip formatting them. */
gboolean log_decisions_enabled (void);

void log_line (const char *prefix, log_level_t level, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

#define log_decision(prefix, ...)                                                        \
  G_STMT_START                                                                           \
  {                                                                                      \
    if (log_decisions_enabled ())                                                        \
      log_line ((prefix), LOG_DECISIONS, __VA_ARGS__);                                   \
  }                                                                                      \
  G_STMT_END
#define log_note(prefix, ...) log_line ((prefix), LOG_NOTES, __VA_ARGS__)
#define log_warning(prefix, ...) log_line ((prefix), LOG_WARNINGS, __VA_ARGS__)
#define log_error(prefix, ...) log_line ((prefix), LOG_ERRORS, __VA_ARGS__)
