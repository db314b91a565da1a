#include "sim.h"

#include <stdio.h>

static guint
target_index (const name_t *id)
{
  return (guint)(id->at[0] - 'a');
}

static void
accept_grant (guint index, const sim_event_t *event)
{
  target_t *target = &sim->targets[index];
  const key_command_t *command = &event->command;
  msec_t from = event->hold_from_arrival ? event->arrived_at : sim->now;
  hold_t hold = { command->first,
                  command->last,
                  command->fence,
                  from + command->hold * 102 / 100 };

  if (hold.until <= sim->now)
    return; /* it expired before it was executed */
  for (guint other = 0; other < TARGETS; other++)
    for (guint i = 0; other != index && i < sim->targets[other].holds->len; i++)
      {
        const hold_t *held = &g_array_index (sim->targets[other].holds, hold_t, i);
        if (held->until > sim->now && hold.until > sim->now && held->first <= hold.last
            && hold.first <= held->last)
          sim_record_violation ("key held by two targets",
                                index,
                                MAX (held->first, hold.first));
      }
  for (guint sample = 0; sample < KEY_SAMPLES; sample++)
    {
      if (sample * KEY_STRIDE < command->first || sample * KEY_STRIDE > command->last)
        continue;
      if (sim->max_fences[sample] >= command->fence && sim->fence_owners[sample] != index)
        sim_record_violation ("fence not above those of other targets",
                              index,
                              sample * KEY_STRIDE);
      sim->max_fences[sample] = MAX (sim->max_fences[sample], command->fence);
      sim->fence_owners[sample] = index;
      target->max_fences[sample] = MAX (target->max_fences[sample], command->fence);
    }
  for (guint i = 0; i < target->holds->len; i++)
    if (g_array_index (target->holds, hold_t, i).first == hold.first
        && g_array_index (target->holds, hold_t, i).last == hold.last)
      g_array_remove_index (target->holds, i--);
  g_array_append_val (target->holds, hold);
}

static void
accept_release (target_t *target, const key_command_t *command)
{
  GArray *kept = g_array_new (FALSE, FALSE, sizeof (hold_t));

  for (guint i = 0; i < target->holds->len; i++)
    {
      hold_t hold = g_array_index (target->holds, hold_t, i);
      hold_t lower = hold, upper = hold;
      lower.last = MIN (hold.last, command->first - 1);
      upper.first = MAX (hold.first, command->last + 1);
      if (hold.first < command->first && lower.first <= lower.last)
        g_array_append_val (kept, lower);
      if (hold.last > command->last && upper.first <= upper.last)
        g_array_append_val (kept, upper);
    }
  g_array_unref (target->holds);
  target->holds = kept;
}

/* Whether the target has accepted a higher fence for one of the sampled keys. */
static bool
is_superseded (guint index, const key_command_t *command)
{
  for (guint sample = 0; sample < KEY_SAMPLES; sample++)
    if (sample * KEY_STRIDE >= command->first && sample * KEY_STRIDE <= command->last
        && sim->targets[index].max_fences[sample] > command->fence)
      return true;
  return false;
}

static void
print_command (const sim_event_t *event)
{
  const key_command_t *command = &event->command;

  printf ("%5lld host %u: %s %c %u-%u fence %llu hold %lld, sent at %lld%s\n",
          (long long)sim->now,
          event->host,
          command->release ? "release" : "grant",
          command->target.at[0],
          command->first,
          command->last,
          (unsigned long long)command->fence,
          (long long)command->hold,
          (long long)event->arrived_at - DELAY_MS,
          event->command_done == NULL ? ", response lost" : "");
}

command_outcome_t
sim_execute_command (const sim_event_t *event)
{
  guint index = target_index (&event->command.target);
  target_t *target = &sim->targets[index];

  if (sim->verbose)
    print_command (event);
  if (event->command.release)
    {
      accept_release (target, &event->command);
      return COMMAND_ACCEPTED;
    }
  if (is_superseded (index, &event->command))
    return COMMAND_SUPERSEDED;
  accept_grant (index, event);
  return COMMAND_ACCEPTED;
}

static void
send_command (httpc_pool_t *pool,
              const key_command_t *command,
              command_done_t done,
              void *owner,
              msec_t now)
{
  int option = sim_choose (POINT_COMMAND);
  sim_event_t *call = sim_schedule (EVENT_COMMAND, sim->active_host, DELAY_MS);
  sim_event_t *failure;
  target_t *target = &sim->targets[target_index (&command->target)];

  (void)pool;
  (void)now;
  call->command = *command;
  call->arrived_at = call->at;
  call->command_done = done;
  call->owner = owner;
  if (option == COMMAND_DELAYED_SERIES)
    target->slow_until = sim->now + COMMAND_SERIES_MS;
  bool in_series = sim->now < target->slow_until && !command->release;
  if (option == 0 && !in_series)
    return;
  call->command_done = NULL;
  if (option == COMMAND_LOST)
    call->at = MSEC_NEVER;
  if (option == COMMAND_DELAYED || in_series)
    {
      call->at += in_series ? COMMAND_SERIES_DELAY_MS : COMMAND_DELAY_MS;
      call->hold_from_arrival = true;
    }
  failure = sim_schedule (EVENT_COMMAND_RESPONSE, sim->active_host, COMMAND_CALL_MS);
  failure->command_done = done;
  failure->owner = owner;
  failure->outcome = COMMAND_FAILED;
}

const deployment_ops_t sim_deployment = { .send_command = send_command };
