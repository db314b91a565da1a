#include "plan.h"

#include <string.h>

/* Weights are in thousandths of the mean load of a slot. */
#define WEIGHT_EVEN 1000
/* Added to each slot's weight, so that slots without load are spread as well. */
#define WEIGHT_IDLE 100

typedef struct
{
  uint64_t load[TARGET_MAX];
  uint32_t slots[TARGET_MAX];
} plan_sums_t;

static uint64_t
total_load (const place_t *self, uint32_t keyed)
{
  uint64_t total = 0;

  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    total += self->loads[keyed][s];
  return total;
}

static uint64_t
slot_weight (const place_t *self, uint32_t keyed, uint32_t slot, uint64_t total)
{
  if (total == 0)
    return WEIGHT_EVEN;
  return WEIGHT_IDLE
         + (uint64_t)self->loads[keyed][slot] * SLOT_COUNT * WEIGHT_EVEN / total;
}

static bool
is_usable (const place_t *self, int target, const name_t *service)
{
  const target_t *entry = &self->candidate.targets[target];

  return entry->state == TARGET_LIVE && name_equal (&entry->service, service);
}

/* The owner of the slot once the current move, if any, is complete. */
static int
eventual_owner (const slot_t *slot)
{
  return slot->next != INDEX_NONE ? slot->next : slot->owner;
}

static void
sum_loads (const place_t *self, uint32_t keyed, uint64_t total, plan_sums_t *sums)
{
  memset (sums, 0, sizeof *sums);
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    {
      int target = eventual_owner (&self->candidate.slots[keyed][s]);
      if (target == INDEX_NONE)
        continue;
      sums->load[target] += slot_weight (self, keyed, s, total);
      sums->slots[target]++;
    }
}

static int
least_loaded (const place_t *self, const plan_sums_t *sums, const name_t *service)
{
  int best = INDEX_NONE;

  for (int t = 0; t < (int)self->candidate.n_targets; t++)
    if (is_usable (self, t, service)
        && (best == INDEX_NONE || sums->load[t] < sums->load[best]))
      best = t;
  return best;
}

static int
most_loaded (const place_t *self, const plan_sums_t *sums, const name_t *service)
{
  int best = INDEX_NONE;

  for (int t = 0; t < (int)self->candidate.n_targets; t++)
    if (is_usable (self, t, service)
        && (best == INDEX_NONE || sums->load[t] > sums->load[best]))
      best = t;
  return best;
}

static void
shift_load (plan_sums_t *sums, int from, int to, uint64_t weight)
{
  if (from != INDEX_NONE)
    sums->load[from] -= weight;
  sums->load[to] += weight;
}

void
plan_log_move (
    GArray *out, uint32_t keyed, uint32_t slot, int from, int to, move_reason_t reason)
{
  place_out_t moved = { .kind = PLACE_LOG_MOVE,
                        .keyed = keyed,
                        .slot = slot,
                        .from = from,
                        .to = to,
                        .reason = reason };

  g_array_append_val (out, moved);
}

static move_reason_t
repair_reason (const place_t *self, int target)
{
  if (target == INDEX_NONE)
    return MOVE_REASON_UNOWNED;
  return self->candidate.targets[target].state == TARGET_LOST ? MOVE_REASON_LOST
                                                              : MOVE_REASON_LEAVING;
}

static void
repair_slot (place_t *self, uint32_t keyed, uint32_t s, int to, GArray *out)
{
  slot_t *slot = &self->candidate.slots[keyed][s];
  int from = eventual_owner (slot);

  if (slot->owner == INDEX_NONE)
    {
      slot->owner = (int16_t)to;
      slot->epoch = self->candidate.version;
    }
  else
    slot->next = (int16_t)to;
  plan_log_move (out, keyed, s, from, to, repair_reason (self, from));
}

bool
plan_repairs (place_t *self, uint32_t keyed, const name_t *service, GArray *out)
{
  uint64_t total = total_load (self, keyed);
  bool changed = false;
  plan_sums_t sums;

  sum_loads (self, keyed, total, &sums);
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    {
      int owner = eventual_owner (&self->candidate.slots[keyed][s]);
      if (owner != INDEX_NONE && is_usable (self, owner, service))
        continue;
      int to = least_loaded (self, &sums, service);
      if (to == INDEX_NONE)
        break;
      shift_load (&sums, owner, to, slot_weight (self, keyed, s, total));
      repair_slot (self, keyed, s, to, out);
      changed = true;
    }
  return changed;
}

/* The heaviest slot of FROM that is not moving and is no heavier than half the gap, so
 * that the move does not reverse it. */
static int
pick_slot (const place_t *self, uint32_t keyed, int from, uint64_t gap, uint64_t total)
{
  uint64_t best_weight = 0;
  int best = INDEX_NONE;

  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    {
      const slot_t *slot = &self->candidate.slots[keyed][s];
      if (slot->owner != from || slot->next != INDEX_NONE)
        continue;
      uint64_t weight = slot_weight (self, keyed, s, total);
      if (2 * weight <= gap && weight > best_weight)
        {
          best = (int)s;
          best_weight = weight;
        }
    }
  return best;
}

/*
 * The gap, in percent of the highest load, up to which no slots are moved: the
 * higher churn is weighted against imbalance, the wider.
 */
static uint64_t
tolerated_percent (const config_t *config)
{
  return 4 + 4 * (uint64_t)config->weight_churn / (1 + config->weight_imbalance);
}

bool
plan_balance (place_t *self, uint32_t keyed, const name_t *service, GArray *out)
{
  uint64_t total = total_load (self, keyed);
  uint32_t moves = 0;
  plan_sums_t sums;

  sum_loads (self, keyed, total, &sums);
  while (moves < PLACE_MOVES_PER_ROUND)
    {
      int from = most_loaded (self, &sums, service);
      int to = least_loaded (self, &sums, service);
      if (from == to)
        break;
      uint64_t gap = sums.load[from] - sums.load[to];
      if (gap * 100 <= sums.load[from] * tolerated_percent (&self->config))
        break;
      int s = pick_slot (self, keyed, from, gap, total);
      if (s == INDEX_NONE)
        break;
      shift_load (&sums, from, to, slot_weight (self, keyed, (uint32_t)s, total));
      self->candidate.slots[keyed][s].next = (int16_t)to;
      plan_log_move (out, keyed, (uint32_t)s, from, to, MOVE_REASON_BALANCE);
      moves++;
    }
  return moves > 0;
}
