#pragma once

#include "../core/msclock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * VACANCY: whether a row of the granter's role that is of an earlier history of the store
 * may be replaced.
 *
 * Decision logic without I/O.  The store has come back from an older copy, or performed a
 * write of before only then.  Such a row doesn't tell who held the role last, and another
 * host may hold it by a row that was lost.  Its lease ends ROLE_LEASE_MS after the loss
 * at the latest, or it writes the row again: one that has stood unchanged for that long
 * names no holder.
 */

typedef struct
{
  uint64_t version; /* of the row; its era's, and number 0, if there is none */
  msec_t since;     /* when it was first read */
  bool watched;     /* a row has been read */
} vacancy_t;

/* The row was read at NOW, and has VERSION.  Returns how long it has been certain that
 * nobody holds the role (ms); negative: it will be after as long. */
msec_t vacancy_note (vacancy_t *self, uint64_t version, msec_t now);
