#include "keys.h"

#include "key_commits.h"
#include "key_plan.h"

static key_service_t *
service_at (const keys_t *self, guint i)
{
  return g_ptr_array_index (self->services, i);
}

static key_span_t *
span_at (const key_service_t *service, guint i)
{
  return &g_array_index (service->spans, key_span_t, i);
}

static key_service_t *
find_service (const keys_t *self, const name_t *name)
{
  for (guint i = 0; i < self->services->len; i++)
    if (name_equal (&service_at (self, i)->name, name))
      return service_at (self, i);
  return NULL;
}

static msec_t
on_slow_clock (msec_t hold)
{
  return hold * (100 + KEYS_SLOW_CLOCK_PERCENT) / 100 + KEYS_MARGIN_MS;
}

/* The owner is listed, in the life that the run was given to. */
static const target_entry_t *
owner_entry (const keys_t *self, const key_span_t *span)
{
  const target_entry_t *target = key_plan_find (self, &span->owner);

  return target != NULL && target->born == span->born ? target : NULL;
}

static void
emit_call (keys_out_kind_t kind,
           const key_service_t *service,
           key_span_t *span,
           msec_t hold,
           GArray *out)
{
  keys_out_t call = { .kind = kind,
                      .service = service->name,
                      .target = span->owner,
                      .address = span->address,
                      .first = span->first,
                      .last = span->last,
                      .fence = span->fence,
                      .hold = hold,
                      .handover = span->handover };

  span->calling = true;
  span->last_hold = hold;
  g_array_append_val (out, call);
}

/* Renewals may be sent only while the role is held for certain. */
static bool
may_grant (const keys_t *self, msec_t now)
{
  return now < self->role_until - ROLE_MARGIN_MS;
}

static void
renew (
    keys_t *self, const key_service_t *service, key_span_t *span, msec_t now, GArray *out)
{
  const target_entry_t *target = owner_entry (self, span);
  bool last_round = self->resigning || self->role_until - now < KEYS_LAST_ROUND_MS;
  msec_t hold = last_round ? self->hold_max : MIN (KEYS_HOLD_MS, self->hold_max);
  bool due = now >= span->call_after || (last_round && span->last_hold < hold);

  if (target == NULL || target->leaving)
    key_plan_take_back (span, NULL);
  else if (due && !span->calling && may_grant (self, now))
    {
      span->call_after = now + KEYS_RENEW_MS;
      span->held_until = MAX (span->held_until, now + on_slow_clock (hold));
      emit_call (KEYS_GRANT, service, span, hold, out);
    }
}

/* Has a leaving owner refuse what a predecessor may have sent it. */
static void
fence_off (const key_service_t *service, key_span_t *span, msec_t now, GArray *out)
{
  span->call_after = now + KEYS_RETRY_MS;
  span->held_until = MAX (span->held_until, now + on_slow_clock (KEYS_FENCE_HOLD_MS));
  emit_call (KEYS_GRANT, service, span, KEYS_FENCE_HOLD_MS, out);
}

/* Not if that could make the keys rest longer than they would anyhow. */
static bool
may_be_fenced_off (const key_span_t *span, const target_entry_t *same_id, msec_t now)
{
  return span->inherited_until != 0 && same_id != NULL
         && now + on_slow_clock (KEYS_FENCE_HOLD_MS) < span->held_until;
}

static void
take_back (
    keys_t *self, const key_service_t *service, key_span_t *span, msec_t now, GArray *out)
{
  const target_entry_t *same_id = key_plan_find (self, &span->owner);
  bool started_anew = same_id != NULL && same_id->born > span->born;
  msec_t rests_until = span->released ? MAX (span->doubt_until, span->inherited_until)
                                      : span->held_until;

  if (span->calling)
    return;
  if (started_anew || now >= rests_until)
    {
      span->state = RUN_FREE;
      if (!span->released)
        span->handover.len = 0;
    }
  else if (now < span->call_after || span->released || !may_grant (self, now))
    return;
  else if (may_be_fenced_off (span, same_id, now))
    {
      if (!service->wants_fences && span->new_fence == 0)
        fence_off (service, span, now, out);
    }
  else
    {
      span->call_after = now + KEYS_RETRY_MS * (1 + MIN (span->tries, 4));
      span->tries++;
      if (same_id != NULL)
        span->address = same_id->address;
      emit_call (KEYS_RELEASE, service, span, 0, out);
    }
}

