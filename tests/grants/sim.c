#include "sim.h"

#include "../../packages/core/eventlog.h"

#include <stdio.h>
#include <string.h>

sim_t *sim;
name_t service;

const int sim_options[] = { [POINT_STORE] = STORE_OPTIONS,
                            [POINT_COMMAND] = COMMAND_OPTIONS,
                            [POINT_HOST] = HOST_OPTIONS };

void
sim_record_violation (const char *what, guint target, uint32_t key)
{
  if (sim->violation[0] == 0)
    g_snprintf (sim->violation,
                sizeof sim->violation,
                "%s: target %u, key %u, at %lld ms",
                what,
                target,
                key,
                (long long)sim->now);
}

static uint64_t
random_options (point_kind_t kind)
{
  return (uint64_t)(kind == POINT_STORE ? STORE_RANDOM_OPTIONS : sim_options[kind]);
}

int
sim_choose (point_kind_t kind)
{
  guint point;

  if (sim->random)
    return sim->now >= WINDOW_FROM_MS && sim->now < RANDOM_TO_MS
                   && rng_below (&sim->rng, 1000) < sim->rate
               ? (int)rng_below (&sim->rng, random_options (kind))
               : 0;
  if (sim->now < WINDOW_FROM_MS || sim->now >= WINDOW_TO_MS
      || sim->n_points == POINTS_MAX)
    return 0;
  point = sim->n_points++;
  sim->point_kinds[point] = kind;
  for (guint i = 0; i < sim->n_deviations; i++)
    if (sim->deviations[i].point == point)
      return sim->deviations[i].option;
  return 0;
}

sim_event_t *
sim_schedule (event_kind_t kind, guint host, msec_t after)
{
  sim_event_t *event = g_new0 (sim_event_t, 1);

  event->kind = kind;
  event->at = sim->now + after;
  event->host = host;
  event->incarnation = sim->hosts[host].incarnation;
  g_ptr_array_add (sim->events, event);
  return event;
}

static void
free_event (sim_event_t *event)
{
  /* Set if the host stopped before the response to its command arrived. */
  if (event->command_done != NULL)
    g_free (event->owner);
  if (event->role != NULL)
    g_string_free (event->role, TRUE);
  if (event->keys != NULL)
    g_string_free (event->keys, TRUE);
  if (event->reply.rows != NULL)
    g_array_unref (event->reply.rows);
  g_free (event);
}

void
sim_send_targets (host_t *host)
{
  GArray *listed = g_array_new (FALSE, TRUE, sizeof (target_entry_t));
  keys_msg_t msg = { .kind = KEYS_TARGETS, .targets = listed };

  sim->active_host = host->index;
  for (guint i = 0; i < TARGETS; i++)
    {
      const target_row_t *view = &sim->targets[i].views[host->index];
      target_entry_t entry = { .service = service,
                               .started_at = view->born,
                               .slots = 3,
                               .leaving = view->leaving };
      char id[2] = { (char)('a' + i), 0 };
      char address[20];
      name_set (&entry.id, text_from_c (id));
      g_snprintf (address, sizeof address, "127.0.0.1:%u", view->address);
      name_set (&entry.address, text_from_c (address));
      if (view->listed)
        g_array_append_val (listed, entry);
    }
  grants_handle (&host->coordinator, &msg);
  g_array_unref (listed);
}

void
sim_read_targets (guint host)
{
  for (guint i = 0; i < TARGETS; i++)
    sim->targets[i].views[host] = sim->targets[i].row;
}

void
sim_publish_target (guint index)
{
  target_t *target = &sim->targets[index];

  target->row.version++;
  for (guint i = 0; i < HOSTS; i++)
    if (sim->random)
      {
        msec_t delay = (msec_t)rng_below (&sim->rng, LISTING_DELAY_MS);
        sim_event_t *event = sim_schedule (EVENT_LISTING, i, delay);
        event->target = index;
        event->row = target->row;
      }
    else if (sim->hosts[i].up)
      {
        sim_read_targets (i);
        sim_send_targets (&sim->hosts[i]);
      }
}

/* A feed that makes no calls: hosts get their targets from send_targets. */
static void
init_idle_feed (feed_t *feed, coordinator_t *self)
{
  static const feed_ops_t none = { 0 };

  feed_init (feed,
             self->store,
             self->base,
             &self->clock,
             &self->outage,
             STORE_TARGETS,
             "idle",
             &none,
             self);
}

