#include "dispatch_fixture.h"

#include <stdio.h>

directory_t *
make_directory (uint64_t version)
{
  directory_t *directory = g_new0 (directory_t, 1);
  const service_entry_t services[]
      = { { .name = TEXT ("keyed"), .keyed = true }, { .name = TEXT ("plain") } };
  const route_share_t shares[] = { { 0, 1 }, { 1, 1 }, { 1, 90 }, { 0, 10 } };
  route_entry_t route = { .host = TEXT ("h"),
                          .timeout = TIMEOUT_MS,
                          .latency_objective = OBJECTIVE_MS,
                          .max_executions = 2,
                          .n_shares = 1 };

  directory_init (directory);
  directory->version = version;
  g_array_append_vals (directory->services, services, G_N_ELEMENTS (services));
  g_array_append_vals (directory->shares, shares, G_N_ELEMENTS (shares));
  route.prefix = TEXT ("/keyed/");
  g_array_append_val (directory->routes, route);
  route.prefix = TEXT ("/read/");
  route.first_share = 1;
  g_array_append_val (directory->routes, route);
  route.prefix = TEXT ("/order/");
  route.kind = KIND_MUTATING;
  g_array_append_val (directory->routes, route);
  route.prefix = TEXT ("/upload/");
  route.kind = KIND_UPLOAD;
  g_array_append_val (directory->routes, route);
  route.prefix = TEXT ("/unsupported/");
  route.kind = KIND_UNSUPPORTED;
  g_array_append_val (directory->routes, route);
  route.prefix = TEXT ("/split/");
  route.kind = KIND_DOWNLOAD;
  route.first_share = 2;
  route.n_shares = 2;
  g_array_append_val (directory->routes, route);
  directory_sort_routes (directory);
  return directory;
}

void
handle_msg (fixture_t *self, const dispatch_msg_t *msg)
{
  g_array_set_size (self->out, 0);
  dispatch_handle (&self->dispatch, msg, self->now, self->out);
}

void
list_targets (fixture_t *self)
{
  const dispatch_msg_t msg = { .kind = DISPATCH_TARGETS, .targets = self->targets };

  handle_msg (self, &msg);
}

void
add_target (fixture_t *self, text_t id, text_t service)
{
  target_entry_t entry = { .started_at = 1, .slots = 3 };

  name_set (&entry.id, id);
  name_set (&entry.service, service);
  name_set (&entry.data_centre, TEXT ("a"));
  name_set (&entry.address, TEXT ("127.0.0.1:1"));
  g_array_append_val (self->targets, entry);
}

void
assign_keys (fixture_t *self, text_t target, uint64_t version)
{
  key_table_t table;
  key_range_t range
      = { .first = 0, .last = KEY_LAST, .fence = version, .target_started_at = 1 };

  key_table_init (&table, TEXT ("keyed"));
  table.version = version;
  name_set (&range.target, target);
  g_array_append_val (table.ranges, range);
  const dispatch_msg_t msg = { .kind = DISPATCH_KEY_TABLE, .keys = &table };
  handle_msg (self, &msg);
  key_table_finish (&table);
}

void
begin (fixture_t *self)
{
  const dispatch_msg_t bounds = {
    .kind = DISPATCH_BOUNDS,
    .bounds
    = { .retry_window = 10000, .retry_percent = 20, .retry_extra = 5, .drain = 2000 }
  };
  const dispatch_msg_t msg
      = { .kind = DISPATCH_DIRECTORY, .directory = make_directory (1) };

  *self = (fixture_t){ .out = g_array_new (FALSE, TRUE, sizeof (dispatch_out_t)),
                       .targets = g_array_new (FALSE, TRUE, sizeof (target_entry_t)),
                       .now = START_MS };
  dispatch_init (&self->dispatch, TEXT ("a"), 1);
  handle_msg (self, &bounds);
  handle_msg (self, &msg);
  add_target (self, TEXT ("k1"), TEXT ("keyed"));
  add_target (self, TEXT ("k2"), TEXT ("keyed"));
  add_target (self, TEXT ("p1"), TEXT ("plain"));
  add_target (self, TEXT ("p2"), TEXT ("plain"));
  list_targets (self);
  assign_keys (self, TEXT ("k1"), 1);
}

void
end (fixture_t *self)
{
  dispatch_finish (&self->dispatch);
  g_array_unref (self->out);
  g_array_unref (self->targets);
}

void
arrive (fixture_t *self, dispatch_request_t *request, text_t path)
{
  dispatch_msg_t msg = { .kind = DISPATCH_ARRIVED,
                         .request = request,
                         .host = TEXT ("h"),
                         .path = path,
                         .has_key = true,
                         .key = 7,
                         .timeout = TIMEOUT_MS };

  dispatch_request_init (request);
  handle_msg (self, &msg);
}

void
arrive_with_fingerprint (fixture_t *self,
                         dispatch_request_t *request,
                         text_t path,
                         uint64_t fingerprint)
{
  const dispatch_msg_t msg = { .kind = DISPATCH_ARRIVED,
                               .request = request,
                               .host = TEXT ("h"),
                               .path = path,
                               .fingerprint = fingerprint,
                               .timeout = TIMEOUT_MS };

  dispatch_request_init (request);
  handle_msg (self, &msg);
}

void
answer (fixture_t *self,
        dispatch_request_t *request,
        dispatch_answer_t kind,
        unsigned status)
{
  const dispatch_msg_t msg = { .kind = DISPATCH_ANSWERED,
                               .request = request,
                               .answer = kind,
                               .status = status };

  handle_msg (self, &msg);
}

void
fail_send (fixture_t *self, dispatch_request_t *request, bool sent)
{
  const dispatch_msg_t msg
      = { .kind = DISPATCH_FAILED, .request = request, .sent = sent, .connected = sent };

  handle_msg (self, &msg);
}

void
fire_timer (fixture_t *self, dispatch_request_t *request, msec_t at)
{
  const dispatch_msg_t msg = { .kind = DISPATCH_TIMER, .request = request };

  self->now = at;
  handle_msg (self, &msg);
}

const dispatch_out_t *
find_out (const fixture_t *self, dispatch_out_kind_t kind)
{
  for (guint i = 0; i < self->out->len; i++)
    if (g_array_index (self->out, dispatch_out_t, i).kind == kind)
      return &g_array_index (self->out, dispatch_out_t, i);
  return NULL;
}

void
assert_ended (const fixture_t *self, dispatch_outcome_t outcome, dispatch_reason_t reason)
{
  const dispatch_out_t *ended = find_out (self, DISPATCH_END);

  assert_non_null (ended);
  assert_int_equal (ended->outcome, outcome);
  assert_int_equal (ended->reason, reason);
}

text_t
sent_to (const fixture_t *self)
{
  const dispatch_out_t *send = find_out (self, DISPATCH_SEND);

  assert_non_null (send);
  return name_text (&dispatch_target (&self->dispatch, send->target)->entry.id);
}
