#pragma once

#include <stdint.h>

/* RNG: pseudo-random numbers from a seed (splitmix64), so that runs are reproducible. */

typedef struct
{
  uint64_t state;
} rng_t;

void rng_init (rng_t *self, uint64_t seed);
uint64_t rng_next (rng_t *self);

/* Returns a number from 0 to BOUND - 1; 0 if BOUND is 0. */
uint64_t rng_below (rng_t *self, uint64_t bound);
