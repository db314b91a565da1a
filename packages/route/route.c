#include "route.h"

#include "pick.h"
#include "route_requests.h"

#include <string.h>

/* The most waiting requests of a service that are tried at a time. */
#define SCAN_MAX 64
#define TICK_MS 10

static void
send_request (route_t *self, route_request_t *r, int target, msec_t now, GArray *out)
{
  r->target = target;
  r->attempt++;
  r->sent_at = now;
  r->epoch = r->keyed ? self->table.slots[r->keyed_index][r->slot].epoch : 0;
  if (r->keyed)
    self->loads[r->keyed_index][r->slot]++;
  requests_set_state (self, r, REQUEST_SENT);
  limit_begin (&self->targets[target].limit);
  requests_emit (out,
                 (route_out_t){ .kind = ROUTE_SEND,
                                .id = requests_id (self, r),
                                .target = target,
                                .slot = r->slot,
                                .epoch = r->epoch,
                                .version = self->table.version,
                                .attempt = r->attempt,
                                .keyed = r->keyed,
                                .deadline = r->deadline });
}

static void
try_send (route_t *self, route_request_t *r, msec_t now, GArray *out)
{
  route_reason_t reason;

  if (now < r->retry_at)
    return;
  int target = r->keyed ? pick_owner (self, r, now, &reason)
                        : pick_instance (self, r, now, &reason);
  if (target != INDEX_NONE)
    send_request (self, r, target, now, out);
  else if (r->attempt == 0)
    r->reason = reason;
}

static void
try_send_service (route_t *self, uint32_t service, msec_t now, GArray *out)
{
  int32_t id = self->services[service].first;
  uint32_t n_scanned = 0;

  while (id != NO_REQUEST && n_scanned < SCAN_MAX && self->services[service].waiting > 0)
    {
      route_request_t *r = &self->requests[id];
      id = r->next;
      if (r->state != REQUEST_WAITING)
        continue;
      n_scanned++;
      try_send (self, r, now, out);
    }
}

static void
try_send_all (route_t *self, msec_t now, GArray *out)
{
  for (uint32_t i = 0; i < SERVICE_MAX; i++)
    try_send_service (self, i, now, out);
}

/* Whether the request is in flight at a target that lost the slot and has no fencing to
 * detect this. */
static bool
is_at_former_owner (const route_t *self, const route_request_t *r)
{
  const slot_t *slot = &self->table.slots[r->keyed_index][r->slot];

  if (r->state != REQUEST_SENT || !r->keyed || r->fenced)
    return false;
  return slot->next != INDEX_NONE || slot->epoch != r->epoch;
}

static bool
former_owners_idle (const route_t *self)
{
  for (uint32_t i = 0; i < SERVICE_MAX; i++)
    for (int32_t id = self->services[i].first; id != NO_REQUEST;
         id = self->requests[id].next)
      if (is_at_former_owner (self, &self->requests[id]))
        return false;
  return true;
}

/* Acknowledges the table once no request is in flight at a former owner. */
static void
acknowledge (route_t *self, GArray *out)
{
  if (self->unacked_version == 0 || !former_owners_idle (self))
    return;
  requests_emit (out,
                 (route_out_t){ .kind = ROUTE_ACK, .version = self->unacked_version });
  self->unacked_version = 0;
}

static void
end_attempt (route_t *self, route_request_t *r, limit_outcome_t outcome)
{
  limit_end (&self->targets[r->target].limit, outcome);
}

