#include "worker_parts.h"

#include "../core/log.h"

static void on_target_failed (void *owner, bool sent, httpc_failure_t failure);

static void
fail_attempt (job_t *job, bool sent, route_reason_t reason)
{
  route_msg_t msg
      = { .kind = ROUTE_FAILED, .id = job->request_id, .sent = sent, .reason = reason };

  job->call = NULL;
  worker_feed (job->worker, &msg);
}

/* The table has another target at this index now: calls to the old one fail. */
static void
close_pool (worker_t *self, int target)
{
  for (uint32_t i = 0; i < REQUEST_MAX; i++)
    {
      job_t *job = &self->jobs[i];
      if (!job->open || job->call == NULL || job->target != target)
        continue;
      httpc_cancel (job->call);
      on_target_failed (job, true, HTTPC_TRUNCATED);
    }
  httpc_pool_finish (self->pools[target]);
}

static httpc_pool_t *
get_pool (worker_t *self, const job_t *job, int target)
{
  const target_t *current = &self->route.table.targets[target];
  msec_t timeout = MAX (job->timeout, PROGRESS_MS);

  if (self->pools[target] != NULL
      && target_same_instance (&self->pool_targets[target], current))
    return self->pools[target];
  if (self->pools[target] != NULL)
    close_pool (self, target);
  else
    self->pools[target] = g_new0 (httpc_pool_t, 1);
  httpc_pool_init (self->pools[target],
                   self->base,
                   name_text (&current->address),
                   (uint16_t)current->port,
                   timeout);
  self->pool_targets[target] = *current;
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
calls_handle_suspect (worker_t *self, const suspect_msg_t *msg)
{
  suspect_handle (&self->suspect, msg, worker_now (self), self->suspect_out);
  if (msg->kind == SUSPECT_LOST || msg->kind == SUSPECT_LOSS_REPORTED)
    log_decision ("suspect",
                  "Request with fingerprint %" G_GINT64_MODIFIER
                  "x was in flight when target %" G_GINT64_MODIFIER "x was lost%s.",
                  msg->fingerprint,
                  msg->target,
                  suspect_is_blocked (&self->suspect, msg->fingerprint, worker_now (self))
                      ? "; it is blocked"
                      : "");
  for (guint i = 0; i < self->suspect_out->len; i++)
    {
      worker_out_t *up = g_new0 (worker_out_t, 1);
      up->kind = WORKER_OUT_SUSPECT;
      up->suspect = g_array_index (self->suspect_out, suspect_out_t, i);
      worker_post (self, up);
    }
  g_array_set_size (self->suspect_out, 0);
}

static void
report_suspect (job_t *job, suspect_msg_kind_t kind)
{
  worker_t *self = job->worker;
  const suspect_msg_t msg
      = { kind, job->fingerprint, hash_target (&self->pool_targets[job->target]) };

  calls_handle_suspect (self, &msg);
}

static route_reason_t
reason_of_failure (httpc_failure_t failure)
{
  static const route_reason_t reasons[] = {
    [HTTPC_UNREACHABLE] = ROUTE_REASON_UNREACHABLE,
    [HTTPC_CONNECTION_LOST] = ROUTE_REASON_TARGET_LOST,
    [HTTPC_TRUNCATED] = ROUTE_REASON_ANSWER_CUT,
    [HTTPC_TIMED_OUT] = ROUTE_REASON_DEADLINE,
  };
  return reasons[failure];
}

void
calls_cancel (job_t *job)
{
  if (job->call != NULL)
    httpc_cancel (job->call);
  job->call = NULL;
}

void
calls_abort_stream (job_t *job)
{
  front_request_t *request = job->request;

  metrics_add (&job->worker->metrics, COUNT_STREAM_CUT, 1);
  log_decision ("route",
                "Request %" G_GUINT64_FORMAT
                " aborted: its streamed answer is incomplete.",
                job->serial);
  job->request = NULL;
  front_abort (request);
}

static bool
on_target_head (void *owner, struct evhttp_request *answer)
{
  job_t *job = owner;
  route_msg_t msg = { .kind = ROUTE_STREAMING, .id = job->request_id };

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
on_target_data (void *owner, struct evbuffer *data)
{
  job_t *job = owner;

  if (job->request == NULL)
    {
      evbuffer_drain (data, evbuffer_get_length (data));
      return;
    }
  front_stream_data (job->request, data);
  evbuffer_drain (data, evbuffer_get_length (data));
  if (front_stream_backlog (job->request) < STREAM_HIGH_BYTES)
    return;
  job->reading_paused = true;
  httpc_set_paused (job->call, true);
}

static void
on_target_done (void *owner, struct evhttp_request *answer)
{
  job_t *job = owner;
  worker_t *self = job->worker;
  route_msg_t msg = { .kind = ROUTE_ANSWERED, .id = job->request_id };

  job->call = NULL;
  msg.answer = job_classify_answer (job, answer, &msg.retry_after);
  /* Only an execution clears the suspicion: a target that refused the request hasn't
   * shown that it survives it. */
  if (msg.answer == ANSWER_COMPLETE)
    report_suspect (job, SUSPECT_ANSWERED);
  self->current_answer = answer;
  worker_feed (self, &msg);
  self->current_answer = NULL;
}

static void
on_target_failed (void *owner, bool sent, httpc_failure_t failure)
{
  job_t *job = owner;
  route_msg_t abandoned = { .kind = ROUTE_ABANDONED, .id = job->request_id };

  job->call = NULL;
  if (sent && failure == HTTPC_CONNECTION_LOST)
    report_suspect (job, SUSPECT_LOST);
  if (!job->streaming)
    {
      fail_attempt (job, sent, reason_of_failure (failure));
      return;
    }
  calls_abort_stream (job);
  worker_feed (job->worker, &abandoned);
}

static const httpc_ops_t target_ops = { .head = on_target_head,
                                        .data = on_target_data,
                                        .done = on_target_done,
                                        .failed = on_target_failed };

void
calls_start (job_t *job, const route_out_t *effect)
{
  worker_t *self = job->worker;
  httpc_pool_t *pool = get_pool (self, job, effect->target);
  msec_t now = worker_now (self);
  struct evhttp_request *request = job_make_request (job, effect, now);

  job->target = effect->target;
  job->call
      = httpc_call (pool, request, job_method (job), job->uri, &target_ops, job, now);
  if (job->call == NULL)
    fail_attempt (job, false, ROUTE_REASON_UNREACHABLE);
}
