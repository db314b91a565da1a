#include "control_parts.h"

#include "../core/json.h"

#include <jansson.h>
#include <stdlib.h>

static void
reply (struct evhttp_request *request,
       int status,
       const char *type,
       struct evbuffer *body)
{
  evhttp_add_header (evhttp_request_get_output_headers (request), "Content-Type", type);
  evhttp_send_reply (request, status, status == 200 ? "OK" : "Unavailable", body);
  evbuffer_free (body);
}

static void
sum_metrics (const control_t *self, metrics_t *sum)
{
  *sum = self->metrics;
  for (uint32_t i = 0; i < self->n_workers; i++)
    metrics_merge (sum, &self->worker_metrics[i]);
}

static void
print_latency_histogram (struct evbuffer *body,
                         const metrics_t *sum,
                         uint32_t i,
                         const name_t *service)
{
  uint64_t cumulative = 0;

  for (uint32_t b = 0; b < METRICS_BUCKETS; b++)
    {
      cumulative += sum->buckets[i][b];
      if (b < METRICS_BUCKETS - 1)
        evbuffer_add_printf (
            body,
            "chicorywood_request_ms_bucket{service=\"%.*s\",le=\"%u\"} %" G_GUINT64_FORMAT
            "\n",
            NAME_ARG (*service),
            1u << b,
            cumulative);
    }
  evbuffer_add_printf (
      body,
      "chicorywood_request_ms_bucket{service=\"%.*s\",le=\"+Inf\"} %" G_GUINT64_FORMAT
      "\n"
      "chicorywood_request_ms_sum{service=\"%.*s\"} %" G_GUINT64_FORMAT "\n"
      "chicorywood_request_ms_count{service=\"%.*s\"} %" G_GUINT64_FORMAT "\n",
      NAME_ARG (*service),
      cumulative,
      NAME_ARG (*service),
      sum->sum_ms[i],
      NAME_ARG (*service),
      cumulative);
}

static void
on_metrics (struct evhttp_request *request, void *arg)
{
  const control_t *self = arg;
  struct evbuffer *body = evbuffer_new ();
  metrics_t sum;

  sum_metrics (self, &sum);
  for (uint32_t i = 0; i < COUNT_N; i++)
    evbuffer_add_printf (
        body,
        "# TYPE chicorywood_%s counter\nchicorywood_%s %" G_GUINT64_FORMAT "\n",
        counter_name ((counter_t)i),
        counter_name ((counter_t)i),
        sum.counts[i]);
  evbuffer_add_printf (body, "# TYPE chicorywood_request_ms histogram\n");
  for (uint32_t i = 0; i < self->config.n_services; i++)
    print_latency_histogram (body, &sum, i, &self->config.services[i].name);
  reply (request, 200, "text/plain; version=0.0.4", body);
}

static uint32_t
count_served_slots (const control_t *self, int target)
{
  uint32_t n = 0;

  for (uint32_t k = 0; k < KEYED_MAX; k++)
    for (uint32_t s = 0; s < SLOT_COUNT; s++)
      n += table_serving_target (&self->table, k, s) == target;
  return n;
}

static uint32_t
count_unserved (const control_t *self)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < self->config.n_services; i++)
    {
      if (!self->config.services[i].keyed)
        continue;
      for (uint32_t s = 0; s < SLOT_COUNT; s++)
        n += table_serving_target (&self->table, self->config.services[i].keyed_index, s)
             == INDEX_NONE;
    }
  return n;
}

static json_t *
targets_json (const control_t *self)
{
  static const char *const states[] = { "free", "live", "leaving", "lost" };
  json_t *list = json_array ();

  for (uint32_t i = 0; i < self->table.n_targets; i++)
    {
      const target_t *target = &self->table.targets[i];
      if (target->state == TARGET_FREE)
        continue;
      json_array_append_new (list,
                             json_pack ("{s:o,s:o,s:o,s:s,s:i}",
                                        "name",
                                        json_from_name (&target->name),
                                        "service",
                                        json_from_name (&target->service),
                                        "data_centre",
                                        json_from_name (&target->data_centre),
                                        "state",
                                        states[target->state],
                                        "slots",
                                        (int)count_served_slots (self, (int)i)));
    }
  return list;
}

static json_t *
hosts_json (const control_t *self)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < self->table.n_hosts; i++)
    json_array_append_new (list, json_from_name (&self->table.hosts[i].name));
  return list;
}

static void
on_status (struct evhttp_request *request, void *arg)
{
  const control_t *self = arg;
  msec_t lease_left = MAX (self->lease.until - control_now (self), 0);
  json_t *root = json_pack ("{s:o,s:o,s:I,s:o,s:I,s:b,s:I,s:I,s:I,s:I,s:b,s:i,s:o,s:o}",
                            "host",
                            json_from_name (&self->host.name),
                            "data_centre",
                            json_from_name (&self->host.data_centre),
                            "incarnation",
                            (json_int_t)self->host.incarnation,
                            "holder",
                            json_from_name (&self->holder),
                            "holder_epoch",
                            (json_int_t)self->holder_epoch,
                            "is_holder",
                            place_is_holder (&self->place),
                            "table_version",
                            (json_int_t)self->table.version,
                            "acknowledged",
                            (json_int_t)self->acked_version,
                            "lease_ms_left",
                            (json_int_t)lease_left,
                            "config_version",
                            (json_int_t)self->config.version,
                            "leaving",
                            self->leaving,
                            "unserved_slots",
                            (int)count_unserved (self),
                            "hosts",
                            hosts_json (self),
                            "targets",
                            targets_json (self));
  char *dump = json_dumps (root, JSON_INDENT (1));
  struct evbuffer *body = evbuffer_new ();

  evbuffer_add_printf (body, "%s\n", dump);
  free (dump);
  json_decref (root);
  reply (request, 200, "application/json", body);
}

static void
on_health (struct evhttp_request *request, void *arg)
{
  const control_t *self = arg;
  struct evbuffer *body = evbuffer_new ();
  bool ready = !self->leaving && self->ready;

  evbuffer_add_printf (body, "%s\n", ready ? "ready" : "not ready");
  reply (request, ready ? 200 : 503, "text/plain", body);
}

status_t
admin_init (control_t *self, fault_t *fault)
{
  char *address = text_dup_c (name_text (&self->settings->address));

  self->admin = evhttp_new (self->base);
  evhttp_set_allowed_methods (self->admin, EVHTTP_REQ_GET);
  evhttp_set_max_headers_size (self->admin, HEADER_MAX_BYTES);
  evhttp_set_max_body_size (self->admin, HEADER_MAX_BYTES);
  evhttp_set_cb (self->admin, "/metrics", on_metrics, self);
  evhttp_set_cb (self->admin, "/status", on_status, self);
  evhttp_set_cb (self->admin, "/health", on_health, self);
  int bound
      = evhttp_bind_socket (self->admin, address, (uint16_t)self->settings->admin_port);
  g_free (address);
  if (bound != 0)
    return fault_raise (fault,
                        STATUS_IO,
                        "can't listen on %.*s:%u",
                        NAME_ARG (self->settings->address),
                        self->settings->admin_port);
  return STATUS_OK;
}
