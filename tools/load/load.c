#include "load.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <math.h>
#include <string.h>

#define TICK_US 1000
#define HOST_DOWN_US (300 * 1000)
#define REPEAT_MS 200
#define PATIENCE_US (20 * G_USEC_PER_SEC)
#define TIMEOUT_MS 10000
#define HEALTH_EVERY_US (200 * 1000)
#define HEALTH_KEPT_US (1000 * 1000)
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
  struct event *again;
  unsigned tries;
  uint64_t seen; /* bytes of the file */
  uint64_t sum;
  int status;
  bool bad_bytes;
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
  gint64 at = (call->started - call->self->began) / 1000 / LOAD_WINDOW_MS;

  return &call->stream->windows[CLAMP (at, 0, LOAD_WINDOWS_MAX - 1)];
}

static void
end_call (call_t *call)
{
  load_t *self = call->self;
  load_stream_t *stream = call->stream;

  stream->open--;
  event_free (call->again);
  g_free (call->uri);
  g_free (call->order);
  g_free (call);
  if (self->closed > 0 && now_us () < self->ends)
    issue (self, stream);
}

static void
note_whole (call_t *call)
{
  gint64 spent = now_us () - call->started;
  uint64_t bucket = MIN ((uint64_t)spent / LOAD_BUCKET_US, LOAD_BUCKETS - 1);

  call->stream->whole++;
  call->stream->buckets[bucket]++;
  call->stream->slowest_us = MAX (call->stream->slowest_us, (uint64_t)spent);
  window_of (call)->whole++;
  if (call->order != NULL && call->self->acked != NULL)
    fprintf (call->self->acked, "%s\n", call->order);
}

static void
repeat_later (call_t *call)
{
  const struct timeval tv = { 0, REPEAT_MS * 1000 };

  call->stream->repeats++;
  evtimer_add (call->again, &tv);
}

/* What isn't whole: an order is sent again, anything else ends here. */
static void
note_other (call_t *call, uint64_t *count)
{
  if (call->order != NULL && now_us () < call->started + PATIENCE_US
      && count != &call->stream->wrong)
    {
      repeat_later (call);
      return;
    }
  (*count)++;
  end_call (call);
}

static bool
on_head (void *owner, struct evhttp_request *answer)
{
  call_t *call = owner;

  call->status = evhttp_request_get_response_code (answer);
  return call->stream->kind == LOAD_FILES;
}

/* The bytes that the stand-in target makes, by their place. */
static void
on_data (void *owner, struct evbuffer *part)
{
  call_t *call = owner;
  size_t len = evbuffer_get_length (part);
  const uint8_t *bytes = evbuffer_pullup (part, -1);

  for (size_t i = 0; i < len && call->status == 200; i++)
    {
      uint64_t at = call->seen + i;
      call->bad_bytes |= bytes[i] != (uint8_t)((at * 31 + (at >> 13) + call->sum) & 0xff);
    }
  call->seen += len;
  evbuffer_drain (part, len);
}

static void
count_target (load_stream_t *stream, const char *target)
{
  gpointer n = g_hash_table_lookup (stream->by_target, target);

  g_hash_table_insert (stream->by_target,
                       g_strdup (target),
                       GUINT_TO_POINTER (GPOINTER_TO_UINT (n) + 1));
}

static bool
body_fits (call_t *call, struct evhttp_request *answer)
{
  if (call->stream->kind == LOAD_FILES)
    return !call->bad_bytes && call->seen == call->stream->keys;
  json_t *body = httpc_json (answer);
  const char *uri = json_string_value (json_object_get (body, "uri"));
  const char *order = json_string_value (json_object_get (body, "order"));
  const char *target = json_string_value (json_object_get (body, "target"));
  bool fits = g_strcmp0 (uri, call->uri) == 0
              && g_strcmp0 (order, call->order != NULL ? call->order : "") == 0;
  if (fits && target != NULL)
    count_target (call->stream, target);
  json_decref (body);
  return fits;
}

static uint64_t *
count_of (call_t *call, struct evhttp_request *answer)
{
  const char *outcome
      = evhttp_find_header (evhttp_request_get_input_headers (answer), "Request-Outcome");

  if (g_strcmp0 (outcome, "not-run") == 0)
    return &call->stream->not_run;
  if (g_strcmp0 (outcome, "unknown") == 0)
    return &call->stream->unknown;
  return &call->stream->refused;
}

static void
on_done (void *owner, struct evhttp_request *answer)
{
  call_t *call = owner;

  if (evhttp_request_get_response_code (answer) != 200)
    {
      note_other (call, count_of (call, answer));
      return;
    }
  if (!body_fits (call, answer))
    {
      note_other (call, &call->stream->wrong);
      return;
    }
  note_whole (call);
  end_call (call);
}

