#include "keys.h"

#include "key_commits.h"
#include "key_plan.h"
#include "key_recall.h"

#include <math.h>

static key_service_t *
service_at (const keys_t *self, guint i)
{
  return g_ptr_array_index (self->services, i);
}

static key_range_state_t *
range_at (const key_service_t *service, guint i)
{
  return &g_array_index (service->ranges, key_range_state_t, i);
}

static key_service_t *
find_service (const keys_t *self, const name_t *name)
{
  for (guint i = 0; i < self->services->len; i++)
    if (name_equal (&service_at (self, i)->name, name))
      return service_at (self, i);
  return NULL;
}

/* The owner's entry; NULL if it isn't listed or has restarted since it got the range. */
static const target_entry_t *
find_owner (const keys_t *self, const key_range_state_t *range)
{
  const target_entry_t *target = key_plan_find_target (self, &range->owner);

  return target != NULL && target->started_at == range->owner_started_at ? target : NULL;
}

/* Reports a range to the log. */
static void
append_note (keys_out_kind_t kind,
             const key_service_t *service,
             const key_range_state_t *range,
             const char *reason,
             msec_t now,
             GArray *out)
{
  keys_out_t note
      = { .kind = kind,
          .service = service->name,
          .target = range->owner,
          .address = range->address,
          .started_at = range->owner_started_at,
          .first = range->first,
          .last = range->last,
          .fence = range->fence,
          .reason = reason,
          .remaining = key_holds_end (&range->holds, false, false) - now,
          .unanswered = MAX (range->holds.late_until, range->holds.unread_until) - now,
          .inherited = range->holds.inherited_until - now,
          .fenced_off = range->holds.fenced_off };

  g_array_append_val (out, note);
}

static void
append_call (keys_t *self,
             keys_out_kind_t kind,
             const key_service_t *service,
             key_range_state_t *range,
             msec_t hold,
             bool proof,
             GArray *out)
{
  keys_out_t call = { .kind = kind,
                      .service = service->name,
                      .target = range->owner,
                      .address = range->address,
                      .started_at = range->owner_started_at,
                      .first = range->first,
                      .last = range->last,
                      .fence = range->fence,
                      .call = ++self->last_call,
                      .proof = proof,
                      .first_grant = kind == KEYS_GRANT && !range->granted,
                      .hold = hold,
                      .handover = range->handover };
  const target_entry_t *listed = key_plan_find_target (self, &range->owner);

  range->called = listed != NULL ? listed->started_at : 0;
  range->call = call.call;
  range->last_hold = hold;
  self->in_flight++;
  g_array_append_val (out, call);
}

/* Calls may be sent only while the role is certainly held. */
static bool
may_grant (const keys_t *self, msec_t now)
{
  return now < self->role_until - ROLE_MARGIN_MS;
}

/* The longest grant: targets accept none that is longer, and a successor assumes none. */
static msec_t
longest_grant (const keys_t *self)
{
  return MIN (self->hold_max, self->stated_hold);
}

/* Whether the acceptance of a grant proves that the owner rejects earlier ones. */
static bool
shows_new_fence (const key_service_t *service, const key_range_state_t *range)
{
  return !service->needs_new_fences && range->pending_fence == 0;
}

/* Whether a grant has to prove that. */
static bool
has_to_show_fence (const key_service_t *service,
                   const key_range_state_t *range,
                   msec_t now)
{
  return shows_new_fence (service, range) && key_holds_inherited (&range->holds, now);
}

/* Between renewals of a grant. */
static msec_t
renewal_interval (const keys_t *self)
{
  msec_t ranges = 0;

  for (guint i = 0; i < self->services->len; i++)
    ranges += service_at (self, i)->ranges->len;
  msec_t interval = MIN (ranges * 1000 / KEYS_RENEWALS_PER_S,
                         longest_grant (self) / KEYS_RENEWALS_PER_HOLD_LEAST);
  return MAX (interval, KEYS_RENEW_MS);
}

