#include "coordinator_parts.h"

#include "../core/eventlog.h"

#include <event2/buffer.h>
#include <event2/http.h>

/*
 * The page is in the Prometheus text format.  Counters end in _total, times are
 * in milliseconds.
 */

#define METRIC "chicorywood_"

static const char *const end_labels[] = {
  [OUTCOME_NOT_RUN] = "not_run",       [OUTCOME_UNKNOWN] = "unknown",
  [OUTCOME_TIMED_OUT] = "timed_out",   [OUTCOME_NO_ROUTE] = "no_route",
  [OUTCOME_NO_ROUTE + 1] = "answered",
};

static const char *const held_labels[ACCOUNT_KINDS] = {
  [ACCOUNT_INPUT] = "input",       [ACCOUNT_HEAD] = "heads",
  [ACCOUNT_EXCHANGE] = "requests", [ACCOUNT_BODY] = "bodies",
  [ACCOUNT_OUTPUT] = "outputs",    [ACCOUNT_CONNECTION] = "connections",
};

static void
add_number (struct evbuffer *page, const char *name, uint64_t value)
{
  evbuffer_add_printf (page, METRIC "%s %llu\n", name, (unsigned long long)value);
}

static void
add_latency (struct evbuffer *page, const service_counts_t *counts)
{
  uint64_t sum = 0;

  for (int i = 0; i < METRICS_BUCKETS; i++)
    {
      char bound[24] = "+Inf";
      sum += counts->latency_buckets[i];
      if (i < METRICS_BUCKETS - 1)
        g_snprintf (bound, sizeof bound, "%d", 1 << i);
      evbuffer_add_printf (page,
                           METRIC "latency_ms_bucket{service=\"%.*s\",le=\"%s\"} %llu\n",
                           NAME_ARG (counts->service),
                           bound,
                           (unsigned long long)sum);
    }
  evbuffer_add_printf (page,
                       METRIC "latency_ms_sum{service=\"%.*s\"} %llu\n" METRIC
                              "latency_ms_count{service=\"%.*s\"} %llu\n",
                       NAME_ARG (counts->service),
                       (unsigned long long)counts->latency_sum_ms,
                       NAME_ARG (counts->service),
                       (unsigned long long)sum);
}

static void
add_requests (struct evbuffer *page, const proxy_counts_t *counts)
{
  add_number (page, "requests_total", counts->requests);
  add_number (page, "callers_left_total", counts->callers_left);
  add_number (page, "bad_requests_total", counts->bad_requests);
  add_number (page, "sends_total", counts->attempts);
  add_number (page, "repeats_total", counts->retries);
  add_number (page, "repeats_left", counts->retries_left);
  add_number (page, "target_connections_total", counts->target_connections);
  add_number (page, "stray_answers_total", counts->stray_responses);
  add_number (page, "unanswered_total", counts->unanswered);
  add_number (page, "unread_connections_total", counts->unread);
  add_number (page, "target_pauses_total", counts->target_pauses);
  add_number (page, "service_pauses_total", counts->service_pauses);
  add_number (page, "odd_speeds_total", counts->odd_speeds);
  add_number (page, "cold_targets", counts->cold_targets);
  add_number (page, "cold_sent_total", counts->cold_sent);
  add_number (page, "cold_held_total", counts->cold_held);
  add_number (page, "caller_connections", counts->caller_connections);
  add_number (page, "requests_waiting", counts->queued);
  add_number (page, "buffered_bytes", counts->buffered);
  add_number (page, "buffered_peak_bytes", counts->buffered_peak);
  for (guint i = 0; i < G_N_ELEMENTS (held_labels); i++)
    evbuffer_add_printf (page,
                         METRIC "held_bytes{for=\"%s\"} %llu\n",
                         held_labels[i],
                         (unsigned long long)counts->held[i]);
  add_number (page, "held_peak_bytes", counts->held_peak);
  add_number (page, "held_max_bytes", counts->held_max);
  add_number (page, "refused_for_memory_total", counts->refused);
  add_number (page, "closed_for_memory_total", counts->closed_for_memory);
  add_number (page, "closed_untaken_total", counts->closed_untaken);
  add_number (page, "accept_pauses_total", counts->accept_pauses);
  for (int i = 0; i < SERVICE_MAX; i++)
    {
      const service_counts_t *service = &counts->services[i];
      if (i > 0 && service->service.len == 0)
        continue;
      for (guint end = 0; end < G_N_ELEMENTS (end_labels); end++)
        evbuffer_add_printf (page,
                             METRIC
                             "requests_ended_total{service=\"%.*s\",end=\"%s\"} %llu\n",
                             NAME_ARG (service->service),
                             end_labels[end],
                             (unsigned long long)service->outcomes[end]);
      if (i > 0)
        add_latency (page, service);
    }
}

