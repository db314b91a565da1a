#include "load.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <math.h>
#include <string.h>

#define TICK_US 1000
#define HOST_SKIP_US (300 * 1000)
#define ORDER_RETRY_MS 200
#define ORDER_TIMEOUT_US (20 * G_USEC_PER_SEC)
#define CALL_TIMEOUT_MS 10000
#define HEALTH_INTERVAL_US (200 * 1000)
#define HEALTH_TTL_US (1000 * 1000)
#define HEALTH_TIMEOUT_MS 500
#define ORDER_BODY "{\"globes\":12}"

typedef struct
{
  load_t *self;
  load_stream_t *stream;
  load_host_t *host;
  char *uri;
  char *order;
  gint64 started;
  struct event *retry_event;
  unsigned attempts;
  uint64_t received;  /* bytes of the file */
  uint64_t path_hash; /* seed of the file's contents */
  int status;
  bool mismatch;
} call_t;

static void start_call (call_t *call);
static void issue (load_t *self, load_stream_t *stream);

static gint64
now_us (void)
{
  return g_get_monotonic_time ();
}

static load_window_t *
window_of (const call_t *call)
{
  gint64 at = (call->started - call->self->started_at) / 1000 / LOAD_WINDOW_MS;

  return &call->stream->windows[CLAMP (at, 0, LOAD_WINDOWS_MAX - 1)];
}

static void
end_call (call_t *call)
{
  load_t *self = call->self;
  load_stream_t *stream = call->stream;

  stream->open--;
  event_free (call->retry_event);
  g_free (call->uri);
  g_free (call->order);
  g_free (call);
  if (self->closed_loop > 0 && now_us () < self->ends_at)
    issue (self, stream);
}

static void
record_complete (call_t *call)
{
  gint64 spent = now_us () - call->started;
  uint64_t bucket = MIN ((uint64_t)spent / LOAD_BUCKET_US, LOAD_BUCKETS - 1);

  call->stream->complete++;
  call->stream->buckets[bucket]++;
  call->stream->slowest_us = MAX (call->stream->slowest_us, (uint64_t)spent);
  window_of (call)->complete++;
  if (call->order != NULL && call->self->acked_file != NULL)
    fprintf (call->self->acked_file, "%s\n", call->order);
}

static void
schedule_retry (call_t *call)
{
  const struct timeval tv = { 0, ORDER_RETRY_MS * 1000 };

  call->stream->repeats++;
  evtimer_add (call->retry_event, &tv);
}

/* A call without a complete response: an order is retried until ORDER_TIMEOUT_US after
 * its start, unless its response was wrong; any other call ends and is added to COUNT. */
static void
record_incomplete (call_t *call, uint64_t *count)
{
  if (call->order != NULL && now_us () < call->started + ORDER_TIMEOUT_US
      && count != &call->stream->wrong)
    {
      schedule_retry (call);
      return;
    }
  (*count)++;
  end_call (call);
}

static bool
on_head (void *owner, struct evhttp_request *response)
{
  call_t *call = owner;

  call->status = evhttp_request_get_response_code (response);
  return call->stream->kind == LOAD_FILES;
}

/* Compares the bytes with those that standin-target generates for their offset. */
static void
on_data (void *owner, struct evbuffer *part)
{
  call_t *call = owner;
  size_t len = evbuffer_get_length (part);
  const uint8_t *bytes = evbuffer_pullup (part, -1);

  for (size_t i = 0; i < len && call->status == 200; i++)
    {
      uint64_t at = call->received + i;
      call->mismatch
          |= bytes[i] != (uint8_t)((at * 31 + (at >> 13) + call->path_hash) & 0xff);
    }
  call->received += len;
  evbuffer_drain (part, len);
}

static void
count_target (load_stream_t *stream, const char *target)
{
  gpointer n = g_hash_table_lookup (stream->responses_by_target, target);

  g_hash_table_insert (stream->responses_by_target,
                       g_strdup (target),
                       GUINT_TO_POINTER (GPOINTER_TO_UINT (n) + 1));
}

static bool
body_matches (call_t *call, struct evhttp_request *response)
{
  if (call->stream->kind == LOAD_FILES)
    return !call->mismatch && call->received == call->stream->keys;
  json_t *body = httpc_json (response);
  const char *uri = json_string_value (json_object_get (body, "uri"));
  const char *order = json_string_value (json_object_get (body, "order"));
  const char *target = json_string_value (json_object_get (body, "target"));
  bool matches = g_strcmp0 (uri, call->uri) == 0
                 && g_strcmp0 (order, call->order != NULL ? call->order : "") == 0;
  if (matches && target != NULL)
    count_target (call->stream, target);
  json_decref (body);
  return matches;
}

static uint64_t *
counter_for (call_t *call, struct evhttp_request *response)
{
  const char *outcome = evhttp_find_header (evhttp_request_get_input_headers (response),
                                            "Request-Outcome");

  if (g_strcmp0 (outcome, "not-run") == 0)
    return &call->stream->not_run;
  if (g_strcmp0 (outcome, "unknown") == 0)
    return &call->stream->unknown;
  return &call->stream->refused;
}

