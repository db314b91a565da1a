#include "sim.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * GRANTS: every run of granting on a small fleet with at most K deviations.
 *
 * Two hosts with the real role, grants and keys, a store, up to three targets and one
 * service, on a clock that is set.  The calm run answers each call at once.  A deviation
 * is one call to the store that is refused, lost, done without an answer or done late;
 * one grant or release that is lost, taken without an answer or taken late; or one host
 * that is frozen or killed.  Each set of up to K deviations within the window is played
 * from the start.  A target's clock runs slow by as much as is allowed.
 *
 * Checked at each grant that a target takes: no other target holds one of its keys, and
 * its fence is above all with which others had them.  Checked at the end: each key is
 * held.
 */

/* All runs with the N deviations of PREFIX and up to LEFT more. */
typedef struct
{
  const router_settings_t *settings;
  scenario_t scenario;
  guint stride; /* of the points at which the last deviation is placed */
  uint64_t runs, faults;
} search_t;

static void
explore (search_t *self, const deviation_t *prefix, guint n, guint left)
{
  sim_t *run = g_new0 (sim_t, 1);
  deviation_t more[DEVIATIONS_MAX];

  run->scenario = self->scenario;
  run->deviations = prefix;
  run->n_deviations = n;
  sim_play (run, self->settings);
  self->runs++;
  if (run->fault[0] != 0)
    {
      printf ("scenario %d", self->scenario);
      for (guint i = 0; i < n; i++)
        printf (" point %u option %d", prefix[i].point, prefix[i].option);
      printf (": %s\n", run->fault);
      self->faults++;
    }
  memcpy (more, prefix, n * sizeof *prefix);
  for (guint point = n > 0 ? prefix[n - 1].point + 1 : 0;
       left > 0 && run->fault[0] == 0 && point < run->next_point;
       point += left == 1 ? self->stride : 1)
    for (int option = 1; option < sim_options[run->kinds[point]]; option++)
      {
        more[n] = (deviation_t){ point, option };
        explore (self, more, n + 1, left - 1);
      }
  g_free (run);
}

/* Plays one run and prints what the targets were told. */
static bool
tell_run (const search_t *search, const int *numbers, int n)
{
  sim_t *run = g_new0 (sim_t, 1);
  deviation_t deviations[DEVIATIONS_MAX];

  run->n_deviations = (guint)MIN (n / 2, DEVIATIONS_MAX);
  for (guint i = 0; i < run->n_deviations; i++)
    deviations[i] = (deviation_t){ (guint)numbers[2 * i], numbers[2 * i + 1] };
  run->scenario = search->scenario;
  run->deviations = deviations;
  run->tell = true;
  sim_play (run, search->settings);
  printf ("%s\n", run->fault[0] != 0 ? run->fault : "no fault");
  bool faulty = run->fault[0] != 0;
  g_free (run);
  return faulty;
}

int
main (int argc, char **argv)
{
  struct arg_int *deviations
      = arg_int0 ("k", NULL, "N", "deviations a run, 2 at most (1)");
  struct arg_int *stride
      = arg_int0 (NULL, "stride", "N", "the last deviation at each Nth point (1)");
  struct arg_int *scenario = arg_int0 (NULL, "scenario", "N", "tell one run of it");
  struct arg_int *points
      = arg_intn (NULL, NULL, "POINT OPTION", 0, 2 * DEVIATIONS_MAX, "its deviations");
  struct arg_end *end = arg_end (4);
  void *table[] = { deviations, stride, scenario, points, end };
  router_settings_t settings[HOSTS] = { 0 };
  search_t search = { .settings = settings };

  deviations->ival[0] = stride->ival[0] = 1;
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
  if (scenario->count > 0)
    {
      search.scenario = (scenario_t)CLAMP (scenario->ival[0], 0, SCENARIOS - 1);
      return tell_run (&search, points->ival, points->count);
    }
  for (search.scenario = 0; search.scenario < SCENARIOS; search.scenario++)
    explore (&search,
             (const deviation_t[DEVIATIONS_MAX]){ 0 },
             0,
             (guint)deviations->ival[0]);
  printf ("%llu runs, %llu faults\n",
          (unsigned long long)search.runs,
          (unsigned long long)search.faults);
  arg_freetable (table, G_N_ELEMENTS (table));
  return search.faults > 0;
}
