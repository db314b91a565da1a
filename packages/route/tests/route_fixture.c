#include "route_fixture.h"

#include <string.h>

void
handle (fixture_t *self, route_msg_t msg)
{
  g_array_set_size (self->out, 0);
  route_handle (&self->route, &msg, self->now, self->out);
}

const route_out_t *
find (const fixture_t *self, route_out_kind_t kind)
{
  for (guint i = 0; i < self->out->len; i++)
    if (g_array_index (self->out, route_out_t, i).kind == kind)
      return &g_array_index (self->out, route_out_t, i);
  return NULL;
}

void
tick_after (fixture_t *self, msec_t delay)
{
  self->now += delay;
  handle (self, (route_msg_t){ .kind = ROUTE_TICK });
}

void
lease_until (fixture_t *self, msec_t until)
{
  handle (self,
          (route_msg_t){ .kind = ROUTE_LEASE,
                         .version = self->table->version,
                         .until = until });
}

void
set_service (fixture_t *self, uint32_t i, const char *name)
{
  service_t *service = &self->config.services[i];

  name_set (&service->name, text_from_c (name));
  service->slots = 3;
  service->connections = 30;
  service->deadline_ms = TIMEOUT_MS;
}

void
set_target (fixture_t *self, uint32_t i, const char *name, const char *service)
{
  target_t *target = &self->table->targets[i];

  name_set (&target->name, text_from_c (name));
  name_set (&target->service, text_from_c (service));
  target->state = TARGET_LIVE;
}

fixture_t *
new_fixture (void)
{
  fixture_t *self = g_new0 (fixture_t, 1);

  self->now = START_MS;
  self->out = g_array_new (FALSE, FALSE, sizeof (route_out_t));
  self->table = g_new0 (table_t, 1);
  table_init (self->table);
  self->table->version = 1;
  self->table->n_targets = 4;
  set_target (self, 0, "k0", "keyed");
  set_target (self, 1, "k1", "keyed");
  set_target (self, 2, "o0", "orders");
  set_target (self, 3, "o1", "orders");
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    self->table->slots[0][s] = (slot_t){ (int16_t)(s % 2), INDEX_NONE, 1 };
  self->config.version = 1;
  self->config.n_services = 2;
  set_service (self, KEYED, "keyed");
  set_service (self, ORDERS, "orders");
  self->config.services[KEYED].keyed = true;
  self->config.services[KEYED].checks_fences = true;
  route_init (&self->route, 1, 7);
  handle (self, (route_msg_t){ .kind = ROUTE_CONFIG, .config = &self->config });
  handle (self, (route_msg_t){ .kind = ROUTE_TABLE, .table = self->table });
  lease_until (self, self->now + LEASE_MS);
  return self;
}

void
free_fixture (fixture_t *self)
{
  route_finish (&self->route);
  g_array_unref (self->out);
  g_free (self->table);
  g_free (self);
}

route_id_t
arrive (fixture_t *self, uint32_t service, uint32_t slot, bool idempotent, bool claims)
{
  handle (self,
          (route_msg_t){ .kind = ROUTE_ARRIVE,
                         .service = service,
                         .slot = slot,
                         .idempotent = idempotent,
                         .needs_claim = claims,
                         .deadline = self->now + TIMEOUT_MS });
  const route_out_t *accepted = find (self, ROUTE_ACCEPTED);
  return accepted != NULL ? accepted->id : ROUTE_ID_NONE;
}

void
fail_attempt (fixture_t *self, route_id_t id, bool sent)
{
  handle (self,
          (route_msg_t){ .kind = ROUTE_FAILED,
                         .id = id,
                         .sent = sent,
                         .reason = ROUTE_REASON_TARGET_LOST });
}

void
answer (fixture_t *self, route_id_t id, answer_kind_t kind, msec_t retry_after)
{
  handle (self,
          (route_msg_t){ .kind = ROUTE_ANSWERED,
                         .id = id,
                         .answer = kind,
                         .retry_after = retry_after });
}

const route_out_t *
send_within (fixture_t *self, msec_t delay)
{
  if (find (self, ROUTE_SEND) == NULL)
    tick_after (self, delay);
  return find (self, ROUTE_SEND);
}
