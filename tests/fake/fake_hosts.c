#include "fake_parts.h"

#include <string.h>

#define SLOW_STORE_DELAY_MS 400

void
fake_call_store (fake_t *self, uint32_t host, event_t event)
{
  event.kind = EVENT_STORE_CALL;
  event.host = host;
  event.incarnation = self->hosts[host].self.incarnation;
  event.started = self->now;
  event.completed = g_rc_box_new0 (bool);
  msec_t delay = self->cut[host][FAKE_STORE] ? LOST : fake_delay (self);
  if (delay != LOST)
    fake_schedule (self,
                   &event,
                   self->now + delay + (self->store_slow ? SLOW_STORE_DELAY_MS : 0));
  else
    g_free (event.table);
  event.kind = EVENT_STORE_RESPONSE;
  event.timeout = true;
  event.table = NULL;
  fake_schedule (self, &event, self->now + PLATFORM_TIMEOUT_MS);
  g_rc_box_release (event.completed);
}

void
fake_send_peer_msg (fake_t *self, uint32_t host, const name_t *to, event_t event)
{
  fake_host_t *from = &self->hosts[host];

  event.kind = EVENT_PEER_MSG;
  event.from = from->self;
  for (uint32_t i = 0; i < self->setup.n_hosts; i++)
    {
      if (i == host || (to != NULL && !name_equal (&self->hosts[i].self.name, to)))
        continue;
      if (self->cut[host][i] || rng_below (&self->rng, 100) < self->setup.loss_percent)
        continue;
      event.host = i;
      event.incarnation = self->hosts[i].self.incarnation;
      msec_t delay = fake_delay (self);
      if (delay != LOST)
        fake_schedule (self, &event, self->now + delay);
    }
}

static uint64_t *
copy_epochs (const table_t *table, int target)
{
  uint64_t *epochs = g_new0 (uint64_t, SLOT_COUNT);

  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    if (table_serving_target (table, 0, s) == target)
      epochs[s] = table->slots[0][s].epoch;
  return epochs;
}

int
fake_find_target (const fake_t *self, const table_t *table, int target)
{
  for (uint32_t i = 0; i < self->setup.n_targets; i++)
    if (name_equal (&self->targets[i].entry.name, &table->targets[target].name))
      return (int)i;
  return -1;
}

static void
send_grant (fake_t *self, uint32_t host, const grant_out_t *send)
{
  fake_host_t *from = &self->hosts[host];
  int index = fake_find_target (self, from->table, send->target);
  event_t event = { .kind = EVENT_GRANT_CALL,
                    .host = host,
                    .incarnation = from->self.incarnation,
                    .target = send->target,
                    .version = send->version,
                    .until = send->until,
                    .target_incarnation = send->incarnation,
                    .completed = g_rc_box_new0 (bool) };

  msec_t delay = index < 0 || self->cut_target[host][index] ? LOST : fake_delay (self);
  if (delay != LOST)
    {
      event_t *copy = fake_schedule (self, &event, self->now + delay);
      copy->epochs = copy_epochs (from->table, send->target);
    }
  event.kind = EVENT_GRANT_RESPONSE;
  event.timeout = true;
  fake_schedule (self, &event, self->now + PROBE_TIMEOUT_MS);
  g_rc_box_release (event.completed);
}

void
fake_handle_grant (fake_t *self, uint32_t host, const grant_msg_t *msg)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (grant_out_t));

  grant_handle (self->hosts[host].grant, msg, self->now, out);
  for (guint i = 0; i < out->len; i++)
    {
      grant_out_t *effect = &g_array_index (out, grant_out_t, i);
      place_msg_t report = { .kind = PLACE_TARGET_REPORT,
                             .target = effect->target,
                             .ok = effect->ok,
                             .version = effect->version };
      if (effect->kind == GRANT_SEND)
        send_grant (self, host, effect);
      else if (place_is_holder (self->hosts[host].place))
        fake_handle_place (self, host, &report);
    }
  g_array_unref (out);
}

static void
pass_table_to_grant (fake_t *self, uint32_t host)
{
  grant_msg_t msg = { .kind = GRANT_TABLE,
                      .table = self->hosts[host].table,
                      .config = &self->config,
                      .holder = place_is_holder (self->hosts[host].place) };

  fake_handle_grant (self, host, &msg);
}

