#include "pace.h"

#include "../core/limits.h"

typedef struct
{
  name_t id, service;
  double light_ms, busy_ms; /* moving averages */
  double light, busy;       /* samples that they rest on, up to PACE_SAMPLES */
  double load;
  double wanted;    /* a second */
  uint32_t counted; /* since the last list */
  msec_t sampled_at, reported_at;
  pace_t listed; /* as last sent; work_ms 0: never */
} estimate_t;

typedef struct
{
  double work_ms;
} service_mean_t;

void
pace_sample_add (pace_sample_t *sample, msec_t work, uint32_t load, uint32_t slots)
{
  uint32_t ms = (uint32_t)CLAMP (work, 1, PACE_WORK_MAX_MS);

  if (load * 2 > slots)
    {
      sample->busy_ms += ms;
      sample->busy++;
    }
  else
    {
      sample->light_ms += ms;
      sample->light++;
    }
  sample->load += load;
}

bool
pace_sample_is_empty (const pace_sample_t *sample)
{
  return sample->light + sample->busy + sample->wanted == 0;
}

/* Moves AVERAGE, which rests on WEIGHT samples and on MOST at most, towards the mean of N
 * samples. */
static void
average_in (double *average, double *weight, double sum, double n, double most)
{
  if (n <= 0)
    return;
  double total = *weight + n;
  double part = n / MIN (total, most + n);

  *average += (sum / n - *average) * part;
  *weight = MIN (total, most);
}

void
pace_fleet_init (pace_fleet_t *self)
{
  *self = (pace_fleet_t){
    .targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
    .services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
  };
}

void
pace_fleet_finish (pace_fleet_t *self)
{
  g_hash_table_unref (self->targets);
  g_hash_table_unref (self->services);
}

void
pace_fleet_clear (pace_fleet_t *self)
{
  g_hash_table_remove_all (self->targets);
  g_hash_table_remove_all (self->services);
  self->plans = 0;
}

static estimate_t *
find_or_add (pace_fleet_t *self, const pace_sample_t *sample)
{
  char *id = text_dup_c (name_text (&sample->target));
  estimate_t *estimate = g_hash_table_lookup (self->targets, id);

  if (estimate != NULL)
    g_free (id);
  else
    {
      estimate = g_new0 (estimate_t, 1);
      estimate->id = sample->target;
      g_hash_table_insert (self->targets, id, estimate);
    }
  estimate->service = sample->service;
  return estimate;
}

static service_mean_t *
mean_of (pace_fleet_t *self, const name_t *service)
{
  char *name = text_dup_c (name_text (service));
  service_mean_t *mean = g_hash_table_lookup (self->services, name);

  if (mean != NULL)
    {
      g_free (name);
      return mean;
    }
  mean = g_new0 (service_mean_t, 1);
  g_hash_table_insert (self->services, name, mean);
  return mean;
}

void
pace_fleet_report (pace_fleet_t *self, const GArray *samples, msec_t now)
{
  for (guint i = 0; i < samples->len; i++)
    {
      const pace_sample_t *sample = &g_array_index (samples, pace_sample_t, i);
      double n = (double)sample->light + sample->busy;
      if (pace_sample_is_empty (sample))
        continue;
      estimate_t *to = find_or_add (self, sample);
      to->counted += sample->wanted;
      /* That of an owner steers what hosts send to it, and isn't compared. */
      double most = to->counted > 0 || to->wanted > 0 ? PACE_OWNER_SAMPLES : PACE_SAMPLES;
      double load_weight = MIN (to->light + to->busy, most);
      to->reported_at = now;
      average_in (&to->load, &load_weight, sample->load, n, most);
      average_in (&to->light_ms,
                  &to->light,
                  sample->light_ms,
                  sample->light,
                  PACE_SAMPLES);
      average_in (&to->busy_ms, &to->busy, sample->busy_ms, sample->busy, PACE_SAMPLES);
      if (n > 0)
        to->sampled_at = now;
    }
}

/* The work time with few requests; if all samples are of a busy target, as much less as
 * those of its service are on average is unknown, so theirs counts. */
static double
work_of (const estimate_t *estimate)
{
  if (estimate->light >= PACE_SAMPLES_LEAST || estimate->busy == 0)
    return estimate->light_ms;
  if (estimate->light == 0)
    return estimate->busy_ms;
  return (estimate->light_ms * estimate->light + estimate->busy_ms * estimate->busy)
         / (estimate->light + estimate->busy);
}

