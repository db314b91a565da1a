#include "answers.h"

#include <string.h>

static const char *const method_names[]
    = { "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", NULL };
static const char *const risk_names[] = { "idempotent-write", "unfenced-owner", NULL };

#define ANSWERS_FIELD(key, kind, member, required, lo, hi, expected)                     \
  {                                                                                      \
    key, kind, offsetof (answers_t, member), required, lo, hi, NULL, expected            \
  }
#define SERVICE_FIELD(key, kind, member, required, lo, hi, choices, expected)            \
  {                                                                                      \
    key, kind, offsetof (service_answers_t, member), required, lo, hi, choices, expected \
  }

static const form_field_t top_fields[] = {
  ANSWERS_FIELD ("team", FORM_NAME, team, true, 0, 0, "the team's name, up to 63 bytes"),
};

static const form_field_t weight_fields[] = {
  ANSWERS_FIELD (
      "imbalance", FORM_UINT, weight_imbalance, true, 0, 10, "a weight from 0 to 10"),
  ANSWERS_FIELD ("churn", FORM_UINT, weight_churn, true, 0, 10, "a weight from 0 to 10"),
  ANSWERS_FIELD (
      "unserved", FORM_UINT, weight_unserved, true, 0, 10, "a weight from 0 to 10"),
};

static const form_field_t tolerate_fields[] = {
  ANSWERS_FIELD ("hosts",
                 FORM_UINT,
                 tolerated_hosts,
                 true,
                 1,
                 7,
                 "1 to 7 simultaneous host failures"),
};

#define FIELD_EXPECTED "none, path:N, query:NAME or header:NAME"

static const form_field_t service_fields[] = {
  SERVICE_FIELD ("name", FORM_NAME, name, true, 0, 0, NULL, "the service's name"),
  SERVICE_FIELD (
      "path", FORM_NAME, path, true, 0, 0, NULL, "a path prefix such as /catalogue/"),
  SERVICE_FIELD ("key", FORM_NAME, key, true, 0, 0, NULL, FIELD_EXPECTED),
  SERVICE_FIELD ("idempotent",
                 FORM_CHOICES,
                 idempotent,
                 true,
                 0,
                 0,
                 method_names,
                 "a list of GET, HEAD, POST, PUT, DELETE, PATCH"),
  SERVICE_FIELD ("order_id", FORM_NAME, order_id, true, 0, 0, NULL, FIELD_EXPECTED),
  SERVICE_FIELD (
      "refuses_repeats", FORM_BOOL, refuses_repeats, true, 0, 0, NULL, "true or false"),
  SERVICE_FIELD (
      "checks_fences", FORM_BOOL, checks_fences, true, 0, 0, NULL, "true or false"),
  SERVICE_FIELD ("not_run_status",
                 FORM_UINT,
                 not_run_status,
                 false,
                 0,
                 599,
                 NULL,
                 "an HTTP status from 400 to 599, or 0 for none"),
  SERVICE_FIELD ("deadline_ms",
                 FORM_UINT,
                 deadline_ms,
                 true,
                 10,
                 600000,
                 NULL,
                 "10 to 600000 milliseconds"),
  SERVICE_FIELD (
      "slots", FORM_UINT, slots, true, 1, 10000, NULL, "1 to 10000 slots per instance"),
  SERVICE_FIELD ("connections",
                 FORM_UINT,
                 connections,
                 true,
                 1,
                 10000,
                 NULL,
                 "1 to 10000 connections per instance"),
  SERVICE_FIELD ("cold_start_ms",
                 FORM_UINT,
                 cold_start_ms,
                 true,
                 0,
                 600000,
                 NULL,
                 "0 to 600000 milliseconds"),
  SERVICE_FIELD (
      "drain_ms", FORM_UINT, drain_ms, true, 0, 600000, NULL, "0 to 600000 milliseconds"),
  SERVICE_FIELD ("worth", FORM_UINT, worth, false, 1, 100, NULL, "1 to 100"),
  SERVICE_FIELD ("risks",
                 FORM_CHOICES,
                 risks,
                 false,
                 0,
                 0,
                 risk_names,
                 "a list of idempotent-write, unfenced-owner"),
};