static void
start_host (host_t *host, const router_settings_t *settings)
{
  coordinator_t *self = &host->coordinator;
  keys_msg_t services = { .kind = KEYS_SERVICES };
  store_t *store = &host->store;

  host->up = true;
  host->incarnation++;
  *store = (store_t){ .ops = &sim_store_ops };
  host->kill_at = MSEC_NEVER;
  *self
      = (coordinator_t){ .settings = settings,
                         .deployment = &sim_deployment,
                         .base = event_base_new (),
                         .store = store,
                         .incarnation = host->incarnation,
                         .has_directory = true,
                         .host_count = HOSTS,
                         .key_actions = g_array_new (FALSE, TRUE, sizeof (keys_out_t)) };
  msclock_init_settable (&self->clock, sim->now);
  rng_init (&self->rng, host->index);
  keys_init (&self->keys, HOLD_MAX_MS);
  rate_fleet_init (&self->rates);
  pace_fleet_init (&self->paces);
  discovery_init (self);
  g_queue_init (&self->role.pending_tables);
  self->role.next_check = sim->now + host->index * 100;
  self->reporters = g_hash_table_new (g_str_hash, g_str_equal);
  init_idle_feed (&self->configuration, self);
  init_idle_feed (&self->targets, self);
  init_idle_feed (&self->owners, self);
  self->targets.watching = self->owners.watching = true;
  g_array_append_val (self->keyed_services, service);
  services.services = self->keyed_services;
  sim->active_host = host->index;
  grants_handle (self, &services);
  sim_read_targets (host->index);
  sim_send_targets (host);
}

static void
stop_host (host_t *host)
{
  coordinator_t *self = &host->coordinator;
  key_table_t *table;

  if (!host->up)
    return;
  host->up = false;
  if (self->role.write.has_table)
    key_table_finish (&self->role.write.table);
  while ((table = g_queue_pop_head (&self->role.pending_tables)) != NULL)
    {
      key_table_finish (table);
      g_free (table);
    }
  grants_finish (self);
  owners_finish (self);
  discovery_finish (self);
  keys_finish (&self->keys);
  rate_fleet_finish (&self->rates);
  pace_fleet_finish (&self->paces);
  g_array_unref (self->key_actions);
  g_hash_table_unref (self->reporters);
  event_base_free (self->base);
}

static void
step_host (host_t *host)
{
  coordinator_t *self = &host->coordinator;
  keys_msg_t tick = { .kind = KEYS_TICK };
  GArray *loads = g_array_new (FALSE, TRUE, sizeof (key_load_t));
  keys_msg_t requests = { .kind = KEYS_LOADS, .service = service, .loads = loads };

  if (sim->random)
    sim_draw_loads (loads);
  if (!host->up || sim->now < host->frozen_until)
    {
      g_array_unref (loads);
      return;
    }
  sim->active_host = host->index;
  msclock_set (&self->clock, sim->now);
  role_step (self, sim->now);
  if (self->role.state == ROLE_HELD)
    {
      if (loads->len > 0)
        grants_handle (self, &requests);
      grants_handle (self, &tick);
      role_step (self, sim->now);
    }
  g_array_unref (loads);
}

void
sim_kill_host (host_t *host, msec_t after)
{
  stop_host (host);
  host->restart_at = sim->now + after;
}

static void
inject_host_fault (host_t *host)
{
  int option = sim_choose (POINT_HOST);

  if (option == HOST_FROZEN)
    host->frozen_until
        = sim->now
          + (sim->random ? (msec_t)rng_below (&sim->rng, 2 * FREEZE_MS) : FREEZE_MS);
  if (option == HOST_KILLED)
    sim_kill_host (host,
                   sim->random ? (msec_t)rng_below (&sim->rng, 8 * RESTART_MS)
                               : RESTART_MS);
}

/* The entry of a target that restarted unseen arrives. */
static void
list_restarted_target (void)
{
  sim->targets[0].row.born = sim->targets[0].life;
  sim_publish_target (0);
}

/* The evacuation ends: the targets there, which count as leaving, are usable again. */
static void
take_back (void)
{
  for (guint i = 0; i < 2; i++)
    if (sim->targets[i].row.leaving)
      {
        sim->targets[i].row.leaving = false;
        sim_publish_target (i);
      }
}

