#include "route_requests.h"

void
requests_link (route_t *self, route_request_t *r)
{
  route_service_t *service = &self->services[r->service];
  int32_t id = (int32_t)requests_id (self, r);

  r->next = NO_REQUEST;
  r->prev = service->last;
  if (service->last == NO_REQUEST)
    service->first = id;
  else
    self->requests[service->last].next = id;
  service->last = id;
  service->n++;
}

static void
unlink_request (route_t *self, route_request_t *r)
{
  route_service_t *service = &self->services[r->service];

  if (r->prev == NO_REQUEST)
    service->first = r->next;
  else
    self->requests[r->prev].next = r->next;
  if (r->next == NO_REQUEST)
    service->last = r->prev;
  else
    self->requests[r->next].prev = r->prev;
  service->n--;
}

void
requests_set_state (route_t *self, route_request_t *r, request_state_t state)
{
  route_service_t *service = &self->services[r->service];

  service->waiting -= r->state == REQUEST_WAITING;
  service->waiting += state == REQUEST_WAITING;
  r->state = state;
}

void
requests_end (route_t *self, route_request_t *r)
{
  requests_set_state (self, r, REQUEST_FREE);
  unlink_request (self, r);
  r->next = self->first_free;
  self->first_free = (int32_t)requests_id (self, r);
  self->n_requests--;
}

void
requests_refuse (route_t *self,
                 route_request_t *r,
                 route_outcome_t outcome,
                 route_reason_t reason,
                 GArray *out)
{
  route_id_t id = requests_id (self, r);

  if (r->claimed
      && (outcome == ROUTE_OUTCOME_NOT_RUN || outcome == ROUTE_OUTCOME_REFUSED))
    requests_emit (out, (route_out_t){ .kind = ROUTE_RELEASE, .id = id });
  requests_emit (out,
                 (route_out_t){ .kind = ROUTE_REFUSE,
                                .id = id,
                                .target = r->target,
                                .slot = r->slot,
                                .attempt = r->attempt,
                                .keyed = r->keyed,
                                .outcome = outcome,
                                .reason = reason });
  requests_end (self, r);
}

void
requests_deliver (route_t *self, route_request_t *r, GArray *out)
{
  requests_emit (out,
                 (route_out_t){ .kind = ROUTE_DELIVER,
                                .id = requests_id (self, r),
                                .target = r->target,
                                .slot = r->slot,
                                .attempt = r->attempt,
                                .keyed = r->keyed });
  requests_end (self, r);
}
