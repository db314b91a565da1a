#include "targets.h"

#include "admission.h"
#include "evacuations.h"
#include "losses.h"
#include "owners.h"

/* A new sample has a weight of 1/8 in the moving averages. */
#define AVERAGE_SHIFT 3

static dispatch_target_t *
at (const dispatch_t *self, uint32_t i)
{
  return g_ptr_array_index (self->targets, i);
}

/* Other hosts' requests as last reported, in thousandths; linearly reduced to 0 as the
 * report ages. */
static msec_t
reported_other_load (const dispatch_target_t *self, msec_t now)
{
  msec_t age = CLAMP (now - self->reported_at, 0, DISPATCH_LOAD_REPORT_MAX_AGE_MS);

  return self->other_load * 1000 * (DISPATCH_LOAD_REPORT_MAX_AGE_MS - age)
         / DISPATCH_LOAD_REPORT_MAX_AGE_MS;
}

uint32_t
target_load (const dispatch_target_t *self, msec_t now)
{
  return self->in_flight + (uint32_t)(reported_other_load (self, now) / 1000);
}

/* The mean number of other hosts' requests there, in thousandths. */
static msec_t
mean_other_load (const dispatch_target_t *self, msec_t now)
{
  return now < self->pace_until ? MAX ((msec_t)self->pace.load_permille - 1000, 0)
                                : (msec_t)self->other_load_average;
}

/* The load used to compare targets, in thousandths: as the last report ages, the mean
 * replaces it. */
static msec_t
estimated_load (const dispatch_target_t *self, msec_t now)
{
  msec_t age = CLAMP (now - self->reported_at, 0, DISPATCH_LOAD_REPORT_MAX_AGE_MS);

  return self->in_flight * 1000 + reported_other_load (self, now)
         + mean_other_load (self, now) * age / DISPATCH_LOAD_REPORT_MAX_AGE_MS;
}

/* The work time of one more request if LOAD thousandths are there with it: as all hosts
 * measured it, or else this one. */
static msec_t
current_service_time (const dispatch_target_t *self, msec_t load, msec_t now)
{
  msec_t work = now < self->pace_until
                    ? pace_work_ms (&self->pace, load, self->entry.slots)
                    : (msec_t)self->service_time_ms;

  return warmup_is_cold (&self->warmup, now) ? 2 * work : work;
}

/* The momentary speed of its machine against the usual one, in percent; 100 when that is
 * unknown. */
static msec_t
moment_of (const dispatch_t *self, const dispatch_target_t *target, msec_t now)
{
  const dispatch_service_t *service = g_ptr_array_index (self->services, target->service);

  if (target->moment_percent == 0 || now - target->moment_at >= PACE_MOMENT_MS)
    return 100;
  return (msec_t)target->moment_percent * 1000 / MAX (service->moment_permille, 1);
}

static msec_t
expected_at (const dispatch_target_t *self, uint32_t load, msec_t now)
{
  uint32_t slots = MAX (self->entry.slots, 1);
  msec_t work = current_service_time (self, 1000 * (msec_t)(load + 1), now);
  msec_t queued = load < slots ? 0 : (load - slots + 1) * work / slots;

  return (work + queued) * (1000 + 3 * (msec_t)self->errors_permille) / 1000;
}

msec_t
target_expected_ms (const dispatch_target_t *self, msec_t now)
{
  return expected_at (self, target_load (self, now), now);
}

msec_t
target_cautious_ms (const dispatch_target_t *self, msec_t now)
{
  uint32_t load = target_load (self, now);

  if (now < self->pace_until)
    load = MAX (load, self->in_flight + (uint32_t)(mean_other_load (self, now) / 1000));
  return expected_at (self, load, now);
}

bool
target_has_capacity (const dispatch_target_t *self, msec_t objective, msec_t now)
{
  uint32_t slots = MAX (self->entry.slots, 1);
  uint32_t load = target_load (self, now);

  if (load < slots)
    return true;
  if (load >= slots + DISPATCH_TARGET_QUEUE_MAX)
    return false;
  return now + target_expected_ms (self, now) <= objective;
}

