#include "sim.h"

#include <stdio.h>

/* Of a random run: one fault in so many intervals, on average. */
#define INTERVALS_PER_FAULT 5
#define INTERVALS_PER_LOSS 12 /* one loss of the store in so many */
#define HOT_KEYS 60
#define REQUESTS_PER_TICK 12
#define EXIT_MS 4000       /* from the entry of a leaving target to its end */
#define EXPIRY_MS 2600     /* from a target's end to that of its entry */
#define DOWN_MAX_MS 2000   /* of a target that starts again */
#define CUT_MAX_MS 6000    /* of a link between a host and a target */
#define OUTAGE_MAX_MS 5000 /* of the store, for one host */
#define STALL_MAX_MS 8000  /* of a target */
#define COMMITS_MAX 4
#define LOSS_AWAY_MAX_MS 4000
#define LOSS_COPY_AGE_MAX_MS 6000

typedef enum
{
  FAULT_RESTART,       /* a target starts again at its address */
  FAULT_RESTART_MOVED, /* the same, at another one */
  FAULT_REPLACE,       /* the same, and its address goes to another service */
  FAULT_RENAME,        /* it starts again at its address under another id */
  FAULT_LOSS,          /* a target is gone for good */
  FAULT_LEAVE,
  FAULT_JOIN,
  FAULT_LAPSE,    /* a target's entry is missing for a while */
  FAULT_CUT,      /* between a host and a target */
  FAULT_CUT_HOST, /* between a host and half of the targets */
  FAULT_SLOW,     /* a target executes its grants late */
  FAULT_STORE_SILENT,
  FAULT_STORE_REFUSING,
  FAULT_STORE_BUSY,  /* it refuses some calls of a host */
  FAULT_STORE_LOSSY, /* it doesn't answer some calls of a host */
  FAULT_HOT_KEYS,
  FAULT_KILL,
  FAULT_KILL_AFTER_COMMIT, /* a host, when it has written some tables */
  FAULT_STALL,             /* a target stands still */
  FAULT_COUNT,
} fault_kind_t;

static msec_t
draw (msec_t below)
{
  return (msec_t)rng_below (&sim->rng, (uint64_t)below);
}

/* A target that runs, and isn't leaving. */
static guint
draw_target (void)
{
  guint i, n = 0;

  for (guint j = 0; j < TARGETS; j++)
    n += sim->targets[j].up && !sim->targets[j].row.leaving;
  if (n < 2)
    return TARGETS; /* the last one stays */
  do
    i = (guint)rng_below (&sim->rng, TARGETS);
  while (!sim->targets[i].up || sim->targets[i].row.leaving);
  return i;
}

static guint
draw_address (void)
{
  return sim->next_address < ADDRESSES - 1 ? sim->next_address++ : ADDRESSES - 1;
}

static void
restart (guint index, bool moved, bool replaced)
{
  target_t *target = &sim->targets[index];

  sim_stop_target (index);
  if (moved)
    {
      sim->foreign[target->address] = replaced;
      target->address = draw_address ();
    }
  target->back_at = sim->now + draw (DOWN_MAX_MS);
}

/* Starts a process with an unused id. */
static void
join (guint address, msec_t after)
{
  for (guint i = 0; i < TARGETS; i++)
    if (!sim->targets[i].up && !sim->targets[i].row.listed
        && sim->targets[i].back_at == MSEC_NEVER)
      {
        target_t *target = &sim->targets[i];
        target->address = address;
        target->row.leaving = false;
        target->back_at = sim->now + after;
        return;
      }
}

