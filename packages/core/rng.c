#include "rng.h"

void
rng_init (rng_t *self, uint64_t seed)
{
  self->state = seed;
}

uint64_t
rng_next (rng_t *self)
{
  self->state += 0x9e3779b97f4a7c15u;
  uint64_t z = self->state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

uint64_t
rng_below (rng_t *self, uint64_t bound)
{
  return bound == 0 ? 0 : rng_next (self) % bound;
}