/* Grants of many ranges that were made at once are renewed one after the other. */
static msec_t
early_by (const key_range_state_t *range, msec_t interval)
{
  return interval > KEYS_RENEW_MS ? range->first * 7919 % (interval / 4) : 0;
}

static void
renew_grant (keys_t *self,
             const key_service_t *service,
             key_range_state_t *range,
             msec_t now,
             GArray *out)
{
  const target_entry_t *target = find_owner (self, range);
  bool final_renewal = self->resigning || self->role_until - now < KEYS_FINAL_RENEWAL_MS;
  msec_t longest = longest_grant (self);
  msec_t interval = renewal_interval (self);
  msec_t usual = MAX (KEYS_HOLD_MS, interval * KEYS_HOLD_MS / KEYS_RENEW_MS);
  msec_t hold = final_renewal ? longest : MIN (usual, longest);
  bool due = now >= range->next_call_at || (final_renewal && range->last_hold < hold);

  if (target == NULL || target->leaving)
    key_plan_revoke (range, NULL);
  else if (due && range->call == 0 && may_grant (self, now)
           && self->in_flight < KEYS_RENEWALS_AT_ONCE)
    {
      range->next_call_at = now + interval - early_by (range, interval);
      key_holds_sent (&range->holds, hold, now);
      append_call (self,
                   KEYS_GRANT,
                   service,
                   range,
                   hold,
                   range->needs_proof || has_to_show_fence (service, range, now),
                   out);
    }
}

/* Sends the owner a short grant under the new fence, so that it rejects grants which a
 * predecessor may have sent it. */
static void
fence_owner (keys_t *self,
             const key_service_t *service,
             key_range_state_t *range,
             msec_t now,
             GArray *out)
{
  msec_t hold = MIN (KEYS_FENCE_HOLD_MS, longest_grant (self));

  range->next_call_at = now + KEYS_RETRY_MS;
  range->released = false;
  key_holds_sent (&range->holds, hold, now);
  append_call (self, KEYS_GRANT, service, range, hold, true, out);
}

/* Whether a new fence may free the owner's keys earlier than waiting for grants that last
 * until UNTIL.  An owner that seems to be gone is first to answer a release: a grant
 * without an answer is one more that may be read late. */
static bool
is_worth_fencing (const key_range_state_t *range,
                  const target_entry_t *listed,
                  msec_t until,
                  msec_t now)
{
  return (listed != NULL ? !range->unanswered : range->answered) && !range->superseded
         && range->unanswered_fences < KEYS_FENCE_ATTEMPTS_MAX
         && now + key_holds_worst_case (KEYS_FENCE_HOLD_MS) < until;
}

/* Whether the owner has to be fenced, and can be: it may still apply a predecessor's
 * grants, as it may have restarted since it accepted the new fence. */
static bool
may_fence_owner (const key_range_state_t *range, const target_entry_t *listed, msec_t now)
{
  const msec_t until = range->holds.inherited_until;

  return !range->fence_confirmed && is_worth_fencing (range, listed, until, now);
}

/* Whether the process that had the grants has ended: another target has its address, or
 * it is listed with a later start at another address.  At the same address the new
 * process may have been granted the keys before it was listed. */
static bool
owner_ended (const key_range_state_t *range, const target_entry_t *listed)
{
  return range->owner_gone
         || (listed != NULL && listed->started_at > range->owner_started_at
             && !name_equal (&listed->address, &range->address));
}

/* Whether a new fence for the owner frees the keys earlier than waiting for the grants
 * that got no answer. */
static bool
should_renew_fence (const keys_t *self,
                    const key_range_state_t *range,
                    const target_entry_t *listed,
                    msec_t now)
{
  const msec_t until = MAX (range->holds.late_until, range->holds.unread_until);

  return self->store_reachable && is_worth_fencing (range, listed, until, now);
}

