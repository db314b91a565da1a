#include "coordinator_parts.h"

#include "../core/eventlog.h"
#include "stop_signal.h"

#include <signal.h>

static void
on_report (void *owner, void *item)
{
  coordinator_t *self = owner;
  proxy_report_t *report = item;

  switch (report->kind)
    {
    case PROXY_REPORT_COUNTS:
      self->proxy_counts = report->counts;
      paces_forward_samples (self, report->samples);
      if (report->service.len > 0)
        peers_forward_report (self, report);
      break;
    case PROXY_REPORT_SUSPECT:
      peers_report_suspect (self, &report->suspect);
      break;
    case PROXY_REPORT_DRAINED:
      event_base_loopbreak (self->base);
      break;
    }
  proxy_report_free (report);
}

static void
note_tick (coordinator_t *self, msec_t now)
{
  self->late_ms
      = self->last_tick > 0 ? MAX (now - self->last_tick - COORDINATOR_TICK_MS, 0) : 0;
  self->last_tick = now;
  if (self->late_ms >= TASK_LATE_MS)
    eventlog_write (EVENT_STATE,
                    "coordinator",
                    "late",
                    "by_ms=%lld round_trip_ms=%lld",
                    (long long)self->late_ms,
                    (long long)self->round_trip_ms);
  if (self->late_ms >= CURRENCY_STALL_MS)
    outdated_note_stall (self);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  coordinator_t *self = arg;
  keys_msg_t msg = { .kind = KEYS_TICK };
  msec_t now = msclock_now (&self->clock);

  (void)fd;
  (void)what;
  note_tick (self, now);
  discovery_step (self);
  role_step (self, now);
  reload_step (self, now);
  if (self->role.state != ROLE_HELD)
    return;
  grants_handle (self, &msg);
  rates_step (self, now);
  paces_step (self, now);
  role_step (self, now);
}

static void
on_flush (evutil_socket_t fd, short what, void *arg)
{
  coordinator_t *self = arg;

  (void)fd;
  (void)what;
  link_close_idle (&self->link, g_get_monotonic_time () / 1000);
  eventlog_flush ();
}

static void
on_stop (void *owner, int signal, msec_t signalled_at)
{
  coordinator_t *self = owner;
  proxy_msg_t *msg;
  keys_msg_t resign = { .kind = KEYS_RESIGN };

  if (self->stopping)
    return;
  eventlog_write (EVENT_STATE,
                  "process",
                  "stopping",
                  "signal=%d late_ms=%lld",
                  signal,
                  (long long)(g_get_monotonic_time () / 1000 - signalled_at));
  msg = g_new0 (proxy_msg_t, 1);
  msg->kind = PROXY_DRAIN;
  msg->posted_at = signalled_at;
  discovery_post (self, msg);
  grants_handle (self, &resign); /* a last renewal, for the longest hold */
  self->stopping = true;
  role_resign (self, msclock_now (&self->clock));
}

static void
on_reload (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  reload_settings (arg);
}

static struct event *
add_periodic_timer (coordinator_t *self, msec_t period, event_callback_fn callback)
{
  const struct timeval interval = { period / 1000, period % 1000 * 1000 };
  struct event *event = event_new (self->base, -1, EV_PERSIST, callback, self);

  event_add (event, &interval);
  return event;
}

status_t
coordinator_init (coordinator_t *self,
                  const router_settings_t *settings,
                  const char *settings_file,
                  const deployment_ops_t *deployment,
                  fault_t *fault)
{
  *self
      = (coordinator_t){ .settings = settings,
                         .settings_file = settings_file,
                         .deployment = deployment,
                         .base = event_base_new (),
                         .incarnation = (uint64_t)g_get_real_time (),
                         .key_actions = g_array_new (FALSE, TRUE, sizeof (keys_out_t)) };
  msclock_init_boot (&self->clock);
  rng_init (&self->rng, text_hash (name_text (&settings->host)) ^ self->incarnation);
  keys_init (&self->keys, settings->bounds.hold_max_ms);
  rate_fleet_init (&self->rates);
  pace_fleet_init (&self->paces);
  discovery_init (self);
  reload_init (self);
  role_init (self);
  if (!mailbox_init (&self->inbox,
                     self->base,
                     COORDINATOR_MAILBOX_MESSAGES,
                     on_report,
                     g_free,
                     self))
    return fault_raise (fault,
                        STATUS_IO,
                        "cannot create an eventfd for the coordinator's mailbox");
  if (!stop_signal_init (self->base, on_stop, self))
    return fault_raise (fault, STATUS_IO, "cannot create an eventfd for signals");
  status_t status = peers_init (self, fault);
  return status == STATUS_OK ? metrics_page_init (self, fault) : status;
}

void
coordinator_attach (coordinator_t *self, store_t *store, proxy_t *proxy)
{
  self->store = store;
  self->proxy = proxy;
}

void
coordinator_run (coordinator_t *self)
{
  self->tick = add_periodic_timer (self, COORDINATOR_TICK_MS, on_tick);
  self->flush = add_periodic_timer (self, EVENTLOG_FLUSH_MS, on_flush);
  self->on_hup = evsignal_new (self->base, SIGHUP, on_reload, self);
  event_add (self->on_hup, NULL);
  discovery_start (self);
  event_base_dispatch (self->base);
}

void
coordinator_finish (coordinator_t *self)
{
  metrics_page_finish (self);
  grants_finish (self);
  peers_finish (self);
  owners_finish (self);
  self->store->ops->close (self->store);
  discovery_finish (self);
  event_free (self->tick);
  event_free (self->flush);
  stop_signal_finish ();
  event_free (self->on_hup);
  mailbox_finish (&self->inbox);
  keys_finish (&self->keys);
  rate_fleet_finish (&self->rates);
  pace_fleet_finish (&self->paces);
  g_array_unref (self->key_actions);
  event_base_free (self->base);
}
