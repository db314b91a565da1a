#include "worker_parts.h"

#include "../core/log.h"

static void on_target_failed (void *owner, bool sent, httpc_failure_t failure);

static void
fail_attempt (job_t *job, bool sent, why_t why)
{
  route_msg_t msg = { .kind = ROUTE_FAILED, .id = job->id, .sent = sent, .why = why };

  job->call = NULL;
  worker_feed (job->worker, &msg);
}

/* Another target stands at this index now: what is under way to the old one ends. */
static void
replace_pool (worker_t *self, int target)
{
  for (uint32_t i = 0; i < QUEUE_MAX; i++)
    {
      job_t *job = &self->jobs[i];
      if (!job->open || job->call == NULL || job->target != target)
        continue;
      httpc_cancel (job->call);
      on_target_failed (job, true, HTTPC_CUT);
    }
  httpc_pool_finish (self->pools[target]);
}

static httpc_pool_t *
pool_of (worker_t *self, const job_t *job, int target)
{
  const target_t *at = &self->route.table.targets[target];
  msec_t timeout = MAX (job->timeout, PROGRESS_MS);

  if (self->pools[target] != NULL && target_same (&self->pool_targets[target], at))
    return self->pools[target];
  if (self->pools[target] != NULL)
    replace_pool (self, target);
  else
    self->pools[target] = g_new0 (httpc_pool_t, 1);
  httpc_pool_init (self->pools[target],
                   self->base,
                   name_text (&at->address),
                   (uint16_t)at->port,
                   timeout);
  self->pool_targets[target] = *at;
  return self->pools[target];
}

static uint64_t
hash_target (const target_t *target)
{
  const uint64_t parts[] = { text_hash (name_text (&target->name)),
                             text_hash (name_text (&target->address)),
                             target->port };

  return text_hash ((text_t){ (const char *)parts, sizeof parts });
}

void
calls_suspect (worker_t *self, const suspect_msg_t *msg)
{
  suspect_handle (&self->suspect, msg, worker_now (self), self->suspect_out);
  if (msg->kind == SUSPECT_LOST || msg->kind == SUSPECT_HEARD)
    log_decision (
        "suspect",
        "Request of fingerprint %" G_GINT64_MODIFIER
        "x was in flight at the loss of target %" G_GINT64_MODIFIER "x%s.",
        msg->fingerprint,
        msg->target,
        suspect_is_condemned (&self->suspect, msg->fingerprint, worker_now (self))
            ? ": condemned"
            : "");
  for (guint i = 0; i < self->suspect_out->len; i++)
    {
      upward_msg_t *up = g_new0 (upward_msg_t, 1);
      up->kind = UPWARD_SUSPECT;
      up->suspect = g_array_index (self->suspect_out, suspect_out_t, i);
      worker_post (self, up);
    }
  g_array_set_size (self->suspect_out, 0);
}

static void
tell_suspect (job_t *job, suspect_msg_kind_t kind)
{
  worker_t *self = job->worker;
  const suspect_msg_t msg
      = { kind, job->fingerprint, hash_target (&self->pool_targets[job->target]) };

  calls_suspect (self, &msg);
}

static why_t
why_of (httpc_failure_t failure)
{
  static const why_t whys[] = {
    [HTTPC_UNREACHABLE] = WHY_UNREACHABLE,
    [HTTPC_LOST] = WHY_TARGET_LOST,
    [HTTPC_CUT] = WHY_CUT,
    [HTTPC_SILENT] = WHY_DEADLINE,
  };
  return whys[failure];
}

void
calls_drop (job_t *job)
{
  if (job->call != NULL)
    httpc_cancel (job->call);
  job->call = NULL;
}

/* The caller can't get the whole answer any more. */
void
calls_cut_stream (job_t *job)
{
  front_request_t *request = job->request;

  metrics_add (&job->worker->metrics, COUNT_STREAM_CUT, 1);
  log_decision ("route",
                "Request %" G_GUINT64_FORMAT " cut: its answer broke off.",
                job->serial);
  job->request = NULL;
  front_abort (request);
}

static bool
on_target_head (void *owner, struct evhttp_request *answer)
{
  job_t *job = owner;
  route_msg_t msg = { .kind = ROUTE_STREAMING, .id = job->id };

  if (!job_wants_stream (job, answer))
    return false;
  job->streaming = true;
  job_copy_headers (job, answer);
  bool sized
      = evhttp_find_header (evhttp_request_get_input_headers (answer), "Content-Length")
        != NULL;
  front_stream_start (job->request, evhttp_request_get_response_code (answer), sized);
  worker_feed (job->worker, &msg);
  return true;
}

static void
on_target_data (void *owner, struct evbuffer *part)
{
  job_t *job = owner;

  if (job->request == NULL)
    {
      evbuffer_drain (part, evbuffer_get_length (part));
      return;
    }
  front_stream_data (job->request, part);
  evbuffer_drain (part, evbuffer_get_length (part));
  if (front_stream_backlog (job->request) < STREAM_HIGH_BYTES)
    return;
  job->held = true;
  httpc_hold (job->call, true);
}

static void
on_target_done (void *owner, struct evhttp_request *answer)
{
  job_t *job = owner;
  worker_t *self = job->worker;
  route_msg_t msg = { .kind = ROUTE_ANSWERED, .id = job->id };

  job->call = NULL;
  msg.answer = job_read_answer (job, answer, &msg.retry_after);
  /* A target that refused it hasn't shown that it can run it. */
  if (msg.answer == ANSWER_WHOLE)
    tell_suspect (job, SUSPECT_ANSWERED);
  self->answer = answer;
  worker_feed (self, &msg);
  self->answer = NULL;
}

static void
on_target_failed (void *owner, bool sent, httpc_failure_t failure)
{
  job_t *job = owner;
  route_msg_t gone = { .kind = ROUTE_GONE, .id = job->id };

  job->call = NULL;
  if (sent && failure == HTTPC_LOST)
    tell_suspect (job, SUSPECT_LOST);
  if (!job->streaming)
    {
      fail_attempt (job, sent, why_of (failure));
      return;
    }
  calls_cut_stream (job);
  worker_feed (job->worker, &gone);
}

static const httpc_ops_t target_ops
    = { on_target_head, on_target_data, on_target_done, on_target_failed };

void
calls_start (job_t *job, const route_out_t *effect)
{
  worker_t *self = job->worker;
  httpc_pool_t *pool = pool_of (self, job, effect->target);
  msec_t now = worker_now (self);
  struct evhttp_request *request = job_make_request (job, effect, now);

  job->target = effect->target;
  job->call
      = httpc_call (pool, request, job_method (job), job->uri, &target_ops, job, now);
  if (job->call == NULL)
    fail_attempt (job, false, WHY_UNREACHABLE);
}