/* The mean work time per service. */
static void
update_means (pace_fleet_t *self)
{
  GHashTable *counts = g_hash_table_new (g_direct_hash, g_direct_equal);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((service_mean_t *)value)->work_ms = 0;
  g_hash_table_iter_init (&iter, self->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const estimate_t *estimate = value;
      if (estimate->light + estimate->busy == 0)
        continue;
      service_mean_t *mean = mean_of (self, &estimate->service);
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (counts, mean)) + 1;
      mean->work_ms += (work_of (estimate) - mean->work_ms) / n;
      g_hash_table_insert (counts, mean, GUINT_TO_POINTER (n));
    }
  g_hash_table_unref (counts);
}

/* Without samples an estimate drifts towards the mean of its service. */
static void
drift (estimate_t *estimate, double mean)
{
  double part = 1.0 / PACE_DRIFT_PLANS;

  if (mean <= 0)
    return;
  estimate->light_ms += (mean - estimate->light_ms) * part;
  estimate->busy_ms += (mean - estimate->busy_ms) * part;
  estimate->load -= estimate->load * part;
}

/* The requests counted in ELAPSED ms since the last list.  Fewer count at once: where
 * keys have left, the others mustn't be rejected any more. */
static void
update_wanted (estimate_t *estimate, msec_t elapsed)
{
  double lately = estimate->counted * 1000.0 / (double)elapsed;

  if (lately < estimate->wanted)
    estimate->wanted = lately;
  else
    estimate->wanted += (lately - estimate->wanted) * PACE_WANTED_WEIGHT;
  estimate->counted = 0;
}

/* Few samples count in part, MEAN for the rest: one short answer makes no fast target. */
static pace_t
describe (const estimate_t *estimate, double mean)
{
  double n = estimate->light + estimate->busy;
  double work = MAX ((work_of (estimate) * n + mean * PACE_SAMPLES_PRIOR)
                         / (n + PACE_SAMPLES_PRIOR),
                     1);
  double strain
      = estimate->light >= PACE_SAMPLES_LEAST && estimate->busy >= PACE_SAMPLES_LEAST
            ? estimate->busy_ms / MAX (estimate->light_ms, 1)
            : 1;

  return (pace_t){ .target = estimate->id,
                   .work_ms = (uint32_t)(work + 0.5),
                   .strain_permille
                   = (uint32_t)(CLAMP (strain, 1, PACE_STRAIN_MAX) * 1000),
                   .load_permille = (uint32_t)(estimate->load * 1000),
                   .wanted_permille = (uint32_t)(estimate->wanted * 1000) };
}

static bool
differs (uint32_t a, uint32_t b, uint32_t least, uint32_t percent)
{
  uint32_t gap = a > b ? a - b : b - a;

  return gap > least && (uint64_t)gap * 100 > (uint64_t)MAX (a, b) * percent;
}

static bool
is_changed (const pace_t *pace, const pace_t *listed)
{
  return differs (pace->work_ms, listed->work_ms, 0, PACE_CHANGE_PERCENT)
         || differs (pace->strain_permille,
                     listed->strain_permille,
                     0,
                     PACE_CHANGE_PERCENT)
         || differs (pace->load_permille, listed->load_permille, 500, PACE_CHANGE_PERCENT)
         || differs (pace->wanted_permille,
                     listed->wanted_permille,
                     PACE_WANTED_CHANGE_PERMILLE,
                     PACE_WANTED_CHANGE_PERCENT);
}

bool
pace_fleet_plan (pace_fleet_t *self, msec_t now, GArray *out)
{
  GHashTableIter iter;
  gpointer value;
  bool complete;
  msec_t elapsed = self->planned_at > 0 ? now - self->planned_at : PACE_PLAN_MS;

  if (now < self->next_plan)
    return false;
  self->planned_at = now;
  self->next_plan = now + PACE_PLAN_MS;
  complete = self->plans++ % PACE_COMPLETE_PLANS == 0;
  update_means (self);
  g_hash_table_iter_init (&iter, self->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      estimate_t *estimate = value;
      if (now - estimate->reported_at > PACE_FORGET_MS)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      double mean = mean_of (self, &estimate->service)->work_ms;
      if (now - estimate->sampled_at > PACE_PLAN_MS)
        drift (estimate, mean);
      update_wanted (estimate, MAX (elapsed, 1));
      const pace_t pace = describe (estimate, mean);
      if (!complete && !is_changed (&pace, &estimate->listed))
        continue;
      estimate->listed = pace;
      g_array_append_val (out, pace);
    }
  return out->len > 0;
}

msec_t
pace_work_ms (const pace_t *self, msec_t load, uint32_t slots)
{
  msec_t full = (msec_t)MAX (slots, 1) * 1000;
  msec_t over_half = CLAMP (2 * load - full, 0, full);

  return self->work_ms
         + (msec_t)self->work_ms * (self->strain_permille - 1000) * over_half / full
               / 1000;
}
