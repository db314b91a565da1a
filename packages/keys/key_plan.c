#include "key_plan.h"

#include <math.h>
#include <string.h>

/* Keys count as load even without requests: all keys together weigh this fraction of all
 * requests. */
#define IDLE_LOAD_SHARE 0.25

/* A target that may own keys.  Loads are shares: they sum up to 1 + IDLE_LOAD_SHARE. */
typedef struct
{
  const target_entry_t *target;
  double load;
  double cost; /* time per request, relative to the mean target's */
  uint32_t keys;
  bool immovable; /* no keys can be moved off it now */
  bool cold;
} key_candidate_t;

static int
compare_ids (const name_t *a, const name_t *b)
{
  int order = memcmp (a->at, b->at, MIN (a->len, b->len));

  return order != 0 ? order : (int)a->len - (int)b->len;
}

static int
by_id (const void *left, const void *right)
{
  const target_entry_t *a = left, *b = right;

  return compare_ids (&a->id, &b->id);
}

void
key_plan_sort_targets (GArray *targets)
{
  g_array_sort (targets, by_id);
}

const target_entry_t *
key_plan_find_target (const keys_t *keys, const name_t *id)
{
  guint low = 0, high = keys->targets->len;

  while (low < high)
    {
      guint middle = (low + high) / 2;
      const target_entry_t *target
          = &g_array_index (keys->targets, target_entry_t, middle);
      int order = compare_ids (&target->id, id);
      if (order == 0)
        return target;
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

bool
key_plan_is_eligible (const target_entry_t *target, const key_service_t *self)
{
  return target != NULL && !target->leaving && name_equal (&target->service, &self->name);
}

/* Whether TARGET is cold, as far as is known. */
static bool
is_cold (const keys_t *keys, const target_entry_t *target)
{
  return keys->now < keys->targets_at + target->warm_up_left;
}

/* Whether the targets that aren't cold can own the keys: at least half of them all.  A
 * few would get more than they can serve. */
static bool
has_enough_warm (const keys_t *keys, const key_service_t *self)
{
  guint warm = 0, eligible = 0;

  for (guint i = 0; i < keys->targets->len; i++)
    {
      const target_entry_t *target = &g_array_index (keys->targets, target_entry_t, i);
      if (!key_plan_is_eligible (target, self))
        continue;
      eligible++;
      warm += !is_cold (keys, target);
    }
  return warm > 0 && 2 * warm >= eligible;
}

bool
key_plan_is_receiver (const keys_t *keys,
                      const key_service_t *self,
                      const target_entry_t *target)
{
  return key_plan_is_eligible (target, self)
         && (!is_cold (keys, target) || !has_enough_warm (keys, self));
}

void
key_plan_initial (const keys_t *keys, key_service_t *self)
{
  GArray *eligible = g_array_new (FALSE, FALSE, sizeof (name_t));

  for (guint i = 0; i < keys->targets->len; i++)
    {
      const target_entry_t *target = &g_array_index (keys->targets, target_entry_t, i);
      if (key_plan_is_receiver (keys, self, target))
        g_array_append_val (eligible, target->id);
    }
  g_array_set_size (self->ranges, 0);
  for (guint i = 0; i < eligible->len; i++)
    {
      uint64_t n_keys = KEY_LAST + 1;
      key_range_state_t range
          = { .phase = RANGE_UNASSIGNED,
              .first = (uint32_t)(n_keys * i / eligible->len),
              .last = (uint32_t)(n_keys * (i + 1) / eligible->len) - 1,
              .next_owner = g_array_index (eligible, name_t, i) };
      g_array_append_val (self->ranges, range);
    }
  g_array_unref (eligible);
}

static void
update_request_sums (key_service_t *self)
{
  self->request_sums[0] = 0;
  for (uint32_t i = 0; i < KEY_BUCKETS; i++)
    self->request_sums[i + 1] = self->request_sums[i] + self->loads[i];
}

static double
total_requests (const key_service_t *self)
{
  return self->request_sums[KEY_BUCKETS];
}

/* Decayed count of requests for the keys below KEY. */
static double
requests_below (const key_service_t *self, uint32_t key)
{
  uint32_t bucket = key / KEY_BUCKET_SIZE;
  double part = key % KEY_BUCKET_SIZE == 0
                    ? 0
                    : self->loads[bucket] * (key % KEY_BUCKET_SIZE) / KEY_BUCKET_SIZE;

  return self->request_sums[bucket] + part;
}

static double
load_share (const key_service_t *self, uint32_t first, uint32_t last)
{
  double requests = requests_below (self, last + 1) - requests_below (self, first);
  double keys = (double)(last - first + 1) / (KEY_LAST + 1);
  double total = total_requests (self);

  return (total > 0 ? requests / total : 0) + keys * IDLE_LOAD_SHARE;
}

/* The owner of a range, or its planned owner if it is being moved. */
static const name_t *
eventual_owner (const key_range_state_t *range)
{
  return range->phase == RANGE_REVOKING || range->phase == RANGE_UNASSIGNED
             ? &range->next_owner
             : &range->owner;
}

static uint32_t
service_time_ms (const key_service_t *self, const name_t *id)
{
  char *key = text_dup_c (name_text (id));
  uint32_t service_ms = GPOINTER_TO_UINT (g_hash_table_lookup (self->service_times, key));

  g_free (key);
  return service_ms;
}

/* Targets with rate limits by id, as pointers to rate_share_t. */
static GHashTable *
index_rate_limits (const keys_t *keys)
{
  GHashTable *index = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < keys->rate_limits->len; i++)
    {
      const rate_share_t *share = &g_array_index (keys->rate_limits, rate_share_t, i);
      g_hash_table_insert (index,
                           text_dup_c (name_text (&share->target)),
                           (gpointer)share);
    }
  return index;
}

/* The time per request in ms, as measured, or longer if the target's rate is limited: the
 * one at which the limit would fill its slots.  0: unknown. */
static uint32_t
planned_time_ms (const key_service_t *self,
                 const target_entry_t *target,
                 bool cold,
                 GHashTable *rate_limits)
{
  uint32_t measured = service_time_ms (self, &target->id);
  char *id = text_dup_c (name_text (&target->id));
  const rate_share_t *share = g_hash_table_lookup (rate_limits, id);

  g_free (id);
  if (share == NULL || cold) /* its limit ends with its warm-up */
    return measured;
  double limited = MAX (target->slots, 1) * 1000 / MAX (share->limit, 0.001);
  return MAX (measured, (uint32_t)MIN (limited, KEYS_PLANNED_TIME_MAX_MS));
}

/* Sets each target's cost in units of the mean; an unknown one counts as the mean. */
static void
set_relative_costs (const keys_t *keys, const key_service_t *self, GArray *candidates)
{
  GHashTable *rate_limits = index_rate_limits (keys);
  uint32_t *times = g_new (uint32_t, candidates->len);
  double sum = 0;
  guint known = 0;

  for (guint i = 0; i < candidates->len; i++)
    {
      const target_entry_t *target
          = g_array_index (candidates, key_candidate_t, i).target;
      times[i] = planned_time_ms (self, target, is_cold (keys, target), rate_limits);
      sum += times[i];
      known += times[i] > 0 ? 1 : 0;
    }
  for (guint i = 0; i < candidates->len; i++)
    g_array_index (candidates, key_candidate_t, i).cost
        = times[i] > 0 ? times[i] * known / sum : 1;
  g_free (times);
  g_hash_table_unref (rate_limits);
}

static GArray *
list_candidates (const keys_t *keys, const key_service_t *self)
{
  const target_entry_t *targets
      = (const target_entry_t *)(const void *)keys->targets->data;
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (key_candidate_t));
  int *candidate_of_target = g_new (int, keys->targets->len + 1);
  bool avoids_cold = has_enough_warm (keys, self);

  for (guint i = 0; i < keys->targets->len; i++)
    {
      key_candidate_t candidate
          = { .target = &targets[i], .cold = avoids_cold && is_cold (keys, &targets[i]) };
      candidate_of_target[i] = -1;
      if (!key_plan_is_eligible (&targets[i], self))
        continue;
      candidate_of_target[i] = (int)candidates->len;
      g_array_append_val (candidates, candidate);
    }
  for (guint i = 0; i < self->ranges->len; i++)
    {
      const key_range_state_t *range
          = &g_array_index (self->ranges, key_range_state_t, i);
      const target_entry_t *target = key_plan_find_target (keys, eventual_owner (range));
      int at = target != NULL ? candidate_of_target[target - targets] : -1;
      if (at < 0)
        continue;
      key_candidate_t *candidate = &g_array_index (candidates, key_candidate_t, at);
      candidate->load += load_share (self, range->first, range->last);
      candidate->keys += range->last - range->first + 1;
    }
  g_free (candidate_of_target);
  set_relative_costs (keys, self, candidates);
  return candidates;
}

