#include "targets.h"

#include "losses.h"

/* Moving averages keep 7/8 of what they were. */
#define AVERAGE_SHIFT 3

static dispatch_target_t *
at (const dispatch_t *self, uint32_t i)
{
  return g_ptr_array_index (self->targets, i);
}

/* What its last report still says of others' requests, in thousandths. */
static msec_t
told_others (const dispatch_target_t *self, msec_t now)
{
  msec_t age = CLAMP (now - self->reported_at, 0, DISPATCH_REPORT_KEEP_MS);

  return self->others * 1000 * (DISPATCH_REPORT_KEEP_MS - age) / DISPATCH_REPORT_KEEP_MS;
}

uint32_t
target_load (const dispatch_target_t *self, msec_t now)
{
  return self->in_flight + (uint32_t)(told_others (self, now) / 1000);
}

/* The load by which targets are compared: an old report gives way to what is usual. */
static msec_t
likely_load (const dispatch_target_t *self, msec_t now)
{
  msec_t age = CLAMP (now - self->reported_at, 0, DISPATCH_REPORT_KEEP_MS);

  return self->in_flight * 1000 + told_others (self, now)
         + self->usual * age / DISPATCH_REPORT_KEEP_MS;
}

static msec_t
work_of (const dispatch_target_t *self, msec_t now)
{
  return now < self->warm_at ? 2 * (msec_t)self->work_ms : (msec_t)self->work_ms;
}

msec_t
target_expected (const dispatch_target_t *self, msec_t now)
{
  uint32_t slots = MAX (self->entry.slots, 1);
  uint32_t load = target_load (self, now);
  msec_t work = work_of (self, now);
  msec_t queued = load < slots ? 0 : (load - slots + 1) * work / slots;

  return (work + queued) * (1000 + 3 * (msec_t)self->errors_permille) / 1000;
}

bool
target_has_room (const dispatch_target_t *self, msec_t objective, msec_t now)
{
  uint32_t slots = MAX (self->entry.slots, 1);
  uint32_t load = target_load (self, now);

  if (load < slots)
    return true;
  if (load >= slots + DISPATCH_TARGET_LOAD_MAX)
    return false;
  return now + target_expected (self, now) <= objective;
}

static void
average (uint32_t *value, uint32_t sample)
{
  *value = (uint32_t)(((uint64_t)*value * ((1 << AVERAGE_SHIFT) - 1) + sample)
                      >> AVERAGE_SHIFT);
}

static void
take_for_full (dispatch_target_t *self, msec_t now)
{
  self->others = MAX (self->entry.slots, 1) + DISPATCH_TARGET_LOAD_MAX;
  self->reported_at = now;
}

void
target_answered (dispatch_target_t *self,
                 const dispatch_request_t *request,
                 const dispatch_msg_t *msg,
                 msec_t now)
{
  uint32_t slots = MAX (self->entry.slots, 1);
  bool run = msg->answer == ANSWER_RUN;

  self->failures = 0;
  if (msg->load.told)
    {
      uint32_t there = msg->load.running + msg->load.waiting;
      self->others = there > self->in_flight ? there - self->in_flight : 0;
      self->reported_at = now;
      average (&self->usual, self->others * 1000);
    }
  else if (msg->answer == ANSWER_FULL)
    take_for_full (self, now);
  if (run && msg->status < 500)
    {
      msec_t spent = now - request->sent_at;
      uint32_t turns = MAX (request->load_at_send, slots);
      average (&self->work_ms, (uint32_t)MAX (spent * slots / turns, 1));
    }
  if (msg->answer == ANSWER_STRANGER)
    self->replaced = true;
  average (&self->errors_permille,
           (run && msg->status >= 500) || msg->answer == ANSWER_FULL ? 1000 : 0);
}

static void
count_failure (dispatch_target_t *self, bool avoid, msec_t now)
{
  msec_t pause = DISPATCH_AVOID_MS << MIN (self->failures, 5);

  self->failures++;
  average (&self->errors_permille, 1000);
  if (avoid || self->failures > 1)
    self->avoid_until = now + MIN (pause, DISPATCH_AVOID_MAX_MS);
}

void
target_failed (dispatch_target_t *self, const dispatch_msg_t *msg, msec_t now)
{
  /* It accepts no more connections while it has many, or a long queue. */
  if (msg->turned_away)
    take_for_full (self, now);
  count_failure (self, !msg->connected, now);
}

void
target_silent (dispatch_target_t *self, msec_t now)
{
  count_failure (self, false, now);
}

