#pragma once

#include "../account/account.h"
#include "../core/mailbox.h"
#include "../core/metrics.h"
#include "../settings/router_settings.h"
#include "dialect.h"
#include "drain_times.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <sys/queue.h>

/*
 * PROXY: the task that serves callers.
 *
 * Owns the connections to callers and targets and the dispatch state, and translates
 * between bytes on these connections and dispatch's messages.  Receives configurations,
 * targets and key owners by messages from the coordinator.
 */

typedef enum
{
  PROXY_DIRECTORY,   /* a new configuration; takes ownership of DIRECTORY */
  PROXY_TARGETS,     /* the current targets; takes ownership of TARGETS */
  PROXY_KEY_TABLE,   /* the key owners of one service; takes ownership of KEY_TABLE */
  PROXY_HOST_COUNT,  /* HOST_COUNT hosts share the retry budget */
  PROXY_BOUNDS,      /* new BOUNDS take effect */
  PROXY_SHARES,      /* targets whose rate is limited; takes ownership of SHARES */
  PROXY_PACES,       /* the granter's list; takes ownership of PACES */
  PROXY_GRANTS,      /* the reply to its rates of RATES_AT; takes ownership of GRANTS */
  PROXY_EVACUATIONS, /* data centres that are emptied; takes ownership of EVACUATIONS */
  PROXY_CURRENCY,    /* OUTDATED: requests are rejected until further notice */
  PROXY_SUSPECT,     /* another host reports or clears a suspect request */
  PROXY_LEAVING,     /* a target stated to this host's coordinator that it leaves */
  PROXY_DRAIN,       /* shut down gracefully, within the grace period */
} proxy_msg_kind_t;

typedef struct
{
  proxy_msg_kind_t kind;
  directory_t *directory;
  GArray *targets; /* target_entry_t */
  key_table_t key_table;
  uint32_t host_count;
  router_bounds_t bounds;
  GArray *shares; /* rate_share_t */
  GArray *grants; /* rate_grant_t */
  GArray *paces;  /* pace_t */
  GArray
      *evacuations; /* evacuation_t; their times are on the clock that POSTED_AT is on */
  msec_t rates_at;
  bool outdated;
  suspect_out_t suspect;
  target_incarnation_t leaving;
  msec_t posted_at; /* PROXY_DIRECTORY, PROXY_DRAIN: on a clock that runs while the
                       process does */
} proxy_msg_t;

/* Outcomes and latencies of one service's requests. */
typedef struct
{
  name_t service; /* empty: requests that matched no service */
  /* By dispatch_outcome_t; the last entry: answered. */
  uint64_t outcomes[OUTCOME_NO_ROUTE + 2];
  /* Answered requests; bounds as in metrics.h. */
  uint64_t latency_buckets[METRICS_BUCKETS];
  uint64_t latency_sum_ms;
} service_counts_t;

/* Counters since the proxy started, and gauges. */
typedef struct
{
  uint64_t requests, callers_left, attempts, retries, target_connections, bad_requests,
      stray_responses, target_pauses, service_pauses, unanswered, unread, odd_speeds;
  uint64_t caller_connections; /* gauge: open connections of callers */
  uint64_t queued;             /* gauge: requests queued at this host */
  uint64_t cold_targets;       /* gauge: those for which the bound on cold ones holds */
  uint64_t cold_sent;          /* requests that were admitted to a cold target */
  uint64_t cold_held;          /* and that were not */
  uint64_t retries_left;       /* gauge: retries left in the budgets of all services */
  uint64_t buffered, buffered_peak; /* gauges: bytes of messages being forwarded */
  uint64_t held[ACCOUNT_KINDS];     /* gauges: bytes by what they are held for */
  uint64_t held_peak, held_max;     /* gauges: of their sum */
  uint64_t refused, closed_for_memory, closed_untaken, accept_pauses;
  msec_t late_ms; /* gauge: how late the proxy's last tick was */
  service_counts_t services[SERVICE_MAX];
} proxy_counts_t;

/* Reports to the coordinator. */
typedef enum
{
  PROXY_REPORT_COUNTS,  /* COUNTS; for a keyed service also KEY_LOADS and SERVICE_TIMES */
  PROXY_REPORT_SUSPECT, /* SUSPECT, to be sent to all hosts */
  PROXY_REPORT_DRAINED, /* the proxy has drained and its loop has ended */
} proxy_report_kind_t;

typedef struct
{
  proxy_report_kind_t kind;
  suspect_out_t suspect;
  proxy_counts_t counts;
  name_t service;
  GArray *key_loads;     /* key_load_t since the last report; owned by the report */
  GArray *service_times; /* target_service_time_t; owned by the report */
  GArray *rates;         /* rate_report_t; owned by the report; NULL: none */
  msec_t rates_at;       /* when RATES was made, on the proxy's clock */
  GArray *samples;       /* pace_sample_t; owned by the report; NULL: none */
  /* target_incarnation_t: targets of keyed services that stated that they leave; owned by
   * the report; NULL: none. */
  GArray *leaving;
} proxy_report_t;

typedef struct caller caller_t;
typedef struct exchange exchange_t;
typedef struct target_conn target_conn_t;

TAILQ_HEAD (caller_list, caller);
TAILQ_HEAD (target_conn_list, target_conn);

typedef struct
{
  const router_settings_t *settings;
  const dialect_ops_t *dialect;
  struct event_base *base;
  struct evconnlistener *listener;
  struct evhttp *ready_server;
  struct event *tick;
  mailbox_t inbox;
  mailbox_t *coordinator; /* receives proxy_report_t */
  msclock_t clock;
  dispatch_t dispatch;
  GArray *actions; /* dispatch_out_t that are still to be performed */
  caller_limits_t limits;
  account_t account;     /* of all that is held for callers and targets */
  struct event *relieve; /* closes connections when too much is held */
  bool accepting;
  struct caller_list callers;
  uint32_t caller_count;
  uint64_t connections_opened; /* to targets */
  GPtrArray *idle;     /* by target: target_conn_list, the most recently used first */
  msec_t directory_at; /* when the present configuration came into force here */
  bool targets_known, draining;
  uint32_t host_count; /* that share the retry budget and the idle connections */
  router_bounds_t bounds;
  msec_t last_tick, tick_period;
  drain_times_t drain;    /* draining */
  bool abandoned;         /* draining: no request is in progress any more */
  msec_t samples_at;      /* when samples of the targets' pace were last reported */
  bool key_table_missing; /* a keyed service has no key table yet */
  proxy_counts_t counts;
} proxy_t;

/* Opens the listeners; STATUS_IO if that fails.  COORDINATOR may be NULL. */
status_t proxy_init (proxy_t *self,
                     const router_settings_t *settings,
                     const dialect_ops_t *dialect,
                     mailbox_t *coordinator,
                     fault_t *fault);

/* Thread function: serves callers until the proxy has drained. */
void *proxy_run (void *self);

void proxy_finish (proxy_t *self);

/* Sets the time between ticks, in ms. */
void proxy_set_tick_period (proxy_t *self, msec_t period);

/* Free a message that was not delivered. */
void proxy_msg_free (void *msg);
void proxy_report_free (void *report);