static void
step_service (keys_t *self, key_service_t *service, msec_t now, GArray *out)
{
  if (!service->known)
    return;
  if (service->spans->len == 0 && now >= service->joined_at + KEYS_SETTLE_MS)
    key_plan_first (self, service);
  if (!self->resigning && self->store_answers)
    key_plan_moves (self, service, now);
  for (guint i = 0; i < service->spans->len; i++)
    {
      key_span_t *span = span_at (service, i);
      if (span->state == RUN_HELD)
        renew (self, service, span, now, out);
      if (span->state == RUN_LEAVING && !self->resigning)
        take_back (self, service, span, now, out);
    }
  if (self->resigning || !may_grant (self, now))
    return;
  key_commits_fences (self, service, out);
  key_commits_free (self, service, out);
}

static void
step (keys_t *self, msec_t now, GArray *out)
{
  if (self->role_until == 0)
    return;
  for (guint i = 0; i < self->services->len; i++)
    step_service (self, service_at (self, i), now, out);
}

static void
take_services (keys_t *self, const GArray *names, msec_t now)
{
  for (guint i = 0; i < names->len; i++)
    {
      const name_t *name = &g_array_index (names, name_t, i);
      if (find_service (self, name) != NULL)
        continue;
      key_service_t *service = g_new0 (key_service_t, 1);
      service->name = *name;
      service->spans = g_array_new (FALSE, TRUE, sizeof (key_span_t));
      service->work_ms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      service->joined_at = now;
      g_ptr_array_add (self->services, service);
    }
}

static void
take_targets (keys_t *self, const GArray *targets, msec_t now)
{
  for (guint i = 0; i < targets->len; i++)
    {
      const target_entry_t *target = &g_array_index (targets, target_entry_t, i);
      key_service_t *service = find_service (self, &target->service);
      if (service != NULL && key_plan_find (self, &target->id) == NULL)
        service->joined_at = now;
    }
  g_array_set_size (self->targets, 0);
  g_array_append_vals (self->targets, targets->data, targets->len);
  key_plan_sort (self->targets);
}

static void
take_table (keys_t *self, const keys_msg_t *msg, msec_t now)
{
  key_service_t *service = find_service (self, &msg->service);

  if (service == NULL)
    return;
  service->known = true;
  service->committing = false;
  if (msg->unreadable)
    service->joined_at = now + msg->held_for; /* nobody holds a key by then */
  service->wants_fences = msg->table != NULL && msg->held_for > 0;
  g_array_set_size (service->spans, 0);
  for (guint i = 0; msg->table != NULL && i < msg->table->runs->len; i++)
    {
      const key_run_t *run = &g_array_index (msg->table->runs, key_run_t, i);
      key_span_t span
          = { .state = RUN_HELD,
              .first = run->first,
              .last = run->last,
              .fence = run->fence,
              .owner = run->target,
              .address = run->address,
              .born = run->born,
              .warm = true,
              .held_until = now + msg->held_for,
              .inherited_until = msg->held_for > 0 ? now + msg->held_for : 0 };
      g_array_append_val (service->spans, span);
      /* Holds without the role's row as well: no fence is given out a second time. */
      self->next_fence = MAX (self->next_fence, run->fence + 1);
    }
}

static void
call_ended (keys_t *self, const keys_msg_t *msg, msec_t now)
{
  key_service_t *service = find_service (self, &msg->service);

  for (guint i = 0; service != NULL && i < service->spans->len; i++)
    {
      key_span_t *span = span_at (service, i);
      if (span->first != msg->first || span->fence != msg->fence || !span->calling)
        continue;
      span->calling = false;
      if (msg->kind == KEYS_GRANTED)
        {
          span->warm = true;
          span->handover.len = 0;
          if (!service->wants_fences && span->new_fence == 0)
            span->inherited_until = 0;
        }
      else if (msg->kind == KEYS_RELEASED && span->state == RUN_LEAVING)
        {
          span->released = true;
          span->handover = msg->handover;
        }
      else if (msg->kind == KEYS_REFUSED || msg->kind == KEYS_OVER)
        {
          /* An old fence, of which only a new one above all helps, or no owner at all. */
          key_plan_take_back (span, NULL);
          span->held_until = now;
        }
      else if (msg->kind == KEYS_FAILED && !msg->release)
        {
          span->call_after = MIN (span->call_after, now + KEYS_RETRY_MS);
          if (msg->sent)
            {
              span->doubt_until = now + on_slow_clock (span->last_hold);
              span->held_until = MAX (span->held_until, span->doubt_until);
            }
        }
      return;
    }
}