static void
revoke_range (keys_t *self,
              const key_service_t *service,
              key_range_state_t *range,
              msec_t now,
              GArray *out)
{
  const target_entry_t *listed = key_plan_find_target (self, &range->owner);
  bool ended = owner_ended (range, listed);

  if (range->call != 0 || range->old_call != 0)
    return;
  if (!range->released && listed != NULL && listed->started_at != range->fenced)
    {
      /* The process that accepted the fence isn't the one that may run now. */
      key_holds_not_fenced_off (&range->holds);
      range->fence_confirmed = false;
    }
  if (now < key_holds_unknown_end (&range->holds))
    return;
  msec_t reassignable_at = key_holds_end (&range->holds, range->released, range->refused);
  if (ended || now >= reassignable_at)
    {
      append_note (KEYS_FREED,
                   service,
                   range,
                   ended             ? "ended"
                   : range->released ? "released"
                                     : "expired",
                   now,
                   out);
      range->phase = RANGE_UNASSIGNED;
      if (!range->released)
        range->handover.len = 0;
    }
  else if (now < range->next_call_at || !may_grant (self, now))
    return;
  else if (range->needs_new_fence || should_renew_fence (self, range, listed, now))
    range->needs_new_fence = true; /* committed once no other commit is pending */
  else if (may_fence_owner (range, listed, now))
    {
      if (shows_new_fence (service, range))
        fence_owner (self, service, range, now, out);
    }
  else if (!range->released)
    {
      range->next_call_at = now + KEYS_RETRY_MS * (1 + MIN (range->release_attempts, 4));
      range->release_attempts++;
      append_call (self, KEYS_RELEASE, service, range, 0, true, out);
    }
}

static void
step_service (keys_t *self, key_service_t *service, msec_t now, GArray *out)
{
  if (!service->table_loaded)
    return;
  if (service->ranges->len == 0
      && now >= MAX (service->last_join_at, service->held_until) + KEYS_INITIAL_WAIT_MS)
    key_plan_initial (self, service);
  if (!self->resigning && self->store_reachable && key_recall_is_complete (service, now))
    key_plan_rebalance (self, service, now);
  key_recall_step (service, now);
  for (guint i = 0; i < service->ranges->len; i++)
    {
      key_range_state_t *range = range_at (service, i);
      if (range->phase == RANGE_OWNED)
        renew_grant (self, service, range, now, out);
      if (range->phase == RANGE_REVOKING && !self->resigning)
        revoke_range (self, service, range, now, out);
    }
  if (self->resigning || !may_grant (self, now) || !key_recall_is_complete (service, now))
    return;
  key_commits_renew_fences (self, service, out);
  key_commits_assign (self, service, out);
  key_commits_rewrite (self, service, out);
}

static uint32_t
count_calls (const keys_t *self)
{
  uint32_t calls = 0;

  for (guint i = 0; i < self->services->len; i++)
    for (guint k = 0; k < service_at (self, i)->ranges->len; k++)
      calls += range_at (service_at (self, i), k)->call != 0;
  return calls;
}

static void
step (keys_t *self, msec_t now, GArray *out)
{
  if (self->role_until == 0)
    return;
  self->in_flight = count_calls (self);
  for (guint i = 0; i < self->services->len; i++)
    step_service (self, service_at (self, i), now, out);
}

static void
update_services (keys_t *self, const GArray *names, msec_t now)
{
  for (guint i = 0; i < names->len; i++)
    {
      const name_t *name = &g_array_index (names, name_t, i);
      if (find_service (self, name) != NULL)
        continue;
      key_service_t *service = g_new0 (key_service_t, 1);
      service->name = *name;
      service->ranges = g_array_new (FALSE, TRUE, sizeof (key_range_state_t));
      service->service_times
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      service->last_join_at = now;
      g_ptr_array_add (self->services, service);
    }
}

static gboolean
is_unlisted (gpointer id, gpointer service_time, gpointer keys)
{
  name_t name;

  (void)service_time;
  return !name_set (&name, text_from_c (id))
         || key_plan_find_target (keys, &name) == NULL;
}

