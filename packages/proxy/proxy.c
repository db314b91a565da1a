#include "drain.h"
#include "exchange.h"
#include "target_conn.h"

#include "../core/eventlog.h"
#include "../dispatch/targets.h"

#include <event2/buffer.h>
#include <event2/thread.h>
#include <string.h>

/* What was known when a request was sent while the process drains. */
static void
log_last_send (const exchange_t *self, event_class_t class, dispatch_reason_t reason)
{
  const dispatch_request_t *request = &self->request;
  const dispatch_target_t *target;

  if (request->left_at_send < 0 || request->target < 0)
    return;
  target = dispatch_target (&self->proxy->dispatch, (uint32_t)request->target);
  eventlog_write (class,
                  "dispatch",
                  "sent_while_draining",
                  "request=%.*s status=%u reason=%s target=%.*s left_ms=%lld "
                  "expected_ms=%lld load=%u slots=%u needed_ms=%lld waited_ms=%lld",
                  NAME_ARG (self->id),
                  self->status,
                  dispatch_reason_name (reason),
                  NAME_ARG (target->entry.id),
                  (long long)request->left_at_send,
                  (long long)request->expected_at_send,
                  request->load_at_send,
                  target->entry.slots,
                  (long long)(msclock_now (&self->proxy->clock) - request->sent_at),
                  (long long)(request->sent_at - self->received_at));
}

static void
log_outcome (const exchange_t *self, const dispatch_out_t *out)
{
  const dispatch_request_t *request = &self->request;
  const proxy_t *proxy = self->proxy;
  bool served = out->kind == DISPATCH_DELIVER && self->status < 400;
  name_t none = { 0 };
  const name_t *target
      = request->target >= 0
            ? &dispatch_target (&proxy->dispatch, (uint32_t)request->target)->entry.id
            : &none;
  const name_t *service
      = proxy->dispatch.services->len > request->service
            ? &dispatch_service (&proxy->dispatch, request->service)->name
            : &none;

  event_class_t class = served && request->attempts == 1 ? EVENT_ROUTINE : EVENT_FAILURE;

  eventlog_write (
      class,
      "dispatch",
      served ? "served" : "ended",
      "request=%.*s status=%u reason=%s service=%.*s key=%d target=%.*s sends=%u runs=%u "
      "ms=%lld wait_ms=%lld config=%llx in_force=%llx for_ms=%lld keys=%llu "
      "retry_after_ms=%lld",
      NAME_ARG (self->id),
      self->status,
      dispatch_reason_name (out->reason),
      NAME_ARG (*service),
      request->keyed ? (int)request->key : -1,
      NAME_ARG (*target),
      request->attempts,
      request->executions,
      (long long)(msclock_now (&proxy->clock) - request->arrived),
      (long long)(request->deadline - request->arrived),
      (unsigned long long)request->directory_version,
      (unsigned long long)(proxy->dispatch.directory != NULL
                               ? proxy->dispatch.directory->version
                               : 0),
      (long long)(msclock_now (&proxy->clock) - proxy->directory_at),
      (unsigned long long)request->key_table_version,
      (long long)out->retry_after);
  log_last_send (self, class, out->reason);
}

static void
respond_by_outcome (exchange_t *self, const dispatch_out_t *out)
{
  report_service_counts (self->proxy, &self->request)->outcomes[out->outcome]++;
  if (self->response_streaming)
    {
      /* The response head, already sent, has a status that is no longer correct. */
      if (self->response == NULL)
        self->response = account_buffer_new (&self->holder);
      if (self->caller != NULL)
        caller_abort (self->caller);
      return;
    }
  if (self->request_streaming && !self->request_complete)
    {
      self->close = true;
      if (self->caller != NULL)
        self->caller->no_more_requests = true;
    }
  if (out->reason == REASON_TOO_LARGE)
    {
      exchange_respond (self,
                        413,
                        out->outcome == OUTCOME_NOT_RUN ? EXCHANGE_TOO_LARGE_NOT_RUN
                                                        : TEXT ("The body is too large."),
                        0);
      return;
    }
  switch (out->outcome)
    {
    case OUTCOME_NOT_RUN:
      exchange_respond (self,
                        503,
                        TEXT ("Not run; come back later.\n"),
                        out->retry_after);
      break;
    case OUTCOME_UNKNOWN:
      exchange_respond (self, 502, TEXT ("No whole answer from the service.\n"), 0);
      break;
    case OUTCOME_TIMED_OUT:
      exchange_respond (self, 504, TEXT ("No answer in time.\n"), 0);
      break;
    case OUTCOME_NO_ROUTE:
      exchange_respond (self, 404, TEXT ("No route.\n"), 0);
      break;
    }
}

