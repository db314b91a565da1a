#include "exchange.h"

#include "../core/eventlog.h"
#include "../dispatch/targets.h"

#include <string.h>

/* The counters of the request's service.  Entry 0 is for requests without a route, and
 * services beyond the table share its last entry. */
service_counts_t *
report_service_counts (proxy_t *self, const dispatch_request_t *request)
{
  uint32_t i = MIN (request->service + 1, SERVICE_MAX - 1);
  bool routed = request->reason != REASON_NO_ROUTE
                && request->reason != REASON_NO_CONFIGURATION
                && request->reason != REASON_OUTDATED;

  if (!routed)
    return &self->counts.services[0];
  self->counts.services[i].service
      = dispatch_service (&self->dispatch, request->service)->name;
  return &self->counts.services[i];
}

void
report_answered (proxy_t *self, const dispatch_request_t *request)
{
  service_counts_t *counts = report_service_counts (self, request);
  msec_t elapsed = msclock_now (&self->clock) - request->arrived;
  uint32_t bucket = 0;

  while (bucket < METRICS_BUCKETS - 1 && elapsed > (msec_t)1 << bucket)
    bucket++;
  counts->outcomes[OUTCOME_NO_ROUTE + 1]++;
  counts->latency_buckets[bucket]++;
  counts->latency_sum_ms += (uint64_t)elapsed;
}

static GArray *
take_key_loads (const dispatch_service_t *service)
{
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (key_load_t));

  for (uint32_t bucket = 0; bucket < KEY_BUCKETS; bucket++)
    if (service->key_loads[bucket] > 0)
      {
        key_load_t load = { (uint16_t)bucket, service->key_loads[bucket] };
        g_array_append_val (loads, load);
        service->key_loads[bucket] = 0;
      }
  return loads;
}

static GArray *
take_service_times (proxy_t *self, uint32_t service)
{
  GArray *service_times = g_array_new (FALSE, FALSE, sizeof (target_service_time_t));

  targets_report_service_times (&self->dispatch, service, service_times);
  return service_times;
}

/* Of the targets of all services. */
static void
add_rates (proxy_t *self, proxy_report_t *report)
{
  report->rates = g_array_new (FALSE, FALSE, sizeof (rate_report_t));
  report->rates_at = msclock_now (&self->clock);
  targets_report_rates (&self->dispatch, report->rates_at, report->rates);
}

static GArray *
list_leaving (const proxy_t *self)
{
  GArray *leaving = g_array_new (FALSE, FALSE, sizeof (target_incarnation_t));

  targets_report_leaving (&self->dispatch, leaving);
  return leaving;
}

/* Of the targets of all services, each PACE_REPORT_MS. */
static GArray *
take_samples (proxy_t *self)
{
  msec_t now = msclock_now (&self->clock);
  GArray *samples;

  if (now - self->samples_at < PACE_REPORT_MS)
    return NULL;
  self->samples_at = now;
  samples = g_array_new (FALSE, FALSE, sizeof (pace_sample_t));
  targets_report_paces (&self->dispatch, samples);
  return samples;
}

void
proxy_report_free (void *item)
{
  proxy_report_t *report = item;

  if (report->key_loads != NULL)
    g_array_unref (report->key_loads);
  if (report->service_times != NULL)
    g_array_unref (report->service_times);
  if (report->rates != NULL)
    g_array_unref (report->rates);
  if (report->samples != NULL)
    g_array_unref (report->samples);
  if (report->leaving != NULL)
    g_array_unref (report->leaving);
  g_free (report);
}

static void
post_report (proxy_t *self, proxy_report_t *report)
{
  if (self->coordinator != NULL && mailbox_post (self->coordinator, report))
    return;
  eventlog_write (EVENT_FAILURE, "proxy", "mailbox_full", "to=coordinator");
  proxy_report_free (report);
}

static void
update_gauges (proxy_t *self)
{
  msec_t now = msclock_now (&self->clock);

  self->counts.caller_connections = self->caller_count;
  self->counts.buffered = self->account.buffers.held;
  self->counts.buffered_peak = self->account.buffers.peak;
  memcpy (self->counts.held, self->account.by_kind, sizeof self->counts.held);
  self->counts.held_peak = self->account.peak;
  self->counts.held_max = self->account.max;
  self->counts.queued = 0;
  self->counts.retries_left = 0;
  self->counts.cold_targets = targets_count_cold (&self->dispatch, now);
  self->counts.cold_sent = self->dispatch.cold_sent;
  self->counts.cold_held = self->dispatch.cold_held;
  for (guint i = 0; i < self->dispatch.services->len; i++)
    {
      dispatch_service_t *service = g_ptr_array_index (self->dispatch.services, i);
      self->counts.queued += service->queue.length;
      self->counts.retries_left += budget_left (&service->budget, now);
    }
}

/* Posts the counters to the coordinator and resets the loads of keys. */
void
report_post_counts (proxy_t *self)
{
  bool posted = false;

  update_gauges (self);
  for (guint i = 0; i < self->dispatch.services->len; i++)
    {
      const dispatch_service_t *service = dispatch_service (&self->dispatch, i);
      if (!service->keyed)
        continue;
      proxy_report_t *report = g_new0 (proxy_report_t, 1);
      report->counts = self->counts;
      report->service = service->name;
      report->key_loads = take_key_loads (service);
      report->service_times = take_service_times (self, i);
      if (!posted)
        {
          add_rates (self, report);
          report->samples = take_samples (self);
          report->leaving = list_leaving (self);
        }
      post_report (self, report);
      posted = true;
    }
  if (posted)
    return;
  proxy_report_t *report = g_new0 (proxy_report_t, 1);
  report->counts = self->counts;
  report->samples = take_samples (self);
  post_report (self, report);
}

void
report_pause (proxy_t *self, const dispatch_out_t *out)
{
  bool of_service = out->kind == DISPATCH_SERVICE_PAUSE;
  const name_t *name = of_service
                           ? &dispatch_service (&self->dispatch, out->service)->name
                           : &dispatch_target (&self->dispatch, out->target)->entry.id;

  self->counts.service_pauses += of_service && out->paused;
  self->counts.target_pauses += !of_service && out->paused;
  eventlog_write (out->duration < PAUSE_STATE_LINE_MS ? EVENT_FAILURE : EVENT_STATE,
                  "dispatch",
                  out->paused ? "paused" : "resumed",
                  out->paused ? "%s=%.*s for_ms=%lld" : "%s=%.*s after_ms=%lld",
                  of_service ? "service" : "target",
                  NAME_ARG (*name),
                  (long long)out->duration);
}

void
report_suspect (proxy_t *self, const suspect_out_t *suspect)
{
  proxy_report_t *report = g_new0 (proxy_report_t, 1);

  eventlog_write (EVENT_STATE,
                  "dispatch",
                  suspect->cleared ? "request_cleared" : "request_suspected",
                  "fingerprint=%016llx target_incarnation=%016llx",
                  (unsigned long long)suspect->fingerprint,
                  (unsigned long long)suspect->target);
  report->kind = PROXY_REPORT_SUSPECT;
  report->suspect = *suspect;
  post_report (self, report);
}