static void
update_average (uint32_t *value, uint32_t sample)
{
  *value = (uint32_t)(((uint64_t)*value * ((1 << AVERAGE_SHIFT) - 1) + sample)
                      >> AVERAGE_SHIFT);
}

static void
assume_full (dispatch_target_t *self, msec_t now)
{
  self->other_load = MAX (self->entry.slots, 1) + DISPATCH_TARGET_QUEUE_MAX;
  self->reported_at = now;
}

/* The time for which the target worked on the request: of the time until its answer, the
 * rest was spent in its queue.  How many requests it has is seen from this host's own and
 * from its report, which counts those of all hosts: a host of a large fleet has one. */
static msec_t
service_time_sample (const dispatch_request_t *request,
                     const dispatch_msg_t *msg,
                     uint32_t slots,
                     msec_t now)
{
  uint32_t reported = msg->load.reported ? msg->load.running + msg->load.waiting : 0;
  uint32_t concurrency = MAX (MAX (request->load_at_send, reported), slots);

  return MAX ((now - request->sent_at) * slots / concurrency, 1);
}

/* The requests that were at the target with this one. */
static uint32_t
load_at_work (const dispatch_request_t *request, const dispatch_msg_t *msg)
{
  return msg->load.reported ? msg->load.running + msg->load.waiting + 1
                            : request->load_at_send;
}

/* What counts as the time per request where keys are assigned.  A part of the wait makes
 * a target with a growing queue give keys away although its load is near the mean: it may
 * be all that it can do. */
static msec_t
planned_time (msec_t work, msec_t elapsed)
{
  return work + MAX (elapsed - work, 0) * DISPATCH_PLANNED_WAIT_PERCENT / 100;
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
  if (msg->load.reported)
    {
      uint32_t reported = msg->load.running + msg->load.waiting;
      self->other_load = reported > self->in_flight ? reported - self->in_flight : 0;
      self->reported_at = now;
      update_average (&self->other_load_average, self->other_load * 1000);
    }
  else if (msg->answer == ANSWER_FULL && !admission_states_pause (msg))
    assume_full (self, now);
  if (run && msg->status < 500)
    {
      /* From then on the caller was slow, not the target. */
      msec_t until = msg->held_up_at > 0 ? MIN (msg->held_up_at, now) : now;
      msec_t sample = service_time_sample (request, msg, slots, until);
      update_average (&self->service_time_ms, (uint32_t)sample);
      pace_sample_add (&self->sample, sample, load_at_work (request, msg), slots);
      self->samples++;
      self->samples_ms += (uint64_t)planned_time (sample, until - request->sent_at);
    }
  /* An answer from an earlier address says nothing on the listed one. */
  if (msg->answer == ANSWER_WRONG_TARGET && request->sent_at > self->address_since)
    self->address_reused = true;
  if (msg->answer != ANSWER_WRONG_TARGET)
    warmup_answered (&self->warmup, &self->rate, msg->rate_limited, msg->rate_limit, now);
  /* A pause is no failure: the target says when it takes requests again. */
  if (!admission_states_pause (msg))
    update_average (&self->errors_permille,
                    (run && msg->status >= 500) || msg->answer == ANSWER_FULL ? 1000 : 0);
}

static void
count_failure (dispatch_target_t *self, bool back_off, msec_t now)
{
  msec_t backoff = DISPATCH_BACKOFF_MS << MIN (self->failures, 5);

  self->failures++;
  update_average (&self->errors_permille, 1000);
  if (back_off || self->failures > 1)
    self->backoff_until = now + MIN (backoff, DISPATCH_BACKOFF_MAX_MS);
}

void
target_failed (dispatch_target_t *self, const dispatch_msg_t *msg, msec_t now)
{
  /* The target rejects connections when it has too many or its queue is long. */
  if (msg->connection_reset)
    assume_full (self, now);
  count_failure (self, !msg->connected, now);
}

void
target_timed_out (dispatch_target_t *self, msec_t now)
{
  count_failure (self, false, now);
}

static int
find_target (const dispatch_t *self, text_t id, uint64_t started_at)
{
  for (guint i = 0; i < self->targets->len; i++)
    {
      const dispatch_target_t *target = at (self, i);
      if (target->in_use && target->entry.started_at == started_at
          && text_equal (name_text (&target->entry.id), id))
        return (int)i;
    }
  return -1;
}

