#include "fake_parts.h"

#include "../../packages/core/text.h"

#include <stdio.h>
#include <string.h>

#define TICK_MS 50
#define LIST_INTERVAL_MS 1000

static void
free_event (gpointer data)
{
  event_t *event = data;

  g_free (event->table);
  g_free (event->epochs);
  if (event->completed != NULL)
    g_rc_box_release (event->completed);
  g_free (event);
}

static int
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const event_t *x = a;
  const event_t *y = b;

  (void)data;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

event_t *
fake_schedule (fake_t *self, const event_t *event, msec_t at)
{
  event_t *copy = g_memdup2 (event, sizeof *event);

  copy->at = at;
  copy->order = self->n_events++;
  if (copy->completed != NULL)
    g_rc_box_acquire (copy->completed);
  g_sequence_insert_sorted (self->events, copy, compare_events, NULL);
  return copy;
}

msec_t
fake_delay (fake_t *self)
{
  if (self->choose_delay != NULL)
    return self->choose_delay (self, self->context);
  return (msec_t)rng_below (&self->rng, (uint64_t)self->setup.delay_ms + 1);
}

/* Event handlers. */

static void
on_peer_msg (fake_t *self, event_t *event)
{
  uint32_t host = event->host;
  place_msg_t hello = { .kind = PLACE_HELLO,
                        .host = event->from,
                        .version = event->version,
                        .leaving = event->leaving };
  lease_msg_t lease
      = { .kind = event->peer_msg == PEER_MSG_LEASE_QUERY ? LEASE_QUERY_RECEIVED
                                                          : LEASE_REPLY_RECEIVED,
          .from = host_id (&event->from),
          .version = event->version,
          .seq = event->seq,
          .vote = event->vote,
          .age = event->peer_msg == PEER_MSG_LEASE_REPLY ? event->age : -1 };

  switch (event->peer_msg)
    {
    case PEER_MSG_HELLO:
      fake_handle_place (self, host, &hello);
      break;
    case PEER_MSG_HELLO_REQUEST:
      fake_send_hello (self, host, &event->from.name);
      fake_handle_lease (self, host, &lease);
      break;
    case PEER_MSG_LEASE_QUERY:
    case PEER_MSG_LEASE_REPLY:
    case PEER_MSG_NEW_VERSION:
      fake_handle_lease (self, host, &lease);
      break;
    }
}

static void
on_grant_call (fake_t *self, event_t *event)
{
  int index = fake_find_target (self, self->hosts[event->host].table, event->target);
  fake_target_t *target = &self->targets[index];
  event_t response = *event;

  if (event->until > 0 && event->target_incarnation == target->incarnation
      && event->version >= target->version)
    {
      if (event->version > target->version)
        memcpy (target->epochs, event->epochs, sizeof target->epochs);
      target->version = event->version;
      target->until = MAX (target->until, event->until);
    }
  response.kind = EVENT_GRANT_RESPONSE;
  response.ok = true;
  response.clock = self->now + target->clock_offset;
  response.target_incarnation = target->incarnation;
  response.version = target->version;
  response.epochs = NULL;
  response.table = NULL;
  msec_t delay = self->cut_target[event->host][index] ? LOST : fake_delay (self);
  if (delay != LOST)
    fake_schedule (self, &response, self->now + delay);
}

static void
on_grant_response (fake_t *self, event_t *event)
{
  grant_msg_t msg = { .kind = GRANT_ANSWER,
                      .target = event->target,
                      .ok = event->ok,
                      .clock = event->clock,
                      .incarnation = event->target_incarnation,
                      .version = event->version };

  if (*event->completed)
    return;
  *event->completed = true;
  fake_handle_grant (self, event->host, &msg);
}

static void
deliver_target_list (fake_t *self, uint32_t host)
{
  target_t list[FAKE_TARGETS];
  place_msg_t msg = { .kind = PLACE_TARGET_LIST, .targets = list };

  for (uint32_t i = 0; i < self->setup.n_targets; i++)
    if (self->targets[i].listed)
      list[msg.n++] = self->targets[i].entry;
  if (!self->store_down && !self->cut[host][FAKE_STORE])
    fake_handle_place (self, host, &msg);
}

