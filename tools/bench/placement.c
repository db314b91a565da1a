#include "../../packages/core/rng.h"
#include "../../packages/place/plan.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * PLACEMENT: the place duty's plan beside baselines of our own.
 *
 * Keys are asked for by Zipf's law; every phase other keys are the hot ones.
 * After each shift a way has 10 rounds of 1 s.  Then one target joins, then
 * one leaves.  Imbalance is the highest to the mean load; churn of a join or
 * leave is slots moved to the least possible.
 */

#define RANKS 1000000
#define SHIFTS 12
#define ROUNDS_A_SHIFT 10
#define RING_POINTS 64
#define RING_SLACK 1.25
#define LOAD_SUM 4000000.0

typedef struct
{
  place_t place;
  name_t service;
  double loads[SLOT_COUNT];
  int owners[SLOT_COUNT];
  bool live[TARGET_MAX];
  int n;
  GArray *out;
} world_t;

/* One round of a way of placing: changes world->owners. */
typedef struct
{
  const char *name;
  void (*round) (world_t *world);
} way_t;

static uint64_t
hash_pair (uint64_t a, uint64_t b)
{
  rng_t rng;

  rng_init (&rng, a * 0x9e3779b97f4a7c15u + b);
  return rng_next (&rng);
}

static void
set_loads (world_t *world, uint64_t phase, double exponent)
{
  double sum = 0;

  memset (world->loads, 0, sizeof world->loads);
  for (uint64_t rank = 1; rank <= RANKS; rank++)
    {
      double load = pow ((double)rank, -exponent);
      world->loads[hash_pair (rank, phase) % SLOT_COUNT] += load;
      sum += load;
    }
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    world->loads[s] *= LOAD_SUM / sum;
}

static void
round_plan (world_t *world)
{
  place_t *place = &world->place;

  place->table = place->next;
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    {
      place->loads[0][s] = (uint32_t)world->loads[s];
      slot_t *slot = &place->next.slots[0][s];
      if (slot->next != NOBODY)
        *slot = (slot_t){ slot->next, NOBODY, 0 };
    }
  for (int t = 0; t < TARGET_MAX; t++)
    place->next.targets[t].state = world->live[t] ? TARGET_LIVE : TARGET_LEAVING;
  plan_repairs (place, 0, &world->service, world->out);
  plan_balance (place, 0, &world->service, world->out);
  g_array_set_size (world->out, 0);
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    {
      const slot_t *slot = &place->next.slots[0][s];
      world->owners[s] = slot->next != NOBODY ? slot->next : slot->owner;
    }
}

/* The I-th live target. */
static int
live_at (const world_t *world, int i)
{
  for (int t = 0; t < TARGET_MAX; t++)
    if (world->live[t] && i-- == 0)
      return t;
  return 0;
}

static void
round_plain (world_t *world)
{
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    world->owners[s] = live_at (world, (int)(hash_pair (s, 1) % (uint64_t)world->n));
}

static void
round_rendezvous (world_t *world)
{
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    {
      uint64_t best = 0;
      for (int t = 0; t < TARGET_MAX; t++)
        if (world->live[t] && hash_pair (s, 100 + (uint64_t)t) >= best)
          {
            best = hash_pair (s, 100 + (uint64_t)t);
            world->owners[s] = t;
          }
    }
}

typedef struct
{
  uint64_t at;
  int target;
} ring_point_t;

static int
compare_points (const void *a, const void *b)
{
  uint64_t x = ((const ring_point_t *)a)->at;
  uint64_t y = ((const ring_point_t *)b)->at;

  return x < y ? -1 : x > y;
}