static dispatch_target_t *
add_target (dispatch_t *self, const target_entry_t *entry, uint32_t service, msec_t now)
{
  const dispatch_service_t *service_state = g_ptr_array_index (self->services, service);
  dispatch_target_t *target = NULL;

  for (guint i = 0; i < self->targets->len && target == NULL; i++)
    if (!at (self, i)->in_use)
      target = at (self, i);
  if (target == NULL)
    {
      target = g_new0 (dispatch_target_t, 1);
      g_ptr_array_add (self->targets, target);
    }
  *target = (dispatch_target_t){ .in_use = true,
                                 .entry = *entry,
                                 .service = service,
                                 .service_time_ms = service_state->service_time_ms,
                                 .reported_at = now - DISPATCH_LOAD_REPORT_MAX_AGE_MS };
  leaving_init (&target->leaving, &self->left, entry);
  rate_limit_init (&target->rate, (double)rng_below (&self->rng, 1000) / 1000);
  target->owner_credit = (uint32_t)(1000 * target->rate.phase);
  return target;
}

static void
set_cold_rate (const dispatch_t *self, dispatch_target_t *target)
{
  const dispatch_service_t *service = g_ptr_array_index (self->services, target->service);
  double rate = warmup_rate (service->cold_rate,
                             self->bounds.warmup_overage,
                             self->bounds.warmup_slack);

  warmup_set_rate (&target->warmup, service->cold_rate > 0, rate);
}

void
targets_set_cold_rates (dispatch_t *self)
{
  for (guint i = 0; i < self->targets->len; i++)
    if (at (self, i)->in_use)
      set_cold_rate (self, at (self, i));
}

void
targets_suspect_cold (dispatch_t *self, text_t data_centre, msec_t now)
{
  for (guint i = 0; i < self->targets->len; i++)
    {
      dispatch_target_t *target = at (self, i);
      const dispatch_service_t *service
          = g_ptr_array_index (self->services, target->service);
      if (target->in_use
          && text_equal (name_text (&target->entry.data_centre), data_centre))
        warmup_suspect (&target->warmup, service->cold_time, now);
    }
}

