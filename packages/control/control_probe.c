#include "control_parts.h"

#include <event2/http_struct.h>
#include <stdlib.h>

typedef struct
{
  control_t *self;
  int target;
  bool fenced;
} probe_t;

static void
report_answer (probe_t *probe, bool ok, const json_t *body)
{
  control_t *self = probe->self;
  grant_msg_t msg = { .kind = GRANT_ANSWER, .target = probe->target, .ok = ok };

  msg.clock = json_integer_value (json_object_get (body, "clock"));
  msg.incarnation = (uint64_t)json_integer_value (json_object_get (body, "life"));
  msg.version = (uint64_t)json_integer_value (json_object_get (body, "version"));
  metrics_add (&self->metrics, ok ? COUNT_GRANTS : COUNT_GRANT_FAILURES, 1);
  g_free (probe);
  control_handle_grant (self, &msg);
}

static void
on_done (void *owner, struct evhttp_request *answer)
{
  probe_t *probe = owner;
  json_t *body = probe->fenced ? httpc_json (answer) : NULL;
  bool ok = evhttp_request_get_response_code (answer) == 200;

  report_answer (probe, ok && (!probe->fenced || json_is_object (body)), body);
  json_decref (body);
}

static void
on_failed (void *owner, bool sent, httpc_failure_t failure)
{
  (void)sent;
  (void)failure;
  report_answer (owner, false, NULL);
}

static const httpc_ops_t probe_ops = { .done = on_done, .failed = on_failed };

static httpc_pool_t *
get_pool (control_t *self, int target)
{
  const target_t *entry = &self->table.targets[target];

  if (self->probe_pools[target] != NULL
      && target_same_instance (&self->probe_targets[target], entry))
    return self->probe_pools[target];
  if (self->probe_pools[target] != NULL)
    httpc_pool_finish (self->probe_pools[target]);
  else
    self->probe_pools[target] = g_new0 (httpc_pool_t, 1);
  httpc_pool_init (self->probe_pools[target],
                   self->base,
                   name_text (&entry->address),
                   (uint16_t)entry->port,
                   PROBE_TIMEOUT_MS);
  self->probe_targets[target] = *entry;
  return self->probe_pools[target];
}

static int
find_keyed_index (const control_t *self, const name_t *name)
{
  const service_t *service = config_find_by_name (&self->config, name);

  return service != NULL && service->keyed ? (int)service->keyed_index : INDEX_NONE;
}

/* The target's slots as ranges of equal epoch: [first, count, epoch]. */
static json_t *
slot_ranges_json (const control_t *self, int target)
{
  int keyed = find_keyed_index (self, &self->table.targets[target].service);
  json_t *ranges = json_array ();

  for (uint32_t s = 0; keyed >= 0 && s < SLOT_COUNT;)
    {
      uint32_t end = s + 1;
      uint64_t epoch = self->table.slots[keyed][s].epoch;
      if (table_serving_target (&self->table, (uint32_t)keyed, s) != target)
        {
          s++;
          continue;
        }
      while (end < SLOT_COUNT
             && table_serving_target (&self->table, (uint32_t)keyed, end) == target
             && self->table.slots[keyed][end].epoch == epoch)
        end++;
      json_array_append_new (
          ranges,
          json_pack ("[iiI]", (int)s, (int)(end - s), (json_int_t)epoch));
      s = end;
    }
  return ranges;
}

static void
add_grant (const control_t *self, const grant_out_t *send, struct evhttp_request *request)
{
  json_t *body = json_pack ("{s:I,s:I,s:I,s:o}",
                            "version",
                            (json_int_t)send->version,
                            "until",
                            (json_int_t)send->until,
                            "life",
                            (json_int_t)send->incarnation,
                            "slots",
                            slot_ranges_json (self, send->target));
  char *dump = json_dumps (body, JSON_COMPACT);

  evbuffer_add_printf (evhttp_request_get_output_buffer (request), "%s", dump);
  free (dump);
  json_decref (body);
}

void
probe_send (control_t *self, const grant_out_t *send)
{
  probe_t *probe = g_new0 (probe_t, 1);
  struct evhttp_request *request = httpc_request_new ();
  bool grants = send->fenced && send->until > 0;

  *probe = (probe_t){ .self = self, .target = send->target, .fenced = send->fenced };
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host", "target");
  if (grants)
    add_grant (self, send, request);
  if (httpc_call (get_pool (self, send->target),
                  request,
                  grants ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET,
                  send->fenced ? "/_grant" : "/_health",
                  &probe_ops,
                  probe,
                  control_now (self))
      == NULL)
    report_answer (probe, false, NULL);
}

void
probe_finish (control_t *self)
{
  for (uint32_t i = 0; i < TARGET_MAX; i++)
    if (self->probe_pools[i] != NULL)
      {
        httpc_pool_finish (self->probe_pools[i]);
        g_free (self->probe_pools[i]);
      }
}
