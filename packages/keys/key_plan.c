#include "key_plan.h"

#include <math.h>
#include <string.h>

/* Keys without requests count too, all together this much of the load. */
#define IDLE_LOAD 0.25

/* One target that may own keys.  Loads are shares: all keys bear 1 + IDLE_LOAD. */
typedef struct
{
  const target_entry_t *target;
  double load;
  double work; /* for one request, times the mean target's */
  uint32_t keys;
  bool stuck; /* nothing of it can be moved now */
} key_bearer_t;

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
key_plan_sort (GArray *targets)
{
  g_array_sort (targets, by_id);
}

const target_entry_t *
key_plan_find (const keys_t *keys, const name_t *id)
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
key_plan_usable (const target_entry_t *target, const key_service_t *self)
{
  return target != NULL && !target->leaving && name_equal (&target->service, &self->name);
}

void
key_plan_first (const keys_t *keys, key_service_t *self)
{
  GArray *usable = g_array_new (FALSE, FALSE, sizeof (name_t));

  for (guint i = 0; i < keys->targets->len; i++)
    {
      const target_entry_t *target = &g_array_index (keys->targets, target_entry_t, i);
      if (key_plan_usable (target, self))
        g_array_append_val (usable, target->id);
    }
  g_array_set_size (self->spans, 0);
  for (guint i = 0; i < usable->len; i++)
    {
      uint64_t all = KEY_LAST + 1;
      key_span_t span = { .state = RUN_FREE,
                          .first = (uint32_t)(all * i / usable->len),
                          .last = (uint32_t)(all * (i + 1) / usable->len) - 1,
                          .next = g_array_index (usable, name_t, i) };
      g_array_append_val (self->spans, span);
    }
  g_array_unref (usable);
}

static void
sum_loads (key_service_t *self)
{
  self->sums[0] = 0;
  for (uint32_t i = 0; i < KEY_STEPS; i++)
    self->sums[i + 1] = self->sums[i] + self->loads[i];
}

static double
total_of (const key_service_t *self)
{
  return self->sums[KEY_STEPS];
}

/* Requests for the keys below KEY. */
static double
load_below (const key_service_t *self, uint32_t key)
{
  uint32_t step = key / KEY_STEP;
  double part = key % KEY_STEP == 0 ? 0 : self->loads[step] * (key % KEY_STEP) / KEY_STEP;

  return self->sums[step] + part;
}

static double
load_of (const key_service_t *self, uint32_t first, uint32_t last)
{
  double requests = load_below (self, last + 1) - load_below (self, first);
  double keys = (double)(last - first + 1) / (KEY_LAST + 1);
  double total = total_of (self);

  return (total > 0 ? requests / total : 0) + keys * IDLE_LOAD;
}

/* Who bears a run, or will once the move under way has ended. */
static const name_t *
bearer_of (const key_span_t *span)
{
  return span->state == RUN_LEAVING || span->state == RUN_FREE ? &span->next
                                                               : &span->owner;
}

static uint32_t
work_ms (const key_service_t *self, const name_t *id)
{
  char *key = text_dup_c (name_text (id));
  uint32_t work = GPOINTER_TO_UINT (g_hash_table_lookup (self->work_ms, key));

  g_free (key);
  return work;
}

/* Sets each target's work in units of the mean; one that is unknown counts as the mean.
 */
static void
weigh_work (const key_service_t *self, GArray *bearers)
{
  double sum = 0;
  guint known = 0;

  for (guint i = 0; i < bearers->len; i++)
    {
      uint32_t work
          = work_ms (self, &g_array_index (bearers, key_bearer_t, i).target->id);
      sum += work;
      known += work > 0 ? 1 : 0;
    }
  for (guint i = 0; i < bearers->len; i++)
    {
      key_bearer_t *bearer = &g_array_index (bearers, key_bearer_t, i);
      uint32_t work = work_ms (self, &bearer->target->id);
      bearer->work = work > 0 ? work * known / sum : 1;
    }
}

static GArray *
list_bearers (const keys_t *keys, const key_service_t *self)
{
  const target_entry_t *targets
      = (const target_entry_t *)(const void *)keys->targets->data;
  GArray *bearers = g_array_new (FALSE, FALSE, sizeof (key_bearer_t));
  int *bearer_of_target = g_new (int, keys->targets->len + 1);

  for (guint i = 0; i < keys->targets->len; i++)
    {
      key_bearer_t bearer = { .target = &targets[i] };
      bearer_of_target[i] = -1;
      if (!key_plan_usable (&targets[i], self))
        continue;
      bearer_of_target[i] = (int)bearers->len;
      g_array_append_val (bearers, bearer);
    }
  for (guint i = 0; i < self->spans->len; i++)
    {
      const key_span_t *span = &g_array_index (self->spans, key_span_t, i);
      const target_entry_t *target = key_plan_find (keys, bearer_of (span));
      int at = target != NULL ? bearer_of_target[target - targets] : -1;
      if (at < 0)
        continue;
      key_bearer_t *bearer = &g_array_index (bearers, key_bearer_t, at);
      bearer->load += load_of (self, span->first, span->last);
      bearer->keys += span->last - span->first + 1;
    }
  g_free (bearer_of_target);
  weigh_work (self, bearers);
  return bearers;
}