uint32_t
targets_count_cold (const dispatch_t *self, msec_t now)
{
  uint32_t n = 0;

  for (guint i = 0; i < self->targets->len; i++)
    n += at (self, i)->in_use && at (self, i)->listed
         && warmup_is_guarded (&at (self, i)->warmup, now);
  return n;
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

/* A hash of a target's id and start time.  find_incarnation compares both in full. */
static uint64_t
incarnation_key (const target_entry_t *entry)
{
  return text_hash (name_text (&entry->id)) ^ entry->started_at;
}

/* Maps the incarnation key of each target in use to its index plus 1.  KEYS, one per
 * array entry, holds the keys of the map. */
static GHashTable *
index_incarnations (const dispatch_t *self, uint64_t *keys)
{
  GHashTable *index = g_hash_table_new (g_int64_hash, g_int64_equal);

  for (guint i = 0; i < self->targets->len; i++)
    {
      keys[i] = incarnation_key (&at (self, i)->entry);
      if (at (self, i)->in_use)
        g_hash_table_insert (index, &keys[i], GUINT_TO_POINTER (i + 1));
    }
  return index;
}

static int
find_incarnation (const dispatch_t *self, GHashTable *index, const target_entry_t *entry)
{
  uint64_t key = incarnation_key (entry);
  guint position = GPOINTER_TO_UINT (g_hash_table_lookup (index, &key));

  if (position > 0 && name_equal (&at (self, position - 1)->entry.id, &entry->id)
      && at (self, position - 1)->entry.started_at == entry->started_at)
    return (int)position - 1;
  return position > 0 ? find_target (self, name_text (&entry->id), entry->started_at)
                      : -1;
}

static void
close_idle (uint32_t target, GArray *out)
{
  const dispatch_out_t close = { .kind = DISPATCH_CLOSE_IDLE, .target = target };

  g_array_append_val (out, close);
}

static void
note_new_address (const dispatch_t *self,
                  dispatch_target_t *target,
                  msec_t now,
                  GArray *out)
{
  guint i;

  target->address_reused = false;
  target->address_since = now;
  if (g_ptr_array_find (self->targets, target, &i))
    close_idle (i, out);
}

void
targets_update (dispatch_t *self, const GArray *entries, msec_t now, GArray *out)
{
  uint64_t *keys = g_new (uint64_t, self->targets->len);
  GHashTable *index = index_incarnations (self, keys);

  for (guint i = 0; i < self->targets->len; i++)
    at (self, i)->listed = false;
  for (guint i = 0; i < entries->len; i++)
    {
      const target_entry_t *entry = &g_array_index (entries, target_entry_t, i);
      int service = service_index (self, name_text (&entry->service));
      if (service < 0)
        continue; /* not configured yet; the next list contains it again */
      int known = find_incarnation (self, index, entry);
      dispatch_target_t *target = known >= 0
                                      ? at (self, (uint32_t)known)
                                      : add_target (self, entry, (uint32_t)service, now);
      if (!name_equal (&target->entry.address, &entry->address))
        note_new_address (self, target, now, out);
      target->entry = *entry;
      target->listed = true;
      leaving_update (&target->leaving, entry, now);
      set_cold_rate (self, target);
      warmup_hear (&target->warmup, entry, now);
    }
  g_hash_table_unref (index);
  g_free (keys);
  for (guint i = 0; i < self->targets->len; i++)
    {
      dispatch_target_t *target = at (self, i);
      if (!target->in_use || target->listed)
        continue;
      if (!leaving_is_known (&target->leaving))
        losses_confirm (self, target, now, out);
      close_idle (i, out);
      /* The entry may return, and the pause holds then. */
      target->in_use = target->in_flight > 0 || pause_is_active (&target->pause, now);
    }
}

/* Whether the target could get requests if its data centre weren't emptied. */
static bool
is_usable (const dispatch_target_t *target)
{
  return target->in_use && target->listed && !leaving_is_known (&target->leaving)
         && !target->address_reused;
}

static bool
is_available (const dispatch_t *self, const dispatch_target_t *target)
{
  return is_usable (target) && !evacuations_cover (self, target);
}

/* An unlisted incarnation only waits for responses; its successor has the same id. */
static bool
reports_rate (const dispatch_target_t *target)
{
  return target->in_use && target->listed;
}

void
targets_note_leaving (dispatch_t *self,
                      const target_incarnation_t *stated,
                      msec_t now,
                      GArray *out)
{
  int i = find_target (self, name_text (&stated->id), stated->started_at);
  dispatch_target_t *target = i >= 0 ? at (self, (uint32_t)i) : NULL;

  if (target == NULL
      || !leaving_state (&target->leaving, &self->left, &target->entry, now))
    return;
  const msec_t until = leaving_owner_until (&target->leaving, self->bounds.drain);
  const dispatch_out_t leaving = { .kind = DISPATCH_TARGET_LEAVING,
                                   .target = (uint32_t)i,
                                   .owner_for = MAX (until - now, 0) };
  g_array_append_val (out, leaving);
}

void
targets_report_leaving (const dispatch_t *self, GArray *reports)
{
  for (guint i = 0; i < self->targets->len; i++)
    {
      const dispatch_target_t *target = at (self, i);
      const dispatch_service_t *service
          = g_ptr_array_index (self->services, target->service);
      const target_incarnation_t report = { target->entry.id, target->entry.started_at };
      if (target->in_use && target->listed && service->keyed
          && leaving_is_stated (&target->leaving))
        g_array_append_val (reports, report);
    }
}

void
targets_set_shares (dispatch_t *self, const GArray *shares, msec_t now)
{
  GHashTable *by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < shares->len; i++)
    {
      const rate_share_t *share = &g_array_index (shares, rate_share_t, i);
      g_hash_table_insert (by_id,
                           text_dup_c (name_text (&share->target)),
                           (gpointer)share);
    }
  for (guint i = 0; i < self->targets->len; i++)
    {
      dispatch_target_t *target = at (self, i);
      char *id = text_dup_c (name_text (&target->entry.id));
      if (target->in_use)
        rate_limit_set_share (&target->rate, g_hash_table_lookup (by_id, id), now);
      g_free (id);
    }
  g_hash_table_unref (by_id);
}

