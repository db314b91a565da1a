#pragma once

#include "dispatch.h"

/*
 * SERVICES: what dispatch keeps of each service over all configurations, and
 * which service of a route serves the next request.
 */

/* The service that ENTRY names; *INDEX is its place. */
dispatch_service_t *
services_find_or_add (dispatch_t *self, const service_entry_t *entry, uint32_t *index);

/* Puts DIRECTORY, which passes on, in force. */
void services_take (dispatch_t *self, directory_t *directory);

/*
 * The service for the next request of ROUTE: smooth weighted round robin, so
 * that any run of requests keeps close to the weights.
 */
uint32_t services_choose (dispatch_t *self, const route_entry_t *route);

/* Frees one service; a GDestroyNotify. */
void services_free (void *item);