static void
take_loads (key_service_t *service, const GArray *loads)
{
  for (guint i = 0; i < loads->len; i++)
    {
      const key_load_t *load = &g_array_index (loads, key_load_t, i);
      service->recent[load->step] += load->count;
      service->n_recent += load->count;
    }
}

static void
take_speeds (key_service_t *service, const GArray *speeds)
{
  for (guint i = 0; i < speeds->len; i++)
    {
      const target_speed_t *speed = &g_array_index (speeds, target_speed_t, i);
      g_hash_table_insert (service->work_ms,
                           text_dup_c (name_text (&speed->target)),
                           GUINT_TO_POINTER (MAX (speed->work_ms, 1)));
    }
}

static void
take_role (keys_t *self, msec_t until)
{
  if (until == 0 && self->role_until != 0)
    for (guint i = 0; i < self->services->len; i++)
      {
        service_at (self, i)->known = false;
        service_at (self, i)->committing = false;
      }
  self->role_until = until;
}

void
keys_handle (keys_t *self, const keys_msg_t *msg, msec_t now, GArray *out)
{
  key_service_t *service = find_service (self, &msg->service);

  switch (msg->kind)
    {
    case KEYS_ROLE:
      take_role (self, msg->until);
      self->store_answers = msg->store_answers;
      break;
    case KEYS_SERVICES:
      take_services (self, msg->names, now);
      break;
    case KEYS_TARGETS:
      take_targets (self, msg->targets, now);
      break;
    case KEYS_TABLE:
      take_table (self, msg, now);
      break;
    case KEYS_COMMITTED:
      if (service != NULL)
        key_commits_done (service);
      break;
    case KEYS_NOT_COMMITTED:
      if (service != NULL)
        key_commits_refused (self, service);
      break;
    case KEYS_GRANTED:
    case KEYS_REFUSED:
    case KEYS_RELEASED:
    case KEYS_OVER:
    case KEYS_FAILED:
      call_ended (self, msg, now);
      break;
    case KEYS_LOADS:
      if (service != NULL)
        take_loads (service, msg->loads);
      break;
    case KEYS_SPEEDS:
      if (service != NULL)
        take_speeds (service, msg->speeds);
      break;
    case KEYS_RESIGN:
      self->resigning = true;
      break;
    case KEYS_TICK:
      break;
    }
  /* These change nothing that the next tick couldn't do as well, and come often. */
  if (msg->kind != KEYS_LOADS && msg->kind != KEYS_SPEEDS && msg->kind != KEYS_GRANTED)
    step (self, now, out);
}

static void
free_service (void *item)
{
  key_service_t *service = item;

  g_array_unref (service->spans);
  g_hash_table_unref (service->work_ms);
  g_free (service);
}

void
keys_init (keys_t *self, msec_t hold_max)
{
  *self = (keys_t){ .hold_max = hold_max,
                    .next_fence = 1,
                    .services = g_ptr_array_new_with_free_func (free_service),
                    .targets = g_array_new (FALSE, TRUE, sizeof (target_entry_t)) };
}

void
keys_finish (keys_t *self)
{
  g_ptr_array_unref (self->services);
  g_array_unref (self->targets);
}

void
keys_set_fence (keys_t *self, uint64_t next_fence)
{
  self->next_fence = MAX (self->next_fence, next_fence);
}

msec_t
keys_held_after (const keys_t *self, msec_t since)
{
  /* Its last call may have been on its way for as long as a call may take. */
  return MAX (on_slow_clock (self->hold_max) + ORDER_CALL_MS - since, 0);
}
