#include "rate.h"

#include "../core/limits.h"

#include <math.h>
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
start_limit (rate_limit_t *self, double limit, msec_t stated_at, msec_t now)
{
  if (!self->limited)
    {
      self->wanted = (rate_window_t){ .newest = now / BUCKET_MS, .since = now };
      self->rights = 0;
      self->tokens_at = 0;
    }
  self->limited = true;
  self->limit = limit;
  self->known_at = MAX (self->known_at, stated_at);
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
    start_limit (self, limit, now, now);
  else
    self->limited = false;
}

void
rate_limit_set_share (rate_limit_t *self, const rate_share_t *share, msec_t now)
{
  bool stated_lately = self->stated_at > 0 && now - self->stated_at < RATE_STATEMENT_MS;

  if (share == NULL)
    {
      self->share_until = MIN (self->share_until, now);
      if (!self->stated || !stated_lately)
        self->limited = false;
      self->valid_until = self->stated_at + RATE_STATEMENT_MS;
      return;
    }
  if (stated_lately && !self->stated)
    return;
  start_limit (self, stated_lately ? self->limit : share->limit, now - share->age, now);
  self->share = share->share;
  self->share_until = now + RATE_SHARE_MS;
  self->listed_at = now;
}

void
rate_limit_await_share (rate_limit_t *self, msec_t now)
{
  if (now < self->share_until)
    return;
  self->share = 1;
  self->await_until = now + RATE_WAIT_MS;
}

void
rate_limit_grant (rate_limit_t *self,
                  const rate_grant_t *grant,
                  msec_t reported_at,
                  msec_t now)
{
  if (!self->limited || reported_at <= self->accepted
      || now >= reported_at + RATE_RIGHT_MS)
    return;
  self->rights = (now < self->rights_until ? self->rights : 0) + grant->rights;
  self->rights_until = reported_at + RATE_RIGHT_MS;
  self->accepted = reported_at;
  if (grant->rights > 0)
    self->rights_idle_since = now;
}

static uint32_t
usable_rights (const rate_limit_t *self, msec_t now)
{
  return now < self->rights_until ? self->rights : 0;
}

/* One request takes a token of an equal part of the limit.  Where a host gets one only
 * now and then, it lasts RATE_ALONE_KEEP_MS: else all hosts would have one at a time. */
static bool
take_token (rate_limit_t *self, uint32_t hosts, msec_t now)
{
  double part = self->limit / MAX (hosts, 1);

  if (hosts > 1 && self->share_until > 0)
    part = part * RATE_ALONE_PERCENT / 100;
  double most = part * RATE_BURST_MS / 1000;
  if (self->tokens_at == 0)
    self->tokens = hosts > 1 ? self->phase : 1;
  else
    self->tokens += part * (double)(now - self->tokens_at) / 1000;
  self->tokens_at = now;
  double keep = part * RATE_ALONE_KEEP_MS / 1000;
  if (hosts == 1 || keep >= 1)
    self->tokens = MIN (self->tokens, MAX (most, 1));
  else if (self->tokens >= 1 + keep)
    self->tokens -= floor (self->tokens - keep);
  if (self->tokens < 1)
    return false;
  self->tokens -= 1;
  return true;
}

bool
rate_limit_admit (rate_limit_t *self, uint32_t hosts, msec_t now)
{
  if (self->limited && now >= self->valid_until)
    self->limited = false;
  if (!self->limited)
    return true;
  window_add (&self->wanted, 1, now);
  if (hosts == 1)
    return take_token (self, hosts, now);
  if (now >= MAX (self->share_until, self->await_until) && now >= self->rights_until)
    return take_token (self, hosts, now);
  self->tokens_at = 0;
  self->credit = MIN (self->credit + self->share, 2);
  if (usable_rights (self, now) <= self->waiting)
    return false;
  self->credit = MAX (self->credit - 1, -RATE_CREDIT_MAX);
  self->rights--;
  self->rights_idle_since = now;
  return true;
}

void
rate_limit_hold (rate_limit_t *self)
{
  self->admitted++;
}

void
rate_limit_sent (rate_limit_t *self)
{
  self->admitted -= self->admitted > 0 ? 1 : 0;
}

void
rate_limit_put_back (rate_limit_t *self)
{
  if (self->admitted == 0)
    return;
  self->admitted--;
  self->rights++;
}

bool
rate_limit_wait (rate_limit_t *self, msec_t now)
{
  if (!self->limited || now >= MAX (self->share_until, self->await_until)
      || self->credit < 1 || self->waiting >= MAX (self->limit * RATE_WAIT_MS / 1000, 1))
    return false;
  self->credit -= 1;
  self->waiting++;
  return true;
}

