#pragma once

#include "../core/msclock.h"

#include <glib.h>

/*
 * ARRIVALS: when the bytes that wait in a buffer arrived.
 *
 * Decision logic without I/O.  A request that is parsed late has been waiting since its
 * first byte arrived.  Memory grows with the time that the oldest bytes wait, by an entry
 * per ARRIVALS_MERGE_MS at most.
 */

typedef struct
{
  GQueue marks;   /* arrival_t, the oldest first */
  uint64_t taken; /* bytes that have left the buffer, from the connection's start */
} arrivals_t;

void arrivals_init (arrivals_t *self);
void arrivals_finish (arrivals_t *self);

/* HELD bytes are in the buffer at NOW; those that no call has told of arrived just now.
 */
void arrivals_note (arrivals_t *self, size_t held, msec_t now);

/* COUNT bytes have left the buffer. */
void arrivals_take (arrivals_t *self, size_t count);

/* When the next byte of the buffer arrived; NOW if none is known. */
msec_t arrivals_next (const arrivals_t *self, msec_t now);