static void
expire (route_t *self, route_request_t *r, GArray *out)
{
  bool was_sent = r->state == REQUEST_SENT;

  if (was_sent)
    {
      end_attempt (self, r, LIMIT_SHED);
      requests_emit (out,
                     (route_out_t){ .kind = ROUTE_CANCEL,
                                    .id = requests_id (self, r),
                                    .target = r->target });
      requests_refuse (self, r, ROUTE_OUTCOME_UNKNOWN, ROUTE_REASON_DEADLINE, out);
      return;
    }
  if (r->state == REQUEST_CLAIMING)
    r->reason = ROUTE_REASON_CLAIM_LATE;
  /* An idempotent request may have run in an earlier attempt. */
  bool may_have_run
      = r->idempotent && r->attempt > 0
        && (r->reason == ROUTE_REASON_TARGET_LOST || r->reason == ROUTE_REASON_ANSWER_CUT
            || r->reason == ROUTE_REASON_DEADLINE);
  requests_refuse (self,
                   r,
                   may_have_run ? ROUTE_OUTCOME_UNKNOWN : ROUTE_OUTCOME_NOT_RUN,
                   r->reason,
                   out);
}

static void
expire_service (route_t *self, uint32_t service, msec_t now, GArray *out)
{
  int32_t id = self->services[service].first;

  while (id != NO_REQUEST)
    {
      route_request_t *r = &self->requests[id];
      id = r->next;
      if (now >= r->deadline)
        expire (self, r, out);
    }
}

static void
handle_tick (route_t *self, msec_t now, GArray *out)
{
  for (uint32_t i = 0; i < SERVICE_MAX; i++)
    expire_service (self, i, now, out);
  try_send_all (self, now, out);
  acknowledge (self, out);
}

static void
handle_table (route_t *self, const route_msg_t *msg, msec_t now, GArray *out)
{
  bool first = self->table.version == 0;

  if (msg->table->version <= self->table.version)
    return;
  self->table = *msg->table;
  self->unacked_version = self->table.version;
  pick_update_targets (self, first);
  acknowledge (self, out);
  try_send_all (self, now, out);
}

/* Requests in flight keep the configuration under which they arrived; see
 * docs/CONFIGURATION.md. */
static void
handle_config (route_t *self, const route_msg_t *msg)
{
  if (msg->config->version <= self->config.version)
    return;
  self->config = *msg->config;
  pick_update_targets (self, true);
}

static void
handle_arrive (route_t *self, const route_msg_t *msg, msec_t now, GArray *out)
{
  int32_t id = self->first_free;

  if (id == NO_REQUEST || self->draining)
    {
      requests_emit (out,
                     (route_out_t){ .kind = ROUTE_REFUSE,
                                    .id = ROUTE_ID_NONE,
                                    .target = INDEX_NONE,
                                    .outcome = ROUTE_OUTCOME_NOT_RUN,
                                    .reason = self->draining ? ROUTE_REASON_SHUTDOWN
                                                             : ROUTE_REASON_FULL });
      return;
    }
  route_request_t *r = &self->requests[id];
  const service_t *service = &self->config.services[msg->service];
  self->first_free = r->next;
  *r = (route_request_t){ .service = msg->service,
                          .service_name = service->name,
                          .keyed_index = service->keyed_index,
                          .fenced = service->checks_fences,
                          .idempotent = msg->idempotent,
                          .keyed = service->keyed,
                          .needs_claim = msg->needs_claim,
                          .slot = msg->slot,
                          .target = INDEX_NONE,
                          .arrived = now,
                          .deadline = msg->deadline };
  self->n_requests++;
  requests_link (self, r);
  requests_emit (out, (route_out_t){ .kind = ROUTE_ACCEPTED, .id = (route_id_t)id });
  if (r->needs_claim)
    {
      requests_set_state (self, r, REQUEST_CLAIMING);
      requests_emit (out, (route_out_t){ .kind = ROUTE_CLAIM, .id = (route_id_t)id });
      return;
    }
  requests_set_state (self, r, REQUEST_WAITING);
  try_send (self, r, now, out);
}

