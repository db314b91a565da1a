#pragma once

#include "../../packages/core/rng.h"
#include "../../packages/httpc/httpc.h"

#include <glib.h>
#include <jansson.h>

/*
 * LOAD: load generator that checks every response against its request.
 *
 * Open loop at a rate, or closed loop with a number of callers.  Calls go to the hosts
 * round-robin, as behind a load balancer, and skip a host that recently failed or is
 * unhealthy.  An order is retried with the same id until it is answered, for 20 s at
 * most.
 */

#define LOAD_HOSTS_MAX 32
#define LOAD_STREAMS_MAX 8
/* Width of a latency bucket; the last bucket also counts all higher latencies. */
#define LOAD_BUCKET_US 10
#define LOAD_BUCKETS 100000
/* A service is unserved in a window if requests were started in it and none of them got a
 * complete response. */
#define LOAD_WINDOW_MS 50
#define LOAD_WINDOWS_MAX 20000
/* Refused requests of which the report has a line each. */
#define LOAD_REFUSALS_MAX 8

typedef enum
{
  LOAD_LOOKUPS,
  LOAD_ORDERS,
  LOAD_FILES,
} load_kind_t;

typedef struct
{
  uint32_t started, complete;
} load_window_t;

typedef struct
{
  load_kind_t kind;
  char *prefix;
  double rate;   /* requests per second; 0 in closed loop */
  uint64_t keys; /* look-ups: number of keys; files: size in bytes */
  uint64_t issued;
  uint64_t sent, complete, not_run, unknown, refused, lost, wrong, repeats, open;
  uint64_t failures[HTTPC_TIMED_OUT + 1]; /* by httpc_failure_t */
  char *refusals[LOAD_REFUSALS_MAX]; /* the first ones: when, where, status and reason */
  unsigned n_refusals;
  uint64_t *buckets;
  uint64_t slowest_us;
  load_window_t *windows;
  GHashTable *responses_by_target; /* name to number of responses */
} load_stream_t;

typedef struct
{
  httpc_pool_t pool;
  gint64 down_until;
  httpc_pool_t *health; /* connections to the admin port; NULL: not checked */
  bool health_pending;
  gint64 health_checked_at;
  gint64 healthy_until;
} load_host_t;

typedef struct
{
  struct event_base *base;
  struct event *tick;
  load_host_t hosts[LOAD_HOSTS_MAX];
  unsigned n_hosts, next_host_index;
  load_stream_t streams[LOAD_STREAMS_MAX];
  unsigned n_streams;
  rng_t rng;
  char *tag; /* prefix that makes the order ids of this run unique */
  gint64 started_at, ends_at, aborts_at;
  unsigned closed_loop; /* callers per stream; 0: open loop */
  FILE *acked_file;     /* ids of answered orders, or NULL */
  bool ending;
} load_t;

/* TEXT is "KIND:PREFIX:RATE[:N]".  Returns false if it is malformed. */
bool load_add_stream (load_t *self, const char *text);

/* TEXT is "ADDRESS:PORT", or "ADDRESS:PORT/ADMIN-PORT" to check the host's health there
 * as a load balancer does.  Returns false if it is malformed or there are too many hosts.
 */
bool load_add_host (load_t *self, const char *text);

/* Starts requests for SECONDS, and returns when all have ended, at the latest 21 s later.
 */
void load_run (load_t *self, double seconds);

/* An array with the counters and latencies of each stream; the caller owns it. */
json_t *load_report (const load_t *self);