static void
on_failed (void *owner, bool sent, httpc_failure_t failure)
{
  call_t *call = owner;

  call->stream->failures[failure]++;
  call->host->down_until = now_us () + HOST_DOWN_US;
  if (!sent && call->tries < 2 * call->self->n_hosts)
    {
      start_call (call);
      return;
    }
  note_other (call, &call->stream->lost);
}

static const httpc_ops_t call_ops = { on_head, on_data, on_done, on_failed };

/* Health. */

static void
on_health_done (void *owner, struct evhttp_request *answer)
{
  load_host_t *host = owner;

  host->asking = false;
  if (evhttp_request_get_response_code (answer) == 200)
    host->healthy_until = now_us () + HEALTH_KEPT_US;
  else
    host->healthy_until = 0;
}

static void
on_health_failed (void *owner, bool sent, httpc_failure_t failure)
{
  load_host_t *host = owner;

  (void)sent;
  (void)failure;
  host->asking = false;
  host->healthy_until = 0;
}

static const httpc_ops_t health_ops
    = { .done = on_health_done, .failed = on_health_failed };

static void
ask_health (load_host_t *host, gint64 now)
{
  if (host->health == NULL || host->asking || now - host->asked < HEALTH_EVERY_US)
    return;
  host->asked = now;
  host->asking = httpc_call (host->health,
                             httpc_request_new (),
                             EVHTTP_REQ_GET,
                             "/health",
                             &health_ops,
                             host,
                             now / 1000)
                 != NULL;
}

static bool
is_up (const load_host_t *host, gint64 now)
{
  return now >= host->down_until && (host->health == NULL || now < host->healthy_until);
}

static load_host_t *
next_host (load_t *self)
{
  g_assert (self->n_hosts > 0);
  for (unsigned i = 0; i < self->n_hosts; i++)
    {
      load_host_t *host = &self->hosts[self->turn++ % self->n_hosts];
      if (is_up (host, now_us ()))
        return host;
    }
  return &self->hosts[self->turn++ % self->n_hosts];
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
  call->tries++;
  call->seen = 0;
  call->bad_bytes = false;
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
on_again (evutil_socket_t fd, short what, void *arg)
{
  call_t *call = arg;

  (void)fd;
  (void)what;
  call->tries = 0;
  start_call (call);
}

/* Zipf's law with exponent 1, by inversion of its continuous kin. */
static uint64_t
pick_key (load_t *self, uint64_t keys)
{
  double u = (double)(rng_next (&self->rng) >> 11) / (double)(1ull << 53);

  return (uint64_t)exp (u * log ((double)keys + 1)) - 1;
}

static void
name_call (call_t *call)
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
        call->sum = text_hash (text_from_c (path));
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
  call->again = evtimer_new (self->base, on_again, call);
  name_call (call);
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
    ask_health (&self->hosts[i], now);
  if (now >= self->ends)
    {
      if (all_ended (self) || now >= self->gives_up)
        event_base_loopbreak (self->base);
      return;
    }
  for (unsigned i = 0; self->closed == 0 && i < self->n_streams; i++)
    {
      load_stream_t *stream = &self->streams[i];
      double due = (double)(now - self->began) / G_USEC_PER_SEC * stream->rate;
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
      stream->by_target = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      self->n_streams++;
    }
  g_strfreev (parts);
  return known;
}

bool
load_add_host (load_t *self, const char *text)
{
  text_t rest, admin;
  text_t address = text_split (text_from_c (text), ':', &rest);
  text_t callers = text_split (rest, '/', &admin);
  uint64_t port;

  if (self->n_hosts == LOAD_HOSTS_MAX || !text_to_u64 (callers, &port) || port > 65535)
    return false;
  load_host_t *host = &self->hosts[self->n_hosts++];
  httpc_pool_init (&host->pool, self->base, address, (uint16_t)port, TIMEOUT_MS);
  if (!text_to_u64 (admin, &port))
    return admin.len == 0;
  host->health = g_new0 (httpc_pool_t, 1);
  httpc_pool_init (host->health, self->base, address, (uint16_t)port, HEALTH_TIMEOUT_MS);
  host->healthy_until = now_us () + HEALTH_KEPT_US;
  return true;
}

void
load_run (load_t *self, double seconds)
{
  const struct timeval tick = { 0, TICK_US };

  self->began = now_us ();
  self->ends = self->began + (gint64)(seconds * G_USEC_PER_SEC);
  self->gives_up = self->ends + PATIENCE_US + G_USEC_PER_SEC;
  self->tick = event_new (self->base, -1, EV_PERSIST, on_tick, self);
  event_add (self->tick, &tick);
  for (unsigned i = 0; i < self->n_streams; i++)
    for (unsigned c = 0; c < self->closed; c++)
      issue (self, &self->streams[i]);
  event_base_dispatch (self->base);
  event_free (self->tick);
}