static bool
is_ended (const keys_t *self, const target_entry_t *target)
{
  for (guint i = 0; i < self->ended->len; i++)
    {
      const target_entry_t *ended = &g_array_index (self->ended, target_entry_t, i);
      if (name_equal (&ended->id, &target->id) && ended->started_at == target->started_at
          && name_equal (&ended->address, &target->address))
        return true;
    }
  return false;
}

/* Forgets ended processes that TARGETS no longer lists. */
static void
forget_unlisted (keys_t *self, const GArray *targets)
{
  GArray *kept = g_array_new (FALSE, FALSE, sizeof (target_entry_t));

  for (guint i = 0; self->ended->len > 0 && i < targets->len; i++)
    {
      const target_entry_t *target = &g_array_index (targets, target_entry_t, i);
      if (is_ended (self, target))
        g_array_append_vals (kept, target, 1);
    }
  g_array_unref (self->ended);
  self->ended = kept;
}

static void
update_targets (keys_t *self, const GArray *targets, msec_t now)
{
  GArray *running = g_array_new (FALSE, TRUE, sizeof (target_entry_t));

  forget_unlisted (self, targets);
  for (guint i = 0; i < targets->len; i++)
    {
      const target_entry_t *target = &g_array_index (targets, target_entry_t, i);
      key_service_t *service = find_service (self, &target->service);
      if (is_ended (self, target))
        continue;
      if (service != NULL && key_plan_find_target (self, &target->id) == NULL)
        service->last_join_at = now;
      g_array_append_vals (running, target, 1);
    }
  g_array_unref (self->targets);
  self->targets = running;
  self->targets_at = now;
  key_plan_sort_targets (self->targets);
  for (guint i = 0; i < self->services->len; i++)
    g_hash_table_foreach_remove (service_at (self, i)->service_times, is_unlisted, self);
}

static void
load_table (keys_t *self, const keys_msg_t *msg, msec_t now)
{
  key_service_t *service = find_service (self, &msg->service);

  /* What is known of own grants goes before a table that is read again. */
  if (service == NULL || service->table_loaded || self->role_until == 0)
    return;
  service->table_loaded = true;
  service->commit_pending = false;
  service->unwritten = msg->outdated || msg->unreadable;
  if (msg->unreadable)
    service->held_until = MAX (service->held_until, now + msg->predecessor_hold);
  service->needs_new_fences
      = msg->table != NULL && msg->predecessor_hold > 0 && !msg->outdated;
  if ((msg->outdated || msg->unreadable)
      && key_recall_ranges (self, service, msg->predecessor_hold, now))
    return;
  g_array_set_size (service->ranges, 0);
  for (guint i = 0; msg->table != NULL && i < msg->table->ranges->len; i++)
    {
      const key_range_t *stored = &g_array_index (msg->table->ranges, key_range_t, i);
      key_range_state_t range = { .phase = RANGE_OWNED,
                                  .first = stored->first,
                                  .last = stored->last,
                                  .fence = stored->fence,
                                  .owner = stored->target,
                                  .address = stored->address,
                                  .owner_started_at = stored->target_started_at,
                                  .granted = true };
      if (msg->predecessor_hold > 0)
        key_holds_inherit (&range.holds, now + msg->predecessor_hold);
      if (msg->outdated)
        key_recall_lose_owner (&range, now + msg->predecessor_hold, now);
      g_array_append_val (service->ranges, range);
      /* No fence is issued twice, even if the role's row is missing. */
      self->next_fence = MAX (self->next_fence, stored->fence + 1);
    }
}

static void
handle_store_loss (keys_t *self)
{
  for (guint i = 0; i < self->services->len; i++)
    {
      key_service_t *service = service_at (self, i);
      if (!service->table_loaded)
        continue;
      if (service->commit_pending)
        key_commits_rejected (self, service);
      service->unwritten = true;
    }
}

