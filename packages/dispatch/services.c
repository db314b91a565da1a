#include "services.h"

#include "dispatch_parts.h"

dispatch_service_t *
services_find_or_add (dispatch_t *self, const service_entry_t *entry, uint32_t *index)
{
  for (guint i = 0; i < self->services->len; i++)
    if (text_equal (name_text (&service_at (self, i)->name), entry->name))
      {
        *index = i;
        return service_at (self, i);
      }
  dispatch_service_t *service = g_new0 (dispatch_service_t, 1);
  name_set (&service->name, entry->name);
  service->service_time_ms = DISPATCH_INITIAL_SERVICE_TIME_MS;
  service->moment_permille = 1000;
  service->paused_since = MSEC_NEVER;
  budget_init (&service->budget,
               self->bounds.retry_window,
               self->bounds.retry_percent,
               self->bounds.retry_extra);
  key_table_init (&service->keys, entry->name);
  service->not_owner_until = g_array_new (FALSE, TRUE, sizeof (msec_t));
  g_queue_init (&service->queue);
  service->key_loads = g_new0 (uint32_t, KEY_BUCKETS);
  g_ptr_array_add (self->services, service);
  *index = self->services->len - 1;
  return service;
}

void
services_set_directory (dispatch_t *self, directory_t *directory)
{
  if (self->directory != NULL)
    {
      directory_finish (self->directory);
      g_free (self->directory);
    }
  self->directory = directory;
  g_array_set_size (self->service_map, directory->services->len);
  g_array_set_size (self->current_weights, 0);
  g_array_set_size (self->current_weights, directory->shares->len);
  for (guint i = 0; i < directory->services->len; i++)
    {
      const service_entry_t *entry
          = &g_array_index (directory->services, service_entry_t, i);
      uint32_t index;
      dispatch_service_t *service = services_find_or_add (self, entry, &index);
      service->keyed = entry->keyed;
      service->max_connections = entry->max_connections;
      service->cold_rate = entry->cold_rate;
      service->cold_time = entry->cold_time;
      g_array_index (self->service_map, uint32_t, i) = index;
    }
}

uint32_t
services_select (dispatch_t *self, const route_entry_t *route)
{
  uint32_t best = route->first_share;
  double total = 0;

  for (uint32_t i = route->first_share; i < route->first_share + route->n_shares; i++)
    {
      double *current = &g_array_index (self->current_weights, double, i);
      double weight = g_array_index (self->directory->shares, route_share_t, i).weight;
      *current += weight;
      total += weight;
      if (*current > g_array_index (self->current_weights, double, best))
        best = i;
    }
  g_array_index (self->current_weights, double, best) -= total;
  uint32_t service = g_array_index (self->directory->shares, route_share_t, best).service;
  return g_array_index (self->service_map, uint32_t, service);
}

void
services_free (void *item)
{
  dispatch_service_t *service = item;

  key_table_finish (&service->keys);
  g_array_unref (service->not_owner_until);
  g_free (service->key_loads);
  g_free (service);
}

const char *
dispatch_reason_name (dispatch_reason_t reason)
{
  static const char *const names[] = {
    [REASON_NONE] = "none",
    [REASON_NO_CONFIGURATION] = "no-configuration",
    [REASON_OUTDATED] = "outdated",
    [REASON_NO_ROUTE] = "no-route",
    [REASON_UNSUPPORTED] = "unsupported-kind",
    [REASON_NO_TARGET] = "no-target",
    [REASON_EVACUATED] = "evacuated",
    [REASON_NO_OWNER] = "no-owner",
    [REASON_OVERLOAD] = "overload",
    [REASON_OWNER_FULL] = "owner-full",
    [REASON_RATE_LIMIT] = "rate-limit",
    [REASON_COLD] = "cold",
    [REASON_PAUSED] = "paused",
    [REASON_STOPPING] = "stopping",
    [REASON_RETRY_BUDGET] = "not-taken",
    [REASON_ANSWER_LOST] = "answer-lost",
    [REASON_DEADLINE] = "time-over",
    [REASON_TOO_LARGE] = "too-large",
    [REASON_CALLER_LEFT] = "caller-left",
    [REASON_CRASHES_TARGETS] = "crashes-targets",
    [REASON_ANSWERED] = "answered",
  };

  return names[reason];
}

static const route_entry_t *
find_route (const dispatch_t *self, text_t host, text_t path)
{
  int i = self->directory == NULL ? -1
                                  : directory_match_route (self->directory, host, path);

  return i < 0 ? NULL : &g_array_index (self->directory->routes, route_entry_t, (guint)i);
}

bool
dispatch_may_pipeline (const dispatch_t *self, text_t host, text_t path)
{
  const route_entry_t *route = find_route (self, host, path);

  return route != NULL && request_kind_may_repeat (route->kind);
}

msec_t
dispatch_time_limit (const dispatch_t *self, text_t host, text_t path)
{
  const route_entry_t *route = find_route (self, host, path);

  return route != NULL ? route->timeout : MSEC_NEVER;
}

const dispatch_target_t *
dispatch_target (const dispatch_t *self, uint32_t target)
{
  return target_at (self, target);
}

const dispatch_service_t *
dispatch_service (const dispatch_t *self, uint32_t service)
{
  return service_at (self, service);
}
