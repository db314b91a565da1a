#include "fake_parts.h"

static void
send_store_response (fake_t *self, const event_t *request, event_t response)
{
  response.kind = EVENT_STORE_RESPONSE;
  response.host = request->host;
  response.incarnation = request->incarnation;
  response.op = request->op;
  response.started = request->started;
  response.completed = request->completed;
  msec_t delay = self->cut[FAKE_STORE][request->host] ? LOST : fake_delay (self);
  if (delay != LOST)
    fake_schedule (self, &response, self->now + delay);
  else
    g_free (response.table);
}

static bool
is_written_by_holder (const fake_t *self, const event_t *request)
{
  host_id_t id = host_id (&self->hosts[request->host].self);

  return self->epoch == request->epoch && host_id_equal (&self->holder, &id)
         && id.incarnation == request->incarnation;
}

static bool
execute_write (fake_t *self, const event_t *request)
{
  switch (request->op)
    {
    case STORE_TAKE:
      if (self->epoch + 1 != request->epoch)
        return false;
      self->epoch = request->epoch;
      self->holder = host_id (&self->hosts[request->host].self);
      self->holder.incarnation = request->incarnation;
      self->beat = 0;
      self->resigned = false;
      return true;
    case STORE_BEAT:
    case STORE_RESIGN:
      if (!is_written_by_holder (self, request))
        return false;
      self->beat = request->beat;
      self->resigned = request->op == STORE_RESIGN;
      return true;
    case STORE_SETTLE:
      if (!is_written_by_holder (self, request))
        return false;
      self->settled_version = MAX (self->settled_version, request->version);
      return true;
    case STORE_COMMIT:
      if (!is_written_by_holder (self, request)
          || self->table->version + 1 != request->table->version)
        return false;
      *self->table = *request->table;
      return true;
    default:
      return true;
    }
}

void
fake_on_store_call (fake_t *self, event_t *request)
{
  bool writes = request->op >= STORE_TAKE;
  event_t response = { .ok = !self->store_down };

  if (!self->store_down && writes)
    response.ok = execute_write (self, request);
  if (writes && response.ok && self->lose_answers > 0)
    {
      self->lose_answers--;
      return;
    }
  if (request->op == STORE_FETCH || request->op == STORE_LOAD)
    {
      response.table = g_memdup2 (self->table, sizeof *self->table);
      response.table->settled_version = self->settled_version;
    }
  response.version = self->table->version;
  response.epoch = self->epoch;
  response.beat = self->beat;
  response.holder = self->holder;
  response.resigned = self->resigned;
  send_store_response (self, request, response);
}

static void
on_poll_response (fake_t *self, uint32_t host, const event_t *response)
{
  place_msg_t rows = { .kind = PLACE_HOLDER_READ,
                       .ok = response->ok,
                       .epoch = response->epoch,
                       .beat = response->beat,
                       .leaving = response->resigned,
                       .holder = response->holder.name };
  lease_msg_t read = { .kind = LEASE_READ,
                       .ok = response->ok,
                       .started = response->started,
                       .version = response->version };

  if (response->ok)
    self->hosts[host].holder = response->holder.name;
  fake_handle_place (self, host, &rows);
  fake_handle_lease (self, host, &read);
}

void
fake_on_store_response (fake_t *self, event_t *response)
{
  uint32_t host = response->host;
  place_msg_t loaded
      = { .kind = PLACE_LOAD_DONE, .ok = response->ok, .table = response->table };
  place_msg_t took = { .kind = PLACE_TAKE_OVER_DONE, .ok = response->ok };
  place_msg_t wrote = { .kind = PLACE_COMMIT_DONE, .ok = response->ok };

  if (*response->completed)
    return;
  *response->completed = true;
  switch (response->op)
    {
    case STORE_POLL:
      on_poll_response (self, host, response);
      break;
    case STORE_FETCH:
      if (response->ok)
        fake_apply_table (self, host, response->table, response->started);
      break;
    case STORE_LOAD:
      fake_handle_place (self, host, &loaded);
      break;
    case STORE_TAKE:
      fake_handle_place (self, host, &took);
      break;
    case STORE_BEAT:
    case STORE_RESIGN:
    case STORE_SETTLE:
      break;
    case STORE_COMMIT:
      fake_handle_place (self, host, &wrote);
      if (!response->ok)
        break;
      fake_send_peer_msg (
          self,
          host,
          NULL,
          (event_t){ .peer_msg = PEER_MSG_NEW_VERSION, .version = response->version });
      fake_apply_table (self, host, &self->hosts[host].place->table, response->started);
      break;
    }
}
