#include "key_recall.h"

#include "key_plan.h"

static key_range_state_t *
range_at (const key_service_t *service, guint i)
{
  return &g_array_index (service->ranges, key_range_state_t, i);
}

static bool
is_known (const key_range_state_t *range, msec_t now)
{
  return !range->confirming && now >= key_holds_unknown_end (&range->holds);
}

/* Whether the owner may confirm the range: this host had given it to the process that is
 * listed. */
static bool
may_confirm (const keys_t *keys, const key_range_state_t *range, msec_t now)
{
  const target_entry_t *owner = key_plan_find_target (keys, &range->owner);

  return (range->phase == RANGE_OWNED || range->phase == RANGE_REVOKING)
         && is_known (range, now) && owner != NULL
         && owner->started_at == range->owner_started_at;
}

/* Grants under way may still be read, whatever becomes of their calls. */
static void
forget_calls (key_range_state_t *range, msec_t now)
{
  const msec_t end = now + COMMAND_CALL_MS;

  if (range->old_call != 0)
    key_holds_unanswered (&range->holds, range->old_call_hold, true, end);
  if (range->call != 0 && range->last_hold > 0)
    key_holds_unanswered (&range->holds, range->last_hold, true, end);
  range->call = range->old_call = 0;
  range->pending_fence = 0;
}

void
key_recall_role_ended (key_service_t *self, msec_t role_end, msec_t hold)
{
  if (!self->table_loaded)
    return;
  /* Until then a successor moves no range whose owner it hasn't shown a new fence. */
  self->remembered_until = role_end + key_holds_worst_case (hold) + COMMAND_CALL_MS;
  for (guint i = 0; i < self->ranges->len; i++)
    {
      key_range_state_t *range = range_at (self, i);
      if (!is_known (range, role_end))
        range->phase = RANGE_UNASSIGNED;
      range->confirming = false;
    }
}

void
key_recall_lose_owner (key_range_state_t *range, msec_t until, msec_t now)
{
  const name_t owner = range->owner;

  range->confirming = false;
  forget_calls (range, now);
  key_holds_unknown_owner (&range->holds, until);
  key_plan_revoke (range, &owner);
}

bool
key_recall_ranges (const keys_t *keys,
                   key_service_t *self,
                   msec_t predecessor_hold,
                   msec_t now)
{
  const msec_t until = now + predecessor_hold;

  if (now >= self->remembered_until || self->ranges->len == 0)
    return false;
  self->needs_new_fences = true;
  self->confirm_until = MIN (now + KEYS_CONFIRM_MS, self->remembered_until);
  for (guint i = 0; i < self->ranges->len; i++)
    {
      key_range_state_t *range = range_at (self, i);
      key_holds_inherit (&range->holds, until);
      key_holds_not_fenced_off (&range->holds);
      if (!may_confirm (keys, range, now))
        {
          key_recall_lose_owner (range, until, now);
          continue;
        }
      forget_calls (range, now);
      range->phase = RANGE_OWNED;
      range->confirming = range->needs_proof = true;
      range->needs_new_fence = range->fence_confirmed = range->released = false;
      range->next_call_at = 0;
    }
  return true;
}

bool
key_recall_answered (const key_service_t *self,
                     key_range_state_t *range,
                     keys_msg_kind_t kind,
                     bool shared,
                     msec_t now)
{
  const bool accepted = kind == KEYS_GRANTED && !shared;

  if (kind == KEYS_CALL_FAILED || (kind == KEYS_GRANTED && shared))
    {
      range->needs_proof = true; /* it is asked again, until confirm_until */
      return true;
    }
  if (accepted && now < self->confirm_until)
    {
      range->confirming = false;
      return true;
    }
  key_recall_lose_owner (range, range->holds.inherited_until, now);
  return false;
}

void
key_recall_step (key_service_t *self, msec_t now)
{
  for (guint i = 0; now >= self->confirm_until && i < self->ranges->len; i++)
    {
      key_range_state_t *range = range_at (self, i);
      if (range->confirming)
        key_recall_lose_owner (range, range->holds.inherited_until, now);
    }
}

bool
key_recall_is_complete (const key_service_t *self, msec_t now)
{
  for (guint i = 0; i < self->ranges->len; i++)
    if (!is_known (range_at (self, i), now))
      return false;
  return true;
}