static void
handle_claimed (
    route_t *self, route_request_t *r, const route_msg_t *msg, msec_t now, GArray *out)
{
  if (r->state != REQUEST_CLAIMING)
    return;
  switch (msg->claim)
    {
    case ROUTE_CLAIM_GRANTED:
      r->claimed = true;
      requests_set_state (self, r, REQUEST_WAITING);
      try_send (self, r, now, out);
      break;
    case ROUTE_CLAIM_REPEATED:
      requests_refuse (self, r, ROUTE_OUTCOME_UNKNOWN, ROUTE_REASON_ORDER_REPEATED, out);
      break;
    case ROUTE_CLAIM_STORED:
      requests_emit (out, (route_out_t){ .kind = ROUTE_REPLAY, .id = msg->id });
      requests_end (self, r);
      break;
    case ROUTE_CLAIM_FAILED:
      requests_refuse (self, r, ROUTE_OUTCOME_NOT_RUN, ROUTE_REASON_STORE_DOWN, out);
      break;
    }
}

static void
schedule_retry (route_t *self, route_request_t *r, msec_t retry_at, route_reason_t reason)
{
  r->retry_at = retry_at;
  r->reason = reason;
  requests_set_state (self, r, REQUEST_WAITING);
}

/* PROVEN: it is certain that the last attempt was not run. */
static bool
may_retry (route_t *self, route_request_t *r, bool proven, msec_t retry_at)
{
  if (retry_at >= r->deadline || (!r->idempotent && !proven))
    return false;
  if (proven)
    return true;
  return r->attempt < RETRY_ATTEMPTS_MAX
         && retry_spend (&self->services[r->service].retry);
}

static void
handle_answered (
    route_t *self, route_request_t *r, const route_msg_t *msg, msec_t now, GArray *out)
{
  static const route_reason_t reasons[] = {
    [ANSWER_COMPLETE] = ROUTE_REASON_NONE,
    [ANSWER_NOT_RUN] = ROUTE_REASON_SHED,
    [ANSWER_FENCED] = ROUTE_REASON_FENCED,
    [ANSWER_SHED] = ROUTE_REASON_SHED,
  };
  route_target_t *target = &self->targets[r->target];
  bool shed = msg->answer == ANSWER_SHED || msg->answer == ANSWER_NOT_RUN;

  if (r->state != REQUEST_SENT)
    return;
  end_attempt (self, r, shed ? LIMIT_SHED : LIMIT_ANSWERED);
  pick_record_success (target);
  pick_record_latency (target, now - r->sent_at);
  if (msg->answer == ANSWER_COMPLETE)
    {
      if (r->attempt == 1)
        retry_earn (&self->services[r->service].retry);
      requests_deliver (self, r, out);
      return;
    }
  bool proven = msg->answer != ANSWER_SHED;
  msec_t retry_at = retry_time (r->attempt, msg->retry_after, now, &self->rng);
  if (may_retry (self, r, proven, retry_at))
    schedule_retry (self, r, retry_at, reasons[msg->answer]);
  else if (proven)
    requests_refuse (self, r, ROUTE_OUTCOME_NOT_RUN, reasons[msg->answer], out);
  else
    requests_deliver (self, r, out);
}

static void
handle_failed (
    route_t *self, route_request_t *r, const route_msg_t *msg, msec_t now, GArray *out)
{
  if (r->state != REQUEST_SENT)
    return;
  end_attempt (self, r, LIMIT_SHED);
  pick_record_failure (&self->targets[r->target], now);
  msec_t retry_at = retry_time (r->attempt, 0, now, &self->rng);
  if (may_retry (self, r, !msg->sent, retry_at))
    schedule_retry (self, r, retry_at, msg->reason);
  else
    requests_refuse (self,
                     r,
                     msg->sent ? ROUTE_OUTCOME_UNKNOWN : ROUTE_OUTCOME_NOT_RUN,
                     msg->reason,
                     out);
}

/* A streamed answer is limited by its progress, not by the deadline. */
static void
handle_streaming (route_request_t *r)
{
  if (r->state == REQUEST_SENT)
    r->deadline = MSEC_NEVER;
}