static void
inject (fault_kind_t kind)
{
  guint index = draw_target ();
  target_t *target = &sim->targets[index % TARGETS];
  guint host = (guint)rng_below (&sim->rng, HOSTS);

  if (index == TARGETS && kind <= FAULT_LEAVE)
    return;
  if (sim->verbose)
    printf ("%5lld fault %d, target %c, host %u\n",
            (long long)sim->now,
            kind,
            (char)('a' + index),
            host);
  switch (kind)
    {
    case FAULT_RESTART:
    case FAULT_RESTART_MOVED:
    case FAULT_REPLACE:
      restart (index, kind != FAULT_RESTART, kind == FAULT_REPLACE);
      break;
    case FAULT_RENAME:
      sim_stop_target (index);
      target->list_at = sim->now + EXPIRY_MS;
      join (target->address, draw (DOWN_MAX_MS));
      break;
    case FAULT_LOSS:
      sim_stop_target (index);
      sim->foreign[target->address] = draw (2) == 0;
      target->list_at = sim->now + EXPIRY_MS;
      break;
    case FAULT_LEAVE:
      target->row.leaving = true;
      target->exit_at = sim->now + EXIT_MS;
      sim_publish_target (index);
      break;
    case FAULT_JOIN:
      join (draw_address (), 0);
      break;
    case FAULT_LAPSE:
      if (index == TARGETS)
        break;
      target->row.listed = false;
      target->list_at = sim->now + draw (EXPIRY_MS);
      sim_publish_target (index);
      break;
    case FAULT_CUT:
      target->cut_until[host] = sim->now + draw (CUT_MAX_MS);
      break;
    case FAULT_CUT_HOST:
      for (guint i = 0; i < TARGETS; i++)
        if (draw (2) == 0)
          sim->targets[i].cut_until[host] = sim->now + draw (CUT_MAX_MS);
      break;
    case FAULT_SLOW:
      target->slow_until = sim->now + draw (2 * COMMAND_SERIES_MS);
      break;
    case FAULT_STORE_SILENT:
    case FAULT_STORE_REFUSING:
      sim->hosts[host].store_series
          = kind == FAULT_STORE_SILENT ? STORE_LOST : STORE_CALL_REFUSED;
      sim->hosts[host].store_series_until = sim->now + draw (OUTAGE_MAX_MS);
      break;
    case FAULT_STORE_BUSY:
      sim->hosts[host].store_busy_until = sim->now + draw (OUTAGE_MAX_MS);
      sim->hosts[host].store_busy_share = 4 + rng_below (&sim->rng, 6);
      break;
    case FAULT_STORE_LOSSY:
      sim->hosts[host].store_lossy_until = sim->now + draw (OUTAGE_MAX_MS);
      break;
    case FAULT_HOT_KEYS:
      sim->hot_key = 1 + (uint32_t)draw (KEY_LAST - HOT_KEYS);
      break;
    case FAULT_KILL:
      sim_kill_host (&sim->hosts[host], draw (8 * RESTART_MS));
      break;
    case FAULT_KILL_AFTER_COMMIT:
      sim->hosts[host].commits_left = 1 + (guint)draw (COMMITS_MAX);
      break;
    case FAULT_STALL:
      if (index < TARGETS)
        sim_stall_target (index, draw (STALL_MAX_MS));
      break;
    case FAULT_COUNT:
      break;
    }
}

/* Starts and ends processes, and has their entries follow. */
static void
advance_target (guint index)
{
  target_t *target = &sim->targets[index];

  if (target->exit_at <= sim->now)
    {
      target->exit_at = MSEC_NEVER;
      target->back_at = MSEC_NEVER;
      sim_stop_target (index);
      target->list_at = sim->now;
    }
  if (target->back_at <= sim->now)
    {
      target->back_at = MSEC_NEVER;
      target->up = true;
      target->life++;
      target->list_at = sim->now + draw (LISTING_DELAY_MS);
    }
  if (target->list_at > sim->now)
    return;
  target->list_at = MSEC_NEVER;
  target->row.listed = target->up;
  target->row.born = target->life;
  target->row.address = target->address;
  sim_publish_target (index);
}

/* The copy has the role's row: without one, a deployment counts as new. */
static void
draw_loss (void)
{
  const msec_t age_max = MIN (sim->now - WINDOW_FROM_MS, LOSS_COPY_AGE_MAX_MS);
  const msec_t away = draw (LOSS_AWAY_MAX_MS), age = draw (age_max + 1);
  const bool repeated = draw (2) == 0;

  if (sim->verbose)
    printf ("%5lld store away for %lld ms, back from %lld ms before, repeated %d\n",
            (long long)sim->now,
            (long long)away,
            (long long)age,
            repeated);
  sim_lose_store (away, age, repeated);
}

void
sim_draw_run (uint64_t seed, bool losses)
{
  static const uint64_t rates[] = { 0, 3, 10, 40 };

  sim->random = true;
  sim->losses = losses;
  rng_init (&sim->rng, seed);
  sim->rate = rates[rng_below (&sim->rng, G_N_ELEMENTS (rates))];
}

void
sim_disturb (void)
{
  if (sim->now >= WINDOW_FROM_MS && sim->now < RANDOM_TO_MS
      && rng_below (&sim->rng, INTERVALS_PER_FAULT) == 0)
    inject ((fault_kind_t)rng_below (&sim->rng, FAULT_COUNT));
  if (sim->losses && sim->now >= WINDOW_FROM_MS && sim->now < RANDOM_TO_MS
      && rng_below (&sim->rng, INTERVALS_PER_LOSS) == 0)
    draw_loss ();
  for (guint i = 0; i < TARGETS; i++)
    advance_target (i);
}

static void
add_request (GArray *loads, uint32_t key)
{
  key_load_t load = { (uint16_t)(key / KEY_BUCKET_SIZE), 1 };

  g_array_append_val (loads, load);
}

void
sim_draw_loads (GArray *loads)
{
  for (int i = 0; i < REQUESTS_PER_TICK; i++)
    if (sim->hot_key > 0 && rng_below (&sim->rng, 2) == 0)
      add_request (loads, sim->hot_key + (uint32_t)rng_below (&sim->rng, HOT_KEYS));
    else
      add_request (loads, (uint32_t)rng_below (&sim->rng, KEY_LAST + 1));
}