static void
check_risk (form_t *form,
            const service_answers_t *service,
            bool present,
            risk_t risk,
            int line,
            const char *field)
{
  if (!present || (service->risks & RISK_BIT (risk)))
    return;
  char *expected = g_strdup_printf ("risks = [\"%s\"] on service %.*s, or a safer answer",
                                    risk_names[risk],
                                    NAME_ARG (service->name));
  form_add_fault (form, FORM_RISK, line, field, expected);
  g_free (expected);
}

static void
check_service (form_t *form,
               const toml_doc_t *doc,
               const char *table,
               const service_answers_t *service)
{
  const uint32_t http_safe = METHOD_BIT (METHOD_GET) | METHOD_BIT (METHOD_HEAD);
  const uint32_t http_idempotent
      = http_safe | METHOD_BIT (METHOD_PUT) | METHOD_BIT (METHOD_DELETE);
  request_field_t field;

  if (service->path.len > 0 && service->path.at[0] != '/')
    form_add_fault (form,
                    FORM_OUT_OF_RANGE,
                    form_line (doc, table, "path"),
                    "path",
                    "a path that starts with /");
  if (service->key.len > 0 && !request_field_parse (&field, name_text (&service->key)))
    form_add_fault (form,
                    FORM_OUT_OF_RANGE,
                    form_line (doc, table, "key"),
                    "key",
                    FIELD_EXPECTED);
  bool key_valid = request_field_parse (&field, name_text (&service->key));
  bool keyed = key_valid && field.kind != REQUEST_FIELD_NONE;
  if (service->order_id.len > 0
      && !request_field_parse (&field, name_text (&service->order_id)))
    form_add_fault (form,
                    FORM_OUT_OF_RANGE,
                    form_line (doc, table, "order_id"),
                    "order_id",
                    FIELD_EXPECTED);
  bool has_order_id = request_field_parse (&field, name_text (&service->order_id))
                      && field.kind != REQUEST_FIELD_NONE;
  if (service->refuses_repeats && !has_order_id)
    form_add_fault (form,
                    FORM_CONTRADICTION,
                    form_line (doc, table, "refuses_repeats"),
                    "refuses_repeats",
                    "an order_id, by which repeated requests are recognized");
  if (service->checks_fences && key_valid && !keyed)
    form_add_fault (form,
                    FORM_CONTRADICTION,
                    form_line (doc, table, "checks_fences"),
                    "checks_fences",
                    "a key, because fencing tokens protect keys");
  if (service->connections < service->slots)
    form_add_fault (form,
                    FORM_CONTRADICTION,
                    form_line (doc, table, "connections"),
                    "connections",
                    "at least as many connections as slots");
  check_risk (form,
              service,
              (service->idempotent & ~http_idempotent) != 0,
              RISK_IDEMPOTENT_WRITE,
              form_line (doc, table, "idempotent"),
              "idempotent");
  check_risk (form,
              service,
              keyed && !service->checks_fences,
              RISK_UNFENCED_OWNER,
              form_line (doc, table, "checks_fences"),
              "checks_fences");
}

static void
check_duplicates (const answers_t *self, form_t *form)
{
  for (uint32_t i = 0; i < self->n_services; i++)
    for (uint32_t j = i + 1; j < self->n_services; j++)
      if (name_equal (&self->services[i].name, &self->services[j].name)
          || name_equal (&self->services[i].path, &self->services[j].path))
        form_add_fault (form,
                        FORM_CONTRADICTION,
                        0,
                        "service",
                        "a unique name and a unique path for each service");
}

static uint32_t
count_keyed (const answers_t *self)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < self->n_services; i++)
    if (!text_equal (name_text (&self->services[i].key), TEXT ("none")))
      n++;
  return n;
}