static double
utilization (const key_candidate_t *candidate)
{
  return candidate->load * candidate->cost;
}

/* Whether SELF is rather given keys than OTHER, which may be NULL. */
static bool
is_preferred (const key_candidate_t *self, const key_candidate_t *other)
{
  if (other == NULL || self->cold != other->cold)
    return other == NULL || other->cold;
  return utilization (self) < utilization (other);
}

bool
key_plan_least_loaded (const keys_t *keys, const key_service_t *self, name_t *owner)
{
  GArray *candidates = list_candidates (keys, self);
  const key_candidate_t *least = NULL;

  for (guint i = 0; i < candidates->len; i++)
    {
      const key_candidate_t *candidate = &g_array_index (candidates, key_candidate_t, i);
      if (is_preferred (candidate, least))
        least = candidate;
    }
  if (least != NULL)
    *owner = least->target->id;
  g_array_unref (candidates);
  return least != NULL;
}

/* Splits range I before key AT, which lies inside it and isn't its first key. */
static void
split_range (key_service_t *self, guint i, uint32_t at)
{
  key_range_state_t upper = g_array_index (self->ranges, key_range_state_t, i);

  g_assert (at > upper.first && at <= upper.last);
  g_array_index (self->ranges, key_range_state_t, i).last = at - 1;
  upper.first = at;
  g_array_insert_val (self->ranges, i + 1, upper);
}

