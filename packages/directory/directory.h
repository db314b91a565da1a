#pragma once

#include "../core/msclock.h"
#include "../core/text.h"
#include "key_table.h"

#include <glib.h>

/*
 * DIRECTORY: the deployment as the hosts know it: routes and services (one
 * configuration), and targets.
 *
 * Plain data, built by the decoder and passed to a task as a whole.  No socket, no clock,
 * no encoding.
 */

typedef enum
{
  KIND_IDEMPOTENT, /* may be executed more than once */
  KIND_MUTATING,   /* executed at most once per request id */
  KIND_DOWNLOAD,   /* large response; otherwise as KIND_IDEMPOTENT */
  KIND_UPLOAD,     /* large body; otherwise as KIND_MUTATING */
  /* A kind that this version doesn't know.  What it requires is unknown too, so that its
   * requests are rejected before any of them is sent. */
  KIND_UNSUPPORTED,
} request_kind_t;

/* Whether a request of KIND may be executed more than once. */
bool request_kind_may_repeat (request_kind_t kind);

typedef struct
{
  uint32_t service; /* index in the directory's services */
  uint32_t weight;
} route_share_t;

typedef struct
{
  text_t name;
  text_t host;   /* compared case-insensitively */
  text_t prefix; /* begins and ends with a slash */
  request_kind_t kind;
  msec_t timeout;           /* the longest that a caller waits */
  msec_t latency_objective; /* SLO: a response within it counts in full */
  uint32_t priority;        /* 0 is the highest */
  uint32_t max_executions;  /* the most attempts of a request that may have run */
  uint32_t first_share, n_shares;
} route_entry_t;

typedef struct
{
  text_t name;
  bool keyed;               /* its keys have owners */
  uint32_t max_connections; /* that one target accepts from all hosts together */
  /* Time for which an owner is slow for keys that it got without a handover from their
   * last owner. */
  msec_t warm_up;
  /* Requests per second, of all hosts, that a target bears while it is cold, and how long
   * it is cold after its start.  0: not stated. */
  double cold_rate;
  msec_t cold_time;
} service_entry_t;

typedef struct
{
  uint32_t max_head_bytes;
  uint64_t max_body_bytes;
  msec_t head_timeout_ms; /* for a complete head to arrive */
  msec_t idle_timeout_ms; /* for a connection without a request */
} caller_limits_t;

typedef struct
{
  uint64_t version;
  GArray *routes;   /* route_entry_t, by host, then the longest prefix first */
  GArray *shares;   /* route_share_t */
  GArray *services; /* service_entry_t */
  caller_limits_t limits;
  GStringChunk *texts; /* owns the bytes of all text_t above */
} directory_t;

void directory_init (directory_t *self);
void directory_finish (directory_t *self);

/* Copies TEXT into memory that the directory owns. */
text_t directory_copy_text (directory_t *self, text_t text);

/* The number of routes whose kind isn't supported. */
uint32_t directory_count_unsupported (const directory_t *self);

/* Returns the index of the service NAME, or -1. */
int directory_find_service (const directory_t *self, text_t name);

/* Sorts the routes, as directory_match_route requires. */
void directory_sort_routes (directory_t *self);

/* Returns the index of the route with HOST and the longest prefix of PATH, or -1. */
int directory_match_route (const directory_t *self, text_t host, text_t path);

/* One process of a service. */
typedef struct
{
  name_t id;
  name_t service;
  name_t data_centre;
  name_t address;      /* a.b.c.d:port */
  uint64_t started_at; /* start of the process, ms since the Unix epoch; tells restarts
                          apart */
  uint32_t slots;      /* requests that it executes concurrently */
  bool leaving;
  msec_t leaving_for;  /* the longest that it can have been leaving when it was read */
  msec_t warm_up_left; /* remaining warm-up time, as the target reports it */
  uint64_t version;    /* of the row that states this; a later one has a higher version */
} target_entry_t;

/* One process of a target; a restart under the same id is another one. */
typedef struct
{
  name_t id;
  uint64_t started_at; /* 0: unknown */
} target_incarnation_t;

/* Neighbouring keys that one load counter covers. */
#define KEY_BUCKET_SIZE 1
#define KEY_BUCKETS ((KEY_LAST + 1) / KEY_BUCKET_SIZE)

/* Requests in a period for the KEY_BUCKET_SIZE keys from bucket * KEY_BUCKET_SIZE on. */
typedef struct
{
  uint16_t bucket;
  uint32_t count;
} key_load_t;

/* The mean time that a target took for each of SAMPLES requests of one host. */
typedef struct
{
  name_t target;
  uint32_t service_time_ms;
  uint32_t samples;
} target_service_time_t;
