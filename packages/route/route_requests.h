#pragma once

#include "route.h"

/*
 * ROUTE_REQUESTS: a request's states, its place in its service's list, and its end.
 * Private to route's files.
 */

#define NO_REQUEST (-1)

static inline void
requests_put (GArray *out, route_out_t effect)
{
  g_array_append_val (out, effect);
}

static inline route_id_t
requests_id (const route_t *self, const route_request_t *r)
{
  return (route_id_t)(r - self->requests);
}

/* Puts it at the end of its service's list. */
void requests_link (route_t *self, route_request_t *r);

void requests_set_state (route_t *self, route_request_t *r, request_state_t state);

/* Its place is free for another. */
void requests_end (route_t *self, route_request_t *r);

/* Ends it with an answer of the router's own; gives its claim back if it has one. */
void
requests_refuse (route_t *self, route_request_t *r, fate_t fate, why_t why, GArray *out);

/* Ends it with the target's answer. */
void requests_deliver (route_t *self, route_request_t *r, GArray *out);
