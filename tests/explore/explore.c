#include "../fake/fake.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * EXPLORE: exhaustive test of slot ownership with up to K deviations from normal
 * operation.
 *
 * Simulates two hosts, two targets and one keyed service.  In the baseline run each
 * message is delivered after 1 ms and nothing fails.  A deviation is either a message
 * that is lost or delayed by one of the times below, or a fault that lasts
 * FAULT_DURATION_MS: a host, a target, the store or a network link fails.  Every set of
 * up to K deviations within the time window is run from the start, and the invariants are
 * checked after every event.  Distinct states are counted by a hash of the variables that
 * determine what happens next to slot 0.
 */

#define START_MS 3500
#define FAULT_INTERVAL_MS 150
#define FAULT_DURATION_MS 2400
#define DEVIATIONS_MAX 3
#define POINTS_MAX 4096

/* Delivery times of a message, by option.  -1: it is lost. */
static const msec_t delays[] = { 1, 300, 1000, -1 };

typedef enum
{
  FAULT_NONE,
  FAULT_FREEZE_HOST_0,
  FAULT_FREEZE_HOST_1,
  FAULT_FREEZE_TARGET_0,
  FAULT_FREEZE_TARGET_1,
  FAULT_KILL_HOLDER,
  FAULT_RESTART_TARGET_0,
  FAULT_STORE_DOWN,
  FAULT_CUT_HOST_0, /* from the store and the other host, but not from the targets */
  FAULT_CUT_HOST_1,
  FAULT_COUNT,
} fault_kind_t;

/* Takes OPTION at the choice point number POINT of the window. */
typedef struct
{
  uint32_t point;
  uint32_t option;
} deviation_t;

/* What happens when the window opens. */
typedef enum
{
  INITIAL_EVENT_NONE,
  INITIAL_EVENT_OWNER_CUT,    /* the holder can't reach the owner, the other host can */
  INITIAL_EVENT_OWNER_LEAVES, /* its slots are moved while it still runs */
  INITIAL_EVENT_COUNT,
} initial_event_t;

typedef struct
{
  const fake_setup_t *setup;
  initial_event_t initial_event;
  msec_t window;
  deviation_t deviations[DEVIATIONS_MAX];
  uint32_t n_deviations;
  uint32_t point;              /* choice points passed in the window of this run */
  uint8_t options[POINTS_MAX]; /* number of options, by choice point */
  bool window_open;
  msec_t next_fault;  /* time of the next choice point for faults */
  msec_t repair_at;   /* 0: no fault is active */
  GHashTable *states; /* hashes of the states seen */
  uint64_t runs, owner_breaches, route_breaches;
} explorer_t;

static uint32_t
choose_option (explorer_t *self, uint32_t n_options)
{
  uint32_t point = self->point++;

  if (!self->window_open || point >= POINTS_MAX)
    {
      self->point--;
      return 0;
    }
  self->options[point] = (uint8_t)n_options;
  for (uint32_t i = 0; i < self->n_deviations; i++)
    if (self->deviations[i].point == point)
      return self->deviations[i].option;
  return 0;
}

static msec_t
choose_delay (fake_t *fake, void *context)
{
  (void)fake;
  return delays[choose_option (context, G_N_ELEMENTS (delays))];
}

static void
inject_fault (fake_t *fake, fault_kind_t fault)
{
  int holder = fake_holder (fake);

  switch (fault)
    {
    case FAULT_FREEZE_HOST_0:
    case FAULT_FREEZE_HOST_1:
      fake_freeze_host (fake, fault - FAULT_FREEZE_HOST_0);
      break;
    case FAULT_FREEZE_TARGET_0:
    case FAULT_FREEZE_TARGET_1:
      fake_freeze_target (fake, fault - FAULT_FREEZE_TARGET_0);
      break;
    case FAULT_KILL_HOLDER:
      if (holder >= 0)
        fake_kill_host (fake, (uint32_t)holder);
      break;
    case FAULT_RESTART_TARGET_0:
      fake_restart_target (fake, 0);
      break;
    case FAULT_STORE_DOWN:
      fake->store_down = true;
      break;
    case FAULT_CUT_HOST_0:
    case FAULT_CUT_HOST_1:
      fake_cut (fake, 0, 1, true);
      fake_cut (fake, fault - FAULT_CUT_HOST_0, FAKE_STORE, true);
      break;
    case FAULT_NONE:
    case FAULT_COUNT:
      break;
    }
}

