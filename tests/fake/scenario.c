#include "scenario.h"

#include <string.h>

#define START_MS 8000

const fake_setup_t scenario_setup_default = { .lease = &lease_policy_majority,
                                              .place = &place_policy_majority,
                                              .n_hosts = 12,
                                              .n_targets = 15,
                                              .n_data_centres = 3,
                                              .fenced = true,
                                              .delay_ms = 2,
                                              .loss_percent = 1 };

static uint32_t
pick_other_host (const fake_t *fake)
{
  int holder = fake_holder (fake);

  return holder == 5 ? 6 : 5;
}

static uint32_t
pick_owner (const fake_t *fake)
{
  int owner = fake_owner (fake, 0);

  return owner < 0 ? 0 : (uint32_t)owner;
}

static void
run_no_failure (fake_t *fake)
{
  (void)fake;
}

static void
run_owner_killed (fake_t *fake)
{
  fake_kill_target (fake, pick_owner (fake));
}

static void
run_holder_killed (fake_t *fake)
{
  fake_kill_host (fake, (uint32_t)fake_holder (fake));
}

static void
run_both_killed (fake_t *fake)
{
  run_owner_killed (fake);
  run_holder_killed (fake);
}

static void
run_data_centre_lost (fake_t *fake)
{
  uint32_t lost = (uint32_t)fake_holder (fake) % fake->setup.n_data_centres;

  for (uint32_t i = 0; i < fake->setup.n_hosts; i++)
    if (i % fake->setup.n_data_centres == lost)
      fake_kill_host (fake, i);
  for (uint32_t i = 0; i < fake->setup.n_targets; i++)
    if (i % fake->setup.n_data_centres == lost)
      fake_kill_target (fake, i);
}

static void
run_owner_frozen (fake_t *fake)
{
  uint32_t owner = pick_owner (fake);

  fake_freeze_target (fake, owner);
  fake_run (fake, 5000);
  fake_thaw_target (fake, owner);
}

static void
run_owner_frozen_repeatedly (fake_t *fake)
{
  uint32_t owner = pick_owner (fake);

  for (int i = 0; i < 8; i++)
    {
      fake_freeze_target (fake, owner);
      fake_run (fake, 300 + (msec_t)rng_below (&fake->rng, 900));
      fake_thaw_target (fake, owner);
      fake_run (fake, (msec_t)rng_below (&fake->rng, 700));
    }
}

static void
run_owner_restarted (fake_t *fake)
{
  uint32_t owner = pick_owner (fake);

  fake_kill_target (fake, owner);
  fake_run (fake, (msec_t)rng_below (&fake->rng, 2500));
  fake_restart_target (fake, owner);
}

static void
run_router_frozen (fake_t *fake)
{
  uint32_t host = pick_other_host (fake);

  fake_freeze_host (fake, host);
  fake_run (fake, 300);
  fake_kill_target (fake, pick_owner (fake));
  fake_run (fake, 4000);
  fake_thaw_host (fake, host);
}

static void
run_holder_frozen (fake_t *fake)
{
  uint32_t holder = (uint32_t)fake_holder (fake);

  fake_freeze_host (fake, holder);
  fake_run (fake, 200);
  fake_kill_target (fake, pick_owner (fake));
  fake_run (fake, 4000);
  fake_thaw_host (fake, holder);
}

static void
run_holder_cut_from_store (fake_t *fake)
{
  uint32_t holder = (uint32_t)fake_holder (fake);

  fake_cut (fake, holder, FAKE_STORE, true);
  fake_run (fake, 500);
  fake_kill_target (fake, pick_owner (fake));
  fake_run (fake, 6000);
  fake_cut (fake, holder, FAKE_STORE, false);
}

static void
run_router_cut_off (fake_t *fake)
{
  uint32_t host = pick_other_host (fake);

  for (uint32_t i = 0; i < FAKE_HOSTS; i++)
    if (i != host)
      fake_cut (fake, host, i, true);
  fake_run (fake, 100);
  fake_kill_target (fake, pick_owner (fake));
  fake_run (fake, 6000);
  for (uint32_t i = 0; i < FAKE_HOSTS; i++)
    fake_cut (fake, host, i, false);
}

static void
run_one_way_cut (fake_t *fake)
{
  uint32_t holder = (uint32_t)fake_holder (fake);
  uint32_t host = pick_other_host (fake);

  fake->cut[FAKE_STORE][holder] = true;
  fake->cut[host][holder] = true;
  fake_run (fake, 3000);
  fake->cut[FAKE_STORE][holder] = false;
  fake->cut[host][holder] = false;
}

