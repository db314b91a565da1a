#include "../../packages/core/rng.h"
#include "../../packages/place/plan.h"
#include "../../packages/table/table_rows.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * PLACE: cost of the placement planner at one size.
 *
 * Prints: slots, hosts, targets, us for a round in which all loads change, us for its
 * repairs alone (the cost of a round without balancing), bytes of state, bytes of the
 * members row, bytes of all slot rows, bytes of the slot rows that changed in a round
 * (mean).
 */

#define ROUNDS 40

typedef struct
{
  place_t place;
  GArray *effects;
  rng_t rng;
} bench_t;

static void
set_name (name_t *name, const char *format, uint32_t i)
{
  char text[NAME_MAX_BYTES + 1];

  g_snprintf (text, sizeof text, format, i);
  name_set (name, text_from_c (text));
}

static void
init_table (bench_t *self, uint32_t n_hosts, uint32_t n_targets)
{
  table_t *table = &self->place.candidate;

  table_init (table);
  table->version = 1;
  table->n_hosts = n_hosts;
  table->n_targets = n_targets;
  for (uint32_t i = 0; i < n_hosts; i++)
    {
      set_name (&table->hosts[i].name, "host-%u", i);
      set_name (&table->hosts[i].address, "10.20.30.%u", i % 250);
      set_name (&table->hosts[i].data_centre, "dc-%u", i % 7);
      table->hosts[i].incarnation = 1796378357194;
    }
  for (uint32_t i = 0; i < n_targets; i++)
    {
      set_name (&table->targets[i].name, "target-%u", i);
      set_name (&table->targets[i].address, "10.20.31.%u", i % 250);
      set_name (&table->targets[i].data_centre, "dc-%u", i % 7);
      set_name (&table->targets[i].service, "keyed", 0);
      table->targets[i].state = TARGET_LIVE;
    }
}

/* Zipf-like loads, drawn anew for each round so that other slots become the heavy ones.
 */
static void
randomize_loads (bench_t *self)
{
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    self->place.loads[0][s]
        = 1000000 / (1 + (uint32_t)rng_below (&self->rng, SLOT_COUNT));
}

static size_t
row_bytes (json_t *row)
{
  char *dump = json_dumps (row, JSON_COMPACT);
  size_t len = strlen (dump);

  free (dump);
  json_decref (row);
  return len;
}

static size_t
slot_bytes (const table_t *table)
{
  size_t sum = 0;

  for (uint32_t b = 0; b < SLOT_BLOCKS; b++)
    sum += row_bytes (table_block_to_json (table, 0, b));
  return sum;
}

static bool
block_differs (const table_t *a, const table_t *b, uint32_t block)
{
  for (uint32_t s = block * SLOT_BLOCK; s < (block + 1) * SLOT_BLOCK; s++)
    if (!slot_equal (&a->slots[0][s], &b->slots[0][s]))
      return true;
  return false;
}

static size_t
changed_bytes (const table_t *a, const table_t *b)
{
  size_t sum = 0;

  for (uint32_t block = 0; block < SLOT_BLOCKS; block++)
    if (block_differs (a, b, block))
      sum += row_bytes (table_block_to_json (b, 0, block));
  return sum;
}

static void
complete_moves (table_t *table)
{
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    if (table->slots[0][s].next != INDEX_NONE)
      table->slots[0][s]
          = (slot_t){ table->slots[0][s].next, INDEX_NONE, table->version };
}

int
main (int argc, char **argv)
{
  uint32_t n_hosts = argc > 1 ? (uint32_t)atoi (argv[1]) : 12;
  uint32_t n_targets = argc > 2 ? (uint32_t)atoi (argv[2]) : 15;
  bench_t *self;
  gint64 round_us = 0, repairs_us = 0;
  size_t changed_row_bytes = 0;
  name_t service;

  if (n_hosts > HOST_MAX || n_targets > TARGET_MAX)
    return 2;
  self = g_new0 (bench_t, 1);
  set_name (&service, "keyed", 0);
  self->effects = g_array_new (FALSE, FALSE, sizeof (place_out_t));
  rng_init (&self->rng, 1);
  init_table (self, n_hosts, n_targets);
  plan_repairs (&self->place, 0, &service, self->effects);
  for (int i = 0; i < ROUNDS; i++)
    {
      randomize_loads (self);
      self->place.table = self->place.candidate;
      gint64 started_at = g_get_monotonic_time ();
      self->place.candidate = self->place.table;
      plan_repairs (&self->place, 0, &service, self->effects);
      gint64 repaired_at = g_get_monotonic_time ();
      plan_balance (&self->place, 0, &service, self->effects);
      round_us += g_get_monotonic_time () - started_at;
      repairs_us += repaired_at - started_at;
      changed_row_bytes += changed_bytes (&self->place.table, &self->place.candidate);
      complete_moves (&self->place.candidate);
      g_array_set_size (self->effects, 0);
    }
  printf ("%d %u %u %.1f %.1f %zu %zu %zu %zu\n",
          SLOT_COUNT,
          n_hosts,
          n_targets,
          (double)round_us / ROUNDS,
          (double)repairs_us / ROUNDS,
          sizeof (place_t),
          row_bytes (table_members_to_json (&self->place.table)),
          slot_bytes (&self->place.table),
          changed_row_bytes / ROUNDS);
  return 0;
}