static double
use_of (const key_bearer_t *bearer)
{
  return bearer->load * bearer->work;
}

bool
key_plan_owner (const keys_t *keys, const key_service_t *self, name_t *owner)
{
  GArray *bearers = list_bearers (keys, self);
  const key_bearer_t *least = NULL;

  for (guint i = 0; i < bearers->len; i++)
    {
      const key_bearer_t *bearer = &g_array_index (bearers, key_bearer_t, i);
      if (least == NULL || use_of (bearer) < use_of (least))
        least = bearer;
    }
  if (least != NULL)
    *owner = least->target->id;
  g_array_unref (bearers);
  return least != NULL;
}

/* Cuts span I before key AT, which lies inside it. */
static void
cut (key_service_t *self, guint i, uint32_t at)
{
  key_span_t upper = g_array_index (self->spans, key_span_t, i);

  g_assert (at > upper.first && at <= upper.last);
  g_array_index (self->spans, key_span_t, i).last = at - 1;
  upper.first = at;
  g_array_insert_val (self->spans, i + 1, upper);
}

static bool
is_movable (const key_span_t *span)
{
  return span->state == RUN_HELD && !span->calling && span->warm;
}

void
key_plan_take_back (key_span_t *span, const name_t *next)
{
  span->state = RUN_LEAVING;
  span->next.len = 0;
  if (next != NULL)
    span->next = *next;
  span->released = false;
  span->tries = 0;
  span->call_after = 0;
}

