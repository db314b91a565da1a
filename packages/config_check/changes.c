#include "config_check.h"

/* A number of an entry that may have changed. */
typedef struct
{
  finding_field_t field;
  uint64_t before, after;
} number_change_t;

static void
compare_numbers (const char *entry,
                 text_t name,
                 const number_change_t *changes,
                 size_t n,
                 findings_t *findings)
{
  for (size_t i = 0; i < n; i++)
    if (changes[i].before != changes[i].after)
      findings_add (findings,
                    FINDING_CHANGE,
                    entry,
                    name,
                    changes[i].field,
                    "%llu becomes %llu",
                    (unsigned long long)changes[i].before,
                    (unsigned long long)changes[i].after);
}

static void
compare_texts (const route_entry_t *route,
               finding_field_t field,
               text_t before,
               text_t after,
               findings_t *findings)
{
  if (!text_equal (before, after))
    findings_add (findings,
                  FINDING_CHANGE,
                  "route",
                  route->name,
                  field,
                  "%.*s becomes %.*s",
                  TEXT_ARG (before),
                  TEXT_ARG (after));
}

/* The services of ROUTE, with their weights where there are several. */
static GString *
describe_shares (const directory_t *directory, const route_entry_t *route)
{
  GString *text = g_string_new (NULL);

  for (uint32_t i = 0; i < route->n_shares; i++)
    {
      const route_share_t *share
          = &g_array_index (directory->shares, route_share_t, route->first_share + i);
      text_t name
          = g_array_index (directory->services, service_entry_t, share->service).name;
      g_string_append_printf (text, "%s%.*s", i > 0 ? ", " : "", TEXT_ARG (name));
      if (route->n_shares > 1)
        g_string_append_printf (text, " (%u)", share->weight);
    }
  return text;
}

static void
compare_shares (const directory_t *before,
                const route_entry_t *old,
                const directory_t *after,
                const route_entry_t *route,
                findings_t *findings)
{
  GString *from = describe_shares (before, old);
  GString *to = describe_shares (after, route);

  if (!g_string_equal (from, to))
    findings_add (findings,
                  FINDING_CHANGE,
                  "route",
                  route->name,
                  FIELD_NONE,
                  "moves from %s to %s",
                  from->str,
                  to->str);
  g_string_free (from, TRUE);
  g_string_free (to, TRUE);
}

static const char *
kind_name (request_kind_t kind)
{
  static const char *const names[]
      = { [KIND_IDEMPOTENT] = "requests that may be repeated",
          [KIND_MUTATING] = "requests that run once",
          [KIND_DOWNLOAD] = "downloads",
          [KIND_UPLOAD] = "uploads",
          [KIND_UNSUPPORTED] = "an unknown kind" };

  return names[kind];
}

static void
compare_kinds (const route_entry_t *old, const route_entry_t *route, findings_t *findings)
{
  bool repeats
      = !request_kind_may_repeat (old->kind) && request_kind_may_repeat (route->kind);

  if (old->kind != route->kind)
    findings_add (findings,
                  repeats ? FINDING_WARNING : FINDING_CHANGE,
                  "route",
                  route->name,
                  FIELD_KIND,
                  "%s: before, %s",
                  kind_name (route->kind),
                  kind_name (old->kind));
}

static void
compare_routes (const directory_t *before,
                const route_entry_t *old,
                const directory_t *after,
                const route_entry_t *route,
                findings_t *findings)
{
  const number_change_t numbers[] = {
    { FIELD_TIMEOUT, (uint64_t)old->timeout, (uint64_t)route->timeout },
    { FIELD_OBJECTIVE,
      (uint64_t)old->latency_objective,
      (uint64_t)route->latency_objective },
    { FIELD_PRIORITY, old->priority, route->priority },
    { FIELD_MAX_EXECUTIONS, old->max_executions, route->max_executions },
  };

  compare_texts (route, FIELD_HOST, old->host, route->host, findings);
  compare_texts (route, FIELD_PREFIX, old->prefix, route->prefix, findings);
  compare_kinds (old, route, findings);
  compare_numbers ("route", route->name, numbers, G_N_ELEMENTS (numbers), findings);
  compare_shares (before, old, after, route, findings);
}