static void
run_answers_lost (fake_t *fake)
{
  fake->lose_answers = 6;
  fake_kill_target (fake, pick_owner (fake));
  fake_run (fake, 300);
  fake_kill_host (fake, (uint32_t)MAX (fake_holder (fake), 0));
}

static void
run_store_down (fake_t *fake)
{
  fake->store_down = true;
  fake_run (fake, 600 * 1000);
  fake->store_down = false;
}

static void
run_store_down_owner_killed (fake_t *fake)
{
  fake->store_down = true;
  fake_run (fake, 2000);
  fake_kill_target (fake, pick_owner (fake));
  fake_run (fake, 30 * 1000);
  fake->store_down = false;
}

static void
run_store_down_owner_frozen (fake_t *fake)
{
  uint32_t owner = pick_owner (fake);

  fake->store_down = true;
  fake_run (fake, 2000);
  fake_freeze_target (fake, owner);
  fake_run (fake, 5000);
  fake_thaw_target (fake, owner);
  fake_run (fake, 20 * 1000);
  fake->store_down = false;
}

static void
run_store_slow (fake_t *fake)
{
  fake->store_slow = true;
  fake_run (fake, 3000);
  fake_kill_target (fake, pick_owner (fake));
  fake_run (fake, 10 * 1000);
  fake->store_slow = false;
}

static void
run_store_split (fake_t *fake)
{
  for (uint32_t i = 0; i < fake->setup.n_hosts; i += fake->setup.n_data_centres)
    fake_cut (fake, i, FAKE_STORE, true);
  fake_run (fake, 10 * 1000);
  fake_kill_target (fake, pick_owner (fake));
  fake_run (fake, 10 * 1000);
  for (uint32_t i = 0; i < fake->setup.n_hosts; i += fake->setup.n_data_centres)
    fake_cut (fake, i, FAKE_STORE, false);
}

static void
run_store_down_data_centre_lost (fake_t *fake)
{
  fake->store_down = true;
  fake_run (fake, 5000);
  for (uint32_t i = 0; i < fake->setup.n_hosts; i += fake->setup.n_data_centres)
    fake_kill_host (fake, i);
  fake_run (fake, 60 * 1000);
  fake->store_down = false;
}

static void
run_all_replaced (fake_t *fake)
{
  for (uint32_t i = 0; i < fake->setup.n_hosts; i++)
    {
      fake_kill_host (fake, i);
      fake_run (fake, 2000);
      fake_restart_host (fake, i);
      fake_run (fake, 4000);
    }
}

static void
run_all_replaced_store_down (fake_t *fake)
{
  fake->store_down = true;
  for (uint32_t i = 0; i < fake->setup.n_hosts; i++)
    {
      fake_kill_host (fake, i);
      fake_run (fake, 1000);
      fake_restart_host (fake, i);
      fake_run (fake, 4000);
    }
  fake->store_down = false;
}

static void
run_holder_leaves (fake_t *fake)
{
  uint32_t holder = (uint32_t)fake_holder (fake);

  fake_leave_host (fake, holder);
  fake_run (fake, 1500);
  fake_kill_host (fake, holder);
}

static void
run_target_leaves (fake_t *fake)
{
  fake->targets[pick_owner (fake)].entry.state = TARGET_LEAVING;
}

/* Six rounds of two random failures each. */
static void
run_random_failures (fake_t *fake)
{
  for (int round = 0; round < 6; round++)
    {
      for (int k = 0; k < 2; k++)
        {
          uint32_t host = (uint32_t)rng_below (&fake->rng, fake->setup.n_hosts);
          uint32_t target = (uint32_t)rng_below (&fake->rng, fake->setup.n_targets);
          switch (rng_below (&fake->rng, 10))
            {
            case 0:
              fake_kill_host (fake, host);
              break;
            case 1:
              fake_freeze_host (fake, host);
              break;
            case 2:
              fake_freeze_target (fake, target);
              break;
            case 3:
              fake_kill_target (fake, target);
              break;
            case 4:
              fake->store_down = true;
              break;
            case 5:
              fake_cut (fake, host, FAKE_STORE, true);
              break;
            case 6:
              fake->cut[FAKE_STORE][host] = true;
              break;
            case 7:
              fake_cut (fake, host, (host + 1) % fake->setup.n_hosts, true);
              break;
            case 8:
              fake->lose_answers = 3;
              break;
            default:
              fake->cut_target[host][target] = true;
            }
        }
      fake_run (fake, 200 + (msec_t)rng_below (&fake->rng, 6000));
      memset (fake->cut, 0, sizeof fake->cut);
      memset (fake->cut_target, 0, sizeof fake->cut_target);
      fake->store_down = false;
      for (uint32_t i = 0; i < fake->setup.n_hosts; i++)
        if (fake->hosts[i].state == FAKE_DEAD)
          fake_restart_host (fake, i);
        else
          fake_thaw_host (fake, i);
      for (uint32_t i = 0; i < fake->setup.n_targets; i++)
        if (fake->targets[i].state == FAKE_DEAD)
          fake_restart_target (fake, i);
        else
          fake_thaw_target (fake, i);
      fake_run (fake, (msec_t)rng_below (&fake->rng, 3000));
    }
}

