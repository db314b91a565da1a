#pragma once

#include "../core/msclock.h"
#include "../core/text.h"
#include "key_table.h"

#include <glib.h>

/*
 * DIRECTORY: what the hosts are told about the deployment: routes and services
 * (one configuration), and targets.
 *
 * Plain data, made by whoever decodes it and handed to a task whole.  No
 * socket, no clock, no encoding.
 */

typedef enum
{
  KIND_IDEMPOTENT, /* may run more than once */
  KIND_MUTATING,   /* runs at most once for each request id */
  KIND_DOWNLOAD,   /* large answer; otherwise like idempotent */
} request_kind_t;

typedef struct
{
  uint32_t service; /* index in the directory's services */
  uint32_t weight;
} route_share_t;

typedef struct
{
  text_t name;
  text_t host;   /* compared without case */
  text_t prefix; /* begins and ends with a slash */
  request_kind_t kind;
  msec_t timeout;   /* the longest time that a caller is kept waiting */
  msec_t objective; /* an answer within this earns full credit */
  uint32_t rank;    /* 0 is the most urgent */
  uint32_t targets; /* at most so many may be sent one request */
  uint32_t first_share, n_shares;
} route_entry_t;

typedef struct
{
  text_t name;
  bool keyed;           /* its keys have owners */
  uint32_t connections; /* that one target accepts from all hosts together */
  msec_t warm_up; /* keys that arrive without their last owner's hand-over are slow */
} service_entry_t;

typedef struct
{
  uint32_t head_bytes;
  uint64_t body_bytes;
  msec_t head_ms; /* for a whole head to arrive */
  msec_t idle_ms; /* for a connection without a request */
} caller_limits_t;

typedef struct
{
  uint64_t version;
  GArray *routes;   /* route_entry_t, by host, then the longest prefix first */
  GArray *shares;   /* route_share_t */
  GArray *services; /* service_entry_t */
  caller_limits_t limits;
  GStringChunk *texts; /* owns all texts above */
} directory_t;

void directory_init (directory_t *self);
void directory_finish (directory_t *self);

/* Copies TEXT into the directory's own memory. */
text_t directory_keep (directory_t *self, text_t text);

/* The index of the service NAME, or -1. */
int directory_find_service (const directory_t *self, text_t name);

/* Puts the routes in the order that directory_match needs. */
void directory_sort (directory_t *self);

/* The index of the route with HOST and the longest prefix of PATH, or -1. */
int directory_match (const directory_t *self, text_t host, text_t path);

/* One process of a service. */
typedef struct
{
  name_t id;
  name_t service;
  name_t data_centre;
  name_t address; /* a.b.c.d:port */
  uint64_t born;  /* start of the process, ms of the Unix epoch; tells its lives apart */
  uint32_t slots; /* requests that it runs at a time */
  bool leaving;
  msec_t warm_up_left;
} target_entry_t;

/* Loads are counted for this many neighbouring keys at a time. */
#define KEY_STEP 1
#define KEY_STEPS ((KEY_LAST + 1) / KEY_STEP)

/* Requests for the KEY_STEP keys from STEP * KEY_STEP on, in a span of time. */
typedef struct
{
  uint16_t step;
  uint32_t count;
} key_load_t;

/* What a target was seen to take for one request. */
typedef struct
{
  name_t target;
  uint32_t work_ms;
} target_speed_t;