static void
compare_services (const service_entry_t *old,
                  const service_entry_t *service,
                  findings_t *findings)
{
  const number_change_t numbers[] = {
    { FIELD_MAX_CONNECTIONS, old->max_connections, service->max_connections },
    { FIELD_WARM_UP, (uint64_t)old->warm_up, (uint64_t)service->warm_up },
    { FIELD_COLD_TIME, (uint64_t)old->cold_time, (uint64_t)service->cold_time },
    { FIELD_COLD_RATE, (uint64_t)old->cold_rate, (uint64_t)service->cold_rate },
  };

  if (old->keyed != service->keyed)
    findings_add (findings,
                  FINDING_WARNING,
                  "service",
                  service->name,
                  FIELD_KEYED,
                  service->keyed ? "its keys get owners" : "its keys lose their owners");
  compare_numbers ("service", service->name, numbers, G_N_ELEMENTS (numbers), findings);
}

static void
compare_limits (const caller_limits_t *old,
                const caller_limits_t *limits,
                findings_t *findings)
{
  const number_change_t numbers[] = {
    { FIELD_MAX_HEAD_BYTES, old->max_head_bytes, limits->max_head_bytes },
    { FIELD_MAX_BODY_BYTES, old->max_body_bytes, limits->max_body_bytes },
    { FIELD_HEAD_TIMEOUT,
      (uint64_t)old->head_timeout_ms,
      (uint64_t)limits->head_timeout_ms },
    { FIELD_IDLE_TIMEOUT,
      (uint64_t)old->idle_timeout_ms,
      (uint64_t)limits->idle_timeout_ms },
  };

  compare_numbers ("limits", TEXT_NONE, numbers, G_N_ELEMENTS (numbers), findings);
}

/* Reports entries of FROM, of the kind ENTRY, whose names INDEX doesn't have. */
static void
report_missing (const GArray *from,
                GHashTable *index,
                const char *entry,
                const char *why,
                findings_t *findings)
{
  guint size = g_array_get_element_size ((GArray *)from);

  for (guint i = 0; i < from->len; i++)
    {
      const text_t *name = (const text_t *)(from->data + (gsize)i * size);
      if (!g_hash_table_contains (index, name))
        findings_add (findings, FINDING_CHANGE, entry, *name, FIELD_NONE, "%s", why);
    }
}

static void
compare_all_routes (const directory_t *before,
                    const directory_t *after,
                    findings_t *findings)
{
  GHashTable *old = config_check_by_name (before->routes);
  GHashTable *new = config_check_by_name (after->routes);

  report_missing (before->routes, new, "route", "removed", findings);
  report_missing (after->routes, old, "route", "added", findings);
  for (guint i = 0; i < after->routes->len; i++)
    {
      const route_entry_t *route = &g_array_index (after->routes, route_entry_t, i);
      const route_entry_t *was = g_hash_table_lookup (old, route);
      if (was != NULL)
        compare_routes (before, was, after, route, findings);
    }
  g_hash_table_unref (old);
  g_hash_table_unref (new);
}

static void
compare_all_services (const directory_t *before,
                      const directory_t *after,
                      findings_t *findings)
{
  GHashTable *old = config_check_by_name (before->services);
  GHashTable *new = config_check_by_name (after->services);

  report_missing (before->services, new, "service", "removed", findings);
  report_missing (after->services, old, "service", "added", findings);
  for (guint i = 0; i < after->services->len; i++)
    {
      const service_entry_t *service
          = &g_array_index (after->services, service_entry_t, i);
      const service_entry_t *was = g_hash_table_lookup (old, service);
      if (was != NULL)
        compare_services (was, service, findings);
    }
  g_hash_table_unref (old);
  g_hash_table_unref (new);
}

void
config_check_changes (const directory_t *directory,
                      const directory_t *in_force,
                      findings_t *findings)
{
  if (directory->version <= in_force->version)
    findings_add (findings,
                  FINDING_ERROR,
                  "configuration",
                  TEXT_NONE,
                  FIELD_VERSION,
                  "%llx isn't after %llx, which is in force: hosts ignore it",
                  (unsigned long long)directory->version,
                  (unsigned long long)in_force->version);
  compare_all_routes (in_force, directory, findings);
  compare_all_services (in_force, directory, findings);
  compare_limits (&in_force->limits, &directory->limits, findings);
}
