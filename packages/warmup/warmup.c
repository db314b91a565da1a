#include "warmup.h"

#include "../core/limits.h"

double
warmup_rate (double bears, double overage, double slack)
{
  double bound = (bears * overage + slack) * WARMUP_USED_PERCENT / 100;

  /* In one second all unused rights may be used, and those that are issued in it. */
  return MAX ((bound - RATE_CEILING_REQUESTS) / (1 + RATE_CEILING_MS / 1000.0), 0);
}

void
warmup_set_rate (warmup_t *self, bool guarded, double rate)
{
  self->guarded = guarded;
  self->rate = rate;
}

void
warmup_hear (warmup_t *self, const target_entry_t *entry, msec_t now)
{
  if (self->heard && !self->guarded)
    return; /* only the start counts */
  if (self->heard && entry->version > self->version)
    self->suspect_until = 0;
  self->heard = true;
  self->version = MAX (self->version, entry->version);
  self->cold_until = now + entry->warm_up_left;
}

void
warmup_suspect (warmup_t *self, msec_t duration, msec_t now)
{
  if (self->guarded)
    self->suspect_until = MAX (self->suspect_until, now + duration);
}

bool
warmup_is_cold (const warmup_t *self, msec_t now)
{
  return now < self->cold_until || now < self->suspect_until;
}

bool
warmup_is_guarded (const warmup_t *self, msec_t now)
{
  return self->guarded && warmup_is_cold (self, now);
}

static void
state_limit (warmup_t *self, rate_limit_t *rate_limit, msec_t now)
{
  bool cold = warmup_is_guarded (self, now);
  bool begins = cold && !self->applied;
  double limit = self->target_limited && !(cold && self->rate < self->target_limit)
                     ? self->target_limit
                     : self->rate;

  self->applied = cold;
  self->applied_at = now;
  rate_limit_state (rate_limit, cold || self->target_limited, limit, now);
  if (begins)
    rate_limit_await_share (rate_limit, now);
}

void
warmup_answered (
    warmup_t *self, rate_limit_t *rate_limit, bool limited, double limit, msec_t now)
{
  self->target_limited = limited;
  self->target_limit = limit;
  state_limit (self, rate_limit, now);
}

void
warmup_apply (warmup_t *self, rate_limit_t *rate_limit, msec_t now)
{
  bool cold = warmup_is_guarded (self, now);

  if (!cold && !self->applied)
    return;
  if (cold && self->applied && rate_limit->limited && rate_limit->limit <= self->rate
      && now - self->applied_at < WARMUP_STATE_MS)
    return;
  state_limit (self, rate_limit, now);
}