static void
apply_scenario_change (void)
{
  target_t *first = &sim->targets[0];

  switch (sim->scenario)
    {
    case SCENARIO_LEAVE:
    case SCENARIO_LEAVE_LATER:
      first->row.leaving = true;
      break;
    case SCENARIO_REPLACE:
      first->row.leaving = true;
      /* fall through */
    case SCENARIO_RESTART:
      first->row.born++;
      /* fall through */
    case SCENARIO_RESTART_UNSEEN:
      sim_stop_target (0);
      first->up = true;
      first->life++;
      break;
    case SCENARIO_JOIN:
      sim->targets[2].up = sim->targets[2].row.listed = true;
      sim_publish_target (2);
      break;
    case SCENARIO_RESIGN:
      for (guint i = 0; i < HOSTS; i++)
        if (sim->hosts[i].up && sim->hosts[i].coordinator.role.state == ROLE_HELD)
          {
            coordinator_t *self = &sim->hosts[i].coordinator;
            keys_msg_t resign = { .kind = KEYS_RESIGN };
            sim->active_host = i;
            msclock_set (&self->clock, sim->now);
            grants_handle (self, &resign);
            self->stopping = true;
            role_resign (self, sim->now);
          }
      break;
    case SCENARIO_EVACUATE_ALL:
      sim->targets[1].row.leaving = true;
      sim_publish_target (1);
      /* fall through */
    case SCENARIO_EVACUATE:
      first->row.leaving = true;
      break;
    case SCENARIO_NO_CHANGE:
    case SCENARIO_COUNT:
      break;
    }
  sim_publish_target (0);
}

/* Event handlers. */

static void
handle (sim_event_t *event)
{
  host_t *host = &sim->hosts[event->host];
  bool receiver_is_running = host->up && host->incarnation == event->incarnation;

  switch (event->kind)
    {
    case EVENT_STORE_CALL:
      {
        store_reply_t reply = { 0 };
        sim_store_execute (event, &reply);
        if (event->done == NULL)
          {
            g_array_unref (reply.rows);
            break;
          }
        sim_event_t *response
            = sim_schedule (EVENT_STORE_RESPONSE, event->host, event->response_delay);
        response->incarnation = event->incarnation;
        response->done = event->done;
        response->owner = event->owner;
        response->reply = reply;
        response->era = sim->era;
        break;
      }
    case EVENT_COMMAND:
      {
        bool not_sent;
        command_outcome_t outcome = sim_execute_command (event, &not_sent);
        if (event->command_done == NULL)
          break;
        sim_event_t *response
            = sim_schedule (EVENT_COMMAND_RESPONSE, event->host, DELAY_MS);
        response->incarnation = event->incarnation;
        response->command_done = event->command_done;
        response->owner = g_steal_pointer (&event->owner);
        response->outcome = outcome;
        response->not_sent = not_sent;
        break;
      }
    case EVENT_STORE_RESPONSE:
    case EVENT_COMMAND_RESPONSE:
      if (!receiver_is_running)
        break;
      sim->active_host = event->host;
      msclock_set (&host->coordinator.clock, sim->now);
      if (event->kind == EVENT_STORE_RESPONSE)
        {
          sim_check_era (&host->store, event);
          event->done (event->owner, &event->reply);
        }
      else
        {
          const command_result_t result = { .outcome = event->outcome,
                                            .sent = !event->not_sent,
                                            .delivered = event->delivered,
                                            .refused = event->not_sent,
                                            .handover = TEXT ("warm") };
          event->command_done (g_steal_pointer (&event->owner), &result);
        }
      break;
    case EVENT_LISTING:
      {
        target_row_t *view = &sim->targets[event->target].views[event->host];
        if (!host->up || event->row.version < view->version)
          break;
        *view = event->row;
        msclock_set (&host->coordinator.clock, sim->now);
        sim_send_targets (host);
        break;
      }
    }
}

/* Handles all due events in order of time.  Responses to a frozen host stay queued. */
static void
handle_due (void)
{
  for (;;)
    {
      sim_event_t *next = NULL;
      for (guint i = 0; i < sim->events->len; i++)
        {
          sim_event_t *event = g_ptr_array_index (sim->events, i);
          bool answer = event->kind == EVENT_STORE_RESPONSE
                        || event->kind == EVENT_COMMAND_RESPONSE
                        || event->kind == EVENT_LISTING;
          if (event->at <= sim->now && (next == NULL || event->at < next->at)
              && !(answer && sim->now < sim->hosts[event->host].frozen_until))
            next = event;
        }
      if (next == NULL)
        return;
      g_ptr_array_remove (sim->events, next);
      handle (next);
      free_event (next);
    }
}

static bool
is_held (uint32_t key)
{
  for (guint i = 0; i < TARGETS; i++)
    for (guint j = 0; j < sim->targets[i].holds->len; j++)
      {
        const hold_t *hold = &g_array_index (sim->targets[i].holds, hold_t, j);
        if (hold->first <= key && key <= hold->last && hold->until > sim->now)
          return true;
      }
  return false;
}