/* Whether the owner's process is listed at another address than is called. */
static bool
is_elsewhere (const keys_t *self, const key_range_state_t *range)
{
  const target_entry_t *owner = find_owner (self, range);

  return owner != NULL && !name_equal (&owner->address, &range->address);
}

static bool
call_listed_address (const keys_t *self, key_range_state_t *range, msec_t now)
{
  if (!is_elsewhere (self, range))
    return false;
  range->address = find_owner (self, range)->address;
  range->next_call_at = now;
  return true;
}

/*
 * Another process has the address that was called for the owner of RANGE, so that the
 * owner's has ended, and gets no keys until its entry shows another one.  If the entry
 * has the same process at another address, the call went astray and proves nothing.
 */
static void
handle_owner_gone (keys_t *self, key_range_state_t *range, msec_t now)
{
  const target_entry_t *owner = find_owner (self, range);

  if (call_listed_address (self, range, now))
    return;
  if (owner != NULL)
    {
      g_array_append_vals (self->ended, owner, 1);
      g_array_remove_index (
          self->targets,
          (guint)(owner - (target_entry_t *)(void *)self->targets->data));
    }
  key_plan_revoke (range, NULL);
  range->owner_gone = true;
}

/* What the answer counts as.  A refusal that may be one of an earlier call says nothing
 * on this one, which may still take effect. */
static keys_msg_kind_t
counted_kind (const keys_msg_t *msg)
{
  return msg->shared && msg->kind != KEYS_GRANTED ? KEYS_CALL_FAILED : msg->kind;
}

/* Whether a release may have been answered by a process that knows no fence: another one
 * was listed meanwhile, and grants of predecessors may last. */
static bool
is_from_unfenced_process (const keys_t *self, const key_range_state_t *range, msec_t now)
{
  const target_entry_t *listed = key_plan_find_target (self, &range->owner);

  return range->holds.inherited_until > now && listed != NULL
         && listed->started_at != range->called;
}

/* A grant under the fence before the newest may be read late, like any other.  The parts
 * of a range that was split have it in common. */
static void
finish_old_call (key_service_t *service, const keys_msg_t *msg, msec_t now)
{
  for (guint i = 0; msg->call != 0 && i < service->ranges->len; i++)
    {
      key_range_state_t *range = range_at (service, i);
      if (range->old_call != msg->call)
        continue;
      range->old_call = 0;
      if (msg->kind != KEYS_CALL_FAILED || !msg->delivered)
        continue;
      key_holds_unanswered (&range->holds, range->old_call_hold, true, now);
    }
}