static int
find (const dispatch_t *self, text_t id, uint64_t born)
{
  for (guint i = 0; i < self->targets->len; i++)
    {
      const dispatch_target_t *target = at (self, i);
      if (target->used && target->entry.born == born
          && text_equal (name_text (&target->entry.id), id))
        return (int)i;
    }
  return -1;
}

static dispatch_target_t *
add (dispatch_t *self, const target_entry_t *entry, uint32_t service, msec_t now)
{
  const dispatch_service_t *of = g_ptr_array_index (self->services, service);
  dispatch_target_t *target = NULL;

  for (guint i = 0; i < self->targets->len && target == NULL; i++)
    if (!at (self, i)->used)
      target = at (self, i);
  if (target == NULL)
    {
      target = g_new0 (dispatch_target_t, 1);
      g_ptr_array_add (self->targets, target);
    }
  *target = (dispatch_target_t){ .used = true,
                                 .entry = *entry,
                                 .service = service,
                                 .work_ms = of->work_ms,
                                 .reported_at = now - DISPATCH_REPORT_KEEP_MS,
                                 .warm_at = now + entry->warm_up_left,
                                 .leaving_at = MSEC_NEVER };
  return target;
}

static int
service_index (const dispatch_t *self, text_t name)
{
  for (guint i = 0; i < self->services->len; i++)
    {
      const dispatch_service_t *service = g_ptr_array_index (self->services, i);
      if (text_equal (name_text (&service->name), name))
        return (int)i;
    }
  return -1;
}

/* Tells the lives of targets apart; equal keys are compared in full. */
static uint64_t
life_key (const target_entry_t *entry)
{
  return text_hash (name_text (&entry->id)) ^ entry->born;
}

/* The places of all used targets by the key of their life. */
static GHashTable *
index_lives (const dispatch_t *self, uint64_t *keys)
{
  GHashTable *index = g_hash_table_new (g_int64_hash, g_int64_equal);

  for (guint i = 0; i < self->targets->len; i++)
    {
      keys[i] = life_key (&at (self, i)->entry);
      if (at (self, i)->used)
        g_hash_table_insert (index, &keys[i], GUINT_TO_POINTER (i + 1));
    }
  return index;
}

static int
find_life (const dispatch_t *self, GHashTable *index, const target_entry_t *entry)
{
  uint64_t key = life_key (entry);
  guint place = GPOINTER_TO_UINT (g_hash_table_lookup (index, &key));

  if (place > 0 && name_equal (&at (self, place - 1)->entry.id, &entry->id)
      && at (self, place - 1)->entry.born == entry->born)
    return (int)place - 1;
  return place > 0 ? find (self, name_text (&entry->id), entry->born) : -1;
}

void
targets_update (dispatch_t *self, const GArray *entries, msec_t now, GArray *out)
{
  uint64_t *keys = g_new (uint64_t, self->targets->len);
  GHashTable *index = index_lives (self, keys);

  for (guint i = 0; i < self->targets->len; i++)
    at (self, i)->listed = false;
  for (guint i = 0; i < entries->len; i++)
    {
      const target_entry_t *entry = &g_array_index (entries, target_entry_t, i);
      int service = service_index (self, name_text (&entry->service));
      if (service < 0)
        continue; /* no configuration uses it yet; it comes again with the next list */
      int known = find_life (self, index, entry);
      dispatch_target_t *target = known >= 0 ? at (self, (uint32_t)known)
                                             : add (self, entry, (uint32_t)service, now);
      if (!name_equal (&target->entry.address, &entry->address))
        target->replaced = false;
      target->entry = *entry;
      target->listed = true;
      if (!entry->leaving)
        target->leaving_at = MSEC_NEVER;
      else if (target->leaving_at == MSEC_NEVER)
        target->leaving_at = now;
    }
  g_hash_table_unref (index);
  g_free (keys);
  for (guint i = 0; i < self->targets->len; i++)
    {
      dispatch_target_t *target = at (self, i);
      if (!target->used || target->listed)
        continue;
      if (!target->entry.leaving)
        losses_confirm (self, target, now, out);
      dispatch_out_t forget = { .kind = DISPATCH_FORGET, .target = i };
      g_array_append_val (out, forget);
      target->used = target->in_flight > 0;
    }
}

static bool
usable (const dispatch_target_t *target)
{
  return target->used && target->listed && !target->entry.leaving && !target->replaced;
}