static void
on_tick (fake_t *self, const event_t *event)
{
  uint32_t host = event->host;
  const lease_msg_t lease = { .kind = LEASE_TICK };
  const place_msg_t place = { .kind = PLACE_TICK };
  const grant_msg_t grant = { .kind = GRANT_TICK };

  fake_schedule (self, event, self->now + TICK_MS);
  fake_handle_lease (self, host, &lease);
  fake_handle_place (self, host, &place);
  fake_handle_grant (self, host, &grant);
  if (event->seq % (LIST_INTERVAL_MS / TICK_MS) == 0)
    {
      deliver_target_list (self, host);
      fake_send_hello (self, host, &self->hosts[host].holder);
    }
}

static void
update_digest (fake_t *self, const event_t *event)
{
  const uint64_t parts[] = { self->digest, (uint64_t)event->at,  (uint64_t)event->kind,
                             event->host,  self->table->version, event->version };

  self->digest = text_hash ((text_t){ (const char *)parts, sizeof parts });
}

/* Gets the STATE of the event's receiver.  Returns false if the event was for a process
 * of the host that has ended since. */
static bool
find_receiver_state (const fake_t *self, const event_t *event, fake_state_t *state)
{
  const fake_host_t *host = &self->hosts[event->host];

  *state = FAKE_UP;
  if (event->kind == EVENT_STORE_CALL)
    return true;
  if (event->kind == EVENT_GRANT_CALL)
    {
      int index = fake_find_target (self, host->table, event->target);
      *state = index < 0 ? FAKE_DEAD : self->targets[index].state;
      return true;
    }
  *state = host->state;
  return host->self.incarnation == event->incarnation;
}

static void
handle (fake_t *self, event_t *event)
{
  fake_state_t state;

  if (!find_receiver_state (self, event, &state) || state == FAKE_DEAD)
    return;
  if (state == FAKE_FROZEN)
    {
      event_t *later = fake_schedule (self, event, event->at + TICK_MS);
      later->epochs = g_steal_pointer (&event->epochs);
      later->table = g_steal_pointer (&event->table);
      return;
    }
  update_digest (self, event);
  switch (event->kind)
    {
    case EVENT_TICK:
      event->seq++;
      on_tick (self, event);
      break;
    case EVENT_STORE_CALL:
      fake_on_store_call (self, event);
      break;
    case EVENT_STORE_RESPONSE:
      fake_on_store_response (self, event);
      break;
    case EVENT_PEER_MSG:
      on_peer_msg (self, event);
      break;
    case EVENT_GRANT_CALL:
      on_grant_call (self, event);
      break;
    case EVENT_GRANT_RESPONSE:
      on_grant_response (self, event);
      break;
    }
  if (event->kind != EVENT_TICK && event->kind != EVENT_STORE_CALL)
    fake_check_invariants (self);
}

static void
start_host (fake_t *self, uint32_t i)
{
  fake_host_t *host = &self->hosts[i];
  place_msg_t config = { .kind = PLACE_CONFIG, .config = &self->config };

  host->self.incarnation = self->next_incarnation++;
  host->state = FAKE_UP;
  host_id_t id = host_id (&host->self);
  lease_init (&host->lease, self->setup.lease, &id, self->now);
  place_init (host->place, self->setup.place, &host->self, self->now);
  grant_init (host->grant, &host->self.name);
  table_init (host->table);
  fake_handle_place (self, i, &config);
  fake_schedule (
      self,
      &(event_t){ .kind = EVENT_TICK, .host = i, .incarnation = host->self.incarnation },
      self->now + (msec_t)rng_below (&self->rng, TICK_MS));
}

static void
set_name (name_t *name, const char *format, uint32_t i)
{
  char text[NAME_MAX_BYTES + 1];

  g_snprintf (text, sizeof text, format, i);
  name_set (name, text_from_c (text));
}

static void
init_hosts (fake_t *self)
{
  for (uint32_t i = 0; i < self->setup.n_hosts; i++)
    {
      fake_host_t *host = &self->hosts[i];
      host->place = g_new0 (place_t, 1);
      host->grant = g_new0 (grant_t, 1);
      host->table = g_new0 (table_t, 1);
      set_name (&host->self.name, "h%02u", i);
      set_name (&host->self.data_centre, "d%u", i % self->setup.n_data_centres);
    }
  for (uint32_t i = 0; i < self->setup.n_hosts; i++)
    start_host (self, i);
}