static void
repair (fake_t *fake)
{
  fake->store_down = false;
  memset (fake->cut, 0, sizeof fake->cut);
  for (uint32_t i = 0; i < fake->setup.n_hosts; i++)
    if (fake->hosts[i].state == FAKE_FROZEN)
      fake_thaw_host (fake, i);
    else if (fake->hosts[i].state == FAKE_DEAD)
      fake_restart_host (fake, i);
  for (uint32_t i = 0; i < fake->setup.n_targets; i++)
    if (fake->targets[i].state == FAKE_FROZEN)
      fake_thaw_target (fake, i);
}

static uint64_t
mix (uint64_t hash, uint64_t value)
{
  const uint64_t parts[] = { hash, value };

  return text_hash ((text_t){ (const char *)parts, sizeof parts });
}

static uint64_t
mix_table (uint64_t hash, const table_t *table)
{
  hash = mix (hash, table->version);
  hash = mix (hash, table->n_hosts);
  return mix (hash,
              (uint64_t)(table->slots[0][0].owner + 1) << 32
                  | (uint64_t)(table->slots[0][0].next + 1));
}

/* Hashes the time left until UNTIL, so that equal states at different times match. */
static uint64_t
mix_remaining (uint64_t hash, msec_t until, msec_t now)
{
  return mix (hash, (uint64_t)MAX (until - now, 0));
}

static uint64_t
hash_state (const fake_t *fake)
{
  uint64_t hash = mix_table (fake->epoch, fake->table);

  for (uint32_t i = 0; i < fake->setup.n_hosts; i++)
    {
      const fake_host_t *host = &fake->hosts[i];
      hash = mix (hash, host->state);
      hash = mix_table (hash, host->table);
      hash = mix (hash, host->lease.version);
      hash = mix_remaining (hash, host->lease.until, fake->now);
      hash = mix (hash, host->place->phase);
      hash = mix_table (hash, &host->place->table);
      hash = mix_remaining (hash, host->place->committed_at + LEASE_MS, fake->now);
      hash = mix_remaining (hash,
                            host->place->withdrawals[0][0].settled_at + GRANT_MS,
                            fake->now);
    }
  for (uint32_t i = 0; i < fake->setup.n_targets; i++)
    {
      const fake_target_t *target = &fake->targets[i];
      hash = mix (hash, target->state);
      hash = mix (hash, target->version);
      hash = mix (hash, target->epochs[0]);
      hash = mix_remaining (hash, target->until - target->clock_offset, fake->now);
    }
  return hash;
}

static void
on_step (fake_t *fake, void *context)
{
  explorer_t *self = context;

  if (!self->window_open)
    return;
  g_hash_table_add (self->states, GSIZE_TO_POINTER (hash_state (fake)));
  if (self->repair_at > 0 && fake->now >= self->repair_at)
    {
      self->repair_at = 0;
      repair (fake);
    }
  if (fake->now < self->next_fault)
    return;
  self->next_fault += FAULT_INTERVAL_MS;
  uint32_t fault = choose_option (self, FAULT_COUNT);
  if (fault == FAULT_NONE)
    return;
  inject_fault (fake, (fault_kind_t)fault);
  self->repair_at = fake->now + FAULT_DURATION_MS;
}

static void
open_window (explorer_t *self, fake_t *fake)
{
  int owner = fake_owner (fake, 0);
  int holder = fake_holder (fake);

  self->window_open = true;
  self->point = 0;
  self->next_fault = fake->now;
  self->repair_at = 0;
  if (self->initial_event == INITIAL_EVENT_OWNER_CUT && owner >= 0 && holder >= 0)
    fake->cut_target[holder][owner] = true;
  if (self->initial_event == INITIAL_EVENT_OWNER_LEAVES && owner >= 0)
    fake->targets[owner].entry.state = TARGET_LEAVING;
}

