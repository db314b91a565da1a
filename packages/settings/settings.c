#include "settings.h"

#include "../core/log.h"

#include <arpa/inet.h>

static const char *const log_levels[]
    = { "errors", "warnings", "notes", "decisions", NULL };

#define PORT_EXPECTED "a port from 1 to 65535"
#define FIELD(key, kind, member, required, lo, hi, choices, expected)                    \
  {                                                                                      \
    key, kind, offsetof (settings_t, member), required, lo, hi, choices, expected        \
  }

static const form_field_t host_fields[] = {
  FIELD ("name",
         FORM_NAME,
         host,
         true,
         0,
         0,
         NULL,
         "this host's name, as the platform lists it"),
  FIELD ("data_centre",
         FORM_NAME,
         data_centre,
         true,
         0,
         0,
         NULL,
         "the name of its data centre"),
  FIELD ("address", FORM_NAME, address, true, 0, 0, NULL, "an IPv4 address to listen on"),
  FIELD ("caller_port", FORM_UINT, caller_port, true, 1, 65535, NULL, PORT_EXPECTED),
  FIELD ("admin_port", FORM_UINT, admin_port, true, 1, 65535, NULL, PORT_EXPECTED),
  FIELD ("peer_port", FORM_UINT, peer_port, true, 1, 65535, NULL, PORT_EXPECTED),
  FIELD (
      "workers", FORM_UINT, workers, false, 1, WORKER_MAX, NULL, "from 1 to 16 workers"),
};

static const form_field_t platform_fields[] = {
  FIELD ("address",
         FORM_NAME,
         platform_address,
         true,
         0,
         0,
         NULL,
         "the platform's IPv4 address"),
  FIELD ("port", FORM_UINT, platform_port, true, 1, 65535, NULL, PORT_EXPECTED),
};

static const form_field_t log_fields[] = {
  FIELD ("level",
         FORM_CHOICE,
         log_level,
         false,
         0,
         0,
         log_levels,
         "errors, warnings, notes or decisions"),
};

static const form_field_t trace_fields[] = {
  FIELD ("folder", FORM_NAME, trace_folder, false, 0, 0, NULL, "a directory for traces"),
};

static void
check_address (form_t *form,
               const toml_doc_t *doc,
               const char *table,
               const name_t *address)
{
  char *str = text_dup_c (name_text (address));
  struct in_addr parsed;

  if (address->len > 0 && inet_pton (AF_INET, str, &parsed) != 1)
    form_add_fault (form,
                    FORM_OUT_OF_RANGE,
                    form_line (doc, table, "address"),
                    "address",
                    "an IPv4 address such as 127.0.0.1");
  g_free (str);
}

static void
check_ports (const settings_t *self, form_t *form, const toml_doc_t *doc)
{
  if (self->caller_port != 0
      && (self->caller_port == self->admin_port || self->caller_port == self->peer_port
          || self->admin_port == self->peer_port))
    form_add_fault (form,
                    FORM_CONTRADICTION,
                    form_line (doc, "host", "caller_port"),
                    "host",
                    "three different ports");
}

status_t
settings_load (settings_t *self, const char *file, form_t *form, fault_t *fault)
{
  static const char *const tables[] = { "host", "platform", "log", "trace", NULL };
  toml_doc_t doc;

  *self = (settings_t){ .workers = 2, .log_level = LOG_DECISIONS };
  form_init (form, file);
  status_t status = toml_doc_init (&doc, file, fault);
  if (status == STATUS_OK)
    {
      form_fill (form, &doc, "host", host_fields, G_N_ELEMENTS (host_fields), self);
      form_fill (form,
                 &doc,
                 "platform",
                 platform_fields,
                 G_N_ELEMENTS (platform_fields),
                 self);
      form_fill (form, &doc, "log", log_fields, G_N_ELEMENTS (log_fields), self);
      form_fill (form, &doc, "trace", trace_fields, G_N_ELEMENTS (trace_fields), self);
      form_check_tables (form, &doc, tables);
      check_address (form, &doc, "host", &self->address);
      check_address (form, &doc, "platform", &self->platform_address);
      check_ports (self, form, &doc);
      status = form_status (form, fault);
    }
  toml_doc_finish (&doc);
  return status;
}