static void
init_targets (fake_t *self)
{
  for (uint32_t i = 0; i < self->setup.n_targets; i++)
    {
      fake_target_t *target = &self->targets[i];
      set_name (&target->entry.name, "t%02u", i);
      set_name (&target->entry.service, "keyed", 0);
      set_name (&target->entry.data_centre, "d%u", i % self->setup.n_data_centres);
      target->entry.state = TARGET_LIVE;
      target->listed = true;
      target->incarnation = 1;
      target->clock_offset = (int64_t)rng_below (&self->rng, 1000000);
    }
}

void
fake_init (fake_t *self, const fake_setup_t *setup, uint64_t seed)
{
  memset (self, 0, sizeof *self);
  self->setup = *setup;
  self->now = 1000000;
  self->next_incarnation = 1;
  rng_init (&self->rng, seed);
  self->events = g_sequence_new (free_event);
  self->table = g_new0 (table_t, 1);
  table_init (self->table);
  self->config.version = 1;
  self->config.weight_imbalance = self->config.weight_churn = 1;
  self->config.n_services = 1;
  set_name (&self->config.services[0].name, "keyed", 0);
  self->config.services[0].keyed = true;
  self->config.services[0].checks_fences = setup->fenced;
  init_targets (self);
  init_hosts (self);
}

void
fake_finish (fake_t *self)
{
  g_sequence_free (self->events);
  for (uint32_t i = 0; i < self->setup.n_hosts; i++)
    {
      g_free (self->hosts[i].place);
      g_free (self->hosts[i].grant);
      g_free (self->hosts[i].table);
    }
  g_free (self->table);
}

static void
run_until (fake_t *self, msec_t end)
{
  while (!g_sequence_is_empty (self->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (self->events);
      event_t *event = g_sequence_get (first);
      if (event->at > end)
        break;
      self->now = event->at;
      handle (self, event);
      g_sequence_remove (first);
    }
  self->now = end;
}

void
fake_run (fake_t *self, msec_t span)
{
  msec_t end = self->now + span;

  while (self->now < end)
    {
      run_until (self, MIN (self->now + FAKE_STEP_MS, end));
      if (self->on_step != NULL)
        self->on_step (self, self->context);
    }
}

void
fake_kill_host (fake_t *self, uint32_t host)
{
  self->hosts[host].state = FAKE_DEAD;
}

void
fake_freeze_host (fake_t *self, uint32_t host)
{
  self->hosts[host].state = FAKE_FROZEN;
}

void
fake_thaw_host (fake_t *self, uint32_t host)
{
  self->hosts[host].state = FAKE_UP;
}

void
fake_leave_host (fake_t *self, uint32_t host)
{
  const place_msg_t leave = { .kind = PLACE_LEAVE };

  fake_handle_place (self, host, &leave);
  fake_send_hello (self, host, NULL);
}

void
fake_restart_host (fake_t *self, uint32_t host)
{
  start_host (self, host);
}

void
fake_kill_target (fake_t *self, uint32_t target)
{
  self->targets[target].state = FAKE_DEAD;
}

void
fake_freeze_target (fake_t *self, uint32_t target)
{
  self->targets[target].state = FAKE_FROZEN;
}

void
fake_thaw_target (fake_t *self, uint32_t target)
{
  self->targets[target].state = FAKE_UP;
}

void
fake_restart_target (fake_t *self, uint32_t target)
{
  fake_target_t *model = &self->targets[target];

  model->state = FAKE_UP;
  model->incarnation++;
  model->version = 0;
  model->until = 0;
  memset (model->epochs, 0, sizeof model->epochs);
}

void
fake_cut (fake_t *self, uint32_t a, uint32_t b, bool cut)
{
  self->cut[a][b] = self->cut[b][a] = cut;
}

int
fake_holder (const fake_t *self)
{
  for (uint32_t i = 0; i < self->setup.n_hosts; i++)
    if (self->hosts[i].state == FAKE_UP && place_is_holder (self->hosts[i].place)
        && self->hosts[i].place->epoch == self->epoch)
      return (int)i;
  return -1;
}