static void
run_once (explorer_t *self)
{
  fake_t *fake = g_new0 (fake_t, 1);

  self->window_open = false;
  fake_init (fake, self->setup, 1);
  fake->choose_delay = choose_delay;
  fake->on_step = on_step;
  fake->context = self;
  fake_run (fake, START_MS);
  open_window (self, fake);
  fake_run (fake, self->window);
  self->window_open = false;
  fake_run (fake, 2 * GRANT_MS);
  self->runs++;
  self->owner_breaches += fake->owner_breaches;
  self->route_breaches += fake->route_breaches;
  if (fake->owner_breaches + fake->route_breaches > 0)
    {
      printf ("breach with initial event %d and deviations", self->initial_event);
      for (uint32_t i = 0; i < self->n_deviations; i++)
        printf (" %u:%u", self->deviations[i].point, self->deviations[i].option);
      puts ("");
    }
  fake_finish (fake);
  g_free (fake);
}

static bool
is_in_part (uint64_t run, int part, int parts)
{
  return run % (uint64_t)parts == (uint64_t)part;
}

static void
explore (explorer_t *self, uint32_t deviations_left, int part, int parts)
{
  uint8_t options[POINTS_MAX];
  uint32_t first = 0;

  run_once (self);
  if (deviations_left == 0)
    return;
  uint32_t n = self->point;
  memcpy (options, self->options, n);
  if (self->n_deviations > 0)
    first = self->deviations[self->n_deviations - 1].point + 1;
  self->n_deviations++;
  for (uint32_t p = first; p < n; p++)
    {
      if (self->n_deviations == 1 && !is_in_part (p, part, parts))
        continue;
      for (uint32_t o = 1; o < options[p]; o++)
        {
          self->deviations[self->n_deviations - 1] = (deviation_t){ p, o };
          explore (self, deviations_left - 1, part, parts);
        }
    }
  self->n_deviations--;
}

int
main (int argc, char **argv)
{
  struct arg_int *deviations
      = arg_int0 ("k", "deviations", "N", "deviations per run, at most 3 (1)");
  struct arg_int *window
      = arg_int0 ("w", "window", "MS", "length of the window for deviations (3200)");
  struct arg_int *part = arg_int0 (NULL, "part", "I", "only this part of the runs (0)");
  struct arg_int *parts = arg_int0 (NULL, "parts", "N", "number of parts (1)");
  struct arg_lit *unfenced = arg_lit0 (NULL, "unfenced", "targets don't check fences");
  struct arg_end *end = arg_end (4);
  void *table[] = { deviations, window, part, parts, unfenced, end };
  fake_setup_t setup = { .lease = &lease_policy_majority,
                         .place = &place_policy_majority,
                         .n_hosts = 2,
                         .n_targets = 2,
                         .n_data_centres = 2,
                         .delay_ms = 1 };
  explorer_t self = { .setup = &setup };

  deviations->ival[0] = parts->ival[0] = 1;
  window->ival[0] = 3200;
  part->ival[0] = 0;
  if (arg_parse (argc, argv, table) > 0 || deviations->ival[0] > DEVIATIONS_MAX)
    {
      arg_print_errors (stderr, end, "explore");
      return 2;
    }
  setup.fenced = unfenced->count == 0;
  self.window = window->ival[0];
  self.states = g_hash_table_new (NULL, NULL);
  for (int i = 0; i < INITIAL_EVENT_COUNT; i++)
    {
      self.initial_event = (initial_event_t)i;
      explore (&self, (uint32_t)deviations->ival[0], part->ival[0], parts->ival[0]);
    }
  printf ("explored %" G_GUINT64_FORMAT " runs, %u states, %" G_GUINT64_FORMAT
          " owner breaches, %" G_GUINT64_FORMAT " route breaches\n",
          self.runs,
          g_hash_table_size (self.states),
          self.owner_breaches,
          self.route_breaches);
  arg_freetable (table, G_N_ELEMENTS (table));
  return self.owner_breaches + self.route_breaches > 0;
}