static void
finish_call (keys_t *self, const keys_msg_t *msg, msec_t now, GArray *out)
{
  key_service_t *service = find_service (self, &msg->service);
  const keys_msg_kind_t kind = counted_kind (msg);

  if (service != NULL)
    finish_old_call (service, msg, now);
  for (guint i = 0; service != NULL && i < service->ranges->len; i++)
    {
      key_range_state_t *range = range_at (service, i);
      if (msg->call == 0 || range->call != msg->call)
        continue;
      range->call = 0;
      range->unanswered = kind == KEYS_CALL_FAILED;
      range->refused = range->unanswered && msg->refused && !is_elsewhere (self, range);
      range->answered = !range->unanswered;
      range->needs_proof = kind != msg->kind || msg->answered;
      if (msg->answered && !msg->shared)
        key_holds_foreign (&range->holds);
      if (kind == KEYS_CALL_FAILED && msg->refused)
        call_listed_address (self, range, now);
      if (kind == KEYS_CALL_FAILED)
        {
          key_holds_not_fenced_off (&range->holds);
          range->fence_confirmed = false;
        }
      if (range->confirming
          && !key_recall_answered (service, range, kind, msg->shared, now))
        return;
      if (kind == KEYS_GRANTED)
        {
          key_holds_answered (&range->holds, range->last_hold, now);
          range->granted = true;
          range->handover.len = 0;
          if (!msg->shared && shows_new_fence (service, range))
            {
              key_holds_fenced_off (&range->holds,
                                    MAX (self->longest_hold, self->inherited_hold),
                                    now);
              range->fenced = range->called;
              range->fence_confirmed = range->phase == RANGE_REVOKING;
            }
          if (range->fence_confirmed)
            range->next_call_at = now;
        }
      else if (kind == KEYS_RELEASED && range->phase == RANGE_REVOKING
               && is_from_unfenced_process (self, range, now))
        range->next_call_at = now; /* it is fenced, and asked once more */
      else if (kind == KEYS_RELEASED && range->phase == RANGE_REVOKING)
        {
          key_holds_released (&range->holds);
          range->released = true;
          range->handover = msg->handover;
          range->next_call_at = now; /* it may have to be fenced, as it answers */
        }
      else if (kind == KEYS_SUPERSEDED)
        {
          /* The owner may still hold those of the keys for which it has seen no higher
           * fence. */
          key_plan_revoke (range, NULL);
          range->superseded = true;
          range->next_call_at = now + KEYS_RETRY_MS;
        }
      else if (kind == KEYS_OWNER_GONE)
        handle_owner_gone (self, range, now);
      else if (kind == KEYS_CALL_FAILED && !msg->release)
        {
          range->next_call_at = MIN (range->next_call_at, now + KEYS_RETRY_MS);
          range->unanswered_fences += range->phase == RANGE_REVOKING;
          if (msg->sent || msg->shared)
            {
              key_holds_unanswered (&range->holds, range->last_hold, msg->delivered, now);
              append_note (KEYS_UNANSWERED, service, range, NULL, now, out);
            }
        }
      return;
    }
}

static void
add_loads (key_service_t *service, const GArray *loads)
{
  for (guint i = 0; i < loads->len; i++)
    {
      const key_load_t *load = &g_array_index (loads, key_load_t, i);
      service->recent_requests[load->bucket] += load->count;
      service->recent_total += load->count;
    }
}

/* Each sample counts as much as in a moving average over all hosts' samples. */
static void
update_service_times (key_service_t *service, const GArray *times)
{
  for (guint i = 0; i < times->len; i++)
    {
      const target_service_time_t *entry
          = &g_array_index (times, target_service_time_t, i);
      char *id = text_dup_c (name_text (&entry->target));
      gpointer known = g_hash_table_lookup (service->service_times, id);
      double before = known != NULL ? GPOINTER_TO_UINT (known) : entry->service_time_ms;
      double kept = pow (1 - 1.0 / KEYS_TIME_SAMPLES, entry->samples);
      uint32_t ms = (uint32_t)(before * kept + entry->service_time_ms * (1 - kept) + 0.5);
      g_hash_table_insert (service->service_times, id, GUINT_TO_POINTER (MAX (ms, 1)));
    }
}

static void
update_role (keys_t *self, msec_t until)
{
  if (until == 0 && self->role_until != 0)
    for (guint i = 0; i < self->services->len; i++)
      {
        key_recall_role_ended (service_at (self, i),
                               self->role_until,
                               longest_grant (self));
        service_at (self, i)->table_loaded = false;
        service_at (self, i)->commit_pending = false;
      }
  if (until == 0)
    g_array_set_size (self->rate_limits, 0);
  self->role_until = until;
}