/* Whether this host may hold one more connection to TARGET, of those that it accepts from
 * all hosts together. */
static bool
within_share (const dispatch_t *self, const dispatch_target_t *target)
{
  const dispatch_service_t *service = g_ptr_array_index (self->services, target->service);
  uint32_t share = service->connections / MAX (self->bounds.hosts, 1);

  return service->connections == 0 || target->in_flight < MAX (share, 1);
}

static msec_t
remote_percent (request_kind_t kind)
{
  static const msec_t percents[] = {
    [KIND_IDEMPOTENT] = DISPATCH_REMOTE_PERCENT_IDEMPOTENT,
    [KIND_MUTATING] = DISPATCH_REMOTE_PERCENT_MUTATING,
    [KIND_DOWNLOAD] = DISPATCH_REMOTE_PERCENT_DOWNLOAD,
  };

  return percents[kind];
}

/* Expected time, weighed by what the way to another data centre costs. */
static msec_t
weighed (const dispatch_t *self,
         const dispatch_target_t *target,
         const dispatch_request_t *request,
         msec_t now)
{
  msec_t slots = MAX (target->entry.slots, 1) * 1000;
  msec_t load = likely_load (target, now) + 1000;
  msec_t work = work_of (target, now);
  /* Near its slots a target queues part of the time: the wait grows before it is full. */
  msec_t expected = 16 * work + 16 * work * load * load / (slots * slots);
  expected = expected * (1000 + 3 * (msec_t)target->errors_permille) / 1000;

  if (!name_equal (&target->entry.data_centre, &self->data_centre))
    expected += expected * remote_percent (request->kind) / 100;
  if (now < target->avoid_until)
    expected *= 16;
  return expected;
}

int
targets_pick (dispatch_t *self,
              const dispatch_request_t *request,
              msec_t now,
              dispatch_reason_t *reason)
{
  int best = -1;
  msec_t best_cost = MSEC_NEVER;
  uint32_t ties = 0;

  *reason = REASON_NO_TARGET;
  for (guint i = 0; i < self->targets->len; i++)
    {
      const dispatch_target_t *target = at (self, i);
      if (!usable (target) || target->service != request->service)
        continue;
      if (*reason == REASON_NO_TARGET)
        *reason = REASON_OVERLOAD;
      if (!within_share (self, target)
          || !target_has_room (target, request->objective, now))
        continue;
      msec_t cost = weighed (self, target, request, now);
      if ((int)i == request->last_failed)
        cost *= 16;
      ties = cost < best_cost ? 1 : ties + (cost == best_cost ? 1 : 0);
      if (cost < best_cost || (cost == best_cost && rng_below (&self->rng, ties) == 0))
        {
          best = (int)i;
          best_cost = cost;
        }
    }
  return best;
}

static guint
run_index (const dispatch_service_t *service, const key_run_t *run)
{
  return (guint)(run - (const key_run_t *)(const void *)service->keys.runs->data);
}

void
targets_denied (dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  dispatch_service_t *service = g_ptr_array_index (self->services, request->service);
  const key_run_t *run = key_table_find (&service->keys, request->key);

  if (run != NULL && service->keys.version == request->key_version)
    g_array_index (service->denied, msec_t, run_index (service, run))
        = now + DISPATCH_OWNER_RETRY_MS;
}

int
targets_owner (dispatch_t *self,
               dispatch_request_t *request,
               msec_t now,
               int32_t *owner,
               dispatch_reason_t *reason)
{
  const dispatch_service_t *service
      = g_ptr_array_index (self->services, request->service);
  const key_run_t *run = key_table_find (&service->keys, request->key);

  request->key_version = service->keys.version;
  *owner = -1;
  *reason = REASON_NO_OWNER;
  if (run == NULL || run->fence == 0
      || now < g_array_index (service->denied, msec_t, run_index (service, run)))
    return -1;
  int i = find (self, name_text (&run->target), run->born);
  if (i < 0 || !at (self, (uint32_t)i)->listed || at (self, (uint32_t)i)->replaced)
    return -1;
  const dispatch_target_t *target = at (self, (uint32_t)i);
  if (now < target->avoid_until
      || (target->leaving_at != MSEC_NEVER
          && now > target->leaving_at
                       + self->bounds.drain * DISPATCH_LEAVER_PERCENT / 100))
    return -1;
  *reason = REASON_OVERLOAD;
  *owner = i;
  return within_share (self, target) && target_has_room (target, request->objective, now)
             ? i
             : -1;
}
