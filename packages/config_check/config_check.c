#include "config_check.h"

#include <string.h>

static guint
hash_name (gconstpointer entry)
{
  return (guint)text_hash (*(const text_t *)entry);
}

static gboolean
equal_names (gconstpointer a, gconstpointer b)
{
  return text_equal (*(const text_t *)a, *(const text_t *)b);
}

/* Hosts are compared case-insensitively. */
static guint
hash_match (gconstpointer entry)
{
  const route_entry_t *route = entry;
  guint hash = (guint)text_hash (route->prefix);

  for (size_t i = 0; i < route->host.len; i++)
    hash = hash * 33 + (guchar)g_ascii_tolower (route->host.at[i]);
  return hash;
}

static gboolean
equal_matches (gconstpointer left, gconstpointer right)
{
  const route_entry_t *a = left, *b = right;

  return text_equal (a->prefix, b->prefix) && a->host.len == b->host.len
         && g_ascii_strncasecmp (a->host.at, b->host.at, a->host.len) == 0;
}

/* The first of all entries that are equal. */
static GHashTable *
index_entries (const GArray *entries, GHashFunc hash, GEqualFunc equal)
{
  GHashTable *index = g_hash_table_new (hash, equal);
  guint size = g_array_get_element_size ((GArray *)entries);

  for (guint i = 0; i < entries->len; i++)
    {
      gpointer entry = entries->data + (gsize)i * size;
      if (!g_hash_table_contains (index, entry))
        g_hash_table_add (index, entry);
    }
  return index;
}

G_STATIC_ASSERT (offsetof (route_entry_t, name) == 0);
G_STATIC_ASSERT (offsetof (service_entry_t, name) == 0);

GHashTable *
config_check_by_name (const GArray *entries)
{
  return index_entries (entries, hash_name, equal_names);
}

/* Whether TEXT has a control character, a space or one of OTHERS. */
static bool
has_unusable (text_t text, const char *others)
{
  for (size_t i = 0; i < text.len; i++)
    if ((unsigned char)text.at[i] <= ' ' || text.at[i] == 127
        || strchr (others, text.at[i]) != NULL)
      return true;
  return false;
}

/* MATCHES has the first route of each host and prefix. */
static void
check_match (const route_entry_t *route, GHashTable *matches, findings_t *findings)
{
  text_t prefix = route->prefix;

  if (has_unusable (route->host, "/:?#@,"))
    findings_add (findings,
                  FINDING_ERROR,
                  "route",
                  route->name,
                  FIELD_HOST,
                  "never matches: no request has such a host name, without its port");
  if (prefix.len == 0 || prefix.at[0] != '/' || prefix.at[prefix.len - 1] != '/')
    findings_add (findings,
                  FINDING_ERROR,
                  "route",
                  route->name,
                  FIELD_PREFIX,
                  "must begin and end with a slash");
  else if (has_unusable (prefix, "#"))
    findings_add (findings,
                  FINDING_ERROR,
                  "route",
                  route->name,
                  FIELD_PREFIX,
                  "never matches: no request has such a path");
  const route_entry_t *first = g_hash_table_lookup (matches, route);
  if (first != route)
    findings_add (findings,
                  FINDING_ERROR,
                  "route",
                  route->name,
                  FIELD_PREFIX,
                  "never matches: route %.*s has the same host and prefix",
                  TEXT_ARG (first->name));
}

static void
check_times (const route_entry_t *route, findings_t *findings)
{
  if (route->latency_objective <= 0)
    findings_add (findings,
                  FINDING_ERROR,
                  "route",
                  route->name,
                  FIELD_OBJECTIVE,
                  "no response is within an objective of 0 ms");
  if (route->timeout <= 0)
    findings_add (findings,
                  FINDING_ERROR,
                  "route",
                  route->name,
                  FIELD_TIMEOUT,
                  "each request ends unanswered after 0 ms");
  else if (route->timeout < route->latency_objective)
    findings_add (findings,
                  FINDING_WARNING,
                  "route",
                  route->name,
                  FIELD_TIMEOUT,
                  "%lld ms, under the objective of %lld ms",
                  (long long)route->timeout,
                  (long long)route->latency_objective);
}

static void
check_attempts (const route_entry_t *route,
                const check_host_t *host,
                findings_t *findings)
{
  uint32_t retries = route->max_executions - 1;
  /* Of a request while there are no others. */
  double budget = host->retry_ratio + host->retry_extra;

  if (retries == 0 && request_kind_may_repeat (route->kind))
    findings_add (findings,
                  FINDING_WARNING,
                  "route",
                  route->name,
                  FIELD_MAX_EXECUTIONS,
                  "1, although its requests may be repeated at another target");
  if (host->has_budget && retries > budget)
    findings_add (findings,
                  FINDING_WARNING,
                  "route",
                  route->name,
                  FIELD_MAX_EXECUTIONS,
                  "%u, but the retry budget allows one request %u retries",
                  route->max_executions,
                  (uint32_t)budget);
}