static void
read_services (answers_t *self, form_t *form, const toml_doc_t *doc)
{
  for (uint32_t i = 0; i < SERVICE_MAX; i++)
    {
      char table[32];
      g_snprintf (table, sizeof table, "service[%u]", i);
      if (!form_has_table (doc, table))
        break;
      service_answers_t *service = &self->services[self->n_services++];
      service->worth = 1;
      form_fill (form,
                 doc,
                 table,
                 service_fields,
                 G_N_ELEMENTS (service_fields),
                 service);
      check_service (form, doc, table, service);
    }
  if (self->n_services == 0)
    form_add_fault (form, FORM_MISSING, 0, "service", "at least one [[service]]");
  if (count_keyed (self) > KEYED_MAX)
    form_add_fault (form, FORM_OUT_OF_RANGE, 0, "service", "at most 4 keyed services");
  if (form_has_table (doc, "service[16]"))
    form_add_fault (form, FORM_OUT_OF_RANGE, 0, "service", "at most 16 services");
}

status_t
answers_load (answers_t *self, const char *file, form_t *form, fault_t *fault)
{
  static const char *const tables[] = { "", "weights", "tolerate", "service", NULL };
  toml_doc_t doc;

  memset (self, 0, sizeof *self);
  form_init (form, file);
  status_t status = toml_doc_init (&doc, file, fault);
  if (status == STATUS_OK)
    {
      form_fill (form, &doc, "", top_fields, G_N_ELEMENTS (top_fields), self);
      form_fill (form,
                 &doc,
                 "weights",
                 weight_fields,
                 G_N_ELEMENTS (weight_fields),
                 self);
      form_fill (form,
                 &doc,
                 "tolerate",
                 tolerate_fields,
                 G_N_ELEMENTS (tolerate_fields),
                 self);
      read_services (self, form, &doc);
      check_duplicates (self, form);
      form_check_tables (form, &doc, tables);
      if (!form_ok (form))
        status = fault_raise (fault,
                              STATUS_ANSWERS,
                              "%s has %u faults",
                              file,
                              form->faults->len);
    }
  toml_doc_finish (&doc);
  return status;
}

static void
print_questions (FILE *file, const form_field_t *fields, size_t n)
{
  for (size_t i = 0; i < n; i++)
    fprintf (file,
             "# %s%s.\n%s%s = \n",
             fields[i].expected,
             fields[i].required ? "" : " (may be left out)",
             fields[i].required ? "" : "#",
             fields[i].key);
}

void
answers_print_blank (FILE *file, text_t team)
{
  fprintf (file, "team = \"%.*s\"\n\n[weights]\n", TEXT_ARG (team));
  print_questions (file, weight_fields, G_N_ELEMENTS (weight_fields));
  fputs ("\n[tolerate]\n", file);
  print_questions (file, tolerate_fields, G_N_ELEMENTS (tolerate_fields));
  fputs ("\n# One [[service]] for each service.\n[[service]]\n", file);
  print_questions (file, service_fields, G_N_ELEMENTS (service_fields));
}

/* Writes one answer as TOML: strings quoted, a list of words as an array. */
static void
print_answer (FILE *out, const form_field_t *field, const char *line)
{
  gchar **words = g_strsplit_set (line, ", ", -1);
  const char *comma = "";

  switch (field->kind)
    {
    case FORM_NAME:
    case FORM_CHOICE:
      fprintf (out, "%s = \"%s\"\n", field->key, line);
      break;
    case FORM_UINT:
    case FORM_REAL:
    case FORM_BOOL:
      fprintf (out, "%s = %s\n", field->key, line);
      break;
    case FORM_CHOICES:
      fprintf (out, "%s = [", field->key);
      for (gchar **word = words; *word != NULL; word++)
        if (**word != 0)
          {
            fprintf (out, "%s\"%s\"", comma, *word);
            comma = ", ";
          }
      fputs ("]\n", out);
      break;
    }
  g_strfreev (words);
}

/* Returns the answer without surrounding white space, or NULL at the end of IN.
 * Free with g_free. */
static char *
read_answer (FILE *in, FILE *prompt, const form_field_t *field)
{
  char line[256];

  fprintf (prompt, "%s (%s): ", field->key, field->expected);
  fflush (prompt);
  if (fgets (line, sizeof line, in) == NULL)
    return NULL;
  return g_strdup (g_strstrip (line));
}

