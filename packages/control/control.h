#pragma once

#include "../claim/claim.h"
#include "../config/config.h"
#include "../core/mailbox.h"
#include "../grant/grant.h"
#include "../lease/lease.h"
#include "../peer/peer.h"
#include "../place/place.h"
#include "../platform/platform.h"
#include "../settings/settings.h"
#include "../trace/trace.h"
#include "../worker/worker.h"

/*
 * CONTROL: the task that keeps this host's configuration, table and lease up to date.
 *
 * Owns the connection to the platform's store, the peer sockets, the probes of
 * targets, the admin port, and the decision logic of lease, place, grant and
 * claim.  Passes configurations, tables and leases to the workers.
 */

typedef struct
{
  const settings_t *settings;
  host_t host; /* this host */
  msclock_t clock;
  struct event_base *base;
  struct event *tick;
  struct event *claim_timer;
  struct event *on_term;
  struct event *on_int;
  struct evhttp *admin;
  mailbox_t inbox; /* worker_out_t */
  platform_t platform;
  peer_t peer;
  metrics_t metrics;                    /* of this task */
  metrics_t worker_metrics[WORKER_MAX]; /* as last reported */
  uint64_t worker_versions[WORKER_MAX]; /* table versions that the workers acknowledged */
  bool worker_idle[WORKER_MAX];         /* drained */
  worker_t *workers;
  uint32_t n_workers;

  lease_t lease;
  place_t place;
  grant_t grant;
  claim_t claim;
  trace_t lease_trace;
  trace_t place_trace;
  GArray *lease_out; /* lease_out_t */
  GArray *place_out; /* place_out_t */
  GArray *grant_out; /* grant_out_t */
  GArray *claim_out; /* claim_out_t */
  bool claim_acting;

  config_t config;        /* in force */
  table_t table;          /* in force */
  uint64_t acked_version; /* the highest that all workers have in force */
  name_t holder;          /* of the placement role, as last read, with the next two */
  uint64_t holder_incarnation;
  uint64_t holder_epoch; /* 0: the role was never held */
  bool fetching_table;
  bool loading;
  bool fetching_config;
  bool listing_hosts;
  msec_t hosts_listed_at;
  msec_t hello_sent_at;
  msec_t reports_requested_at;
  msec_t windows_at;
  uint32_t n_known_hosts;
  host_t known_hosts[HOST_MAX];                   /* addresses of peers */
  uint32_t own_loads[KEYED_MAX][SLOT_COUNT];      /* requests since the last report */
  uint32_t interval_loads[KEYED_MAX][SLOT_COUNT]; /* of all hosts, while holder */
  uint32_t smoothed_loads[KEYED_MAX][SLOT_COUNT]; /* moving average of interval_loads */
  httpc_pool_t *probe_pools[TARGET_MAX];
  target_t probe_targets[TARGET_MAX]; /* the targets that probe_pools connect to */

  bool leaving; /* SIGTERM or SIGINT was received */
  msec_t leaving_since;
  bool draining;
  bool drained; /* all requests have ended, or DRAIN_MS has passed */
  bool ready;   /* for the load balancer's health check; never withdrawn once set */
} control_t;

/*
 * Opens the platform client, the peer and admin ports and the mailbox.  The workers are
 * passed to control_run.  STATUS_IO if a port can't be bound, a trace file can't be
 * opened or no eventfd is available.
 */
status_t control_init (control_t *self,
                       const settings_t *settings,
                       uint64_t incarnation,
                       fault_t *fault);

/* Runs until SIGTERM or SIGINT, then until requests in flight have ended, for at most
 * DRAIN_MS. */
void control_run (control_t *self, worker_t *workers, uint32_t n_workers);

void control_finish (control_t *self);
