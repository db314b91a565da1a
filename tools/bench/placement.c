#include "../../packages/core/rng.h"
#include "../../packages/place/plan.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * PLACEMENT: compares the placement planner with other placement policies.
 *
 * Key popularity follows Zipf's law, and in each phase other keys are the popular ones.
 * After each shift of the load a policy has 10 rounds of 1 s.  Then one target joins,
 * then one leaves.  Imbalance is the highest load of a target divided by the mean; churn
 * of a join or leave is the number of moved slots divided by the least possible number.
 */

#define RANKS 1000000
#define SHIFTS 12
#define ROUNDS_PER_SHIFT 10
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
  GArray *effects;
} cluster_t;

/* A placement policy; `round` runs one round of it and updates cluster->owners. */
typedef struct
{
  const char *name;
  void (*round) (cluster_t *cluster);
} policy_t;

static uint64_t
hash_pair (uint64_t a, uint64_t b)
{
  rng_t rng;

  rng_init (&rng, a * 0x9e3779b97f4a7c15u + b);
  return rng_next (&rng);
}

static void
set_loads (cluster_t *cluster, uint64_t phase, double exponent)
{
  double sum = 0;

  memset (cluster->loads, 0, sizeof cluster->loads);
  for (uint64_t rank = 1; rank <= RANKS; rank++)
    {
      double load = pow ((double)rank, -exponent);
      cluster->loads[hash_pair (rank, phase) % SLOT_COUNT] += load;
      sum += load;
    }
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    cluster->loads[s] *= LOAD_SUM / sum;
}

static void
round_plan (cluster_t *cluster)
{
  place_t *place = &cluster->place;

  place->table = place->candidate;
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    {
      place->loads[0][s] = (uint32_t)cluster->loads[s];
      slot_t *slot = &place->candidate.slots[0][s];
      if (slot->next != INDEX_NONE)
        *slot = (slot_t){ slot->next, INDEX_NONE, 0 };
    }
  for (int t = 0; t < TARGET_MAX; t++)
    place->candidate.targets[t].state = cluster->live[t] ? TARGET_LIVE : TARGET_LEAVING;
  plan_repairs (place, 0, &cluster->service, cluster->effects);
  plan_balance (place, 0, &cluster->service, cluster->effects);
  g_array_set_size (cluster->effects, 0);
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    {
      const slot_t *slot = &place->candidate.slots[0][s];
      cluster->owners[s] = slot->next != INDEX_NONE ? slot->next : slot->owner;
    }
}

/* The I-th live target, counted from 0. */
static int
nth_live (const cluster_t *cluster, int i)
{
  for (int t = 0; t < TARGET_MAX; t++)
    if (cluster->live[t] && i-- == 0)
      return t;
  return 0;
}

static void
round_plain_hashing (cluster_t *cluster)
{
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    cluster->owners[s]
        = nth_live (cluster, (int)(hash_pair (s, 1) % (uint64_t)cluster->n));
}

static void
round_rendezvous (cluster_t *cluster)
{
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    {
      uint64_t best = 0;
      for (int t = 0; t < TARGET_MAX; t++)
        if (cluster->live[t] && hash_pair (s, 100 + (uint64_t)t) >= best)
          {
            best = hash_pair (s, 100 + (uint64_t)t);
            cluster->owners[s] = t;
          }
    }
}

typedef struct
{
  uint64_t hash;
  int target;
} ring_point_t;

static int
compare_points (const void *a, const void *b)
{
  uint64_t x = ((const ring_point_t *)a)->hash;
  uint64_t y = ((const ring_point_t *)b)->hash;

  return x < y ? -1 : x > y;
}

