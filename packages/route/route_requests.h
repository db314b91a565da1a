#pragma once

#include "route.h"

/*
 * ROUTE_REQUESTS: states of requests, the lists of open requests per service, and the
 * ends of requests.  Private to route.
 */

#define NO_REQUEST (-1)

static inline void
requests_emit (GArray *out, route_out_t effect)
{
  g_array_append_val (out, effect);
}

static inline route_id_t
requests_id (const route_t *self, const route_request_t *r)
{
  return (route_id_t)(r - self->requests);
}

/* Appends the request to its service's list. */
void requests_link (route_t *self, route_request_t *r);

void requests_set_state (route_t *self, route_request_t *r, request_state_t state);

/* Returns the request to the free list. */
void requests_end (route_t *self, route_request_t *r);

/* Ends the request with an answer of the router's own.  Releases its claim if it was not
 * run. */
void requests_refuse (route_t *self,
                      route_request_t *r,
                      route_outcome_t outcome,
                      route_reason_t reason,
                      GArray *out);

/* Ends the request with the target's answer. */
void requests_deliver (route_t *self, route_request_t *r, GArray *out);
