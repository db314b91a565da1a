#include "key_plan.h"

/* A key without requests still counts, so that idle keys are spread too. */
#define IDLE_LOAD_SHARE 0.25

typedef struct
{
  const target_entry_t *target;
  double load;
  uint32_t keys;
} key_bearer_t;

const target_entry_t *
key_plan_find (const keys_t *keys, const name_t *id)
{
  for (guint i = 0; i < keys->targets->len; i++)
    {
      const target_entry_t *target = &g_array_index (keys->targets, target_entry_t, i);
      if (name_equal (&target->id, id))
        return target;
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
      key_span_t span
          = { .state = RUN_FREE,
              .first = (uint32_t)((uint64_t)(KEY_LAST + 1) * i / usable->len),
              .last = (uint32_t)((uint64_t)(KEY_LAST + 1) * (i + 1) / usable->len) - 1,
              .next = g_array_index (usable, name_t, i) };
      g_array_append_val (self->spans, span);
    }
  g_array_unref (usable);
}

static double
total_load (const key_service_t *self)
{
  double total = 0;

  for (uint32_t i = 0; i < KEY_STEPS; i++)
    total += self->loads[i];
  return total;
}

/* The load of keys FIRST to LAST, idle keys included; all keys have 1 + IDLE_LOAD_SHARE.
 */
static double
load_of (const key_service_t *self, double total, uint32_t first, uint32_t last)
{
  double load = 0;

  for (uint32_t step = first / KEY_STEP; step <= last / KEY_STEP; step++)
    {
      uint32_t from = MAX (first, step * KEY_STEP);
      uint32_t to = MIN (last, step * KEY_STEP + KEY_STEP - 1);
      load += self->loads[step] * (to - from + 1) / KEY_STEP;
    }
  double keys = (double)(last - first + 1) / (KEY_LAST + 1);
  return (total > 0 ? load / total : 0) + keys * IDLE_LOAD_SHARE;
}

static const name_t *
bearer_of (const key_span_t *span)
{
  return span->state == RUN_LEAVING || span->state == RUN_FREE ? &span->next
                                                               : &span->owner;
}

/* The usable targets with what they bear, moves under way counted as done. */
static GArray *
list_bearers (const keys_t *keys, const key_service_t *self, double total)
{
  GArray *bearers = g_array_new (FALSE, FALSE, sizeof (key_bearer_t));

  for (guint i = 0; i < keys->targets->len; i++)
    {
      const target_entry_t *target = &g_array_index (keys->targets, target_entry_t, i);
      key_bearer_t bearer = { .target = target };
      if (!key_plan_usable (target, self))
        continue;
      for (guint j = 0; j < self->spans->len; j++)
        {
          const key_span_t *span = &g_array_index (self->spans, key_span_t, j);
          if (!name_equal (bearer_of (span), &target->id))
            continue;
          bearer.load += load_of (self, total, span->first, span->last);
          bearer.keys += span->last - span->first + 1;
        }
      g_array_append_val (bearers, bearer);
    }
  return bearers;
}

bool
key_plan_owner (const keys_t *keys, const key_service_t *self, name_t *owner)
{
  GArray *bearers = list_bearers (keys, self, total_load (self));
  const key_bearer_t *least = NULL;

  for (guint i = 0; i < bearers->len; i++)
    {
      const key_bearer_t *bearer = &g_array_index (bearers, key_bearer_t, i);
      if (least == NULL || bearer->load < least->load)
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

/* The key of span I above which WANTED of the load lies, or its first key. */
static uint32_t
cut_point (const key_service_t *self, double total, const key_span_t *span, double wanted)
{
  double above = 0;
  uint32_t key = span->last;

  while (key > span->first)
    {
      uint32_t from = MAX (key / KEY_STEP * KEY_STEP, span->first);
      double piece = load_of (self, total, from, key);
      if (above + piece > wanted && above > 0)
        return key + 1;
      if (above + piece > wanted)
        {
          /* One step outweighs it all: cut inside, as far as single keys. */
          uint32_t keys = key - from + 1;
          uint32_t part = (uint32_t)(keys * wanted / piece);
          return keys > 1 ? key + 1 - CLAMP (part, 1, keys - 1) : span->first;
        }
      above += piece;
      if (from == 0)
        break;
      key = from - 1;
    }
  return span->first;
}

/* Moves about WANTED load of FROM's heaviest run to TO. */
static void
move_load (key_service_t *self,
           double total,
           const name_t *from,
           const name_t *to,
           double wanted)
{
  guint heaviest = 0;
  double most = -1;

  for (guint i = 0; i < self->spans->len; i++)
    {
      const key_span_t *span = &g_array_index (self->spans, key_span_t, i);
      double load = load_of (self, total, span->first, span->last);
      if (is_movable (span) && name_equal (&span->owner, from) && load > most)
        {
          heaviest = i;
          most = load;
        }
    }
  if (most < 0)
    return;
  const key_span_t *span = &g_array_index (self->spans, key_span_t, heaviest);
  uint32_t at = cut_point (self, total, span, wanted);
  if (at > span->first)
    cut (self, heaviest++, at);
  else if (most > wanted * 2)
    return; /* moving it whole would only change who is overloaded */
  key_plan_take_back (&g_array_index (self->spans, key_span_t, heaviest), to);
}

static int
by_load (const void *left, const void *right)
{
  const key_bearer_t *a = left, *b = right;

  return a->load < b->load ? -1 : a->load > b->load;
}

static bool
moves_under_way (const key_service_t *self)
{
  for (guint i = 0; i < self->spans->len; i++)
    if (g_array_index (self->spans, key_span_t, i).state != RUN_HELD)
      return true;
  return false;
}

void
key_plan_moves (const keys_t *keys, key_service_t *self, msec_t now)
{
  double total = total_load (self);

  if (now < self->plan_at || moves_under_way (self))
    return;
  self->plan_at = now + KEYS_PLAN_MS;
  GArray *bearers = list_bearers (keys, self, total);
  g_array_sort (bearers, by_load);
  double mean = (1 + IDLE_LOAD_SHARE) / MAX (bearers->len, 1);
  guint low = 0, high = bearers->len;
  while (high > low + 1)
    {
      const key_bearer_t *least = &g_array_index (bearers, key_bearer_t, low++);
      const key_bearer_t *most = &g_array_index (bearers, key_bearer_t, --high);
      bool joins = least->keys == 0 && most->keys >= 2 * KEYS_JOIN_KEYS_MIN;
      bool hot = self->samples >= KEYS_MOVE_SAMPLES
                 && most->load > mean * KEYS_MOVE_LOAD_PERCENT / 100;
      if (!joins && !hot)
        break;
      move_load (self,
                 total,
                 &most->target->id,
                 &least->target->id,
                 (most->load - least->load) / 2);
    }
  g_array_unref (bearers);
}