void
keys_handle (keys_t *self, const keys_msg_t *msg, msec_t now, GArray *out)
{
  key_service_t *service = find_service (self, &msg->service);

  self->now = now;
  switch (msg->kind)
    {
    case KEYS_ROLE:
      update_role (self, msg->role_until);
      self->store_reachable = msg->store_reachable;
      break;
    case KEYS_SERVICES:
      update_services (self, msg->services, now);
      break;
    case KEYS_TARGETS:
      update_targets (self, msg->targets, now);
      break;
    case KEYS_TABLE:
      load_table (self, msg, now);
      break;
    case KEYS_STORE_LOST:
      handle_store_loss (self);
      break;
    case KEYS_COMMITTED:
      if (service != NULL)
        key_commits_succeeded (service, now);
      break;
    case KEYS_COMMIT_REJECTED:
      if (service != NULL)
        key_commits_rejected (self, service);
      break;
    case KEYS_GRANTED:
    case KEYS_SUPERSEDED:
    case KEYS_RELEASED:
    case KEYS_OWNER_GONE:
    case KEYS_CALL_FAILED:
      finish_call (self, msg, now, out);
      break;
    case KEYS_LOADS:
      if (service != NULL)
        add_loads (service, msg->loads);
      break;
    case KEYS_SERVICE_TIMES:
      if (service != NULL)
        update_service_times (service, msg->service_times);
      break;
    case KEYS_RATE_LIMITS:
      g_array_set_size (self->rate_limits, 0);
      g_array_append_vals (self->rate_limits, msg->shares->data, msg->shares->len);
      break;
    case KEYS_RESIGN:
      self->resigning = true;
      break;
    case KEYS_TICK:
      break;
    }
  /* These messages are frequent, and the next tick acts on them early enough. */
  if (msg->kind != KEYS_LOADS && msg->kind != KEYS_SERVICE_TIMES
      && msg->kind != KEYS_RATE_LIMITS && msg->kind != KEYS_GRANTED)
    step (self, now, out);
}

static void
free_service (void *item)
{
  key_service_t *service = item;

  g_array_unref (service->ranges);
  g_hash_table_unref (service->service_times);
  g_free (service);
}

void
keys_init (keys_t *self, msec_t hold_max)
{
  *self = (keys_t){ .hold_max = hold_max,
                    .stated_hold = hold_max,
                    .longest_hold = hold_max,
                    .next_fence = 1,
                    .services = g_ptr_array_new_with_free_func (free_service),
                    .rate_limits = g_array_new (FALSE, FALSE, sizeof (rate_share_t)),
                    .targets = g_array_new (FALSE, TRUE, sizeof (target_entry_t)),
                    .ended = g_array_new (FALSE, FALSE, sizeof (target_entry_t)) };
}

void
keys_finish (keys_t *self)
{
  g_ptr_array_unref (self->services);
  g_array_unref (self->targets);
  g_array_unref (self->ended);
  g_array_unref (self->rate_limits);
}

void
keys_set_hold_max (keys_t *self, msec_t hold_max)
{
  self->hold_max = hold_max;
  self->longest_hold = MAX (self->longest_hold, hold_max);
}

void
keys_state_hold (keys_t *self, msec_t hold)
{
  self->stated_hold = hold;
}

void
keys_inherit_hold (keys_t *self, msec_t hold)
{
  self->inherited_hold = hold;
}

bool
keys_lacks_table (const keys_t *self, const name_t *name)
{
  const key_service_t *service = find_service (self, name);

  return self->role_until != 0 && service != NULL && !service->table_loaded;
}

bool
keys_are_written (const keys_t *self)
{
  for (guint i = 0; i < self->services->len; i++)
    if (!service_at (self, i)->table_loaded || service_at (self, i)->unwritten)
      return false;
  return true;
}

bool
keys_remembers (const keys_t *self, msec_t now)
{
  for (guint i = 0; i < self->services->len; i++)
    if (now < service_at (self, i)->remembered_until)
      return true;
  return false;
}

void
keys_raise_fence (keys_t *self, uint64_t next_fence)
{
  self->next_fence = MAX (self->next_fence, next_fence);
}

msec_t
keys_predecessor_hold (const keys_t *self, msec_t since)
{
  /* The predecessor's last call may have been in flight for the longest time of a call.
   */
  msec_t hold = MAX (self->longest_hold, self->inherited_hold);

  return MAX (key_holds_worst_case (hold) + COMMAND_CALL_MS + KEYS_STALL_MS - since, 0);
}
