#pragma once

#include "text.h"

#include <glib.h>

/*
 * FAULT: an error, as a status and a message for people.
 *
 * Every error of the program has one of these statuses.  fault_raise sets it
 * and returns the status, so that a function can end with
 * "return fault_raise (...)".
 */

typedef enum
{
  STATUS_OK,
  STATUS_USAGE,       /* invalid command line or call */
  STATUS_SETTINGS,    /* invalid settings file */
  STATUS_ANSWERS,     /* invalid answers to the questionnaire */
  STATUS_CONFIG,      /* a configuration is malformed or was edited manually */
  STATUS_DECODE,      /* malformed input */
  STATUS_IO,          /* a file or socket operation failed */
  STATUS_UNAVAILABLE, /* the platform is unreachable or down */
  STATUS_UNKNOWN,     /* a write may or may not have taken effect */
  STATUS_CONFLICT,    /* a transaction's condition was not met */
  STATUS_FULL,        /* a bounded queue or table is full */
} status_t;

typedef struct
{
  status_t status;
  size_t len;
  char message[FAULT_MAX_BYTES];
} fault_t;

void fault_clear (fault_t *self);
status_t fault_raise (fault_t *self, status_t status, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
text_t fault_text (const fault_t *self);

/* Returns the lower-case name of STATUS for logs and messages. */
const char *status_name (status_t status);
