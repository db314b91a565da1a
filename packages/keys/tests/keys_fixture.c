#include "keys_fixture.h"

#include <stdio.h>

void
clear_actions (fixture_t *self)
{
  for (guint i = 0; i < self->out->len; i++)
    {
      keys_out_t *out = &g_array_index (self->out, keys_out_t, i);
      if (out->kind == KEYS_COMMIT)
        key_table_finish (&out->table);
    }
  g_array_set_size (self->out, 0);
}

void
handle_msg (fixture_t *self, keys_msg_t msg)
{
  clear_actions (self);
  if (msg.service.len == 0)
    msg.service = self->service;
  keys_handle (&self->keys, &msg, self->now, self->out);
}

void
tick (fixture_t *self, msec_t at)
{
  self->now = at;
  handle_msg (self, (keys_msg_t){ .kind = KEYS_TICK });
}

void
renew_role (fixture_t *self)
{
  handle_msg (self,
              (keys_msg_t){ .kind = KEYS_ROLE,
                            .role_until = self->now + ROLE_MS,
                            .store_reachable = !self->store_lost });
}

void
set_store_lost (fixture_t *self, bool lost)
{
  self->store_lost = lost;
  renew_role (self);
}

void
list_targets (fixture_t *self)
{
  handle_msg (self, (keys_msg_t){ .kind = KEYS_TARGETS, .targets = self->targets });
}

target_entry_t *
target (fixture_t *self, guint i)
{
  return &g_array_index (self->targets, target_entry_t, i);
}

void
add_target (fixture_t *self, guint n)
{
  target_entry_t entry = { .started_at = 1, .slots = 3, .service = self->service };
  char id[16];

  snprintf (id, sizeof id, "t%u", n);
  name_set (&entry.id, text_from_c (id));
  snprintf (id, sizeof id, "10.0.0.%u:1", n);
  name_set (&entry.address, text_from_c (id));
  g_array_append_val (self->targets, entry);
}

void
begin (fixture_t *self, guint n)
{
  *self = (fixture_t){ .out = g_array_new (FALSE, TRUE, sizeof (keys_out_t)),
                       .targets = g_array_new (FALSE, TRUE, sizeof (target_entry_t)),
                       .now = START_MS };
  GArray *names = g_array_new (FALSE, TRUE, sizeof (name_t));

  name_set (&self->service, TEXT ("s"));
  g_array_append_val (names, self->service);
  keys_init (&self->keys, HOLD_MAX_MS);
  handle_msg (self, (keys_msg_t){ .kind = KEYS_SERVICES, .services = names });
  g_array_unref (names);
  for (guint i = 0; i < n; i++)
    add_target (self, i);
  list_targets (self);
}

void
end (fixture_t *self)
{
  clear_actions (self);
  keys_finish (&self->keys);
  g_array_unref (self->out);
  g_array_unref (self->targets);
}

guint
count_actions (const fixture_t *self, keys_out_kind_t kind)
{
  guint n = 0;

  for (guint i = 0; i < self->out->len; i++)
    n += g_array_index (self->out, keys_out_t, i).kind == kind;
  return n;
}

const keys_out_t *
find (const fixture_t *self, keys_out_kind_t kind)
{
  for (guint i = 0; i < self->out->len; i++)
    if (g_array_index (self->out, keys_out_t, i).kind == kind)
      return &g_array_index (self->out, keys_out_t, i);
  return NULL;
}

void
reply (fixture_t *self, const keys_out_t *call, keys_msg_kind_t kind, bool sent)
{
  keys_msg_t msg = { .kind = kind,
                     .call = call->call,
                     .release = call->kind == KEYS_RELEASE,
                     .sent = sent,
                     .delivered = sent };

  if (kind == KEYS_RELEASED)
    name_set (&msg.handover, TEXT ("warm"));
  handle_msg (self, msg);
}

void
reply_shared (fixture_t *self, const keys_out_t *call, keys_msg_kind_t kind)
{
  handle_msg (self,
              (keys_msg_t){ .kind = kind,
                            .call = call->call,
                            .release = call->kind == KEYS_RELEASE,
                            .sent = true,
                            .delivered = true,
                            .shared = true });
}

void
accept_grants (fixture_t *self)
{
  GArray *calls = g_array_new (FALSE, TRUE, sizeof (keys_out_t));

  for (guint i = 0; i < self->out->len; i++)
    if (g_array_index (self->out, keys_out_t, i).kind == KEYS_GRANT)
      g_array_append_val (calls, g_array_index (self->out, keys_out_t, i));
  for (guint i = 0; i < calls->len; i++)
    reply (self, &g_array_index (calls, keys_out_t, i), KEYS_GRANTED, true);
  g_array_unref (calls);
}

void
assign_all_keys (fixture_t *self)
{
  renew_role (self);
  handle_msg (self, (keys_msg_t){ .kind = KEYS_TABLE });
  tick (self, START_MS + KEYS_INITIAL_WAIT_MS);
  renew_role (self);
  if (count_actions (self, KEYS_COMMIT) == 0)
    tick (self, START_MS + KEYS_INITIAL_WAIT_MS);
  handle_msg (self, (keys_msg_t){ .kind = KEYS_COMMITTED });
  accept_grants (self);
}

bool
run_until_action (fixture_t *self, keys_out_kind_t kind, msec_t until)
{
  while (self->now < until)
    {
      self->now += 50;
      renew_role (self);
      if (count_actions (self, kind) > 0)
        return true;
      accept_grants (self);
    }
  return false;
}

/* Fails the first call to the target of ID, if there is one. */
static bool
fail_call_to (fixture_t *self, const name_t *id)
{
  for (guint i = 0; i < self->out->len; i++)
    {
      keys_out_t call = g_array_index (self->out, keys_out_t, i);
      if (call.call == 0 || !name_equal (&call.target, id))
        continue;
      reply (self, &call, KEYS_CALL_FAILED, true);
      return true;
    }
  return false;
}

void
assert_moved_from_silent_owner (fixture_t *self, const name_t *id, msec_t until)
{
  bool fenced = false;

  for (guint i = 0; i < self->out->len; i++)
    fenced |= g_array_index (self->out, keys_out_t, i).kind == KEYS_GRANT
              && name_equal (&g_array_index (self->out, keys_out_t, i).target, id);
  if (fenced)
    until = MAX (until, self->now + KEYS_STALL_MS + KEYS_FENCE_HOLD_MS);
  while (count_actions (self, KEYS_COMMIT) == 0 && self->now < until + 1000)
    {
      while (fail_call_to (self, id))
        ;
      if (count_actions (self, KEYS_COMMIT) > 0)
        break;
      accept_grants (self);
      self->now += 50;
      renew_role (self);
    }
  assert_true (count_actions (self, KEYS_COMMIT) > 0);
  assert_true (self->now >= until);
}

key_table_t
stored_table (const fixture_t *fixture, guint n)
{
  key_table_t table;

  key_table_init (&table, name_text (&fixture->service));
  for (guint i = 0; i < n; i++)
    {
      const target_entry_t *owner = &g_array_index (fixture->targets, target_entry_t, i);
      key_range_t range = { .first = (KEY_LAST + 1) / n * i,
                            .last = (KEY_LAST + 1) / n * (i + 1) - 1,
                            .fence = 20 + i,
                            .target = owner->id,
                            .address = owner->address,
                            .target_started_at = owner->started_at };
      g_array_append_val (table.ranges, range);
    }
  return table;
}