void
targets_add_grants (dispatch_t *self,
                    const GArray *grants,
                    msec_t reported_at,
                    msec_t now)
{
  GHashTable *by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < grants->len; i++)
    {
      const rate_grant_t *grant = &g_array_index (grants, rate_grant_t, i);
      g_hash_table_insert (by_id,
                           text_dup_c (name_text (&grant->target)),
                           (gpointer)grant);
    }
  for (guint i = 0; i < self->targets->len; i++)
    {
      dispatch_target_t *target = at (self, i);
      char *id = text_dup_c (name_text (&target->entry.id));
      const rate_grant_t *grant = g_hash_table_lookup (by_id, id);
      if (reports_rate (target) && grant != NULL)
        rate_limit_grant (&target->rate, grant, reported_at, now);
      g_free (id);
    }
  g_hash_table_unref (by_id);
}

void
targets_report_service_times (dispatch_t *self, uint32_t service, GArray *reports)
{
  for (guint i = 0; i < self->targets->len; i++)
    {
      dispatch_target_t *target = at (self, i);
      if (!target->in_use || target->service != service || target->samples == 0)
        continue;
      const target_service_time_t report
          = { .target = target->entry.id,
              .service_time_ms = (uint32_t)(target->samples_ms / target->samples),
              .samples = target->samples };
      target->samples = 0;
      target->samples_ms = 0;
      if (target->listed)
        g_array_append_val (reports, report);
    }
}

bool
targets_are_limited (const dispatch_t *self)
{
  for (guint i = 0; i < self->targets->len; i++)
    if (at (self, i)->in_use && at (self, i)->rate.limited)
      return true;
  return false;
}

void
targets_report_rates (dispatch_t *self, msec_t now, GArray *reports)
{
  for (guint i = 0; i < self->targets->len; i++)
    {
      dispatch_target_t *target = at (self, i);
      rate_report_t report = { .target = target->entry.id };
      if (!warmup_is_guarded (&target->warmup, now))
        warmup_apply (&target->warmup, &target->rate, now);
      if (reports_rate (target) && rate_limit_report (&target->rate, now, &report))
        g_array_append_val (reports, report);
    }
}

static msec_t
remote_penalty_percent (request_kind_t kind)
{
  static const msec_t penalties[] = {
    [KIND_IDEMPOTENT] = DISPATCH_REMOTE_PERCENT_IDEMPOTENT,
    [KIND_MUTATING] = DISPATCH_REMOTE_PERCENT_MUTATING,
    [KIND_DOWNLOAD] = DISPATCH_REMOTE_PERCENT_DOWNLOAD,
    [KIND_UPLOAD] = DISPATCH_REMOTE_PERCENT_UPLOAD,
  };

  return penalties[kind];
}

/* The expected response time, raised for another data centre and after failures. */
static msec_t
selection_cost (const dispatch_t *self,
                const dispatch_target_t *target,
                const dispatch_request_t *request,
                msec_t now)
{
  msec_t slots = MAX (target->entry.slots, 1) * 1000;
  msec_t load = estimated_load (target, now) + 1000;
  msec_t work
      = current_service_time (target, load, now) * moment_of (self, target, now) / 100;
  /* Close to its slots a target queues requests part of the time, so the wait grows
   * before it is full. */
  msec_t expected = 16 * work + 16 * work * load * load / (slots * slots);
  expected = expected * (1000 + 3 * (msec_t)target->errors_permille) / 1000;

  if (!name_equal (&target->entry.data_centre, &self->data_centre))
    expected += expected * remote_penalty_percent (request->kind) / 100;
  if (now < target->backoff_until)
    expected *= 16;
  return expected;
}

/* Why no target gets a request, by the last of the results of admission_check. */
static const dispatch_reason_t admission_reasons[] = {
  [ADMISSION_PAUSED] = REASON_PAUSED,
  [ADMISSION_BACK_OFF] = REASON_NO_OWNER,
  [ADMISSION_STOPPING] = REASON_STOPPING,
  [ADMISSION_RATE_LIMIT] = REASON_RATE_LIMIT,
  [ADMISSION_NO_CAPACITY] = REASON_OVERLOAD,
  [ADMISSION_NOW] = REASON_OVERLOAD,
  [ADMISSION_COLD] = REASON_COLD,
};