bool
rate_limit_take (rate_limit_t *self, msec_t now)
{
  if (self->limited && usable_rights (self, now) == 0)
    return false;
  if (self->limited)
    {
      self->rights--;
      self->rights_idle_since = now;
    }
  rate_limit_leave (self);
  return true;
}

void
rate_limit_leave (rate_limit_t *self)
{
  self->waiting -= self->waiting > 0 ? 1 : 0;
}

/* If nobody lists the limit, another granter may not know of it yet. */
static bool
has_statement (const rate_limit_t *self, msec_t now)
{
  return self->unreported_statement
         || (self->limited && now - self->listed_at >= RATE_LISTED_MS);
}

bool
rate_limit_report (rate_limit_t *self, msec_t now, rate_report_t *report)
{
  bool relayed = !self->unreported_statement;
  name_t target = report->target;

  *report = (rate_report_t){ .target = target };
  report->wanted = self->limited ? window_rate (&self->wanted, RATE_BUCKETS, now) : 0;
  report->wanted_lately
      = self->limited ? window_rate (&self->wanted, RATE_BUCKETS / 2, now) : 0;
  self->rights = self->limited ? usable_rights (self, now) : 0;
  if (self->rights > self->waiting && now - self->rights_idle_since >= RATE_UNUSED_MS)
    {
      report->returned = self->rights - self->waiting;
      self->rights = self->waiting;
    }
  report->held = self->rights + self->admitted;
  report->waiting = self->waiting + self->admitted;
  report->accepted = self->accepted;
  report->stated = has_statement (self, now);
  if (report->wanted <= 0 && !self->reported_demand && !report->stated
      && report->held == 0 && report->returned == 0 && report->waiting == 0)
    return false;
  report->limited = relayed ? self->limited : self->stated;
  report->limit = self->limit;
  report->age = now - (relayed ? self->known_at : self->stated_at);
  self->reported_demand = report->wanted > 0;
  self->unreported_statement = false;
  return true;
}

void
rate_limit_init (rate_limit_t *self, double phase)
{
  *self = (rate_limit_t){ .credit = phase, .phase = phase };
}

/* The fleet. */

/* Rights in the reply to a report, until the host says that it has them. */
typedef struct
{
  msec_t reported_at; /* time of that report, on the host's clock */
  uint32_t rights;
} fleet_reply_t;

/* What one host last reported, and what it was given since. */
typedef struct
{
  double wanted, wanted_lately;
  msec_t at; /* of its last report */
  msec_t reported_at;
  uint32_t held;
  uint32_t needed; /* requests that wait and have got no right */
  fleet_reply_t replies[RATE_REPLIES];
} fleet_host_t;

