#pragma once

#include <stdint.h>

/*
 * MSCLOCK: monotonic clocks in milliseconds.
 *
 * msec_t is a time on a monotonic clock, or a duration.  Times of different
 * processes can't be compared.  Modules that make decisions never read a
 * clock; the time is passed to them.
 */

typedef int64_t msec_t;

#define MSEC_NEVER INT64_MAX

typedef struct msclock msclock_t;

typedef struct
{
  msec_t (*now) (const msclock_t *self);
} msclock_ops_t;

struct msclock
{
  const msclock_ops_t *ops;
  msec_t now; /* of a settable clock */
};

/* Uses CLOCK_MONOTONIC, which continues while the process is stopped. */
void msclock_init_real (msclock_t *self);

/* Uses CLOCK_BOOTTIME, which also continues while the machine is suspended. */
void msclock_init_boot (msclock_t *self);

/* A clock for tests and simulations that changes only by msclock_set, which can't set it
 * back. */
void msclock_init_settable (msclock_t *self, msec_t start);
void msclock_set (msclock_t *self, msec_t now);

msec_t msclock_now (const msclock_t *self);
