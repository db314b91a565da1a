#include "rate.h"

#include "../core/limits.h"

#include <string.h>

#define BUCKET_MS (RATE_WINDOW_MS / RATE_BUCKETS)

static void
window_advance (rate_window_t *self, msec_t now)
{
  int64_t bucket = now / BUCKET_MS;

  if (bucket - self->newest >= RATE_BUCKETS)
    memset (self->counts, 0, sizeof self->counts);
  else
    for (int64_t i = self->newest + 1; i <= bucket; i++)
      self->counts[i % RATE_BUCKETS] = 0;
  self->newest = MAX (self->newest, bucket);
}

static void
window_add (rate_window_t *self, uint32_t n, msec_t now)
{
  window_advance (self, now);
  if (self->since == 0)
    self->since = now;
  self->counts[self->newest % RATE_BUCKETS] += n;
}

/* The rate over the last BUCKETS buckets, of which the newest is incomplete. */
static double
window_rate (rate_window_t *self, int buckets, msec_t now)
{
  uint32_t sum = 0;

  window_advance (self, now);
  for (int i = 0; i < buckets; i++)
    sum += self->counts[(self->newest - i + RATE_BUCKETS) % RATE_BUCKETS];
  msec_t span = (buckets - 1) * BUCKET_MS + now % BUCKET_MS;
  span = MIN (span, MAX (now - self->since, BUCKET_MS));
  return sum * 1000.0 / (double)MAX (span, BUCKET_MS);
}

/* For how long a limit is kept after it was last stated. */
static msec_t
keep_time (double limit)
{
  double expected = RATE_KEEP_REQUESTS * 1000 / MAX (limit, 0.001);

  return (msec_t)CLAMP (expected, RATE_KEEP_MS, RATE_KEEP_MAX_MS);
}

static void
start_limit (rate_limit_t *self, double limit, msec_t now)
{
  if (!self->limited)
    {
      self->wanted = (rate_window_t){ .newest = now / BUCKET_MS, .since = now };
      self->tokens = 1;
      self->tokens_at = now;
    }
  self->limited = true;
  self->limit = limit;
  self->valid_until = now + keep_time (limit);
}

void
rate_limit_state (rate_limit_t *self, bool limited, double limit, msec_t now)
{
  if (!limited && !self->limited && !self->stated)
    return;
  self->stated = limited;
  self->stated_at = now;
  self->unreported_statement = true;
  if (limited)
    start_limit (self, limit, now);
  else
    self->limited = false;
}

void
rate_limit_set_share (rate_limit_t *self, const rate_share_t *share, msec_t now)
{
  bool stated_lately = self->stated_at > 0 && now - self->stated_at < RATE_STATEMENT_MS;

  if (share == NULL)
    {
      self->share_until = 0;
      if (!self->stated || !stated_lately)
        self->limited = false;
      self->valid_until = self->stated_at + RATE_STATEMENT_MS;
      return;
    }
  if (stated_lately && !self->stated)
    return;
  start_limit (self, stated_lately ? self->limit : share->limit, now);
  self->share = share->share;
  self->share_until = now + RATE_SHARE_MS;
}

static double
current_share (rate_limit_t *self, uint32_t hosts, msec_t now)
{
  if (hosts == 1)
    return 1; /* the tokens alone keep the limit */
  if (now < self->share_until)
    return self->share;
  double wanted = window_rate (&self->wanted, RATE_BUCKETS, now);
  return MIN (self->limit / MAX (hosts, 1) / MAX (wanted, 0.001), 1);
}

static void
fill_tokens (rate_limit_t *self, msec_t now)
{
  double most = MAX (self->limit * RATE_BURST_MS / 1000, 1);

  self->tokens
      = MIN (self->tokens + self->limit * (double)(now - self->tokens_at) / 1000, most);
  self->tokens_at = now;
}

bool
rate_limit_admit (rate_limit_t *self, uint32_t hosts, msec_t now)
{
  if (self->limited && now >= self->valid_until)
    self->limited = false;
  if (!self->limited)
    return true;
  window_add (&self->wanted, 1, now);
  fill_tokens (self, now);
  self->credit += current_share (self, hosts, now);
  if (self->credit < 1 || self->tokens < 1)
    {
      self->credit = MIN (self->credit, 1);
      return false;
    }
  self->credit -= 1;
  self->tokens -= 1;
  return true;
}