static size_t
first_at_or_after (const ring_point_t *ring, size_t n, uint64_t hash)
{
  size_t low = 0, high = n;

  while (low < high)
    {
      size_t middle = (low + high) / 2;
      if (ring[middle].hash < hash)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
round_ring (cluster_t *cluster)
{
  static ring_point_t ring[TARGET_MAX * RING_POINTS];
  double sums[TARGET_MAX] = { 0 };
  size_t n = 0;

  for (int t = 0; t < TARGET_MAX; t++)
    for (uint64_t p = 0; cluster->live[t] && p < RING_POINTS; p++)
      ring[n++] = (ring_point_t){ hash_pair ((uint64_t)t, 7000 + p), t };
  qsort (ring, n, sizeof *ring, compare_points);
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    {
      size_t i = first_at_or_after (ring, n, hash_pair (s, 3));
      double capacity = MAX (RING_SLACK * LOAD_SUM / cluster->n, cluster->loads[s]);
      for (size_t tries = 0; tries < n; tries++, i++)
        if (sums[ring[i % n].target] + cluster->loads[s] <= capacity)
          break;
      cluster->owners[s] = ring[i % n].target;
      sums[cluster->owners[s]] += cluster->loads[s];
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

/* Assigns all slots anew in each round, the heaviest first, each to the least loaded
 * target. */
static void
round_greedy (cluster_t *cluster)
{
  static int order[SLOT_COUNT];
  double sums[TARGET_MAX] = { 0 };

  for (int s = 0; s < SLOT_COUNT; s++)
    order[s] = s;
  qsort_r (order, SLOT_COUNT, sizeof *order, compare_slots, cluster->loads);
  for (int i = 0; i < SLOT_COUNT; i++)
    {
      int best = -1;
      for (int t = 0; t < TARGET_MAX; t++)
        if (cluster->live[t] && (best < 0 || sums[t] < sums[best]))
          best = t;
      cluster->owners[order[i]] = best;
      sums[best] += cluster->loads[order[i]];
    }
}

static const policy_t policies[] = {
  { "planner (packages/place)", round_plan }, { "plain hashing", round_plain_hashing },
  { "rendezvous hashing", round_rendezvous }, { "bounded-load ring", round_ring },
  { "greedy rebalancing", round_greedy },
};

static double
imbalance (const cluster_t *cluster)
{
  double sums[TARGET_MAX] = { 0 };
  double max_load = 0;

  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    sums[cluster->owners[s]] += cluster->loads[s];
  for (int t = 0; t < TARGET_MAX; t++)
    max_load = MAX (max_load, sums[t]);
  return max_load * cluster->n / LOAD_SUM;
}

/* Lower bound of the imbalance for any policy, because a slot can't be split. */
static double
least_imbalance (const cluster_t *cluster)
{
  double heaviest = 0;

  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    heaviest = MAX (heaviest, cluster->loads[s]);
  return MAX (heaviest * cluster->n / LOAD_SUM, 1.0);
}

static int
count_moved (const cluster_t *cluster, const int *before)
{
  int n = 0;

  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    n += cluster->owners[s] != before[s];
  return n;
}

static int
run_rounds (cluster_t *cluster, const policy_t *policy, int rounds)
{
  int before[SLOT_COUNT];
  int moved = 0;

  for (int i = 0; i < rounds; i++)
    {
      memcpy (before, cluster->owners, sizeof before);
      policy->round (cluster);
      moved += count_moved (cluster, before);
    }
  return moved;
}

static void
init_cluster (cluster_t *cluster, int n)
{
  table_t *table = &cluster->place.candidate;

  table_init (table);
  name_set (&cluster->service, TEXT ("keyed"));
  table->n_targets = TARGET_MAX;
  for (int t = 0; t < TARGET_MAX; t++)
    {
      table->targets[t].service = cluster->service;
      cluster->live[t] = t < n;
    }
  cluster->n = n;
  cluster->place.config.weight_imbalance = 4;
  cluster->place.config.weight_churn = 4;
}

static void
measure (const policy_t *policy, int n, double exponent)
{
  cluster_t *cluster = g_new0 (cluster_t, 1);
  double sum = 0, worst = 0, least = 0;
  int moved = 0;

  cluster->effects = g_array_new (FALSE, FALSE, sizeof (place_out_t));
  init_cluster (cluster, n);
  set_loads (cluster, 0, exponent);
  run_rounds (cluster, policy, 60);
  for (uint64_t phase = 1; phase <= SHIFTS; phase++)
    {
      set_loads (cluster, phase, exponent);
      moved += run_rounds (cluster, policy, ROUNDS_PER_SHIFT);
      sum += imbalance (cluster);
      worst = MAX (worst, imbalance (cluster));
      least += least_imbalance (cluster);
    }
  run_rounds (cluster, policy, 60);
  cluster->live[n] = true;
  cluster->n = n + 1;
  int moved_on_join = run_rounds (cluster, policy, 60);
  int n_leaving = 0;
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    n_leaving += cluster->owners[s] == 0;
  cluster->live[0] = false;
  cluster->n = n;
  int moved_on_leave = run_rounds (cluster, policy, 60);
  printf ("| %d | %.1f | %s | %.3f | %.3f | %.3f | %.0f | %.2f | %.2f |\n",
          n,
          exponent,
          policy->name,
          sum / SHIFTS,
          worst,
          least / SHIFTS,
          (double)moved / SHIFTS,
          (double)moved_on_join * (n + 1) / SLOT_COUNT,
          n_leaving > 0 ? (double)moved_on_leave / n_leaving : 0.0);
  g_array_unref (cluster->effects);
  g_free (cluster);
}

int
main (int argc, char **argv)
{
  static const double exponents[] = { 0.6, 0.9 };
  int n = argc > 1 ? atoi (argv[1]) : 15;

  if (n < 1 || n + 1 > TARGET_MAX)
    return 2;
  for (size_t e = 0; e < G_N_ELEMENTS (exponents); e++)
    for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
      measure (&policies[i], n, exponents[e]);
  return 0;
}
