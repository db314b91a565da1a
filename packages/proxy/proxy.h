#pragma once

#include "../core/mailbox.h"
#include "../core/metrics.h"
#include "../settings/router_settings.h"
#include "dialect.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <sys/queue.h>

/*
 * PROXY: the task that serves callers.
 *
 * Owns the callers' and the targets' connections and the dispatch state, and
 * turns bytes into dispatch's messages and back.  Learns of configurations,
 * targets and owners by messages from the coordinator.
 */

typedef enum
{
  PROXY_DIRECTORY, /* DIRECTORY passes on */
  PROXY_TARGETS,   /* TARGETS passes on */
  PROXY_KEYS,      /* KEYS passes on */
  PROXY_HOSTS,     /* HOSTS share the budget of repeats */
  PROXY_BOUNDS,    /* BOUNDS changed */
  PROXY_SUSPECT,   /* another host tells of SUSPECT */
  PROXY_DRAIN,     /* take nothing new, end what is there */
} proxy_msg_kind_t;

typedef struct
{
  proxy_msg_kind_t kind;
  directory_t *directory;
  GArray *targets; /* target_entry_t */
  key_table_t keys;
  uint32_t hosts;
  router_bounds_t bounds;
  suspect_out_t suspect;
} proxy_msg_t;

/* How requests of one service ended. */
typedef struct
{
  name_t service;                    /* empty: requests that reached no service */
  uint64_t ends[FATE_NO_ROUTE + 2];  /* by dispatch_fate_t; the last: answered */
  uint64_t latency[METRICS_BUCKETS]; /* of answered ones; bounds as in metrics.h */
  uint64_t latency_sum_ms;
} service_counts_t;

/* Counters of one proxy since its start. */
typedef struct
{
  uint64_t requests, callers_left, sends, repeats, connections, bad_requests, strays;
  uint64_t callers;      /* connections open now */
  uint64_t waiting;      /* requests that wait at the host now */
  uint64_t repeats_left; /* in the budgets now */
  service_counts_t services[SERVICE_MAX];
} proxy_counts_t;

/* To the coordinator. */
typedef enum
{
  PROXY_COUNTED, /* COUNTS; of a keyed service LOADS and SPEEDS as well */
  PROXY_TOLD,    /* SUSPECT is to be told to all hosts */
  PROXY_ENDED,   /* it has drained */
} proxy_report_kind_t;

typedef struct
{
  proxy_report_kind_t kind;
  suspect_out_t suspect;
  proxy_counts_t counts;
  name_t service;
  GArray *loads;  /* key_load_t since the last report; passes on */
  GArray *speeds; /* target_speed_t; passes on */
} proxy_report_t;

typedef struct caller caller_t;
typedef struct exchange exchange_t;
typedef struct call call_t;

TAILQ_HEAD (caller_list, caller);
TAILQ_HEAD (call_list, call);

typedef struct
{
  const router_settings_t *settings;
  const dialect_ops_t *dialect;
  struct event_base *base;
  struct evconnlistener *listener;
  struct evhttp *ready;
  struct event *tick;
  mailbox_t inbox;
  mailbox_t *coordinator; /* takes proxy_report_t */
  msclock_t clock;
  dispatch_t dispatch;
  GArray *out; /* dispatch_out_t */
  caller_limits_t limits;
  struct caller_list callers;
  uint32_t n_callers;
  GPtrArray *idle; /* by target: call_list of idle connections, the latest first */
  bool targets_known, draining;
  uint32_t hosts;
  router_bounds_t bounds;
  msec_t leave_at;    /* draining: idle connections end then */
  msec_t drain_until; /* and all others then */
  bool keys_missing;  /* a keyed service has no table yet */
  proxy_counts_t counts;
} proxy_t;

/* Opens the listeners.  COORDINATOR may be NULL. */
status_t proxy_init (proxy_t *self,
                     const router_settings_t *settings,
                     const dialect_ops_t *dialect,
                     mailbox_t *coordinator,
                     fault_t *fault);

/* Serves until it has drained; a thread's function. */
void *proxy_run (void *self);

void proxy_finish (proxy_t *self);

/* Free a message that wasn't delivered. */
void proxy_msg_free (void *msg);
void proxy_report_free (void *report);