static bool
ask_fields (FILE *in, FILE *prompt, FILE *out, const form_field_t *fields, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      char *line = read_answer (in, prompt, &fields[i]);
      if (line == NULL)
        return false;
      if (line[0] != 0)
        print_answer (out, &fields[i], line);
      g_free (line);
    }
  return true;
}

/* The first field of a service is its name; an empty name ends the list. */
static bool
ask_services (FILE *in, FILE *prompt, FILE *out)
{
  for (;;)
    {
      fputs ("\nNext service (empty name to finish):\n", prompt);
      char *name = read_answer (in, prompt, &service_fields[0]);
      if (name == NULL || name[0] == 0)
        {
          g_free (name);
          return name != NULL;
        }
      fputs ("\n[[service]]\n", out);
      print_answer (out, &service_fields[0], name);
      g_free (name);
      if (!ask_fields (in,
                       prompt,
                       out,
                       service_fields + 1,
                       G_N_ELEMENTS (service_fields) - 1))
        return false;
    }
}

bool
answers_ask (FILE *in, FILE *prompt, FILE *out, text_t team)
{
  fprintf (out, "team = \"%.*s\"\n\n[weights]\n", TEXT_ARG (team));
  fputs ("Weights of the placement costs:\n", prompt);
  if (!ask_fields (in, prompt, out, weight_fields, G_N_ELEMENTS (weight_fields)))
    return false;
  fputs ("\n[tolerate]\n", out);
  fputs ("\nHost failures to tolerate:\n", prompt);
  if (!ask_fields (in, prompt, out, tolerate_fields, G_N_ELEMENTS (tolerate_fields)))
    return false;
  return ask_services (in, prompt, out);
}

static void
derive_service (const service_answers_t *from, service_t *to, uint32_t *n_keyed)
{
  to->name = from->name;
  to->prefix = from->path;
  request_field_parse (&to->key, name_text (&from->key));
  to->keyed = to->key.kind != REQUEST_FIELD_NONE;
  if (to->keyed)
    to->keyed_index = (*n_keyed)++;
  to->idempotent = from->idempotent;
  request_field_parse (&to->order_id, name_text (&from->order_id));
  to->refuses_repeats = from->refuses_repeats;
  to->checks_fences = from->checks_fences;
  to->not_run_status = from->not_run_status;
  to->deadline_ms = from->deadline_ms;
  to->slots = from->slots;
  to->connections = from->connections;
  to->cold_start_ms = from->cold_start_ms;
  to->drain_ms = from->drain_ms;
  to->worth = from->worth;
}

void
answers_derive (const answers_t *self, config_t *config)
{
  uint32_t n_keyed = 0;

  memset (config, 0, sizeof *config);
  config->team = self->team;
  config->weight_imbalance = self->weight_imbalance;
  config->weight_churn = self->weight_churn;
  config->weight_unserved = self->weight_unserved;
  config->tolerated_hosts = self->tolerated_hosts;
  config->n_services = self->n_services;
  for (uint32_t i = 0; i < self->n_services; i++)
    derive_service (&self->services[i], &config->services[i], &n_keyed);
}

const char *
answers_source (text_t value)
{
  static const struct
  {
    const char *value, *answer;
  } sources[] = {
    { "prefix", "service.path" },
    { "keyed", "service.key: anything but none makes a service keyed" },
    { "keyed_index", "service.key: the keyed services in the order of the answers" },
    { "key", "service.key" },
    { "order_id", "service.order_id" },
    { "weight_imbalance", "weights.imbalance" },
    { "weight_churn", "weights.churn" },
    { "weight_unserved", "weights.unserved" },
    { "tolerated_hosts", "tolerate.hosts" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (sources); i++)
    if (text_equal (value, text_from_c (sources[i].value)))
      return sources[i].answer;
  for (size_t i = 0; i < G_N_ELEMENTS (service_fields); i++)
    if (text_equal (value, text_from_c (service_fields[i].key)))
      return service_fields[i].key;
  return NULL;
}
