#pragma once

#include "../lease/lease.h"
#include "../place/place.h"

#include <stdio.h>

/*
 * TRACE: records and replays the messages of a module of decision logic.
 *
 * A trace is a file of JSON lines: a header with the module's name and initial
 * parameters, then each input message with its time, followed by the outputs it caused.
 * A replay initializes the module from the header, passes it the inputs and compares its
 * outputs with the recorded ones.
 */

typedef struct
{
  FILE *file; /* NULL: recording is off */
} trace_t;

/* Creates or overwrites the trace file PATH and writes its header.  STATUS_IO. */
status_t trace_open_lease (
    trace_t *self, const char *path, const host_id_t *host, msec_t start, fault_t *fault);
status_t trace_open_place (
    trace_t *self, const char *path, const host_t *host, msec_t start, fault_t *fault);
void trace_finish (trace_t *self);

/* Records MSG, handled at time NOW, and its outputs: the elements of OUT from index FROM
 * on.  Does nothing if recording is off. */
void trace_record_lease (
    trace_t *self, const lease_msg_t *msg, msec_t now, const GArray *out, guint from);
void trace_record_place (
    trace_t *self, const place_msg_t *msg, msec_t now, const GArray *out, guint from);

typedef struct
{
  uint64_t inputs;
  uint64_t outputs;
  uint64_t first_difference; /* line number, or 0 if all outputs are equal */
} trace_result_t;

/* Replays the trace file PATH.  STATUS_IO; STATUS_DECODE with the line number in FAULT.
 */
status_t trace_replay (const char *path, trace_result_t *result, fault_t *fault);