/* Earlier attempts may have been run; the current one wasn't sent. */
static void
handle_blocked (route_t *self, route_request_t *r, GArray *out)
{
  if (r->state != REQUEST_SENT)
    return;
  end_attempt (self, r, LIMIT_NEUTRAL);
  requests_refuse (self,
                   r,
                   r->attempt > 1 ? ROUTE_OUTCOME_UNKNOWN : ROUTE_OUTCOME_REFUSED,
                   ROUTE_REASON_CRASHES_TARGETS,
                   out);
}

static void
handle_abandoned (route_t *self, route_request_t *r, GArray *out)
{
  if (r->state == REQUEST_SENT)
    {
      end_attempt (self, r, LIMIT_NEUTRAL);
      requests_emit (out,
                     (route_out_t){ .kind = ROUTE_CANCEL,
                                    .id = requests_id (self, r),
                                    .target = r->target });
    }
  else if (r->claimed)
    requests_emit (out,
                   (route_out_t){ .kind = ROUTE_RELEASE, .id = requests_id (self, r) });
  requests_end (self, r);
}

static void
handle_request (route_t *self, const route_msg_t *msg, msec_t now, GArray *out)
{
  g_assert (msg->id < REQUEST_MAX);
  route_request_t *r = &self->requests[msg->id];
  uint32_t service = r->service;

  if (r->state == REQUEST_FREE)
    return;
  if (msg->kind == ROUTE_CLAIMED)
    handle_claimed (self, r, msg, now, out);
  else if (msg->kind == ROUTE_ANSWERED)
    handle_answered (self, r, msg, now, out);
  else if (msg->kind == ROUTE_STREAMING)
    handle_streaming (r);
  else if (msg->kind == ROUTE_BLOCKED)
    handle_blocked (self, r, out);
  else if (msg->kind == ROUTE_FAILED)
    handle_failed (self, r, msg, now, out);
  else
    handle_abandoned (self, r, out);
  acknowledge (self, out);
  try_send_service (self, service, now, out);
}

void
route_init (route_t *self, uint32_t n_workers, uint64_t seed)
{
  memset (self, 0, sizeof *self);
  self->n_workers = n_workers;
  rng_init (&self->rng, seed);
  table_init (&self->table);
  self->requests = g_new0 (route_request_t, REQUEST_MAX);
  for (int32_t i = 0; i < REQUEST_MAX; i++)
    self->requests[i].next = i + 1 < REQUEST_MAX ? i + 1 : NO_REQUEST;
  for (uint32_t i = 0; i < SERVICE_MAX; i++)
    {
      self->services[i].first = self->services[i].last = NO_REQUEST;
      retry_init (&self->services[i].retry);
    }
}

void
route_handle (route_t *self, const route_msg_t *msg, msec_t now, GArray *out)
{
  switch (msg->kind)
    {
    case ROUTE_TICK:
      handle_tick (self, now, out);
      break;
    case ROUTE_CONFIG:
      handle_config (self, msg);
      break;
    case ROUTE_TABLE:
      handle_table (self, msg, now, out);
      break;
    case ROUTE_LEASE:
      self->lease_version = msg->version;
      self->lease_until = msg->until;
      try_send_all (self, now, out);
      break;
    case ROUTE_REVOKE_LEASE:
      self->lease_until = 0;
      break;
    case ROUTE_DRAIN:
      self->draining = true;
      break;
    case ROUTE_ARRIVE:
      handle_arrive (self, msg, now, out);
      break;
    case ROUTE_CLAIMED:
    case ROUTE_ANSWERED:
    case ROUTE_STREAMING:
    case ROUTE_BLOCKED:
    case ROUTE_FAILED:
    case ROUTE_ABANDONED:
      handle_request (self, msg, now, out);
      break;
    }
}

void
route_finish (route_t *self)
{
  g_free (self->requests);
}

msec_t
route_next_due (const route_t *self, msec_t now)
{
  return self->n_requests == 0 && self->unacked_version == 0 ? MSEC_NEVER : now + TICK_MS;
}