static void
note_refusal (call_t *call, struct evhttp_request *response)
{
  load_stream_t *stream = call->stream;
  struct evkeyvalq *headers = evhttp_request_get_input_headers (response);
  const char *outcome = evhttp_find_header (headers, "Request-Outcome");
  const char *reason = evhttp_find_header (headers, "Request-Reason");

  if (stream->n_refusals == LOAD_REFUSALS_MAX)
    return;
  stream->refusals[stream->n_refusals++] = g_strdup_printf (
      "after %" G_GINT64_FORMAT " ms, host %td, %s: status %d, outcome %s, reason %s",
      (now_us () - call->self->started_at) / 1000,
      call->host - call->self->hosts,
      call->uri,
      evhttp_request_get_response_code (response),
      outcome != NULL ? outcome : "none",
      reason != NULL ? reason : "none");
}

static void
on_done (void *owner, struct evhttp_request *response)
{
  call_t *call = owner;

  if (evhttp_request_get_response_code (response) != 200)
    {
      note_refusal (call, response);
      record_incomplete (call, counter_for (call, response));
      return;
    }
  if (!body_matches (call, response))
    {
      record_incomplete (call, &call->stream->wrong);
      return;
    }
  record_complete (call);
  end_call (call);
}

static void
on_failed (void *owner, bool sent, httpc_failure_t failure)
{
  call_t *call = owner;

  call->stream->failures[failure]++;
  call->host->down_until = now_us () + HOST_SKIP_US;
  if (!sent && call->attempts < 2 * call->self->n_hosts)
    {
      start_call (call);
      return;
    }
  record_incomplete (call, &call->stream->lost);
}

static const httpc_ops_t call_ops
    = { .head = on_head, .data = on_data, .done = on_done, .failed = on_failed };

/* Health checks. */

static void
on_health_done (void *owner, struct evhttp_request *response)
{
  load_host_t *host = owner;

  host->health_pending = false;
  if (evhttp_request_get_response_code (response) == 200)
    host->healthy_until = now_us () + HEALTH_TTL_US;
  else
    host->healthy_until = 0;
}

static void
on_health_failed (void *owner, bool sent, httpc_failure_t failure)
{
  load_host_t *host = owner;

  (void)sent;
  (void)failure;
  host->health_pending = false;
  host->healthy_until = 0;
}

static const httpc_ops_t health_ops
    = { .done = on_health_done, .failed = on_health_failed };

static void
poll_health (load_host_t *host, gint64 now)
{
  if (host->health == NULL || host->health_pending
      || now - host->health_checked_at < HEALTH_INTERVAL_US)
    return;
  host->health_checked_at = now;
  host->health_pending = httpc_call (host->health,
                                     httpc_request_new (),
                                     EVHTTP_REQ_GET,
                                     "/health",
                                     &health_ops,
                                     host,
                                     now / 1000)
                         != NULL;
}

static bool
is_available (const load_host_t *host, gint64 now)
{
  return now >= host->down_until && (host->health == NULL || now < host->healthy_until);
}

static load_host_t *
next_host (load_t *self)
{
  g_assert (self->n_hosts > 0);
  for (unsigned i = 0; i < self->n_hosts; i++)
    {
      load_host_t *host = &self->hosts[self->next_host_index++ % self->n_hosts];
      if (is_available (host, now_us ()))
        return host;
    }
  return &self->hosts[self->next_host_index++ % self->n_hosts];
}

static struct evhttp_request *
make_request (call_t *call)
{
  struct evhttp_request *request = httpc_request_new ();
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);

  evhttp_add_header (headers, "Host", "router");
  if (call->order != NULL)
    {
      evhttp_add_header (headers, "X-Order-Id", call->order);
      evhttp_add_header (headers, "Content-Type", "application/json");
      evbuffer_add (evhttp_request_get_output_buffer (request),
                    ORDER_BODY,
                    sizeof ORDER_BODY - 1);
    }
  return request;
}

static void
start_call (call_t *call)
{
  call->host = next_host (call->self);
  call->attempts++;
  call->received = 0;
  call->mismatch = false;
  call->status = 0;
  if (httpc_call (&call->host->pool,
                  make_request (call),
                  call->order != NULL ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                  call->uri,
                  &call_ops,
                  call,
                  now_us () / 1000)
      == NULL)
    on_failed (call, false, HTTPC_UNREACHABLE);
}

static void
on_retry (evutil_socket_t fd, short what, void *arg)
{
  call_t *call = arg;

  (void)fd;
  (void)what;
  call->attempts = 0;
  start_call (call);
}

/* A key by Zipf's law with exponent 1, by inverse transform sampling of the continuous
 * approximation. */
static uint64_t
pick_key (load_t *self, uint64_t keys)
{
  double u = (double)(rng_next (&self->rng) >> 11) / (double)(1ull << 53);

  return (uint64_t)exp (u * log ((double)keys + 1)) - 1;
}

