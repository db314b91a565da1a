#include "worker_parts.h"

#include <string.h>

static job_t *
find_job (worker_t *self, ticket_t ticket)
{
  job_t *job = &self->jobs[ticket & TICKET_ID_MASK];

  return job->open && job->ticket == ticket ? job : NULL;
}

static route_claim_t
claim_result (claim_outcome_t outcome)
{
  static const route_claim_t results[] = {
    [CLAIM_OUTCOME_GRANTED] = ROUTE_CLAIM_GRANTED,
    [CLAIM_OUTCOME_REPEATED] = ROUTE_CLAIM_REPEATED,
    [CLAIM_OUTCOME_STORED] = ROUTE_CLAIM_STORED,
  };
  return results[outcome];
}

/* A claim that is granted after its request ended is released: it would block repeats of
 * the order. */
static void
release_unused_claim (worker_t *self, const worker_msg_t *msg)
{
  if (msg->outcome != CLAIM_OUTCOME_GRANTED)
    return;
  worker_out_t *up = g_new0 (worker_out_t, 1);
  up->kind = WORKER_OUT_CLAIM;
  up->op = (claim_op_t){ .kind = CLAIM_OP_RELEASE,
                         .ticket = msg->ticket,
                         .service = msg->service,
                         .order_id = msg->order_id };
  worker_post (self, up);
}

static void
handle_claim_result (worker_t *self, worker_msg_t *msg)
{
  job_t *job = find_job (self, msg->ticket);

  if (job == NULL)
    {
      release_unused_claim (self, msg);
      return;
    }
  route_msg_t claimed = { .kind = ROUTE_CLAIMED,
                          .id = job->request_id,
                          .claim = claim_result (msg->outcome) };
  job->stored_answer = msg->stored;
  msg->stored = NULL;
  worker_feed (self, &claimed);
}

static void
send_report (worker_t *self)
{
  worker_out_t *loads = g_new0 (worker_out_t, 1);
  worker_out_t *metrics = g_new0 (worker_out_t, 1);

  loads->kind = WORKER_OUT_LOADS;
  loads->loads = g_malloc (sizeof self->route.loads);
  memcpy (loads->loads, self->route.loads, sizeof self->route.loads);
  memset (self->route.loads, 0, sizeof self->route.loads);
  worker_post (self, loads);
  metrics->kind = WORKER_OUT_METRICS;
  metrics->metrics = g_memdup2 (&self->metrics, sizeof self->metrics);
  worker_post (self, metrics);
}

void
inbox_close_idle (worker_t *self)
{
  for (uint32_t i = 0; i < TARGET_MAX; i++)
    if (self->pools[i] != NULL)
      httpc_pool_close_idle (self->pools[i]);
}

static void
report_if_idle (worker_t *self)
{
  if (!self->draining || self->route.n_requests > 0 || self->front.n_connections > 0)
    return;
  worker_out_t *msg = g_new0 (worker_out_t, 1);
  msg->kind = WORKER_OUT_IDLE;
  worker_post (self, msg);
}

void
inbox_deliver (void *owner, void *message)
{
  worker_t *self = owner;
  worker_msg_t *msg = message;
  route_msg_t table = { .kind = ROUTE_TABLE, .table = msg->table };
  route_msg_t config = { .kind = ROUTE_CONFIG, .config = msg->config };
  route_msg_t lease
      = { .kind = ROUTE_LEASE, .version = msg->version, .until = msg->until };
  route_msg_t revoke = { .kind = ROUTE_REVOKE_LEASE };
  const suspect_msg_t report
      = { msg->suspect.cleared ? SUSPECT_ANSWER_REPORTED : SUSPECT_LOSS_REPORTED,
          msg->suspect.fingerprint,
          msg->suspect.target };

  switch (msg->kind)
    {
    case WORKER_CONFIG:
      worker_feed (self, &config);
      break;
    case WORKER_TABLE:
      worker_feed (self, &table);
      break;
    case WORKER_LEASE:
      worker_feed (self, &lease);
      break;
    case WORKER_REVOKE_LEASE:
      worker_feed (self, &revoke);
      inbox_close_idle (self);
      break;
    case WORKER_CLAIM_RESULT:
      handle_claim_result (self, msg);
      break;
    case WORKER_SUSPECT:
      calls_handle_suspect (self, &report);
      break;
    case WORKER_REPORT:
      send_report (self);
      report_if_idle (self);
      break;
    case WORKER_DISABLE_KEEP_ALIVE:
      front_disable_keep_alive (&self->front);
      break;
    case WORKER_DRAIN:
      self->draining = true;
      front_stop_listening (&self->front);
      report_if_idle (self);
      break;
    case WORKER_STOP:
      event_base_loopbreak (self->base);
      break;
    }
  worker_msg_free (msg);
}