/* Completes an exchange whose request has ended and whose response is prepared. */
static void
finish_exchange (exchange_t *self, const dispatch_out_t *out)
{
  caller_t *caller = self->caller;

  self->response_ready = true;
  log_outcome (self, out);
  if (caller == NULL)
    {
      exchange_free (self);
      return;
    }
  if (self->proxy->draining && !self->close && !self->response_streaming
      && TAILQ_NEXT (self, link) == NULL)
    {
      /* Adds Connection: close, so that the caller reconnects to another host.  The
       * response was prepared without it. */
      struct evbuffer_ptr at = evbuffer_search (self->response, "\r\n", 2, NULL);
      struct evbuffer *with_close = account_buffer_new (&self->holder);
      evbuffer_remove_buffer (self->response, with_close, (size_t)at.pos + 2);
      evbuffer_add_printf (with_close, "Connection: close\r\n");
      evbuffer_add_buffer (with_close, self->response);
      account_buffer_free (&self->holder, self->response);
      self->response = with_close;
      self->close = true;
      caller->no_more_requests = true;
    }
  caller_advance (caller);
}

static void
log_leaving (const proxy_t *self, const dispatch_out_t *out)
{
  const dispatch_target_t *target = dispatch_target (&self->dispatch, out->target);

  eventlog_write (
      EVENT_STATE,
      "dispatch",
      "target_leaving",
      "target=%.*s service=%.*s born=%llu listed_leaving=%d owner_for_ms=%lld",
      NAME_ARG (target->entry.id),
      NAME_ARG (target->entry.service),
      (unsigned long long)target->entry.started_at,
      target->entry.leaving,
      (long long)out->owner_for);
}

static void
perform (proxy_t *self, const dispatch_out_t *out)
{
  exchange_t *exchange = (exchange_t *)out->request;

  switch (out->kind)
    {
    case DISPATCH_SEND:
      target_conn_send (self, exchange, out->target, out->timeout);
      break;
    case DISPATCH_CANCEL:
      if (exchange->connection != NULL && exchange->connection->target == out->target)
        target_conn_cancel (exchange->connection);
      else if (exchange->beside != NULL)
        target_conn_cancel (exchange->beside);
      break;
    case DISPATCH_DELIVER:
      report_answered (self, &exchange->request);
      finish_exchange (exchange, out);
      break;
    case DISPATCH_END:
      respond_by_outcome (exchange, out);
      finish_exchange (exchange, out);
      break;
    case DISPATCH_BROADCAST_SUSPECT:
      report_suspect (self, &out->suspect);
      break;
    case DISPATCH_CLOSE_IDLE:
      pool_close_target (self, out->target);
      break;
    case DISPATCH_TARGET_LEAVING:
      log_leaving (self, out);
      break;
    case DISPATCH_TARGET_PAUSE:
    case DISPATCH_SERVICE_PAUSE:
      report_pause (self, out);
      break;
    }
}

static void
set_timer (exchange_t *exchange, msec_t now)
{
  msec_t due = exchange->request.timer_at;
  msec_t wait = MAX (due - now, 0);
  const struct timeval after = { wait / 1000, wait % 1000 * 1000 };

  if (due != MSEC_NEVER)
    evtimer_add (exchange->timer, &after);
}