const scenario_t scenarios[] = {
  { "no failure", run_no_failure, 5000, true, true },
  { "owner killed", run_owner_killed, 10000, false, true },
  { "holder killed", run_holder_killed, 10000, true, true },
  { "owner and holder killed", run_both_killed, 10000, false, true },
  { "data centre lost", run_data_centre_lost, 10000, false, true },
  { "owner frozen and thawed", run_owner_frozen, 10000, false, false },
  { "owner frozen repeatedly", run_owner_frozen_repeatedly, 10000, false, false },
  { "owner restarted", run_owner_restarted, 10000, false, false },
  { "router frozen, owner killed", run_router_frozen, 10000, false, false },
  { "holder frozen, owner killed", run_holder_frozen, 10000, false, false },
  { "holder cut from store, owner killed",
    run_holder_cut_from_store,
    10000,
    false,
    false },
  { "router cut off, owner killed", run_router_cut_off, 10000, false, false },
  { "one-way cuts", run_one_way_cut, 10000, true, false },
  { "answers lost, owner and holder killed", run_answers_lost, 15000, false, false },
  { "store down 10 min", run_store_down, 5000, true, false },
  { "store down, owner killed", run_store_down_owner_killed, 10000, false, false },
  { "store down, owner frozen", run_store_down_owner_frozen, 10000, false, false },
  { "store slow, owner killed", run_store_slow, 10000, false, false },
  { "store unreachable for some hosts, owner killed",
    run_store_split,
    10000,
    false,
    false },
  { "store down, data centre's hosts lost",
    run_store_down_data_centre_lost,
    10000,
    true,
    false },
  { "all hosts replaced", run_all_replaced, 10000, true, false },
  { "all hosts replaced, store down", run_all_replaced_store_down, 10000, false, false },
  { "holder hands over", run_holder_leaves, 10000, true, true },
  { "target leaves", run_target_leaves, 10000, false, true },
  { "two random failures at a time", run_random_failures, 15000, false, false },
};

const size_t n_scenarios = G_N_ELEMENTS (scenarios);

const scenario_t *
scenario_find (const char *name)
{
  for (size_t i = 0; i < n_scenarios; i++)
    if (strcmp (scenarios[i].name, name) == 0)
      return &scenarios[i];
  return NULL;
}

typedef struct
{
  int16_t former_owner; /* of slot 0, as an index in the store's table */
  msec_t started;
  outcome_t *outcome;
} recorder_t;

static void
record_move_times (fake_t *fake, recorder_t *recorder)
{
  const slot_t *slot = &fake->table->slots[0][0];
  msec_t elapsed = fake->now - recorder->started;

  if (recorder->outcome->withdrawn < 0 && slot->next != INDEX_NONE)
    recorder->outcome->withdrawn = elapsed;
  if (recorder->outcome->assigned < 0 && slot->owner != recorder->former_owner)
    recorder->outcome->assigned = elapsed;
}

static void
record_step (fake_t *fake, void *context)
{
  recorder_t *recorder = context;
  outcome_t *outcome = recorder->outcome;

  record_move_times (fake, recorder);
  if (fake_unserved (fake) > 0)
    {
      outcome->blackout += FAKE_STEP_MS;
      outcome->unserved = -1;
    }
  else if (outcome->unserved < 0)
    outcome->unserved = fake->now - recorder->started;
}

void
scenario_run (const scenario_t *scenario,
              const fake_setup_t *setup,
              uint64_t seed,
              outcome_t *outcome)
{
  fake_t *fake = g_new0 (fake_t, 1);

  *outcome = (outcome_t){ .unserved = -1, .withdrawn = -1, .assigned = -1 };
  fake_init (fake, setup, seed);
  fake_run (fake, START_MS + (msec_t)rng_below (&fake->rng, 1000));
  recorder_t recorder = { .former_owner = fake->table->slots[0][0].owner,
                          .started = fake->now,
                          .outcome = outcome };
  fake->on_step = record_step;
  fake->context = &recorder;
  scenario->run (fake);
  fake_run (fake, scenario->span);
  outcome->owner_breaches = fake->owner_breaches;
  outcome->route_breaches = fake->route_breaches;
  outcome->moves = fake->moves;
  outcome->digest = fake->digest;
  fake_finish (fake);
  g_free (fake);
}
