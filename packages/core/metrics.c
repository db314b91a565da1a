#include "metrics.h"

#include <string.h>

void
metrics_init (metrics_t *self)
{
  memset (self, 0, sizeof *self);
}

void
metrics_add (metrics_t *self, counter_t count, uint64_t n)
{
  self->counts[count] += n;
}

void
metrics_record_latency (metrics_t *self, uint32_t service, msec_t spent)
{
  uint32_t bucket = 0;

  while (bucket < METRICS_BUCKETS - 1 && spent > ((msec_t)1 << bucket))
    bucket++;
  self->buckets[service][bucket]++;
  self->sum_ms[service] += (uint64_t)spent;
}

void
metrics_merge (metrics_t *self, const metrics_t *other)
{
  for (uint32_t i = 0; i < COUNT_N; i++)
    self->counts[i] += other->counts[i];
  for (uint32_t s = 0; s < SERVICE_MAX; s++)
    {
      self->sum_ms[s] += other->sum_ms[s];
      for (uint32_t b = 0; b < METRICS_BUCKETS; b++)
        self->buckets[s][b] += other->buckets[s][b];
    }
}

const char *
counter_name (counter_t count)
{
  static const char *const names[COUNT_N] = {
    [COUNT_REQUESTS] = "requests_total",
    [COUNT_ANSWERED] = "requests_answered_total",
    [COUNT_NOT_RUN] = "requests_not_run_total",
    [COUNT_UNKNOWN] = "requests_unknown_total",
    [COUNT_REFUSED] = "requests_refused_total",
    [COUNT_REPLAYED] = "orders_replayed_total",
    [COUNT_CALLERS_GONE] = "callers_gone_total",
    [COUNT_ATTEMPTS] = "attempts_total",
    [COUNT_CLAIMS] = "order_claims_total",
    [COUNT_STREAM_CUT] = "streams_cut_total",
    [COUNT_BAD_REQUEST] = "bad_requests_total",
    [COUNT_PEER_SENT] = "peer_messages_sent_total",
    [COUNT_PEER_RECEIVED] = "peer_messages_received_total",
    [COUNT_PEER_REJECTED] = "peer_messages_rejected_total",
    [COUNT_PEER_DROPPED] = "peer_messages_dropped_total",
    [COUNT_STORE_READS] = "store_reads_total",
    [COUNT_STORE_WRITES] = "store_writes_total",
    [COUNT_STORE_FAILURES] = "store_failures_total",
    [COUNT_STORE_REJECTED] = "store_answers_rejected_total",
    [COUNT_GRANTS] = "grants_total",
    [COUNT_GRANT_FAILURES] = "grant_failures_total",
    [COUNT_SLOT_MOVES] = "slot_moves_total",
    [COUNT_MAILBOX_FULL] = "mailbox_full_total",
  };
  return names[count];
}