/* A choice among targets, which are offered one after the other. */
typedef struct
{
  int best;
  msec_t cost;
  uint32_t ties;
  double weights; /* of all that were offered */
} choice_t;

/* The cheapest one; of equal ones, each is as likely. */
static void
offer_cheapest (choice_t *self, rng_t *rng, int target, msec_t cost)
{
  self->ties = cost < self->cost ? 1 : self->ties + (cost == self->cost ? 1 : 0);
  if (cost < self->cost || (cost == self->cost && rng_below (rng, self->ties) == 0))
    {
      self->best = target;
      self->cost = cost;
    }
}

/* Any one, the more likely the less it costs. */
static void
offer_weighted (choice_t *self, rng_t *rng, int target, msec_t cost)
{
  double weight = 1.0 / (double)MAX (cost, 1);

  self->weights += weight;
  if ((double)rng_below (rng, 1u << 30) < weight / self->weights * (1u << 30))
    {
      self->best = target;
      self->cost = cost;
    }
}

/* The cold or the other target that gets REQUEST, its rate limit aside.  A host that goes
 * by its own measurements alone takes the cheapest one.  Where all hosts know the same,
 * all would take the same one: there, each compares those of which it has just heard with
 * one that it draws. */
static int
select_among (dispatch_t *self,
              const dispatch_request_t *request,
              bool cold,
              msec_t now,
              dispatch_reason_t *reason)
{
  choice_t cheapest = { .best = -1, .cost = MSEC_NEVER };
  choice_t drawn = { .best = -1 };
  const dispatch_service_t *service
      = g_ptr_array_index (self->services, request->service);
  bool shared = now < service->paced_until;
  admission_t last = ADMISSION_PAUSED;

  *reason = REASON_NO_TARGET;
  for (guint i = 0; i < self->targets->len; i++)
    {
      const dispatch_target_t *target = at (self, i);
      if (!is_usable (target) || target->service != request->service
          || warmup_is_guarded (&target->warmup, now) != cold)
        continue;
      if (evacuations_cover (self, target))
        {
          if (*reason == REASON_NO_TARGET)
            *reason = REASON_EVACUATED;
          continue;
        }
      admission_t admission = admission_check (self, request, i, now);
      last = MAX (last, admission);
      *reason = admission_reasons[last];
      if (admission != ADMISSION_NOW)
        continue;
      msec_t cost = selection_cost (self, target, request, now);
      if ((int)i == request->last_failed_target)
        cost *= 16;
      if (shared)
        offer_weighted (&drawn, &self->rng, (int)i, cost);
      if (!shared || now - target->reported_at < PACE_HEARD_MS)
        offer_cheapest (&cheapest, &self->rng, (int)i, cost);
    }
  if (drawn.best >= 0)
    offer_cheapest (&cheapest, &self->rng, drawn.best, drawn.cost);
  return cheapest.best;
}

/* Whether a cold target may get a request for which BEST is the choice among the others,
 * or REASON why there is none. */
static bool
may_use_cold (const dispatch_t *self, int best, dispatch_reason_t reason, msec_t now)
{
  if (best >= 0)
    return now < at (self, (uint32_t)best)->backoff_until;
  return reason == REASON_NO_TARGET || reason == REASON_EVACUATED
         || reason == REASON_PAUSED;
}

static int
select_candidate (dispatch_t *self,
                  const dispatch_request_t *request,
                  msec_t now,
                  dispatch_reason_t *reason)
{
  int best = select_among (self, request, false, now, reason);
  dispatch_reason_t cold_reason;

  if (!may_use_cold (self, best, *reason, now))
    return best;
  int cold = select_among (self, request, true, now, &cold_reason);
  bool none = *reason == REASON_NO_TARGET || *reason == REASON_EVACUATED;
  if (best < 0 && none && cold_reason != REASON_NO_TARGET)
    *reason = cold_reason;
  return cold >= 0 ? cold : best;
}

