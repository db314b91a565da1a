#include "router_settings.h"

#include "../core/limits.h"

#include <arpa/inet.h>

#define FIELD(key, kind, member, required, lo, hi, expected)                             \
  {                                                                                      \
    key, kind, offsetof (router_settings_t, member), required, lo, hi, NULL, expected    \
  }
#define ENDPOINT_EXPECTED "an IPv4 address and port, such as 127.0.0.1:8080"
#define TIME_EXPECTED "milliseconds, from 1 to 600000"
#define TIME_MAX 600000

static const form_field_t host_fields[] = {
  FIELD ("name", FORM_NAME, host, true, 0, 0, "this host's name"),
  FIELD ("data_centre", FORM_NAME, data_centre, true, 0, 0, "its data centre's name"),
  FIELD ("callers", FORM_NAME, callers, true, 0, 0, ENDPOINT_EXPECTED),
  FIELD ("ready", FORM_NAME, ready, true, 0, 0, ENDPOINT_EXPECTED),
  FIELD ("peers", FORM_NAME, peers, true, 0, 0, ENDPOINT_EXPECTED),
  FIELD ("metrics", FORM_NAME, metrics, false, 0, 0, ENDPOINT_EXPECTED),
  FIELD ("link_mbps", FORM_REAL, link_mbps, false, 1, 1000000, "megabits/s, 1 or more"),
  FIELD (
      "memory_mb", FORM_UINT, memory_mb, false, 16, 1048576, "MiB, from 16 to 1048576"),
};

static const form_field_t store_fields[] = {
  FIELD ("address", FORM_NAME, store, true, 0, 0, ENDPOINT_EXPECTED),
};

static const form_field_t bound_fields[] = {
  FIELD ("drain_ms", FORM_UINT, bounds.drain_ms, false, 1, TIME_MAX, TIME_EXPECTED),
  FIELD (
      "config_apply_ms", FORM_UINT, bounds.apply_ms, false, 1, TIME_MAX, TIME_EXPECTED),
  FIELD ("evac_ms",
         FORM_UINT,
         bounds.evacuation_ms,
         false,
         0,
         TIME_MAX,
         "milliseconds, from 0 to 600000"),
  FIELD ("grace_s", FORM_REAL, bounds.grace_s, false, 1, 600, "seconds, from 1 to 600"),
  FIELD ("hold_max_ms",
         FORM_UINT,
         bounds.hold_max_ms,
         false,
         1,
         KEYS_HOLD_LIMIT_MS,
         TIME_EXPECTED),
  FIELD ("retry_ratio", FORM_REAL, bounds.retry_ratio, false, 0, 10, "from 0 to 10"),
  FIELD ("budget_window_s",
         FORM_UINT,
         bounds.retry_window_s,
         false,
         1,
         600,
         "seconds, from 1 to 600"),
  FIELD ("budget_extra", FORM_UINT, bounds.retry_extra, false, 0, 1000000, "0 or more"),
  FIELD ("warmup_overage",
         FORM_REAL,
         bounds.warmup_overage,
         false,
         0,
         1000,
         "from 0 to 1000"),
  FIELD ("warmup_slack",
         FORM_REAL,
         bounds.warmup_slack,
         false,
         0,
         1000000,
         "requests, 0 or more"),
};

bool
router_settings_parse_endpoint (text_t text, struct sockaddr_in *address)
{
  text_t rest;
  text_t head = text_split (text, ':', &rest);
  char *host = text_dup_c (head);
  uint64_t port = 0;

  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  bool ok = text_to_u64 (rest, &port) && port > 0 && port <= 65535
            && inet_pton (AF_INET, host, &address->sin_addr) == 1;
  address->sin_port = htons ((uint16_t)port);
  g_free (host);
  return ok;
}

static void
check_endpoint (form_t *form,
                const toml_doc_t *doc,
                const char *table,
                const char *key,
                const name_t *name,
                struct sockaddr_in *address)
{
  if (name->len > 0 && !router_settings_parse_endpoint (name_text (name), address))
    form_add_fault (form,
                    FORM_OUT_OF_RANGE,
                    form_line (doc, table, key),
                    key,
                    ENDPOINT_EXPECTED);
}

/* The values of the users' first deployments; a settings file may override them. */
static const router_bounds_t default_bounds = {
  .drain_ms = 2000,
  .apply_ms = 2000,
  .grace_s = 6,
  .hold_max_ms = 10000,
  .retry_ratio = 0.2,
  .retry_window_s = 10,
  .retry_extra = 50,
  .warmup_overage = 1,
};

static const double default_link_mbps
    = 100; /* the slowest link that hosts usually have */
static const uint32_t default_memory_mb = 160; /* the smallest hosts */

status_t
router_settings_load (router_settings_t *self,
                      const char *file,
                      form_t *form,
                      fault_t *fault)
{
  toml_doc_t doc;

  *self = (router_settings_t){ .bounds = default_bounds,
                               .link_mbps = default_link_mbps,
                               .memory_mb = default_memory_mb };
  form_init (form, file);
  status_t status = toml_doc_init (&doc, file, fault);
  if (status == STATUS_OK)
    {
      form_fill_known (form, &doc, "host", host_fields, G_N_ELEMENTS (host_fields), self);
      form_fill_known (form,
                       &doc,
                       "store",
                       store_fields,
                       G_N_ELEMENTS (store_fields),
                       self);
      form_fill_known (form,
                       &doc,
                       "bounds",
                       bound_fields,
                       G_N_ELEMENTS (bound_fields),
                       self);
      check_endpoint (form,
                      &doc,
                      "host",
                      "callers",
                      &self->callers,
                      &self->callers_address);
      check_endpoint (form, &doc, "host", "ready", &self->ready, &self->ready_address);
      check_endpoint (form, &doc, "host", "peers", &self->peers, &self->peers_address);
      check_endpoint (form,
                      &doc,
                      "host",
                      "metrics",
                      &self->metrics,
                      &self->metrics_address);
      check_endpoint (form, &doc, "store", "address", &self->store, &self->store_address);
      status = form_status (form, fault);
    }
  toml_doc_finish (&doc);
  return status;
}