typedef struct
{
  bool limited;
  double limit;
  msec_t stated_at;  /* of the latest statement */
  GHashTable *hosts; /* name to fleet_host_t */
  double wanted;     /* by all hosts, at the last plan */
  double tokens;     /* rights that may be given now */
  msec_t tokens_at;
  uint32_t unused; /* rights that hosts may have */
  uint32_t needed; /* by requests that wait at any host */
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

static double
unused_ceiling (const fleet_target_t *self)
{
  return self->limit * RATE_CEILING_MS / 1000 + RATE_CEILING_REQUESTS;
}

/* On a granter that is new, an earlier one may have given rights that are still valid. */
static void
start_target (const rate_fleet_t *fleet, fleet_target_t *self, msec_t now)
{
  if (now - fleet->since >= RATE_REPORT_MS)
    self->tokens = unused_ceiling (self);
  self->tokens_at = now;
}

static void
refill (fleet_target_t *self, msec_t now)
{
  double room = MAX (unused_ceiling (self) - self->unused, 0);

  if (self->tokens_at == 0)
    return; /* no limit is known yet */
  self->tokens += self->limit * (double)(now - self->tokens_at) / 1000;
  self->tokens = MIN (self->tokens, room);
  self->tokens_at = now;
}

static uint32_t
unused_rights (const fleet_host_t *self)
{
  uint32_t sum = self->held;

  for (size_t i = 0; i < G_N_ELEMENTS (self->replies); i++)
    sum += self->replies[i].rights;
  return sum;
}

static fleet_host_t *
find_or_add_host (fleet_target_t *self, const name_t *host)
{
  char *id = text_dup_c (name_text (host));
  fleet_host_t *found = g_hash_table_lookup (self->hosts, id);

  if (found != NULL)
    {
      g_free (id);
      return found;
    }
  found = g_new0 (fleet_host_t, 1);
  g_hash_table_insert (self->hosts, id, found);
  return found;
}

static void
set_needed (fleet_target_t *self, fleet_host_t *host, const rate_report_t *report)
{
  uint32_t has = unused_rights (host);

  self->needed -= host->needed;
  host->needed = report->waiting > has ? report->waiting - has : 0;
  self->needed += host->needed;
}

static void
update_host (fleet_target_t *self,
             fleet_host_t *host,
             const rate_report_t *report,
             msec_t reported_at,
             msec_t now)
{
  self->unused -= unused_rights (host);
  host->wanted = report->wanted;
  host->wanted_lately = report->wanted_lately;
  host->at = now;
  host->reported_at = reported_at;
  host->held = report->held;
  for (size_t i = 0; i < G_N_ELEMENTS (host->replies); i++)
    if (host->replies[i].reported_at <= report->accepted)
      host->replies[i].rights = 0;
  self->unused += unused_rights (host);
  set_needed (self, host, report);
  self->tokens += report->returned;
  refill (self, now);
}

/* First to requests that wait at any host, then ahead of requests. */
static uint32_t
choose_rights (const fleet_target_t *self,
               const fleet_host_t *host,
               const rate_report_t *report)
{
  double spare = unused_ceiling (self) * RATE_SPARE_PERCENT / 100;
  double part = host->wanted * MIN (self->limit / MAX (self->wanted, 0.001), 1);
  uint32_t has = unused_rights (host);
  uint32_t available = (uint32_t)MAX (self->tokens, 0);
  uint32_t others = self->needed - host->needed;
  uint32_t ahead = (uint32_t)(part * RATE_AHEAD_MS / 1000);

  if (ahead == 0 && host->wanted >= RATE_SPARE_MIN)
    ahead = 1;
  uint32_t wanted = ahead + report->waiting > has ? ahead + report->waiting - has : 0;
  uint32_t room = spare > self->unused ? (uint32_t)(spare - self->unused) : 0;
  uint32_t left = available > others ? available - others : 0;
  return MIN (MAX (host->needed, MIN (wanted, MIN (room, left))), available);
}

static uint32_t
give_rights (fleet_target_t *self, fleet_host_t *host, const rate_report_t *report)
{
  uint32_t rights = choose_rights (self, host, report);

  if (!self->limited || rights == 0)
    return 0;
  for (size_t i = 0; i < G_N_ELEMENTS (host->replies); i++)
    if (host->replies[i].rights == 0)
      {
        host->replies[i] = (fleet_reply_t){ host->reported_at, rights };
        self->tokens -= rights;
        self->unused += rights;
        set_needed (self, host, report);
        return rights;
      }
  return 0;
}

void
rate_fleet_report (rate_fleet_t *self,
                   const name_t *host,
                   const GArray *reports,
                   msec_t reported_at,
                   msec_t now,
                   GArray *grants)
{
  if (self->since == 0)
    self->since = now;
  for (guint i = 0; i < reports->len; i++)
    {
      const rate_report_t *report = &g_array_index (reports, rate_report_t, i);
      fleet_target_t *target = find_or_add (self, &report->target);
      fleet_host_t *from = find_or_add_host (target, host);
      if (report->stated && now - report->age >= target->stated_at)
        {
          target->limited = report->limited;
          target->limit = report->limit;
          target->stated_at = now - report->age;
        }
      if (target->tokens_at == 0 && target->limited)
        start_target (self, target, now);
      if (reported_at <= from->reported_at)
        continue;
      update_host (target, from, report, reported_at, now);
      rate_grant_t grant
          = { .target = report->target, .rights = give_rights (target, from, report) };
      g_array_append_val (grants, grant);
    }
}

/* Of all hosts that reported lately; the rights of the others have ended.  A sudden rise
 * counts before it fills the window. */
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
          self->unused -= unused_rights (host);
          self->needed -= host->needed;
          g_hash_table_iter_remove (&iter);
          continue;
        }
      wanted += host->wanted;
      lately += host->wanted_lately;
    }
  return MAX (wanted, lately * RATE_RISE_PERCENT / 100);
}

/* The part of all requests that may wait for a right: more than the limit allows while
 * rights are left, fewer when none are. */
static double
waiting_share (const fleet_target_t *self)
{
  double level = MAX (self->limit * RATE_LEFT_MS / 1000, 1);
  double percent = RATE_WAIT_MIN_PERCENT
                   + (100 - RATE_WAIT_MIN_PERCENT) * MIN (self->tokens / level, 2);

  if (self->wanted <= self->limit)
    return 1;
  return MIN (self->limit / self->wanted * percent / 100, 1);
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
      target->wanted = sum_demand (target, now);
      refill (target, now);
      rate_share_t share = { .limit = target->limit,
                             .age = now - target->stated_at,
                             .wanted = target->wanted,
                             .share = waiting_share (target) };
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
  self->since = 0;
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
