#pragma once

#include <stdint.h>

/*
 * MSCLOCK: the time in milliseconds.
 *
 * msec_t is a point on a monotonic clock or a span between two.  Points of
 * different processes can't be compared.  Decision parts never read a clock;
 * they are told the time.
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
  msec_t set;
};

/* A clock that follows CLOCK_MONOTONIC, which goes on while a process is stopped. */
void msclock_init_real (msclock_t *self);

/* A clock that follows CLOCK_BOOTTIME, which also goes on while the machine is suspended.
 */
void msclock_init_boot (msclock_t *self);

/* A clock that stands still until msclock_set moves it. */
void msclock_init_settable (msclock_t *self, msec_t start);
void msclock_set (msclock_t *self, msec_t now);

msec_t msclock_now (const msclock_t *self);