void
proxy_dispatch (proxy_t *self, const dispatch_msg_t *msg)
{
  bool outermost = self->actions->len == 0;
  msec_t now = msclock_now (&self->clock);

  dispatch_handle (&self->dispatch, msg, now, self->actions);
  if (msg->request != NULL)
    set_timer ((exchange_t *)msg->request, now);
  if (!outermost)
    return; /* the outer call performs these actions in order */
  for (guint i = 0; i < self->actions->len; i++)
    {
      dispatch_out_t out = g_array_index (self->actions, dispatch_out_t, i);
      if (out.kind == DISPATCH_SEND)
        set_timer ((exchange_t *)out.request, now);
      perform (self, &out);
    }
  g_array_set_size (self->actions, 0);
}

static void
check_key_tables (proxy_t *self)
{
  self->key_table_missing = false;
  for (guint i = 0; i < self->dispatch.services->len; i++)
    {
      const dispatch_service_t *service = dispatch_service (&self->dispatch, i);
      if (service->keyed && service->keys.ranges->len == 0)
        self->key_table_missing = true;
    }
}

void
proxy_msg_free (void *item)
{
  proxy_msg_t *msg = item;

  if (msg->directory != NULL)
    {
      directory_finish (msg->directory);
      g_free (msg->directory);
    }
  if (msg->targets != NULL)
    g_array_unref (msg->targets);
  if (msg->shares != NULL)
    g_array_unref (msg->shares);
  if (msg->grants != NULL)
    g_array_unref (msg->grants);
  if (msg->paces != NULL)
    g_array_unref (msg->paces);
  if (msg->evacuations != NULL)
    g_array_unref (msg->evacuations);
  if (msg->key_table.ranges != NULL)
    key_table_finish (&msg->key_table);
  g_free (msg);
}

/* Passes the bounds to dispatch.  Limits on the sum over all hosts become this host's
 * share. */
static void
update_bounds (proxy_t *self)
{
  dispatch_msg_t msg = { .kind = DISPATCH_BOUNDS };

  msg.bounds = (dispatch_bounds_t){
    .retry_window = self->bounds.retry_window_s * 1000,
    .retry_percent = budget_percent (self->bounds.retry_ratio, self->host_count),
    .retry_extra = self->bounds.retry_extra / MAX (self->host_count, 1) / 2,
    .drain = self->bounds.drain_ms,
    .evacuation = self->bounds.evacuation_ms,
    .hosts = self->host_count,
    .warmup_overage = self->bounds.warmup_overage,
    .warmup_slack = self->bounds.warmup_slack,
  };
  proxy_dispatch (self, &msg);
}

static void
log_in_force (const proxy_t *self, const proxy_msg_t *msg)
{
  eventlog_write (EVENT_STATE,
                  "proxy",
                  "configuration_in_force",
                  "version=%llx waited_ms=%lld",
                  (unsigned long long)msg->directory->version,
                  (long long)(msclock_now (&self->clock) - msg->posted_at));
}

