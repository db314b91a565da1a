#include "pick.h"

#define EJECT_BASE_MS 100
#define EJECT_MAX_MS 2000
#define EJECT_SHIFT_MAX 5
/* A new value's weight in the average latency is 1/LATENCY_AVERAGE_WINDOW. */
#define LATENCY_AVERAGE_WINDOW 8

static bool
is_live_instance (const route_t *self, int target, const name_t *service)
{
  const target_t *entry = &self->table.targets[target];

  return entry->state == TARGET_LIVE && name_equal (&entry->service, service);
}

static uint64_t
cost_of (const route_target_t *target)
{
  return (uint64_t)(target->limit.in_flight + 1) * (target->latency_us + 1);
}

/*
 * Uses only what this worker measured: health and load that targets report lag or
 * mislead.  The target of the last attempt is used only if there is no other.
 */
int
pick_instance (route_t *self,
               const route_request_t *r,
               msec_t now,
               route_reason_t *reason)
{
  uint64_t best_cost = UINT64_MAX;
  int best = INDEX_NONE;
  int fallback = INDEX_NONE;

  *reason = ROUTE_REASON_NO_TARGET;
  for (int t = 0; t < (int)self->table.n_targets; t++)
    {
      const route_target_t *target = &self->targets[t];
      if (!is_live_instance (self, t, &r->service_name) || now < target->ejected_until)
        continue;
      *reason = ROUTE_REASON_FULL;
      if (!limit_has_room (&target->limit))
        continue;
      if (r->attempt > 0 && t == r->target)
        {
          fallback = t;
          continue;
        }
      uint64_t cost = cost_of (target) * 16 + rng_below (&self->rng, 16);
      if (cost < best_cost)
        {
          best = t;
          best_cost = cost;
        }
    }
  return best != INDEX_NONE ? best : fallback;
}

int
pick_owner (route_t *self, const route_request_t *r, msec_t now, route_reason_t *reason)
{
  int owner = table_serving_target (&self->table, r->keyed_index, r->slot);

  *reason = ROUTE_REASON_NO_LEASE;
  if (self->lease_version != self->table.version || now >= self->lease_until)
    return INDEX_NONE;
  *reason = ROUTE_REASON_NO_OWNER;
  if (owner == INDEX_NONE)
    return INDEX_NONE;
  *reason = ROUTE_REASON_FULL;
  return limit_has_room (&self->targets[owner].limit) ? owner : INDEX_NONE;
}

void
pick_record_latency (route_target_t *target, msec_t latency)
{
  uint32_t us = (uint32_t)CLAMP (latency, 0, 60000) * 1000;

  target->latency_us
      = (target->latency_us * (LATENCY_AVERAGE_WINDOW - 1) + us) / LATENCY_AVERAGE_WINDOW;
}

void
pick_record_failure (route_target_t *target, msec_t now)
{
  uint32_t shift = MIN (target->failures, EJECT_SHIFT_MAX);

  target->failures++;
  target->ejected_until = now + MIN (EJECT_BASE_MS << shift, EJECT_MAX_MS);
}

void
pick_record_success (route_target_t *target)
{
  target->failures = 0;
  target->ejected_until = 0;
}

/* The most requests that this worker may have in flight at a target of the service. */
static uint32_t
target_limit (const route_t *self, const service_t *service)
{
  uint32_t sharers = MAX (self->table.n_hosts, 1) * self->n_workers;

  return MAX (service->connections / sharers, 1);
}

/* A target that joins starts cold, with a limit of one request in flight; targets of the
 * first table start with the limit of their service. */
static void
update_target (route_t *self, uint32_t i, bool first)
{
  const target_t *from = &self->table.targets[i];
  route_target_t *to = &self->targets[i];
  const service_t *service = config_find_by_name (&self->config, &from->service);

  if (from->state == TARGET_FREE || service == NULL)
    return;
  uint32_t max = target_limit (self, service);
  if (target_same_instance (&to->target, from) && to->limit.max > 0)
    {
      limit_set_max (&to->limit, max);
      return;
    }
  uint32_t in_flight = to->limit.in_flight;
  *to = (route_target_t){ .target = *from };
  limit_init (&to->limit, first ? service->slots : 1, max);
  to->limit.in_flight = in_flight;
}

void
pick_update_targets (route_t *self, bool first)
{
  for (uint32_t i = 0; i < self->table.n_targets; i++)
    update_target (self, i, first);
}