/* No two hosts may believe to hold the role, whatever became of its row. */
static void
check_holders (void)
{
  guint holders = 0;

  for (guint i = 0; i < HOSTS; i++)
    {
      const role_t *role = &sim->hosts[i].coordinator.role;
      holders += sim->hosts[i].up && role->state == ROLE_HELD
                 && sim->now < role->lease_end - ROLE_MARGIN_MS;
    }
  if (holders > 1)
    sim_record_violation ("two hosts hold the role", TARGETS, 0);
}

/* Makes the scenario's changes that are due; returns whether the first one was made. */
static bool
step_scenario (const sim_t *self, msec_t change_at, bool changed)
{
  if (!self->random && !changed && self->now >= change_at)
    {
      changed = true;
      apply_scenario_change ();
    }
  if (changed && self->scenario >= SCENARIO_EVACUATE
      && self->now == change_at + EVACUATION_MS)
    take_back ();
  if (changed && self->now >= change_at + LISTING_DELAY_MS
      && self->targets[0].row.born != self->targets[0].life)
    list_restarted_target ();
  return changed;
}

static msec_t
end_of (const sim_t *self)
{
  const bool lost = self->era > 1 || self->store_away;

  if (self->random)
    return lost ? RANDOM_END_AFTER_LOSS_MS : RANDOM_END_MS;
  return lost ? END_AFTER_LOSS_MS : END_MS;
}

void
sim_run (sim_t *self, const router_settings_t *settings)
{
  static const msec_t late_changes[SCENARIO_COUNT]
      = { [SCENARIO_LEAVE_LATER] = SCENARIO_LATER_MS,
          [SCENARIO_REPLACE] = SCENARIO_AFTER_WINDOW_MS };
  msec_t change_at = MAX (late_changes[self->scenario], SCENARIO_CHANGE_MS);
  bool changed = false;

  sim = self;
  self->now = 1000;
  self->events = g_ptr_array_new ();
  sim_store_open ();
  for (guint i = 0; i < TARGETS; i++)
    {
      bool up = i < (self->random ? 4 : 2);
      self->targets[i]
          = (target_t){ .row = { .listed = up, .born = 1, .address = i + 1 },
                        .up = up,
                        .life = 1,
                        .address = i + 1,
                        .back_at = MSEC_NEVER,
                        .list_at = MSEC_NEVER,
                        .exit_at = MSEC_NEVER,
                        .lapse_at = MSEC_NEVER,
                        .relist_at = MSEC_NEVER,
                        .holds = g_array_new (FALSE, TRUE, sizeof (hold_t)),
                        .fences = g_array_new (FALSE, TRUE, sizeof (hold_t)) };
      self->fences[i] = g_array_new (FALSE, TRUE, sizeof (hold_t));
    }
  self->next_address = TARGETS + 1;
  for (guint i = 0; i < HOSTS; i++)
    {
      self->hosts[i].index = i;
      start_host (&self->hosts[i], &settings[i]);
    }
  while (self->now < end_of (self) && self->violation[0] == 0)
    {
      self->now += DELAY_MS;
      sim_step_store ();
      handle_due ();
      if (self->verbose)
        {
          fflush (stdout);
          eventlog_flush ();
        }
      if (self->random && self->now % HOST_FAULT_INTERVAL_MS == 0)
        sim_disturb ();
      sim_step_stalls ();
      changed = step_scenario (self, change_at, changed);
      for (guint i = 0; i < HOSTS; i++)
        {
          host_t *host = &self->hosts[i];
          if (self->now % HOST_FAULT_INTERVAL_MS == 0)
            inject_host_fault (host);
          if (host->up && self->now >= host->kill_at)
            sim_kill_host (host, STORE_AWAY_MS + RESTART_MS);
          if (!host->up && self->now >= host->restart_at)
            start_host (host, &settings[i]);
          if (self->now % TICK_MS == 0)
            step_host (host);
        }
      check_holders ();
    }
  for (uint32_t key = 0; key <= KEY_LAST; key += 4095)
    if (!is_held (key))
      sim_record_violation ("key not held at the end", TARGETS, key);
  for (guint i = 0; i < HOSTS; i++)
    stop_host (&self->hosts[i]);
  for (guint i = 0; i < self->events->len; i++)
    free_event (g_ptr_array_index (self->events, i));
  g_ptr_array_unref (self->events);
  for (guint i = 0; i < TARGETS; i++)
    {
      g_array_unref (self->targets[i].holds);
      g_array_unref (self->targets[i].fences);
      g_array_unref (self->fences[i]);
    }
  sim_store_close ();
}