bool
rate_limit_report (rate_limit_t *self, msec_t now, rate_report_t *report)
{
  report->wanted = self->limited ? window_rate (&self->wanted, RATE_BUCKETS, now) : 0;
  report->wanted_lately
      = self->limited ? window_rate (&self->wanted, RATE_BUCKETS / 2, now) : 0;
  if (report->wanted <= 0 && !self->reported_demand && !self->unreported_statement)
    return false;
  report->stated = self->unreported_statement;
  report->limited = self->stated;
  report->limit = self->limit;
  report->age = now - self->stated_at;
  self->reported_demand = report->wanted > 0;
  self->unreported_statement = false;
  return true;
}

void
rate_limit_init (rate_limit_t *self, double phase)
{
  *self = (rate_limit_t){ .credit = phase };
}

/* The fleet. */

/* The demand of one host. */
typedef struct
{
  double wanted, wanted_lately;
  msec_t at; /* of its last report */
} fleet_host_t;

typedef struct
{
  bool limited;
  double limit;
  msec_t stated_at;  /* of the latest statement */
  GHashTable *hosts; /* name to fleet_host_t */
} fleet_target_t;

static void
free_target (void *item)
{
  fleet_target_t *target = item;

  g_hash_table_unref (target->hosts);
  g_free (target);
}

static fleet_target_t *
find_or_add (rate_fleet_t *self, const name_t *target)
{
  char *id = text_dup_c (name_text (target));
  fleet_target_t *found = g_hash_table_lookup (self->targets, id);

  if (found != NULL)
    {
      g_free (id);
      return found;
    }
  found = g_new0 (fleet_target_t, 1);
  found->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (self->targets, id, found);
  return found;
}

static void
set_demand (fleet_target_t *self,
            const name_t *host,
            const rate_report_t *report,
            msec_t now)
{
  fleet_host_t *demand = g_new (fleet_host_t, 1);

  *demand = (fleet_host_t){ report->wanted, report->wanted_lately, now };
  g_hash_table_insert (self->hosts, text_dup_c (name_text (host)), demand);
}

void
rate_fleet_report (rate_fleet_t *self,
                   const name_t *host,
                   const GArray *reports,
                   msec_t now)
{
  for (guint i = 0; i < reports->len; i++)
    {
      const rate_report_t *report = &g_array_index (reports, rate_report_t, i);
      fleet_target_t *target = find_or_add (self, &report->target);
      if (report->stated && now - report->age >= target->stated_at)
        {
          target->limited = report->limited;
          target->limit = report->limit;
          target->stated_at = now - report->age;
        }
      set_demand (target, host, report, now);
    }
}

/* Of all hosts that reported lately.  A sudden rise counts before it fills the window. */
static double
sum_demand (fleet_target_t *self, msec_t now)
{
  double wanted = 0, lately = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const fleet_host_t *host = value;
      if (now - host->at >= RATE_REPORT_MS)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      wanted += host->wanted;
      lately += host->wanted_lately;
    }
  return MAX (wanted, lately * RATE_RISE_PERCENT / 100);
}

bool
rate_fleet_plan (rate_fleet_t *self, msec_t now, GArray *out)
{
  GHashTableIter iter;
  gpointer id, value;

  if (now < self->next_plan)
    return false;
  self->next_plan = now + RATE_PLAN_MS;
  g_hash_table_iter_init (&iter, self->targets);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      fleet_target_t *target = value;
      if (now - target->stated_at >= keep_time (target->limit))
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (!target->limited)
        continue;
      double wanted = sum_demand (target, now);
      rate_share_t share
          = { .limit = target->limit,
              .wanted = wanted,
              .share = wanted > target->limit ? target->limit / wanted : 1 };
      name_set (&share.target, text_from_c (id));
      g_array_append_val (out, share);
    }
  bool changed = out->len > 0 || self->was_limited;
  self->was_limited = out->len > 0;
  return changed;
}

void
rate_fleet_clear (rate_fleet_t *self)
{
  g_hash_table_remove_all (self->targets);
  self->was_limited = false;
}

void
rate_fleet_init (rate_fleet_t *self)
{
  *self = (rate_fleet_t){
    .targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_target),
  };
}

void
rate_fleet_finish (rate_fleet_t *self)
{
  g_hash_table_unref (self->targets);
}