static void
check_shares (const directory_t *directory,
              const route_entry_t *route,
              findings_t *findings)
{
  const route_share_t *shares
      = &g_array_index (directory->shares, route_share_t, route->first_share);
  uint64_t weights = 0;

  for (uint32_t i = 0; i < route->n_shares; i++)
    {
      weights += shares[i].weight;
      for (uint32_t j = 0; j < i; j++)
        if (shares[j].service == shares[i].service)
          {
            findings_add (findings,
                          FINDING_WARNING,
                          "route",
                          route->name,
                          FIELD_SHARES,
                          "service %.*s is listed twice",
                          TEXT_ARG (g_array_index (directory->services,
                                                   service_entry_t,
                                                   shares[i].service)
                                        .name));
            break;
          }
    }
  if (weights == 0)
    findings_add (findings,
                  FINDING_ERROR,
                  "route",
                  route->name,
                  FIELD_SHARES,
                  "all weights are 0");
}

static void
check_routes (const directory_t *directory,
              const check_host_t *host,
              findings_t *findings)
{
  GHashTable *names = config_check_by_name (directory->routes);
  GHashTable *matches = index_entries (directory->routes, hash_match, equal_matches);

  for (guint i = 0; i < directory->routes->len; i++)
    {
      const route_entry_t *route = &g_array_index (directory->routes, route_entry_t, i);
      if (g_hash_table_lookup (names, route) != route)
        findings_add (findings,
                      FINDING_WARNING,
                      "route",
                      route->name,
                      FIELD_NAME,
                      "another route has the same name");
      if (route->kind == KIND_UNSUPPORTED)
        findings_add (findings,
                      FINDING_ERROR,
                      "route",
                      route->name,
                      FIELD_KIND,
                      "unknown to this version: its requests are rejected");
      check_match (route, matches, findings);
      check_times (route, findings);
      check_attempts (route, host, findings);
      check_shares (directory, route, findings);
    }
  g_hash_table_unref (matches);
  g_hash_table_unref (names);
}

static void
check_services (const directory_t *directory, findings_t *findings)
{
  GHashTable *names = config_check_by_name (directory->services);
  bool *used = g_new0 (bool, directory->services->len + 1);

  for (guint i = 0; i < directory->shares->len; i++)
    used[g_array_index (directory->shares, route_share_t, i).service] = true;
  for (guint i = 0; i < directory->services->len; i++)
    {
      const service_entry_t *service
          = &g_array_index (directory->services, service_entry_t, i);
      if (g_hash_table_lookup (names, service) != service)
        findings_add (findings,
                      FINDING_ERROR,
                      "service",
                      service->name,
                      FIELD_NAME,
                      "another service has the same name");
      else if (!used[i])
        findings_add (findings,
                      FINDING_WARNING,
                      "service",
                      service->name,
                      FIELD_NONE,
                      "no route uses it");
    }
  g_free (used);
  g_hash_table_unref (names);
}

/* Limits of 0 are left to the hosts' defaults. */
static void
check_limits (const caller_limits_t *limits,
              const check_host_t *host,
              findings_t *findings)
{
  uint64_t memory = (uint64_t)host->memory_mb * 1024 * 1024;

  if (limits->idle_timeout_ms > 0 && limits->head_timeout_ms > limits->idle_timeout_ms)
    findings_add (findings,
                  FINDING_WARNING,
                  "limits",
                  TEXT_NONE,
                  FIELD_HEAD_TIMEOUT,
                  "%lld ms, above the idle time-out of %lld ms",
                  (long long)limits->head_timeout_ms,
                  (long long)limits->idle_timeout_ms);
  if (memory > 0 && limits->max_body_bytes > memory)
    findings_add (findings,
                  FINDING_WARNING,
                  "limits",
                  TEXT_NONE,
                  FIELD_MAX_BODY_BYTES,
                  "%llu, above a host's memory of %u MiB",
                  (unsigned long long)limits->max_body_bytes,
                  host->memory_mb);
  if (memory > 0 && limits->max_head_bytes > memory)
    findings_add (findings,
                  FINDING_WARNING,
                  "limits",
                  TEXT_NONE,
                  FIELD_MAX_HEAD_BYTES,
                  "%u, above a host's memory of %u MiB",
                  limits->max_head_bytes,
                  host->memory_mb);
}

void
config_check (const directory_t *directory,
              const check_host_t *host,
              findings_t *findings)
{
  check_routes (directory, host, findings);
  check_services (directory, findings);
  check_limits (&directory->limits, host, findings);
}
