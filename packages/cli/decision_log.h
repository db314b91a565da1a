#pragma once

/* DECISION_LOG: finds the lines of a host's log that concern a request or a key. */

/* Prints the matching lines of FILE and returns a CLI exit code.  Matches REQUEST, the
 * number of a request, or if it is NULL the slot of KEY. */
int decision_log_explain (const char *file, const char *request, const char *key);
