#include "scenario.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * OWNERSHIP: runs each failure scenario with several seeds and policies and prints a
 * table of the outcomes.
 *
 * Exits with 1 if a slot had two owners, or two hosts routed one to different targets.
 */

#define SEEDS_MAX 1000

typedef struct
{
  const char *name;
  const lease_policy_t *lease;
  const place_policy_t *place;
} policy_choice_t;

static const policy_choice_t known_policies[] = {
  { "stop", &lease_policy_stop, &place_policy_stop },
  { "long", &lease_policy_long, &place_policy_long },
  { "majority", &lease_policy_majority, &place_policy_majority },
};

static int
compare_times (const void *a, const void *b)
{
  msec_t x = *(const msec_t *)a;
  msec_t y = *(const msec_t *)b;

  return x < y ? -1 : x > y;
}

/* Negative times stand for never, and count as later than all others. */
static msec_t
percentile (msec_t *times, int n, int percent)
{
  for (int i = 0; i < n; i++)
    if (times[i] < 0)
      times[i] = MSEC_NEVER;
  qsort (times, (size_t)n, sizeof *times, compare_times);
  return times[MIN (n - 1, n * percent / 100)];
}

static const char *
format_time (msec_t time, char *text, size_t size)
{
  if (time == MSEC_NEVER)
    return "never";
  g_snprintf (text, size, "%lld", (long long)time);
  return text;
}

static uint64_t
run_scenario (const scenario_t *scenario, const policy_choice_t *policy, int seeds)
{
  msec_t unserved[SEEDS_MAX], withdrawn[SEEDS_MAX], assigned[SEEDS_MAX],
      blackout[SEEDS_MAX];
  fake_setup_t setup = scenario_setup_default;
  uint64_t breaches = 0;
  char a[24], b[24], c[24], d[24], e[24];

  setup.lease = policy->lease;
  setup.place = policy->place;
  for (int i = 0; i < seeds; i++)
    {
      outcome_t outcome;
      scenario_run (scenario, &setup, (uint64_t)i + 1, &outcome);
      unserved[i] = outcome.unserved;
      withdrawn[i] = outcome.withdrawn;
      assigned[i] = outcome.assigned;
      blackout[i] = outcome.blackout;
      breaches += outcome.owner_breaches + outcome.route_breaches;
    }
  printf ("| %s | %s | %d | %s | %s | %s | %s | %s | %" G_GUINT64_FORMAT " |\n",
          scenario->name,
          policy->name,
          seeds,
          format_time (percentile (withdrawn, seeds, 50), a, sizeof a),
          format_time (percentile (assigned, seeds, 50), b, sizeof b),
          format_time (percentile (unserved, seeds, 50), c, sizeof c),
          format_time (percentile (unserved, seeds, 99), d, sizeof d),
          format_time (percentile (blackout, seeds, 99), e, sizeof e),
          breaches);
  fflush (stdout);
  return breaches;
}

static bool
is_selected (const struct arg_str *selected, const char *name)
{
  if (selected->count == 0)
    return true;
  for (int i = 0; i < selected->count; i++)
    if (strcmp (selected->sval[i], name) == 0)
      return true;
  return false;
}

int
main (int argc, char **argv)
{
  struct arg_str *names
      = arg_strn (NULL, "scenario", "NAME", 0, 64, "run only these scenarios");
  struct arg_str *policies
      = arg_strn (NULL, "policy", "NAME", 0, 3, "stop, long, majority");
  struct arg_int *seeds = arg_int0 (NULL,
                                    "seeds",
                                    "N",
                                    "number of seeds for each scenario and policy (20)");
  struct arg_end *end = arg_end (4);
  void *table[] = { names, policies, seeds, end };
  uint64_t breaches = 0;

  seeds->ival[0] = 20;
  if (arg_parse (argc, argv, table) > 0 || seeds->ival[0] > SEEDS_MAX)
    {
      arg_print_errors (stderr, end, "ownership");
      return 2;
    }
  puts ("| scenario | policy | runs | withdrawn p50 ms | assigned p50 ms "
        "| served again p50 ms | served again p99 ms | blackout p99 ms | breaches |");
  puts ("|---|---|---|---|---|---|---|---|---|");
  for (size_t i = 0; i < n_scenarios; i++)
    for (size_t k = 0; k < G_N_ELEMENTS (known_policies); k++)
      if (is_selected (names, scenarios[i].name)
          && is_selected (policies, known_policies[k].name))
        breaches += run_scenario (&scenarios[i], &known_policies[k], seeds->ival[0]);
  arg_freetable (table, G_N_ELEMENTS (table));
  return breaches > 0;
}
