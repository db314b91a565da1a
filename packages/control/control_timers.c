#include "control_parts.h"

#include "../core/log.h"

#include <string.h>

/* The holder places slots on the listed targets; other hosts only read addresses of hosts
   from the list. */
#define HOLDER_LIST_MS 1000
#define OTHER_LIST_MS 10000
#define REPORT_INTERVAL_MS 1000
#define DRAIN_REPORT_INTERVAL_MS 100
/* Time for the load balancer's health check to notice that this host is leaving, before
   it stops accepting connections. */
#define LEAVE_NOTICE_MS 1500
/* Exponential moving average: the latest interval has weight 1 / SMOOTHING_DIVISOR. */
#define SMOOTHING_DIVISOR 4
/* Smoothed loads are in units of 1/LOAD_SCALE request, to keep rounding errors small. */
#define LOAD_SCALE 16

static void
smooth_loads (control_t *self, uint32_t keyed)
{
  place_msg_t msg = { .kind = PLACE_SLOT_LOADS,
                      .keyed = keyed,
                      .loads = self->smoothed_loads[keyed] };

  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    {
      uint64_t old = (uint64_t)self->smoothed_loads[keyed][s] * (SMOOTHING_DIVISOR - 1);
      uint64_t latest = (uint64_t)self->interval_loads[keyed][s] * LOAD_SCALE;
      self->smoothed_loads[keyed][s]
          = (uint32_t)MIN ((old + latest) / SMOOTHING_DIVISOR, UINT32_MAX);
    }
  control_handle_place (self, &msg);
}

static void
end_load_interval (control_t *self)
{
  control_report_loads (self);
  if (place_is_holder (&self->place))
    for (uint32_t k = 0; k < KEYED_MAX; k++)
      smooth_loads (self, k);
  memset (self->interval_loads, 0, sizeof self->interval_loads);
}

static void
request_reports (control_t *self, msec_t now)
{
  worker_msg_t msg = { .kind = WORKER_REPORT };

  if (now - self->reports_requested_at
      < (self->draining ? DRAIN_REPORT_INTERVAL_MS : REPORT_INTERVAL_MS))
    return;
  self->reports_requested_at = now;
  control_post_workers (self, &msg);
  end_load_interval (self);
  log_flush ();
}

static bool
all_workers_idle (const control_t *self)
{
  for (uint32_t i = 0; i < self->n_workers; i++)
    if (!self->worker_idle[i])
      return false;
  return true;
}

static void
advance_shutdown (control_t *self, msec_t now)
{
  worker_msg_t drain = { .kind = WORKER_DRAIN };
  worker_msg_t stop = { .kind = WORKER_STOP };
  msec_t since = now - self->leaving_since;

  if (!self->leaving)
    return;
  if (!self->draining && since >= LEAVE_NOTICE_MS)
    {
      self->draining = true;
      control_post_workers (self, &drain);
    }
  if (self->draining && (all_workers_idle (self) || since >= DRAIN_MS))
    {
      /* Reported as leaving only now: a host outside the table has no lease to serve its
         last requests with. */
      self->drained = true;
      control_send_hello (self);
      control_post_workers (self, &stop);
      event_base_loopbreak (self->base);
    }
}

static void
refresh_host_list (control_t *self, msec_t now)
{
  bool needs_list = place_is_holder (&self->place) || self->n_known_hosts == 0;

  if (now - self->hosts_listed_at < (needs_list ? HOLDER_LIST_MS : OTHER_LIST_MS))
    return;
  self->hosts_listed_at = now;
  store_list_hosts (self);
}

static bool
has_keyed_service (const config_t *config)
{
  for (uint32_t i = 0; i < config->n_services; i++)
    if (config->services[i].keyed)
      return true;
  return false;
}

/* Readiness is never withdrawn: in an outage of the store the load balancer would else
   take out all hosts at once. */
static void
update_readiness (control_t *self, msec_t now)
{
  bool configured = self->config.version > 0 && self->acked_version > 0;
  bool leased = lease_covers (&self->lease, self->table.version, now);

  if (configured && (leased || !has_keyed_service (&self->config)))
    self->ready = true;
}

void
control_on_tick (evutil_socket_t fd, short what, void *arg)
{
  control_t *self = arg;
  msec_t now = control_now (self);
  const lease_msg_t lease = { .kind = LEASE_TICK };
  const place_msg_t place = { .kind = PLACE_TICK };
  const grant_msg_t grant = { .kind = GRANT_TICK };

  (void)fd;
  (void)what;
  control_handle_lease (self, &lease);
  control_handle_place (self, &place);
  control_handle_grant (self, &grant);
  refresh_host_list (self, now);
  if (now - self->hello_sent_at >= HELLO_INTERVAL_MS)
    {
      self->hello_sent_at = now;
      control_send_hello (self);
    }
  update_readiness (self, now);
  request_reports (self, now);
  advance_shutdown (self, now);
}

void
control_on_signal (evutil_socket_t fd, short what, void *arg)
{
  control_t *self = arg;
  const place_msg_t place_leave = { .kind = PLACE_LEAVE };
  const worker_msg_t worker_leave = { .kind = WORKER_DISABLE_KEEP_ALIVE };

  (void)fd;
  (void)what;
  if (self->leaving)
    return;
  log_note ("control", "Shutting down: waiting for requests in flight to end.");
  self->leaving = true;
  self->leaving_since = control_now (self);
  control_handle_place (self, &place_leave);
  control_post_workers (self, &worker_leave);
}