static void
on_message (void *owner, void *item)
{
  proxy_t *self = owner;
  proxy_msg_t *msg = item;
  dispatch_msg_t dispatch_msg = { 0 };

  switch (msg->kind)
    {
    case PROXY_DIRECTORY:
      log_in_force (self, msg);
      self->directory_at = msclock_now (&self->clock);
      self->limits = msg->directory->limits;
      dispatch_msg.kind = DISPATCH_DIRECTORY;
      dispatch_msg.directory = g_steal_pointer (&msg->directory);
      proxy_dispatch (self, &dispatch_msg);
      break;
    case PROXY_TARGETS:
      self->targets_known = true;
      dispatch_msg.kind = DISPATCH_TARGETS;
      dispatch_msg.targets = msg->targets;
      proxy_dispatch (self, &dispatch_msg);
      break;
    case PROXY_KEY_TABLE:
      dispatch_msg.kind = DISPATCH_KEY_TABLE;
      dispatch_msg.keys = &msg->key_table;
      proxy_dispatch (self, &dispatch_msg);
      break;
    case PROXY_HOST_COUNT:
      self->host_count = msg->host_count;
      update_bounds (self);
      break;
    case PROXY_BOUNDS:
      self->bounds = msg->bounds;
      update_bounds (self);
      break;
    case PROXY_SHARES:
      dispatch_msg.kind = DISPATCH_SHARES;
      dispatch_msg.shares = msg->shares;
      proxy_dispatch (self, &dispatch_msg);
      break;
    case PROXY_PACES:
      dispatch_msg.kind = DISPATCH_PACES;
      dispatch_msg.paces = msg->paces;
      proxy_dispatch (self, &dispatch_msg);
      break;
    case PROXY_GRANTS:
      dispatch_msg.kind = DISPATCH_GRANTS;
      dispatch_msg.grants = msg->grants;
      dispatch_msg.rates_at = msg->rates_at;
      proxy_dispatch (self, &dispatch_msg);
      break;
    case PROXY_EVACUATIONS:
      dispatch_msg.kind = DISPATCH_EVACUATIONS;
      dispatch_msg.evacuations = msg->evacuations;
      proxy_dispatch (self, &dispatch_msg);
      break;
    case PROXY_CURRENCY:
      dispatch_msg.kind = DISPATCH_CURRENCY;
      dispatch_msg.outdated = msg->outdated;
      proxy_dispatch (self, &dispatch_msg);
      break;
    case PROXY_SUSPECT:
      dispatch_msg.kind = DISPATCH_SUSPECT;
      dispatch_msg.suspect = msg->suspect;
      proxy_dispatch (self, &dispatch_msg);
      break;
    case PROXY_LEAVING:
      dispatch_msg.kind = DISPATCH_LEAVING;
      dispatch_msg.leaving = msg->leaving;
      proxy_dispatch (self, &dispatch_msg);
      break;
    case PROXY_DRAIN:
      drain_begin (self, msg->posted_at);
      break;
    }
  check_key_tables (self);
  proxy_msg_free (msg);
}

void
proxy_set_tick_period (proxy_t *self, msec_t period)
{
  const struct timeval interval = { period / 1000, period % 1000 * 1000 };

  if (period == self->tick_period)
    return;
  self->tick_period = period;
  event_add (self->tick, &interval);
}

static void
note_tick (proxy_t *self, msec_t now)
{
  self->counts.late_ms
      = self->last_tick > 0 ? MAX (now - self->last_tick - self->tick_period, 0) : 0;
  self->last_tick = now;
  if (self->counts.late_ms >= TASK_LATE_MS)
    eventlog_write (EVENT_STATE,
                    "proxy",
                    "late",
                    "by_ms=%lld callers=%u",
                    (long long)self->counts.late_ms,
                    self->caller_count);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  proxy_t *self = arg;
  msec_t now = msclock_now (&self->clock);

  (void)fd;
  (void)what;
  note_tick (self, now);
  unanswered_review (self, now);
  pressure_review (self, now);
  report_post_counts (self);
  if (self->draining)
    drain_step (self, now);
  else
    proxy_set_tick_period (self,
                           targets_are_limited (&self->dispatch) ? PROXY_LIMITED_REPORT_MS
                                                                 : PROXY_REPORT_MS);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int len,
           void *arg)
{
  (void)listener;
  (void)address;
  (void)len;
  caller_accept (arg, fd);
}

static void
on_accept_failed (struct evconnlistener *listener, void *arg)
{
  (void)listener;
  pressure_accept_failed (arg);
}

static void
on_ready (struct evhttp_request *request, void *arg)
{
  proxy_t *self = arg;
  text_t path = text_from_c (evhttp_request_get_uri (request));
  bool ready = !self->draining && self->dispatch.directory != NULL && self->targets_known
               && !self->key_table_missing;

  if (!text_equal (path, self->dialect->ready_path))
    evhttp_send_reply (request, 404, "Not Found", NULL);
  else
    evhttp_send_reply (request, ready ? 200 : 503, ready ? "OK" : "Not Ready", NULL);
}

