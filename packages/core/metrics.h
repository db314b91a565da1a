#pragma once

#include "limits.h"
#include "msclock.h"

#include <stdint.h>

/*
 * METRICS: counters and latency histograms of one task.
 *
 * Each task has its own struct and sends copies; the receiver adds them up
 * when metrics are requested.
 */

typedef enum
{
  COUNT_REQUESTS,
  COUNT_ANSWERED,
  COUNT_NOT_RUN,
  COUNT_UNKNOWN,
  COUNT_REFUSED,
  COUNT_REPLAYED,
  COUNT_CALLERS_GONE,
  COUNT_ATTEMPTS,
  COUNT_CLAIMS,
  COUNT_STREAM_CUT,
  COUNT_BAD_REQUEST,
  COUNT_PEER_SENT,
  COUNT_PEER_RECEIVED,
  COUNT_PEER_REJECTED,
  COUNT_PEER_DROPPED,
  COUNT_STORE_READS,
  COUNT_STORE_WRITES,
  COUNT_STORE_FAILURES,
  COUNT_STORE_REJECTED, /* malformed responses */
  COUNT_GRANTS,
  COUNT_GRANT_FAILURES,
  COUNT_SLOT_MOVES,
  COUNT_MAILBOX_FULL,
  COUNT_N, /* the number of counters */
} counter_t;

/* Bucket upper bounds are powers of two, from 1 ms; the last bucket is unbounded. */
#define METRICS_BUCKETS 16

typedef struct
{
  uint64_t counts[COUNT_N];
  uint64_t buckets[SERVICE_MAX][METRICS_BUCKETS];
  uint64_t sum_ms[SERVICE_MAX];
} metrics_t;

void metrics_init (metrics_t *self);
void metrics_add (metrics_t *self, counter_t count, uint64_t n);
void metrics_record_latency (metrics_t *self, uint32_t service, msec_t spent);

/* Adds OTHER's counters and histograms to SELF. */
void metrics_merge (metrics_t *self, const metrics_t *other);

/* The name of the metric, without the prefix "chicorywood_". */
const char *counter_name (counter_t count);