static bool
is_movable (const key_range_state_t *range)
{
  return range->phase == RANGE_OWNED && range->call == 0 && range->granted;
}

void
key_plan_revoke (key_range_state_t *range, const name_t *next)
{
  range->phase = RANGE_REVOKING;
  range->next_owner.len = 0;
  if (next != NULL)
    range->next_owner = *next;
  range->released = false;
  range->superseded = false;
  range->owner_gone = false;
  range->release_attempts = 0;
  range->next_call_at = 0;
  range->fence_confirmed = false;
  range->needs_new_fence = false;
  range->answered = range->unanswered = false;
  range->unanswered_fences = 0;
}

/* Binary search for the first key from which on the range carries at most WANTED load;
 * past the last key if that key alone carries more. */
static uint32_t
find_split (const key_service_t *self, const key_range_state_t *range, double wanted)
{
  uint32_t low = range->first, high = range->last + 1;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      if (middle <= range->last && load_share (self, middle, range->last) > wanted)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static int
heaviest_range (const key_service_t *self, const name_t *owner)
{
  int heaviest = -1;
  double most = 0;

  for (guint i = 0; i < self->ranges->len; i++)
    {
      const key_range_state_t *range
          = &g_array_index (self->ranges, key_range_state_t, i);
      double load = load_share (self, range->first, range->last);
      if (is_movable (range) && name_equal (&range->owner, owner) && load > most)
        {
          heaviest = (int)i;
          most = load;
        }
    }
  return heaviest;
}

/*
 * Moves about WANTED load, and no more than MOST, from FROM's heaviest range to TO.  MOST
 * is larger than WANTED because moving a single key that carries more than is wanted can
 * still even the load.  Returns the load moved.
 */
static double
move_load (
    key_service_t *self, const name_t *from, const name_t *to, double wanted, double most)
{
  int heaviest = heaviest_range (self, from);
  guint i = (guint)heaviest;

  if (heaviest < 0)
    return 0;
  const key_range_state_t *range = &g_array_index (self->ranges, key_range_state_t, i);
  uint32_t at = MIN (find_split (self, range, wanted), range->last);
  double moved = load_share (self, at, range->last);
  if (moved < wanted / 2 && at > range->first
      && load_share (self, at - 1, range->last) <= most)
    moved = load_share (self, --at, range->last);
  if (moved > most)
    {
      /* The last key alone is too much: try to move the keys below it instead. */
      double below = at > range->first ? load_share (self, range->first, at - 1) : 0;
      if (below <= 0 || below > most)
        return 0;
      split_range (self, i, at);
      key_plan_revoke (&g_array_index (self->ranges, key_range_state_t, i), to);
      return below;
    }
  if (at > range->first)
    split_range (self, i++, at);
  key_plan_revoke (&g_array_index (self->ranges, key_range_state_t, i), to);
  return moved;
}

static guint
pending_moves (const key_service_t *self)
{
  guint n = 0;

  for (guint i = 0; i < self->ranges->len; i++)
    n += g_array_index (self->ranges, key_range_state_t, i).phase != RANGE_OWNED;
  return n;
}

/* The utilization, in units of the mean, that a target is unlikely to exceed by random
 * variation alone. */
static double
utilization_limit (const key_service_t *self, guint n_candidates)
{
  double samples = total_requests (self) / n_candidates;
  double limit = KEYS_MOVE_UTILIZATION_PERCENT / 100.0;

  return MAX (limit, 1 + KEYS_MOVE_DEVIATIONS / sqrt (MAX (samples, 1)));
}

/* Whether MOST is so much more utilized than LEAST that a move is worth its cost.  A
 * target without keys gets some whenever MOST has enough of them. */
static bool
is_worth_moving (const key_service_t *self,
                 const key_candidate_t *least,
                 const key_candidate_t *most,
                 double mean,
                 guint n_candidates)
{
  if (least->keys == 0 && most->keys >= 2 * KEYS_JOIN_KEYS_MIN)
    return true;
  return total_requests (self) >= KEYS_MOVE_SAMPLES
         && utilization (most) > mean * utilization_limit (self, n_candidates)
         && utilization (most) - utilization (least) > mean * KEYS_MOVE_GAP_PERCENT / 100;
}

/*
 * Adds the requests since the last plan to the decayed counts.  Where far more came than
 * usual, a hot key has appeared: the block's counts are then replaced by the recent rate,
 * as if it had been constant.  What is usual is known only after several plans' worth of
 * requests.  Blocks that cool down decay as usual.
 */
static void
update_loads (key_service_t *self)
{
  double earlier_total = 0, new_total = 0;

  for (uint32_t i = 0; i < KEY_BUCKETS; i++)
    {
      earlier_total += self->loads[i];
      new_total += self->recent_requests[i];
    }
  bool has_history = earlier_total > new_total * KEYS_HOT_HISTORY;
  for (uint32_t first = 0; first < KEY_BUCKETS; first += KEYS_HOT_BLOCK)
    {
      double earlier = 0, recent = 0;
      for (uint32_t i = first; i < first + KEYS_HOT_BLOCK; i++)
        {
          earlier += self->loads[i];
          recent += self->recent_requests[i];
        }
      double usual = earlier * (1 - KEYS_LOAD_RETENTION) / KEYS_LOAD_RETENTION;
      bool became_hot = has_history && recent >= KEYS_HOT_SAMPLES
                        && recent > KEYS_HOT_FACTOR * (usual + 1);
      for (uint32_t i = first; i < first + KEYS_HOT_BLOCK; i++)
        self->loads[i] = became_hot ? self->recent_requests[i] / (1 - KEYS_LOAD_RETENTION)
                                    : self->loads[i] * KEYS_LOAD_RETENTION
                                          + self->recent_requests[i];
    }
  memset (self->recent_requests, 0, sizeof self->recent_requests);
  self->recent_total = 0;
}

/* The least utilized candidate, a warm one if there is one, and the most utilized one
 * that isn't immovable.  MOST is NULL if all are immovable. */
static void
find_extremes (GArray *candidates, key_candidate_t **least, key_candidate_t **most)
{
  *least = *most = NULL;
  for (guint i = 0; i < candidates->len; i++)
    {
      key_candidate_t *candidate = &g_array_index (candidates, key_candidate_t, i);
      if (is_preferred (candidate, *least))
        *least = candidate;
      if (!candidate->immovable
          && (*most == NULL || utilization (candidate) > utilization (*most)))
        *most = candidate;
    }
}

/* Tries one move from the most to the least utilized candidate.  False if no move is
 * worth its cost. */
static bool
plan_move (key_service_t *self, GArray *candidates, double mean)
{
  key_candidate_t *least, *most;

  find_extremes (candidates, &least, &most);
  if (most == NULL || !is_worth_moving (self, least, most, mean, candidates->len))
    return false;
  /* As much as evens the two, but no more than fills the receiver (or the smallest piece
   * worth a move), so that a hot range is spread over many targets at once. */
  double even = (utilization (most) - utilization (least)) / (most->cost + least->cost);
  double room = mean * KEYS_MOVE_FILL_PERCENT / 100 - utilization (least);
  double min_piece = mean * KEYS_MOVE_MIN_PERCENT / 100;
  double wanted = MIN (even, MAX (room, min_piece) / least->cost);
  double moved = move_load (self,
                            &most->target->id,
                            &least->target->id,
                            wanted,
                            KEYS_MOVE_MAX_FACTOR * even);
  most->load -= moved;
  least->load += moved;
  least->keys += moved > 0;
  most->immovable = moved == 0;
  return true;
}

void
key_plan_rebalance (const keys_t *keys, key_service_t *self, msec_t now)
{
  if (now < self->next_plan_at)
    return;
  self->next_plan_at = now + KEYS_PLAN_MS;
  if (self->recent_total > 0 || total_requests (self) > 0)
    {
      update_loads (self);
      update_request_sums (self);
    }
  GArray *candidates = list_candidates (keys, self);
  guint n = candidates->len;
  guint moves_max = MAX (KEYS_MOVES_MAX, n * KEYS_MOVES_PERCENT / 100);
  double mean = 0;
  for (guint i = 0; i < n; i++)
    mean += utilization (&g_array_index (candidates, key_candidate_t, i)) / n;
  while (n >= 2 && pending_moves (self) < moves_max
         && self->ranges->len < n * KEYS_RANGES_PER_TARGET_MAX
         && plan_move (self, candidates, mean))
    ;
  g_array_unref (candidates);
}
