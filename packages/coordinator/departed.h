#pragma once

#include "../core/msclock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * DEPARTED: processes of targets that left and whose rows are gone.
 *
 * Decision logic without I/O.  A store that comes back from an older copy may list them
 * as they were; leaving is final for a process.  Remembered for DEPARTED_KEEP_MS, longer
 * than a copy is old.  Times are in ms, on one clock.
 */

typedef struct
{
  GHashTable *by_id; /* char * to departure_t */
} departed_t;

void departed_init (departed_t *self);
void departed_finish (departed_t *self);

/* The process of target ID that started at STARTED_AT left; its last row was of ERA. */
void departed_note (
    departed_t *self, const char *id, uint64_t started_at, uint64_t era, msec_t now);

/* Whether a row of ERA that lists the process of target ID is of before it left. */
bool
departed_has (const departed_t *self, const char *id, uint64_t started_at, uint64_t era);

/* Forgets what was noted long ago. */
void departed_step (departed_t *self, msec_t now);