msec_t
targets_service_next (const dispatch_t *self, uint32_t service, msec_t now)
{
  msec_t next = MSEC_NEVER;

  for (guint i = 0; i < self->targets->len; i++)
    if (is_available (self, at (self, i)) && at (self, i)->service == service)
      next = MIN (next, admission_next (self, i, now));
  return next == MSEC_NEVER ? now : next;
}

int
targets_select (dispatch_t *self,
                dispatch_request_t *request,
                msec_t now,
                dispatch_reason_t *reason)
{
  int best = select_candidate (self, request, now, reason);
  guint rejections = 0;

  while (best >= 0 && !admission_take (self, request, (guint)best, now))
    {
      if (++rejections > self->targets->len)
        return -1; /* a candidate was rejected and named again */
      best = select_candidate (self, request, now, reason);
    }
  return best;
}

static guint
range_index (const dispatch_service_t *service, const key_range_t *range)
{
  return (guint)(range - (const key_range_t *)(const void *)service->keys.ranges->data);
}

void
targets_note_not_owner (dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  dispatch_service_t *service = g_ptr_array_index (self->services, request->service);
  const key_range_t *range = key_table_find (&service->keys, request->key);

  if (range != NULL && service->keys.version == request->key_table_version)
    g_array_index (service->not_owner_until, msec_t, range_index (service, range))
        = now + DISPATCH_OWNER_RETRY_MS;
}

msec_t
targets_next (const dispatch_t *self, const dispatch_request_t *request, msec_t now)
{
  const dispatch_service_t *service
      = g_ptr_array_index (self->services, request->service);
  const key_range_t *range
      = request->keyed ? key_table_find (&service->keys, request->key) : NULL;

  if (!request->keyed)
    return targets_service_next (self, request->service, now);
  int owner
      = range == NULL
            ? -1
            : find_target (self, name_text (&range->target), range->target_started_at);
  return owner < 0 ? now : admission_next (self, (uint32_t)owner, now);
}

int
targets_find_owner (dispatch_t *self,
                    dispatch_request_t *request,
                    msec_t now,
                    int32_t *owner,
                    dispatch_reason_t *reason)
{
  const dispatch_service_t *service
      = g_ptr_array_index (self->services, request->service);
  const key_range_t *range = key_table_find (&service->keys, request->key);

  request->key_table_version = service->keys.version;
  *owner = -1;
  *reason = evacuations_leave_none (self, request->service) ? REASON_EVACUATED
                                                            : REASON_NO_OWNER;
  if (range == NULL || range->fence == 0
      || now < g_array_index (service->not_owner_until,
                              msec_t,
                              range_index (service, range)))
    return -1;
  int i = find_target (self, name_text (&range->target), range->target_started_at);
  if (i < 0 || !at (self, (uint32_t)i)->listed || at (self, (uint32_t)i)->address_reused)
    return -1;
  if (now > leaving_owner_until (&at (self, (uint32_t)i)->leaving, self->bounds.drain))
    return -1;
  if (now > evacuations_owner_until (self, at (self, (uint32_t)i)))
    return -1;
  *reason = REASON_OWNER_FULL;
  if (!owners_take (at (self, (uint32_t)i), request, now))
    return -1;
  admission_t admission = admission_check (self, request, (guint)i, now);
  *reason = admission_reasons[admission];
  if (admission < ADMISSION_RATE_LIMIT)
    return -1;
  *reason = warmup_is_guarded (&at (self, (uint32_t)i)->warmup, now) ? REASON_COLD
                                                                     : REASON_RATE_LIMIT;
  if (!admission_take (self, request, (guint)i, now))
    return -1;
  *reason = REASON_OVERLOAD;
  *owner = i;
  return admission == ADMISSION_NOW ? i : -1;
}

bool
targets_all_evacuated (const dispatch_t *self, uint32_t service)
{
  bool any = false;

  for (guint i = 0; i < self->targets->len; i++)
    {
      const dispatch_target_t *target = at (self, i);
      if (target->service != service || !is_usable (target))
        continue;
      if (!evacuations_cover (self, target))
        return false;
      any = true;
    }
  return any;
}
