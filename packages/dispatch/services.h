#pragma once

#include "dispatch.h"

/*
 * SERVICES: per-service state that persists across configurations, and the choice of
 * a route's service for the next request.
 */

/* The service named by ENTRY, created if needed.  *INDEX is its index in the services. */
dispatch_service_t *
services_find_or_add (dispatch_t *self, const service_entry_t *entry, uint32_t *index);

/* Makes DIRECTORY the current configuration and takes ownership of it. */
void services_set_directory (dispatch_t *self, directory_t *directory);

/*
 * Selects the service for the next request of ROUTE by smooth weighted round robin, so
 * that any sequence of requests stays close to the weights.
 */
uint32_t services_select (dispatch_t *self, const route_entry_t *route);

/* Frees one service; a GDestroyNotify. */
void services_free (void *item);
