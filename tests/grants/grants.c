#include "sim.h"

#include "../../packages/core/eventlog.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * GRANTS: exhaustive test of the granter with up to K deviations from normal operation.
 *
 * Simulates two hosts that run the production code of the role, the grants and the keys,
 * with a store, up to three targets and one service, under a settable clock.  In the
 * baseline run each call succeeds after the network delay.  A deviation is one of:
 *
 *   - a call to the store is refused or lost, or is executed, perhaps late, without a
 *     response or with one that comes late, or a read returns old rows;
 *   - all calls of a host to the store are refused or lost for some time;
 *   - the store goes away for some time and comes back from an older copy;
 *   - a grant or release is lost, or is executed, perhaps late, without a response;
 *   - all grants to a target are executed seconds late for some time, without a response,
 *     also by its next process;
 *   - the store and all targets stand still, and the entries lapse;
 *   - a target stands still: it reads seconds later what has arrived meanwhile, releases
 *     before grants, and its entry lapses;
 *   - a host is frozen or killed.
 *
 * Random runs draw deviations and, besides, faults of targets, links and hosts: targets
 * that start again at their address or another one, under their id or another one, whose
 * address goes to another service, that leave, join, or whose entries lapse, links that
 * are cut, a store that refuses or loses some calls of a host, keys that become hot, and
 * with --losses a store that comes back from older copies.
 * Hosts learn of entries at various times.
 *
 * Every set of up to K deviations within the time window is run from the start.  The
 * targets' clocks run slow by 2 %, the most that is allowed.
 *
 * Whenever a target accepts a grant, no other target may hold one of its keys, and its
 * fence must be above those of other targets for the sampled keys.  No host may take or
 * hold the role while another believes to hold it.  At the end of a run the checked keys
 * must be held.
 */

typedef struct
{
  const router_settings_t *settings;
  scenario_t scenario;
  guint stride; /* places the last deviation at every STRIDE-th choice point */
  uint64_t runs, violations;
} search_t;

/* Runs all sets of deviations that start with the N ones of PREFIX and have up to LEFT
 * more. */
static void
explore (search_t *self, const deviation_t *prefix, guint n, guint left)
{
  sim_t *run = g_new0 (sim_t, 1);
  deviation_t deviations[DEVIATIONS_MAX];

  run->scenario = self->scenario;
  run->deviations = prefix;
  run->n_deviations = n;
  sim_run (run, self->settings);
  self->runs++;
  if (run->violation[0] != 0)
    {
      printf ("scenario %d", self->scenario);
      for (guint i = 0; i < n; i++)
        printf (" point %u option %d", prefix[i].point, prefix[i].option);
      printf (": %s\n", run->violation);
      self->violations++;
    }
  memcpy (deviations, prefix, n * sizeof *prefix);
  for (guint point = n > 0 ? prefix[n - 1].point + 1 : 0;
       left > 0 && run->violation[0] == 0 && point < run->n_points;
       point += left == 1 ? self->stride : 1)
    for (int option = 1; option < sim_options[run->point_kinds[point]]; option++)
      {
        deviations[n] = (deviation_t){ point, option };
        explore (self, deviations, n + 1, left - 1);
      }
  g_free (run);
}

/* Runs N random runs from SEED on; LOSSES: the store loses commits; VERBOSE prints the
 * commands that arrive. */
static void
explore_randomly (search_t *self, uint64_t seed, int n, bool losses, bool verbose)
{
  for (int i = 0; i < n; i++)
    {
      sim_t *run = g_new0 (sim_t, 1);
      run->verbose = verbose;
      sim = run;
      sim_draw_run (seed + (uint64_t)i, losses);
      sim_run (run, self->settings);
      self->runs++;
      self->violations += run->violation[0] != 0;
      if (run->violation[0] != 0)
        printf ("seed %llu: %s\n",
                (unsigned long long)seed + (unsigned long long)i,
                run->violation);
      g_free (run);
    }
}

/* Repeats one run and prints the commands that arrive at the targets. */
static bool
replay_run (const search_t *search, const int *numbers, int n)
{
  sim_t *run = g_new0 (sim_t, 1);
  deviation_t deviations[DEVIATIONS_MAX];

  run->n_deviations = (guint)MIN (n / 2, DEVIATIONS_MAX);
  for (guint i = 0; i < run->n_deviations; i++)
    deviations[i] = (deviation_t){ (guint)numbers[2 * i], numbers[2 * i + 1] };
  run->scenario = search->scenario;
  run->deviations = deviations;
  run->verbose = true;
  sim_run (run, search->settings);
  printf ("%s\n", run->violation[0] != 0 ? run->violation : "no violation");
  bool failed = run->violation[0] != 0;
  g_free (run);
  return failed;
}

int
main (int argc, char **argv)
{
  struct arg_int *deviations
      = arg_int0 ("k", NULL, "N", "deviations per run, at most 2 (1)");
  struct arg_int *stride
      = arg_int0 (NULL, "stride", "N", "place the last deviation at every Nth point (1)");
  struct arg_int *scenario
      = arg_int0 (NULL, "scenario", "N", "trace one run of this scenario");
  struct arg_int *points = arg_intn (NULL,
                                     NULL,
                                     "POINT OPTION",
                                     0,
                                     2 * DEVIATIONS_MAX,
                                     "deviations of the traced run");
  struct arg_int *random = arg_int0 (NULL, "random", "N", "N random runs instead");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "of the first random run (1)");
  struct arg_lit *losses
      = arg_lit0 (NULL,
                  "losses",
                  "in random runs the store also comes back from older copies");
  struct arg_lit *verbose = arg_lit0 ("v", NULL, "trace random runs");
  struct arg_end *end = arg_end (4);
  void *table[]
      = { deviations, stride, scenario, points, random, seed, losses, verbose, end };
  router_settings_t settings[HOSTS] = { 0 };
  search_t search = { .settings = settings };

  deviations->ival[0] = stride->ival[0] = seed->ival[0] = 1;
  if (arg_parse (argc, argv, table) > 0 || deviations->ival[0] < 0
      || deviations->ival[0] > DEVIATIONS_MAX || stride->ival[0] < 1)
    {
      arg_print_errors (stderr, end, "grants");
      arg_print_glossary (stderr, table, "  %-20s %s\n");
      return 2;
    }
  search.stride = (guint)stride->ival[0];
  name_set (&service, TEXT ("s"));
  name_set (&settings[0].host, TEXT ("h0"));
  name_set (&settings[1].host, TEXT ("h1"));
  settings[0].link_mbps = 1000;
  settings[1].link_mbps = 10;
  if (scenario->count > 0)
    {
      search.scenario = (scenario_t)CLAMP (scenario->ival[0], 0, SCENARIO_COUNT - 1);
      bool failed = replay_run (&search, points->ival, points->count);
      arg_freetable (table, G_N_ELEMENTS (table));
      return failed;
    }
  if (verbose->count > 0)
    eventlog_open (STDOUT_FILENO);
  if (random->count > 0)
    explore_randomly (&search,
                      (uint64_t)seed->ival[0],
                      random->ival[0],
                      losses->count > 0,
                      verbose->count > 0);
  for (; random->count == 0 && search.scenario < SCENARIO_COUNT; search.scenario++)
    explore (&search,
             (const deviation_t[DEVIATIONS_MAX]){ 0 },
             0,
             (guint)deviations->ival[0]);
  printf ("%llu runs, %llu violations\n",
          (unsigned long long)search.runs,
          (unsigned long long)search.violations);
  arg_freetable (table, G_N_ELEMENTS (table));
  return search.violations > 0;
}
