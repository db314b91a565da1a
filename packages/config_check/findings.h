#pragma once

#include "../core/text.h"

#include <glib.h>

/*
 * FINDINGS: what a check of a configuration found.
 *
 * Plain data.  Each finding names its place in the operator's own words: the entry, and
 * the field by the name that the deployment gives it.
 */

typedef enum
{
  FINDING_CHANGE,  /* a difference from the version in force */
  FINDING_WARNING, /* it takes effect, but hardly as intended */
  FINDING_ERROR,   /* an entry can't be read, or none of its requests can be served */
  FINDING_SEVERITIES
} finding_severity_t;

typedef enum
{
  FIELD_NONE, /* the entry as a whole */
  FIELD_VERSION,
  FIELD_NAME,
  FIELD_HOST,
  FIELD_PREFIX,
  FIELD_KIND,
  FIELD_TIMEOUT,
  FIELD_OBJECTIVE,
  FIELD_PRIORITY,
  FIELD_MAX_EXECUTIONS,
  FIELD_SHARES,  /* services with weights */
  FIELD_SERVICE, /* the only service of a route */
  FIELD_KEYED,
  FIELD_MAX_CONNECTIONS,
  FIELD_WARM_UP,
  FIELD_COLD_TIME,
  FIELD_COLD_RATE,
  FIELD_MAX_HEAD_BYTES,
  FIELD_MAX_BODY_BYTES,
  FIELD_HEAD_TIMEOUT,
  FIELD_IDLE_TIMEOUT,
  FINDING_FIELDS
} finding_field_t;

typedef struct
{
  finding_severity_t severity;
  text_t place; /* such as "route r-1 timeout_ms" */
  text_t why;
} finding_t;

typedef struct
{
  const text_t *field_names; /* by finding_field_t */
  GArray *list;              /* finding_t, in the order in which they were found */
  GStringChunk *texts;       /* owns the bytes of all text_t in the list */
} findings_t;

/* FIELD_NAMES are the deployment's, and outlive SELF. */
void findings_init (findings_t *self, const text_t *field_names);
void findings_finish (findings_t *self);

/* Appends a finding on FIELD of the entry NAME; ENTRY is its kind, such as "route".  NAME
 * may be empty. */
void findings_add (findings_t *self,
                   finding_severity_t severity,
                   const char *entry,
                   text_t name,
                   finding_field_t field,
                   const char *format,
                   ...) G_GNUC_PRINTF (6, 7);

/* The number of findings of SEVERITY. */
uint32_t findings_count (const findings_t *self, finding_severity_t severity);

/* Returns the lower-case name of SEVERITY. */
const char *finding_severity_name (finding_severity_t severity);