static void
execute_lease_effect (fake_t *self, uint32_t host, const lease_out_t *effect)
{
  event_t event = { .version = effect->version,
                    .seq = effect->seq,
                    .vote = effect->vote,
                    .age = effect->age };
  grant_msg_t grant
      = { .kind = GRANT_LEASE, .version = effect->version, .until = effect->until };

  switch (effect->kind)
    {
    case LEASE_POLL:
      fake_call_store (self, host, (event_t){ .op = STORE_POLL });
      break;
    case LEASE_FETCH_TABLE:
      fake_call_store (self, host, (event_t){ .op = STORE_FETCH });
      break;
    case LEASE_SEND_QUERY:
      event.peer_msg = PEER_MSG_LEASE_QUERY;
      fake_send_peer_msg (self, host, &effect->to.name, event);
      break;
    case LEASE_SEND_REPLY:
      event.peer_msg = PEER_MSG_LEASE_REPLY;
      fake_send_peer_msg (self, host, &effect->to.name, event);
      break;
    case LEASE_EXTENDED:
      fake_handle_grant (self, host, &grant);
      break;
    case LEASE_REVOKE:
      grant.until = 0;
      fake_handle_grant (self, host, &grant);
      break;
    }
}

void
fake_handle_lease (fake_t *self, uint32_t host, const lease_msg_t *msg)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (lease_out_t));

  lease_handle (&self->hosts[host].lease, msg, self->now, out);
  for (guint i = 0; i < out->len; i++)
    execute_lease_effect (self, host, &g_array_index (out, lease_out_t, i));
  g_array_unref (out);
}

void
fake_send_hello (fake_t *self, uint32_t host, const name_t *to)
{
  fake_host_t *from = &self->hosts[host];

  fake_send_peer_msg (self,
                      host,
                      to,
                      (event_t){ .peer_msg = PEER_MSG_HELLO,
                                 .version = from->table->version,
                                 .leaving = from->place->leaving });
}

void
fake_apply_table (fake_t *self, uint32_t host, const table_t *table, msec_t started)
{
  fake_host_t *to = &self->hosts[host];
  lease_msg_t lease = { .kind = LEASE_TABLE,
                        .version = table->version,
                        .table = to->table,
                        .started = started };

  if (table->version <= to->table->version)
    return;
  *to->table = *table;
  fake_handle_lease (self, host, &lease);
  pass_table_to_grant (self, host);
  fake_send_hello (self, host, &to->holder);
  place_msg_t own = { .kind = PLACE_HELLO, .host = to->self, .version = table->version };
  fake_handle_place (self, host, &own);
}

static void
execute_place_effect (fake_t *self, uint32_t host, const place_out_t *effect)
{
  event_t write = { .epoch = effect->epoch, .beat = effect->beat };

  switch (effect->kind)
    {
    case PLACE_TAKE_OVER:
      write.op = STORE_TAKE;
      fake_call_store (self, host, write);
      break;
    case PLACE_BEAT:
      write.op = STORE_BEAT;
      fake_call_store (self, host, write);
      break;
    case PLACE_RESIGN:
      write.op = STORE_RESIGN;
      fake_call_store (self, host, write);
      break;
    case PLACE_SETTLE:
      write.op = STORE_SETTLE;
      write.version = effect->version;
      fake_call_store (self, host, write);
      break;
    case PLACE_LOAD:
      write.op = STORE_LOAD;
      fake_call_store (self, host, write);
      break;
    case PLACE_COMMIT:
      write.op = STORE_COMMIT;
      write.table = g_memdup2 (effect->table, sizeof *effect->table);
      fake_call_store (self, host, write);
      break;
    case PLACE_QUERY_HOSTS:
      fake_send_peer_msg (self,
                          host,
                          NULL,
                          (event_t){ .peer_msg = PEER_MSG_HELLO_REQUEST,
                                     .version = self->hosts[host].place->table.version });
      break;
    case PLACE_LOG_MOVE:
      self->moves += effect->reason == MOVE_REASON_SETTLED;
      break;
    case PLACE_ROLE_CHANGED:
      pass_table_to_grant (self, host);
      break;
    }
}

static void
handle_place_once (fake_t *self, uint32_t host, const place_msg_t *msg)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (place_out_t));

  place_handle (self->hosts[host].place, msg, self->now, out);
  for (guint i = 0; i < out->len; i++)
    execute_place_effect (self, host, &g_array_index (out, place_out_t, i));
  g_array_unref (out);
}

void
fake_handle_place (fake_t *self, uint32_t host, const place_msg_t *msg)
{
  const place_msg_t tick = { .kind = PLACE_TICK };

  handle_place_once (self, host, msg);
  if ((msg->kind == PLACE_HELLO || msg->kind == PLACE_TARGET_REPORT)
      && place_awaits_reports (self->hosts[host].place))
    handle_place_once (self, host, &tick);
}