static void
add_targets (struct evbuffer *page, coordinator_t *self)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t ready = 0, leaving = 0;

  g_hash_table_iter_init (&iter, self->targets_by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const known_target_t *target = value;
      ready += !target->entry.leaving;
      leaving += target->entry.leaving;
    }
  add_number (page, "targets_ready", ready);
  add_number (page, "targets_leaving", leaving);
}

static void
add_state (struct evbuffer *page, coordinator_t *self)
{
  msec_t now = msclock_now (&self->clock);

  add_number (page, "configuration_version", self->directory_version);
  add_number (page, "routes_unsupported", self->unsupported_routes);
  add_number (page, "configuration_age_ms", (uint64_t)feed_age (&self->configuration));
  add_number (page, "outdated", self->outdated);
  add_number (page, "unconfirmed_total", self->unconfirmed);
  add_number (page, "data_centres_emptied", evacuations_count (&self->evacuations));
  add_number (page,
              "evacuation_age_ms",
              (uint64_t)evacuations_age (&self->evacuations, now));
  add_number (page, "targets_age_ms", (uint64_t)feed_age (&self->targets));
  add_number (page, "coordinator_late_ms", (uint64_t)self->late_ms);
  add_number (page, "proxy_late_ms", (uint64_t)self->proxy_counts.late_ms);
  add_number (page, "granter_round_trip_ms", (uint64_t)self->round_trip_ms);
  add_number (page, "store_calls_total", self->store->calls);
  add_number (page, "store_away", self->store_unreachable);
  add_number (page, "store_era", self->store->era);
  add_number (page, "store_answers_rejected_total", self->store->rejected);
  add_number (page, "granter", self->role.state == ROLE_HELD);
  add_number (page,
              "granter_lease_left_ms",
              (uint64_t)MAX (self->role.lease_end - now, 0));
  add_number (page,
              "granter_news_left_ms",
              (uint64_t)MAX (self->granter_update_expires - now, 0));
  add_number (page, "hosts", self->host_count);
  add_number (page, "paces_known", g_hash_table_size (self->paces.targets));
  add_number (page, "next_fence", self->keys.next_fence);
  for (guint i = 0; self->key_tables != NULL && i < self->key_tables->len; i++)
    {
      const key_table_t *table = g_ptr_array_index (self->key_tables, i);
      evbuffer_add_printf (page,
                           METRIC "owners_version{service=\"%.*s\"} %llu\n" METRIC
                                  "owners_runs{service=\"%.*s\"} %u\n",
                           NAME_ARG (table->service),
                           (unsigned long long)table->version,
                           NAME_ARG (table->service),
                           table->ranges->len);
    }
  add_number (page, "link_sent_total", self->link.sent);
  add_number (page, "link_dropped_total", self->link.dropped);
  add_number (page, "link_received_total", self->link.received);
  add_number (page, "log_lines_lost_total", eventlog_dropped_lines ());
}

static void
on_request (struct evhttp_request *request, void *arg)
{
  coordinator_t *self = arg;
  struct evbuffer *page = evbuffer_new ();

  add_requests (page, &self->proxy_counts);
  add_targets (page, self);
  add_state (page, self);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type",
                     "text/plain; version=0.0.4");
  evhttp_send_reply (request, 200, "OK", page);
  evbuffer_free (page);
}

status_t
metrics_page_init (coordinator_t *self, fault_t *fault)
{
  const router_settings_t *settings = self->settings;
  text_t port;
  text_t host = text_split (name_text (&settings->metrics), ':', &port);

  if (host.len == 0)
    return STATUS_OK;
  char *address = text_dup_c (host);
  self->metrics = evhttp_new (self->base);
  evhttp_set_max_headers_size (self->metrics, HEADER_MAX_BYTES);
  evhttp_set_max_body_size (self->metrics, HEADER_MAX_BYTES);
  evhttp_set_gencb (self->metrics, on_request, self);
  int bound = evhttp_bind_socket (self->metrics,
                                  address,
                                  ntohs (settings->metrics_address.sin_port));
  g_free (address);
  if (bound == 0)
    return STATUS_OK;
  return fault_raise (fault,
                      STATUS_IO,
                      "cannot listen on %.*s for metrics",
                      NAME_ARG (settings->metrics));
}

void
metrics_page_finish (coordinator_t *self)
{
  if (self->metrics != NULL)
    evhttp_free (self->metrics);
}
