#include "sim.h"

#include <stdio.h>

static guint
target_index (const name_t *id)
{
  return (guint)(id->at[0] - 'a');
}

static void
take_grant (guint index, const sim_event_t *event)
{
  target_t *target = &sim->targets[index];
  const key_order_t *order = &event->order;
  msec_t from = event->counts_from_before ? event->arrived : sim->now;
  hold_t hold
      = { order->first, order->last, order->fence, from + order->hold * 102 / 100 };

  if (hold.until <= sim->now)
    return; /* its time was over when it was carried out */
  for (guint other = 0; other < TARGETS; other++)
    for (guint i = 0; other != index && i < sim->targets[other].holds->len; i++)
      {
        const hold_t *held = &g_array_index (sim->targets[other].holds, hold_t, i);
        if (held->until > sim->now && hold.until > sim->now && held->first <= hold.last
            && hold.first <= held->last)
          sim_found ("held by two", index, MAX (held->first, hold.first));
      }
  for (guint at = 0; at < KEY_SAMPLES; at++)
    {
      if (at * KEY_STRIDE < order->first || at * KEY_STRIDE > order->last)
        continue;
      if (sim->fences[at] >= order->fence && sim->fence_owners[at] != index)
        sim_found ("fence not above all", index, at * KEY_STRIDE);
      sim->fences[at] = MAX (sim->fences[at], order->fence);
      sim->fence_owners[at] = index;
      target->seen[at] = MAX (target->seen[at], order->fence);
    }
  for (guint i = 0; i < target->holds->len; i++)
    if (g_array_index (target->holds, hold_t, i).first == hold.first
        && g_array_index (target->holds, hold_t, i).last == hold.last)
      g_array_remove_index (target->holds, i--);
  g_array_append_val (target->holds, hold);
}

static void
take_release (target_t *target, const key_order_t *order)
{
  GArray *kept = g_array_new (FALSE, FALSE, sizeof (hold_t));

  for (guint i = 0; i < target->holds->len; i++)
    {
      hold_t hold = g_array_index (target->holds, hold_t, i);
      hold_t lower = hold, upper = hold;
      lower.last = MIN (hold.last, order->first - 1);
      upper.first = MAX (hold.first, order->last + 1);
      if (hold.first < order->first && lower.first <= lower.last)
        g_array_append_val (kept, lower);
      if (hold.last > order->last && upper.first <= upper.last)
        g_array_append_val (kept, upper);
    }
  g_array_unref (target->holds);
  target->holds = kept;
}

/* Whether a target has seen a higher fence on one of the keys. */
static bool
is_superseded (guint index, const key_order_t *order)
{
  for (guint at = 0; at < KEY_SAMPLES; at++)
    if (at * KEY_STRIDE >= order->first && at * KEY_STRIDE <= order->last
        && sim->targets[index].seen[at] > order->fence)
      return true;
  return false;
}

static void
tell_order (const sim_event_t *event)
{
  const key_order_t *order = &event->order;

  printf ("%5lld host %u: %s %c %u-%u fence %llu hold %lld, sent at %lld%s\n",
          (long long)sim->now,
          event->host,
          order->release ? "release" : "grant",
          order->target.at[0],
          order->first,
          order->last,
          (unsigned long long)order->fence,
          (long long)order->hold,
          (long long)event->arrived - WAY_MS,
          event->order_done == NULL ? ", not answered" : "");
}

order_outcome_t
sim_take_order (const sim_event_t *event)
{
  guint index = target_index (&event->order.target);
  target_t *target = &sim->targets[index];

  if (sim->tell)
    tell_order (event);

  if (event->order.release)
    {
      take_release (target, &event->order);
      return ORDER_TAKEN;
    }
  if (is_superseded (index, &event->order))
    return ORDER_SUPERSEDED;
  take_grant (index, event);
  return ORDER_TAKEN;
}

static void
give_order (httpc_pool_t *pool,
            const key_order_t *order,
            order_done_t done,
            void *owner,
            msec_t now)
{
  int option = sim_choose (POINT_ORDER);
  sim_event_t *call = sim_schedule (EVENT_ORDER, sim->acting, WAY_MS);
  sim_event_t *silence;

  (void)pool;
  (void)now;
  call->order = *order;
  call->arrived = call->at;
  call->order_done = done;
  call->owner = owner;
  if (option == 0)
    return;
  call->order_done = NULL;
  if (option == ORDER_LOST)
    call->at = MSEC_NEVER;
  if (option == ORDER_LATE)
    {
      call->at += ORDER_LATE_MS;
      call->counts_from_before = true;
    }
  silence = sim_schedule (EVENT_ORDER_ANSWER, sim->acting, ORDER_CALL_MS);
  silence->order_done = done;
  silence->owner = owner;
  silence->outcome = ORDER_FAILED;
}

const deployment_ops_t sim_deployment = { .order = give_order };