static status_t
open_listeners (proxy_t *self, fault_t *fault)
{
  const router_settings_t *settings = self->settings;
  char *ready_host = text_dup_c ((text_t){
      settings->ready.at,
      (size_t)((const char *)memchr (settings->ready.at, ':', settings->ready.len)
               - settings->ready.at) });

  self->listener
      = evconnlistener_new_bind (self->base,
                                 on_accept,
                                 self,
                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                 PROXY_LISTEN_BACKLOG,
                                 (const struct sockaddr *)&settings->callers_address,
                                 sizeof settings->callers_address);
  if (self->listener != NULL)
    evconnlistener_set_error_cb (self->listener, on_accept_failed);
  self->ready_server = evhttp_new (self->base);
  evhttp_set_max_headers_size (self->ready_server, HEADER_MAX_BYTES);
  evhttp_set_max_body_size (self->ready_server, HEADER_MAX_BYTES);
  evhttp_set_gencb (self->ready_server, on_ready, self);
  int bound = evhttp_bind_socket (self->ready_server,
                                  ready_host,
                                  ntohs (settings->ready_address.sin_port));
  g_free (ready_host);
  if (self->listener == NULL || bound != 0)
    return fault_raise (fault,
                        STATUS_IO,
                        "cannot listen on %.*s or %.*s",
                        NAME_ARG (settings->callers),
                        NAME_ARG (settings->ready));
  return STATUS_OK;
}

status_t
proxy_init (proxy_t *self,
            const router_settings_t *settings,
            const dialect_ops_t *dialect,
            mailbox_t *coordinator,
            fault_t *fault)
{

  *self = (proxy_t){ .settings = settings,
                     .dialect = dialect,
                     .coordinator = coordinator,
                     .host_count = BUDGET_INITIAL_HOSTS,
                     .bounds = settings->bounds,
                     .base = event_base_new (),
                     .actions = g_array_new (FALSE, TRUE, sizeof (dispatch_out_t)),
                     .idle = g_ptr_array_new_with_free_func (g_free) };
  msclock_init_real (&self->clock);
  TAILQ_INIT (&self->callers);
  dispatch_init (&self->dispatch,
                 name_text (&settings->data_centre),
                 text_hash (name_text (&settings->host)));
  pressure_init (self, (uint64_t)settings->memory_mb * 1024 * 1024);
  update_bounds (self);
  if (!mailbox_init (&self->inbox,
                     self->base,
                     PROXY_MAILBOX_MESSAGES,
                     on_message,
                     proxy_msg_free,
                     self))
    return fault_raise (fault,
                        STATUS_IO,
                        "cannot create the eventfd of the proxy's mailbox");
  return open_listeners (self, fault);
}

void *
proxy_run (void *arg)
{
  proxy_t *self = arg;

  self->tick = event_new (self->base, -1, EV_PERSIST, on_tick, self);
  proxy_set_tick_period (self, PROXY_REPORT_MS);
  event_base_dispatch (self->base);
  proxy_report_t *ended = g_new0 (proxy_report_t, 1);
  ended->kind = PROXY_REPORT_DRAINED;
  if (self->coordinator == NULL || !mailbox_post (self->coordinator, ended))
    g_free (ended);
  return NULL;
}

void
proxy_finish (proxy_t *self)
{
  caller_t *caller;

  while ((caller = TAILQ_FIRST (&self->callers)) != NULL)
    caller_free (caller);
  pool_close_all (self);
  if (self->tick != NULL)
    event_free (self->tick);
  if (self->listener != NULL)
    evconnlistener_free (self->listener);
  evhttp_free (self->ready_server);
  mailbox_finish (&self->inbox);
  dispatch_finish (&self->dispatch);
  pressure_finish (self);
  g_array_unref (self->actions);
  g_ptr_array_unref (self->idle);
  event_base_free (self->base);
}