static void
set_uri_and_order (call_t *call)
{
  load_t *self = call->self;
  load_stream_t *stream = call->stream;

  switch (stream->kind)
    {
    case LOAD_LOOKUPS:
      call->uri = g_strdup_printf ("%s%" G_GUINT64_FORMAT,
                                   stream->prefix,
                                   pick_key (self, stream->keys));
      break;
    case LOAD_ORDERS:
      call->uri = g_strdup_printf ("%snew", stream->prefix);
      call->order = g_strdup_printf ("%s-%td-%" G_GUINT64_FORMAT,
                                     self->tag,
                                     stream - self->streams,
                                     stream->issued);
      break;
    case LOAD_FILES:
      {
        char *path = g_strdup_printf ("%sfile/%" G_GUINT64_FORMAT,
                                      stream->prefix,
                                      stream->issued);
        call->path_hash = text_hash (text_from_c (path));
        call->uri = g_strdup_printf ("%s?size=%" G_GUINT64_FORMAT, path, stream->keys);
        g_free (path);
        break;
      }
    }
}

static void
issue (load_t *self, load_stream_t *stream)
{
  call_t *call = g_new0 (call_t, 1);

  stream->issued++;
  stream->sent++;
  stream->open++;
  *call = (call_t){ .self = self, .stream = stream, .started = now_us () };
  call->retry_event = evtimer_new (self->base, on_retry, call);
  set_uri_and_order (call);
  window_of (call)->started++;
  start_call (call);
}

static bool
all_ended (const load_t *self)
{
  for (unsigned i = 0; i < self->n_streams; i++)
    if (self->streams[i].open > 0)
      return false;
  return true;
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  load_t *self = arg;
  gint64 now = now_us ();

  (void)fd;
  (void)what;
  for (unsigned i = 0; i < self->n_hosts; i++)
    poll_health (&self->hosts[i], now);
  if (now >= self->ends_at)
    {
      if (all_ended (self) || now >= self->aborts_at)
        event_base_loopbreak (self->base);
      return;
    }
  for (unsigned i = 0; self->closed_loop == 0 && i < self->n_streams; i++)
    {
      load_stream_t *stream = &self->streams[i];
      double due = (double)(now - self->started_at) / G_USEC_PER_SEC * stream->rate;
      while ((double)stream->issued < due)
        issue (self, stream);
    }
}

bool
load_add_stream (load_t *self, const char *text)
{
  static const char *const kinds[] = { "lookups", "orders", "files" };
  gchar **parts = g_strsplit (text, ":", 4);
  load_stream_t *stream = &self->streams[self->n_streams];
  bool known = false;

  *stream = (load_stream_t){ .keys = 10000 };
  for (unsigned i = 0; g_strv_length (parts) >= 3 && i < G_N_ELEMENTS (kinds); i++)
    if (strcmp (parts[0], kinds[i]) == 0)
      {
        stream->kind = (load_kind_t)i;
        known = true;
      }
  if (known && self->n_streams < LOAD_STREAMS_MAX)
    {
      stream->prefix = g_strdup (parts[1]);
      stream->rate = g_ascii_strtod (parts[2], NULL);
      if (parts[3] != NULL)
        stream->keys = g_ascii_strtoull (parts[3], NULL, 10);
      stream->buckets = g_new0 (uint64_t, LOAD_BUCKETS);
      stream->windows = g_new0 (load_window_t, LOAD_WINDOWS_MAX);
      stream->responses_by_target
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      self->n_streams++;
    }
  g_strfreev (parts);
  return known;
}

bool
load_add_host (load_t *self, const char *text)
{
  text_t rest, admin_port;
  text_t address = text_split (text_from_c (text), ':', &rest);
  text_t caller_port = text_split (rest, '/', &admin_port);
  uint64_t port;

  if (self->n_hosts == LOAD_HOSTS_MAX || !text_to_u64 (caller_port, &port)
      || port > 65535)
    return false;
  load_host_t *host = &self->hosts[self->n_hosts++];
  httpc_pool_init (&host->pool, self->base, address, (uint16_t)port, CALL_TIMEOUT_MS);
  if (!text_to_u64 (admin_port, &port))
    return admin_port.len == 0;
  host->health = g_new0 (httpc_pool_t, 1);
  httpc_pool_init (host->health, self->base, address, (uint16_t)port, HEALTH_TIMEOUT_MS);
  host->healthy_until = now_us () + HEALTH_TTL_US;
  return true;
}

void
load_run (load_t *self, double seconds)
{
  const struct timeval tick = { 0, TICK_US };

  self->started_at = now_us ();
  self->ends_at = self->started_at + (gint64)(seconds * G_USEC_PER_SEC);
  self->aborts_at = self->ends_at + ORDER_TIMEOUT_US + G_USEC_PER_SEC;
  self->tick = event_new (self->base, -1, EV_PERSIST, on_tick, self);
  event_add (self->tick, &tick);
  for (unsigned i = 0; i < self->n_streams; i++)
    for (unsigned c = 0; c < self->closed_loop; c++)
      issue (self, &self->streams[i]);
  event_base_dispatch (self->base);
  event_free (self->tick);
}