static size_t
first_at_or_after (const ring_point_t *ring, size_t n, uint64_t at)
{
  size_t low = 0, high = n;

  while (low < high)
    {
      size_t middle = (low + high) / 2;
      if (ring[middle].at < at)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
round_ring (world_t *world)
{
  static ring_point_t ring[TARGET_MAX * RING_POINTS];
  double sums[TARGET_MAX] = { 0 };
  size_t n = 0;

  for (int t = 0; t < TARGET_MAX; t++)
    for (uint64_t p = 0; world->live[t] && p < RING_POINTS; p++)
      ring[n++] = (ring_point_t){ hash_pair ((uint64_t)t, 7000 + p), t };
  qsort (ring, n, sizeof *ring, compare_points);
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    {
      size_t i = first_at_or_after (ring, n, hash_pair (s, 3));
      double room = MAX (RING_SLACK * LOAD_SUM / world->n, world->loads[s]);
      for (size_t tries = 0; tries < n; tries++, i++)
        if (sums[ring[i % n].target] + world->loads[s] <= room)
          break;
      world->owners[s] = ring[i % n].target;
      sums[world->owners[s]] += world->loads[s];
    }
}

static int
compare_slots (const void *a, const void *b, void *context)
{
  const double *loads = context;
  double x = loads[*(const int *)a];
  double y = loads[*(const int *)b];

  return x > y ? -1 : x < y;
}

/* Heaviest first to the least loaded, from nothing, each round. */
static void
round_greedy (world_t *world)
{
  static int order[SLOT_COUNT];
  double sums[TARGET_MAX] = { 0 };

  for (int s = 0; s < SLOT_COUNT; s++)
    order[s] = s;
  qsort_r (order, SLOT_COUNT, sizeof *order, compare_slots, world->loads);
  for (int i = 0; i < SLOT_COUNT; i++)
    {
      int best = -1;
      for (int t = 0; t < TARGET_MAX; t++)
        if (world->live[t] && (best < 0 || sums[t] < sums[best]))
          best = t;
      world->owners[order[i]] = best;
      sums[best] += world->loads[order[i]];
    }
}

static const way_t ways[] = {
  { "plan (ours)", round_plan },
  { "plain hashing", round_plain },
  { "rendezvous hashing", round_rendezvous },
  { "bounded-load ring", round_ring },
  { "greedy rebalancing", round_greedy },
};

static double
imbalance (const world_t *world)
{
  double sums[TARGET_MAX] = { 0 };
  double highest = 0;

  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    sums[world->owners[s]] += world->loads[s];
  for (int t = 0; t < TARGET_MAX; t++)
    highest = MAX (highest, sums[t]);
  return highest * world->n / LOAD_SUM;
}

/* What no way can be below: a slot isn't divisible. */
static double
least_imbalance (const world_t *world)
{
  double heaviest = 0;

  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    heaviest = MAX (heaviest, world->loads[s]);
  return MAX (heaviest * world->n / LOAD_SUM, 1.0);
}

static int
count_moved (const world_t *world, const int *before)
{
  int n = 0;

  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    n += world->owners[s] != before[s];
  return n;
}

static int
play (world_t *world, const way_t *way, int rounds)
{
  int before[SLOT_COUNT];
  int moved = 0;

  for (int i = 0; i < rounds; i++)
    {
      memcpy (before, world->owners, sizeof before);
      way->round (world);
      moved += count_moved (world, before);
    }
  return moved;
}

static void
start (world_t *world, int n)
{
  table_t *table = &world->place.next;

  table_init (table);
  name_set (&world->service, TEXT ("keyed"));
  table->n_targets = TARGET_MAX;
  for (int t = 0; t < TARGET_MAX; t++)
    {
      table->targets[t].service = world->service;
      world->live[t] = t < n;
    }
  world->n = n;
  world->place.config.weight_imbalance = 4;
  world->place.config.weight_churn = 4;
}

static void
measure (const way_t *way, int n, double exponent)
{
  world_t *world = g_new0 (world_t, 1);
  double sum = 0, worst = 0, least = 0;
  int moved = 0;

  world->out = g_array_new (FALSE, FALSE, sizeof (place_out_t));
  start (world, n);
  set_loads (world, 0, exponent);
  play (world, way, 60);
  for (uint64_t phase = 1; phase <= SHIFTS; phase++)
    {
      set_loads (world, phase, exponent);
      moved += play (world, way, ROUNDS_A_SHIFT);
      sum += imbalance (world);
      worst = MAX (worst, imbalance (world));
      least += least_imbalance (world);
    }
  play (world, way, 60);
  world->live[n] = true;
  world->n = n + 1;
  int joined = play (world, way, 60);
  int owned = 0;
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    owned += world->owners[s] == 0;
  world->live[0] = false;
  world->n = n;
  int left = play (world, way, 60);
  printf ("| %d | %.1f | %s | %.3f | %.3f | %.3f | %.0f | %.2f | %.2f |\n",
          n,
          exponent,
          way->name,
          sum / SHIFTS,
          worst,
          least / SHIFTS,
          (double)moved / SHIFTS,
          (double)joined * (n + 1) / SLOT_COUNT,
          owned > 0 ? (double)left / owned : 0.0);
  g_array_unref (world->out);
  g_free (world);
}

int
main (int argc, char **argv)
{
  static const double exponents[] = { 0.6, 0.9 };
  int n = argc > 1 ? atoi (argv[1]) : 15;

  if (n < 1 || n + 1 > TARGET_MAX)
    return 2;
  for (size_t e = 0; e < G_N_ELEMENTS (exponents); e++)
    for (size_t i = 0; i < G_N_ELEMENTS (ways); i++)
      measure (&ways[i], n, exponents[e]);
  return 0;
}