/* The key of the span from which on WANTED of the load lies, by halving. */
static uint32_t
cut_point (const key_service_t *self, const key_span_t *span, double wanted)
{
  uint32_t low = span->first, high = span->last + 1;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      if (middle <= span->last && load_of (self, middle, span->last) > wanted)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static int
heaviest_span (const key_service_t *self, const name_t *owner)
{
  int heaviest = -1;
  double most = 0;

  for (guint i = 0; i < self->spans->len; i++)
    {
      const key_span_t *span = &g_array_index (self->spans, key_span_t, i);
      double load = load_of (self, span->first, span->last);
      if (is_movable (span) && name_equal (&span->owner, owner) && load > most)
        {
          heaviest = (int)i;
          most = load;
        }
    }
  return heaviest;
}

/*
 * Moves about WANTED load from FROM's heaviest run to TO, MOST at most: a single key may
 * be more than what is wanted, and moving it still gain.  Returns what it moved.
 */
static double
move_load (
    key_service_t *self, const name_t *from, const name_t *to, double wanted, double most)
{
  int heaviest = heaviest_span (self, from);
  guint i = (guint)heaviest;

  if (heaviest < 0)
    return 0;
  const key_span_t *span = &g_array_index (self->spans, key_span_t, i);
  uint32_t at = MIN (cut_point (self, span, wanted), span->last);
  double moved = load_of (self, at, span->last);
  if (moved < wanted / 2 && at > span->first
      && load_of (self, at - 1, span->last) <= most)
    moved = load_of (self, --at, span->last);
  if (moved > most)
    {
      /* The last key alone is too much; the rest of its run, which is below it, may go.
       */
      double below = at > span->first ? load_of (self, span->first, at - 1) : 0;
      if (below <= 0 || below > most)
        return 0;
      cut (self, i, at);
      key_plan_take_back (&g_array_index (self->spans, key_span_t, i), to);
      return below;
    }
  if (at > span->first)
    cut (self, i++, at);
  key_plan_take_back (&g_array_index (self->spans, key_span_t, i), to);
  return moved;
}

static guint
moves_under_way (const key_service_t *self)
{
  guint n = 0;

  for (guint i = 0; i < self->spans->len; i++)
    n += g_array_index (self->spans, key_span_t, i).state != RUN_HELD;
  return n;
}

/* The use, in units of the mean, above which a target bears more than chance explains. */
static double
use_limit (const key_service_t *self, guint bearers)
{
  double samples = total_of (self) / bearers;
  double limit = KEYS_MOVE_USE_PERCENT / 100.0;

  return MAX (limit, 1 + KEYS_MOVE_DEVIATIONS / sqrt (MAX (samples, 1)));
}

/* Whether MOST bears so much more than LEAST that a move is worth its price. */
static bool
is_worth_moving (const key_service_t *self,
                 const key_bearer_t *least,
                 const key_bearer_t *most,
                 double mean,
                 guint bearers)
{
  if (least->keys == 0 && most->keys >= 2 * KEYS_JOIN_KEYS_MIN)
    return true;
  return total_of (self) >= KEYS_MOVE_SAMPLES
         && use_of (most) > mean * use_limit (self, bearers)
         && use_of (most) - use_of (least) > mean * KEYS_MOVE_GAP_PERCENT / 100;
}

/*
 * Counts what came since the last plan.  Where much more or much less came than before, a
 * hot key has appeared or gone: what came then counts as if it had come all the time.
 */
static void
count_recent (key_service_t *self)
{
  double before = 0, now = 0;

  for (uint32_t i = 0; i < KEY_STEPS; i++)
    {
      before += self->loads[i];
      now += self->recent[i];
    }
  bool known = before > now * KEYS_SHIFT_HISTORY;
  for (uint32_t first = 0; first < KEY_STEPS; first += KEYS_SHIFT_BLOCK)
    {
      double held = 0, came = 0;
      for (uint32_t i = first; i < first + KEYS_SHIFT_BLOCK; i++)
        {
          held += self->loads[i];
          came += self->recent[i];
        }
      double usual = held * (1 - KEYS_LOAD_KEEP) / KEYS_LOAD_KEEP;
      bool shifted
          = known && came >= KEYS_SHIFT_SAMPLES && came > KEYS_SHIFT_FACTOR * (usual + 1);
      for (uint32_t i = first; i < first + KEYS_SHIFT_BLOCK; i++)
        self->loads[i] = shifted ? self->recent[i] / (1 - KEYS_LOAD_KEEP)
                                 : self->loads[i] * KEYS_LOAD_KEEP + self->recent[i];
    }
  memset (self->recent, 0, sizeof self->recent);
  self->n_recent = 0;
}

/* The bearers with the least and the most use; MOST may be NULL if all were passed over.
 */
static void
find_ends (GArray *bearers, key_bearer_t **least, key_bearer_t **most)
{
  *least = *most = NULL;
  for (guint i = 0; i < bearers->len; i++)
    {
      key_bearer_t *bearer = &g_array_index (bearers, key_bearer_t, i);
      if (*least == NULL || use_of (bearer) < use_of (*least))
        *least = bearer;
      if (!bearer->stuck && (*most == NULL || use_of (bearer) > use_of (*most)))
        *most = bearer;
    }
}

/* One move from the bearer with the most use to the one with the least.  False if none is
 * worth while. */
static bool
plan_move (key_service_t *self, GArray *bearers, double mean)
{
  key_bearer_t *least, *most;

  find_ends (bearers, &least, &most);
  if (most == NULL || !is_worth_moving (self, least, most, mean, bearers->len))
    return false;
  /* So much that both bear the same use afterwards, or that fills the taker: a hot run
   * goes to many targets at once. */
  double even = (use_of (most) - use_of (least)) / (most->work + least->work);
  double room = mean * KEYS_MOVE_FILL_PERCENT / 100 - use_of (least);
  double least_piece = mean * KEYS_MOVE_PIECE_PERCENT / 100;
  double wanted = MIN (even, MAX (room, least_piece) / least->work);
  double moved = move_load (self,
                            &most->target->id,
                            &least->target->id,
                            wanted,
                            KEYS_MOVE_GAIN * even);
  most->load -= moved;
  least->load += moved;
  least->keys += moved > 0;
  most->stuck = moved == 0;
  return true;
}

void
key_plan_moves (const keys_t *keys, key_service_t *self, msec_t now)
{
  if (now < self->plan_at)
    return;
  self->plan_at = now + KEYS_PLAN_MS;
  if (self->n_recent > 0 || total_of (self) > 0)
    {
      count_recent (self);
      sum_loads (self);
    }
  GArray *bearers = list_bearers (keys, self);
  guint n = bearers->len;
  guint moves_max = MAX (KEYS_MOVES_MAX, n * KEYS_MOVES_PERCENT / 100);
  double mean = 0;
  for (guint i = 0; i < n; i++)
    mean += use_of (&g_array_index (bearers, key_bearer_t, i)) / n;
  while (n >= 2 && moves_under_way (self) < moves_max
         && self->spans->len < n * KEYS_RUNS_MAX && plan_move (self, bearers, mean))
    ;
  g_array_unref (bearers);
}
