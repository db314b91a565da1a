#include "key_commits.h"

#include "key_plan.h"

static key_range_state_t *
range_at (const key_service_t *service, guint i)
{
  return &g_array_index (service->ranges, key_range_state_t, i);
}

/* Requests a commit of the current ranges, with pending fences where there are any. */
static void
append_commit (const keys_t *self, const key_service_t *service, GArray *out)
{
  keys_out_t commit
      = { .kind = KEYS_COMMIT, .service = service->name, .next_fence = self->next_fence };

  key_table_init (&commit.table, name_text (&service->name));
  for (guint i = 0; i < service->ranges->len; i++)
    {
      const key_range_state_t *range = range_at (service, i);
      key_range_t entry
          = { .first = range->first,
              .last = range->last,
              .fence = range->pending_fence != 0 ? range->pending_fence : range->fence,
              .target = range->owner,
              .address = range->address,
              .target_started_at = range->owner_started_at };
      g_array_append_val (commit.table.ranges, entry);
    }
  g_array_append_val (out, commit);
}

void
key_commits_assign (keys_t *self, key_service_t *service, GArray *out)
{
  bool assigned = false;

  if (service->commit_pending)
    return;
  for (guint i = 0; i < service->ranges->len; i++)
    {
      key_range_state_t *range = range_at (service, i);
      if (range->phase != RANGE_UNASSIGNED)
        continue;
      const target_entry_t *next = key_plan_find_target (self, &range->next_owner);
      if (!key_plan_is_receiver (self, service, next))
        {
          if (!key_plan_least_loaded (self, service, &range->next_owner))
            return; /* no eligible target */
          next = key_plan_find_target (self, &range->next_owner);
        }
      range->phase = RANGE_COMMITTING;
      range->previous_owner = range->owner;
      range->previous_address = range->address;
      range->previous_fence = range->fence;
      range->previous_started_at = range->owner_started_at;
      range->owner = range->next_owner;
      range->owner_started_at = next->started_at;
      range->address = next->address;
      range->fence = self->next_fence++;
      range->granted = false;
      assigned = true;
    }
  if (!assigned)
    return;
  service->commit_pending = true;
  append_commit (self, service, out);
}

static bool
needs_new_fence (const key_service_t *service, const key_range_state_t *range)
{
  return range->needs_new_fence
         || (service->needs_new_fences && range->holds.inherited_until != 0);
}

void
key_commits_renew_fences (keys_t *self, key_service_t *service, GArray *out)
{
  bool needed = service->needs_new_fences;

  for (guint i = 0; i < service->ranges->len; i++)
    needed |= range_at (service, i)->needs_new_fence;
  if (service->commit_pending || !needed)
    return;
  service->commit_pending = true;
  for (guint i = 0; i < service->ranges->len; i++)
    if (needs_new_fence (service, range_at (service, i)))
      range_at (service, i)->pending_fence = self->next_fence++;
  service->needs_new_fences = false;
  append_commit (self, service, out);
}

void
key_commits_rewrite (const keys_t *self, key_service_t *service, GArray *out)
{
  if (service->commit_pending || !service->unwritten || service->ranges->len == 0)
    return;
  for (guint i = 0; i < service->ranges->len; i++)
    if (range_at (service, i)->owner.len == 0)
      return; /* it is about to be assigned for the first time */
  service->commit_pending = true;
  append_commit (self, service, out);
}

/* The answer to a grant under the fence before no longer counts.  The grant may arrive
 * until its call ends, and be read late if that ends as one that was taken and not
 * answered. */
static void
leave_call_to_its_end (key_range_state_t *range, msec_t now)
{
  const msec_t end = now + COMMAND_CALL_MS;

  if (range->old_call != 0)
    key_holds_unanswered (&range->holds, range->old_call_hold, true, end);
  key_holds_unanswered (&range->holds, range->last_hold, false, end);
  range->old_call = range->call;
  range->old_call_hold = range->last_hold;
}

void
key_commits_succeeded (key_service_t *service, msec_t now)
{
  service->commit_pending = service->unwritten = false;
  for (guint i = 0; i < service->ranges->len; i++)
    {
      key_range_state_t *range = range_at (service, i);
      if (range->pending_fence != 0)
        {
          if (range->call != 0 && range->last_hold > 0)
            leave_call_to_its_end (range, now);
          range->call = 0;
          range->fence = range->pending_fence;
          range->pending_fence = 0;
          range->next_call_at = 0;
          if (range->needs_new_fence)
            key_holds_new_fence (&range->holds);
          range->needs_new_fence = false;
        }
      if (range->phase != RANGE_COMMITTING)
        continue;
      range->phase = RANGE_OWNED;
      range->next_call_at = 0;
      range->holds = (key_holds_t){ 0 };
      range->last_hold = 0;
      range->old_call = 0;
    }
}

void
key_commits_rejected (keys_t *self, key_service_t *service)
{
  service->commit_pending = false;
  for (guint i = 0; i < service->ranges->len; i++)
    {
      key_range_state_t *range = range_at (service, i);
      service->needs_new_fences |= range->pending_fence != 0;
      range->pending_fence = 0;
      if (range->phase != RANGE_COMMITTING)
        continue;
      range->owner = range->previous_owner;
      range->address = range->previous_address;
      range->fence = range->previous_fence;
      range->owner_started_at = range->previous_started_at;
      const target_entry_t *owner = key_plan_find_target (self, &range->owner);
      if (!range->released || !key_plan_is_eligible (owner, service)
          || owner->started_at != range->owner_started_at)
        {
          range->phase = RANGE_UNASSIGNED;
          range->next_owner.len = 0;
          continue;
        }
      range->phase = RANGE_OWNED;
      range->next_call_at = 0;
    }
}
