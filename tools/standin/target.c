#include "../../packages/core/limits.h"
#include "../../packages/core/text.h"

#include <argtable2.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * TARGET: simulates one instance of a service.
 *
 *   PUT  /_grant  {"version", "until", "life", "slots": [[first, count, epoch]...]}
 *   GET  /_grant  both answer {"clock", "life", "version"}
 *   GET  /_health and /_load
 *   POST /_fault  {"service_ms", "shed", "drain", "cut_after", "silent", "sick"}
 *   Any other path is a service request: it occupies one of --slots for service_ms, is
 *   recorded in the journal as executed, and answered.  A path that contains /file/ is a
 *   file of ?size=N bytes, with an ETag and support for ranges.
 *
 * A fenced target executes a keyed request only if it holds the request's slot with the
 * request's epoch and the grant has not expired by its own clock.  "version" in a
 * response is the last version whose withdrawn slots have no request running.
 */

#define REQUEST_QUEUE_MAX 32
#define FILE_PART_BYTES (64 * 1024)

typedef struct
{
  uint64_t epoch; /* 0: not granted */
  uint32_t running;
} slot_grant_t;

typedef struct
{
  struct event_base *base;
  const char *name;
  const char *service;
  int journal;
  uint64_t incarnation;
  gint64 started_ms;
  bool fenced;
  bool refuses_repeats;
  int slots;
  int running;
  int service_ms;
  int cold_ms;
  int n_to_shed; /* number of next requests to refuse */
  int64_t cut_after;
  bool draining;
  bool mute; /* requests are executed but not answered */
  bool unhealthy;
  uint64_t version, drained_version;
  int64_t granted_until;
  slot_grant_t grants[SLOT_COUNT];
  GQueue queue;
  GHashTable *orders;
  uint64_t n_ran, n_refused;
} target_t;

typedef struct
{
  target_t *self;
  struct evhttp_request *request;
  struct evhttp_connection *evcon;
  int slot; /* -1: no key */
  gint64 deadline;
  struct event *timer;
  char *line; /* for the journal */
  bool running;
} work_t;

typedef struct
{
  target_t *self;
  struct evhttp_request *request;
  uint64_t offset, end, path_hash;
} file_t;

static int64_t
clock_ms (const target_t *self)
{
  (void)self;
  return g_get_monotonic_time () / 1000;
}

static const char *
header_of (struct evhttp_request *request, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (request), name);
}

static uint64_t
number_in_header (struct evhttp_request *request, const char *name)
{
  uint64_t value = 0;

  text_to_u64 (text_from_c (header_of (request, name)), &value);
  return value;
}

static void
add_header (struct evhttp_request *request, const char *name, const char *value)
{
  evhttp_add_header (evhttp_request_get_output_headers (request), name, value);
}

static void
reply_json (struct evhttp_request *request, int status, json_t *body)
{
  struct evbuffer *buffer = evbuffer_new ();
  char *dump = json_dumps (body, JSON_COMPACT | JSON_SORT_KEYS);

  add_header (request, "Content-Type", "application/json");
  evbuffer_add (buffer, dump, strlen (dump));
  evhttp_send_reply (request, status, "Answer", buffer);
  evbuffer_free (buffer);
  free (dump);
  json_decref (body);
}

static void
refuse (target_t *self, struct evhttp_request *request, int status, const char *header)
{
  self->n_refused++;
  add_header (request, header, "1");
  reply_json (request, status, json_pack ("{s:s}", "refused", header));
}

/* Grants. */

static json_t *
read_body (struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t len = evbuffer_get_length (input);
  const char *bytes = len > 0 ? (const char *)evbuffer_pullup (input, -1) : "";
  json_error_t error;

  return json_loadb (bytes, len, 0, &error);
}

static void
apply_slots (target_t *self, const json_t *runs)
{
  uint64_t epochs[SLOT_COUNT] = { 0 };
  json_t *run;
  size_t i;

  json_array_foreach (runs, i, run)
    {
      json_int_t first = json_integer_value (json_array_get (run, 0));
      json_int_t count = json_integer_value (json_array_get (run, 1));
      json_int_t epoch = json_integer_value (json_array_get (run, 2));
      for (json_int_t s = first; s >= 0 && s < first + count && s < SLOT_COUNT; s++)
        epochs[s] = (uint64_t)epoch;
    }
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    self->grants[s].epoch = epochs[s];
}

static void
update_drained_version (target_t *self)
{
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    if (self->grants[s].epoch == 0 && self->grants[s].running > 0)
      return;
  self->drained_version = self->version;
}

static void
on_grant (struct evhttp_request *request, void *arg)
{
  target_t *self = arg;
  json_t *body = NULL;

  if (evhttp_request_get_command (request) == EVHTTP_REQ_PUT)
    body = read_body (request);
  uint64_t version = (uint64_t)json_integer_value (json_object_get (body, "version"));
  uint64_t incarnation = (uint64_t)json_integer_value (json_object_get (body, "life"));
  int64_t granted_until = json_integer_value (json_object_get (body, "until"));

  /* Others were delayed, or are addressed to an earlier incarnation of this instance. */
  if (body != NULL && incarnation == self->incarnation && version >= self->version)
    {
      if (version > self->version)
        apply_slots (self, json_object_get (body, "slots"));
      self->version = version;
      self->granted_until = MAX (self->granted_until, granted_until);
      update_drained_version (self);
    }
  json_decref (body);
  reply_json (request,
              200,
              json_pack ("{s:I,s:I,s:I}",
                         "clock",
                         (json_int_t)clock_ms (self),
                         "life",
                         (json_int_t)self->incarnation,
                         "version",
                         (json_int_t)self->drained_version));
}

static bool
holds_slot (const target_t *self, uint32_t slot, uint64_t epoch)
{
  return slot < SLOT_COUNT && clock_ms (self) < self->granted_until && epoch > 0
         && self->grants[slot].epoch == epoch;
}

/* Requests. */

static char *
journal_line (const target_t *self, struct evhttp_request *request)
{
  const char *order = header_of (request, "X-Order-Id");
  const char *epoch = header_of (request, "Fence-Epoch");

  return g_strdup_printf ("%" G_GINT64_FORMAT " %s %s %s %s\n",
                          clock_ms (self),
                          self->name,
                          order != NULL ? order : "-",
                          evhttp_request_get_uri (request),
                          epoch != NULL ? epoch : "-");
}

static void
journal (target_t *self, const char *line)
{
  self->n_ran++;
  if (self->journal >= 0 && write (self->journal, line, strlen (line)) < 0)
    abort ();
}

static uint64_t
hash_path (const char *path)
{
  return text_hash (text_from_c (path));
}

static uint8_t
file_byte (uint64_t path_hash, uint64_t offset)
{
  return (uint8_t)((offset * 31 + (offset >> 13) + path_hash) & 0xff);
}

static void send_file_part (struct evhttp_connection *evcon, void *arg);

static bool
cut_if_due (file_t *file)
{
  target_t *self = file->self;

  if (self->cut_after <= 0 || file->offset < (uint64_t)self->cut_after)
    return false;
  self->cut_after = 0;
  shutdown (bufferevent_getfd (evhttp_connection_get_bufferevent (
                evhttp_request_get_connection (file->request))),
            SHUT_RDWR);
  g_free (file);
  return true;
}

static void
send_file_part (struct evhttp_connection *evcon, void *arg)
{
  file_t *file = arg;
  size_t len = MIN (FILE_PART_BYTES, file->end - file->offset);
  struct evbuffer *part = evbuffer_new ();
  uint8_t *bytes = g_malloc (len);

  (void)evcon;
  for (size_t i = 0; i < len; i++)
    bytes[i] = file_byte (file->path_hash, file->offset + i);
  evbuffer_add (part, bytes, len);
  g_free (bytes);
  file->offset += len;
  if (len == 0)
    {
      evhttp_send_reply_end (file->request);
      g_free (file);
    }
  else if (!cut_if_due (file))
    evhttp_send_reply_chunk_with_cb (file->request, part, send_file_part, file);
  evbuffer_free (part);
}

static uint64_t
file_size (struct evhttp_request *request)
{
  const char *query = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  uint64_t size = 0;

  if (query != NULL && g_str_has_prefix (query, "size="))
    text_to_u64 (text_from_c (query + 5), &size);
  return size;
}

static void
send_file (target_t *self, struct evhttp_request *request)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  const char *range = header_of (request, "Range");
  file_t *file = g_new0 (file_t, 1);
  char text[96];

  *file = (file_t){ .self = self, .request = request, .end = file_size (request) };
  file->path_hash = hash_path (path);
  if (range != NULL && g_str_has_prefix (range, "bytes="))
    file->offset = MIN (g_ascii_strtoull (range + 6, NULL, 10), file->end);
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, file->end - file->offset);
  add_header (request, "Content-Length", text);
  g_snprintf (text, sizeof text, "\"%" G_GINT64_MODIFIER "x\"", file->path_hash);
  add_header (request, "ETag", text);
  add_header (request, "Accept-Ranges", "bytes");
  evhttp_send_reply_start (request, file->offset > 0 ? 206 : 200, "Answer");
  send_file_part (NULL, file);
}

static void
send_response (target_t *self, struct evhttp_request *request)
{
  const char *uri = evhttp_request_get_uri (request);
  const char *order = header_of (request, "X-Order-Id");

  if (strstr (uri, "/file/") != NULL)
    {
      send_file (self, request);
      return;
    }
  reply_json (request,
              200,
              json_pack ("{s:s,s:s,s:s,s:s}",
                         "service",
                         self->service,
                         "target",
                         self->name,
                         "uri",
                         uri,
                         "order",
                         order != NULL ? order : ""));
}

static bool
is_repeat (target_t *self, struct evhttp_request *request)
{
  const char *order = header_of (request, "X-Order-Id");

  if (!self->refuses_repeats || order == NULL)
    return false;
  return !g_hash_table_add (self->orders, g_strdup (order));
}

static void run_queued (target_t *self);

static void
free_work (work_t *work)
{
  event_free (work->timer);
  g_free (work->line);
  g_free (work);
}

static void
on_caller_closed (struct evhttp_connection *evcon, void *arg)
{
  work_t *work = arg;
  target_t *self = work->self;

  (void)evcon;
  /* A queued request is dropped; a running one is executed to its end. */
  work->request = NULL;
  if (work->running)
    return;
  g_queue_remove (&self->queue, work);
  free_work (work);
}

static void
finish_work (evutil_socket_t fd, short what, void *arg)
{
  work_t *work = arg;
  target_t *self = work->self;

  (void)fd;
  (void)what;
  self->running--;
  if (work->slot >= 0)
    self->grants[work->slot].running--;
  update_drained_version (self);
  journal (self, work->line);
  if (work->request != NULL)
    {
      evhttp_connection_set_closecb (work->evcon, NULL, NULL);
      if (!self->mute)
        send_response (self, work->request);
    }
  free_work (work);
  run_queued (self);
}

static void
run (work_t *work)
{
  target_t *self = work->self;
  bool cold = clock_ms (self) - self->started_ms < self->cold_ms;
  int ms = self->service_ms * (cold ? 4 : 1);
  struct timeval tv = { ms / 1000, ms % 1000 * 1000 };

  if (header_of (work->request, "X-Crash") != NULL)
    _exit (1);
  work->running = true;
  self->running++;
  if (work->slot >= 0)
    self->grants[work->slot].running++;
  if (ms == 0)
    finish_work (-1, 0, work);
  else
    evtimer_add (work->timer, &tv);
}

static void
run_queued (target_t *self)
{
  work_t *work;

  while (self->running < self->slots && (work = g_queue_pop_head (&self->queue)) != NULL)
    {
      bool expired = clock_ms (self) >= work->deadline;
      bool fenced = self->fenced && work->slot >= 0
                    && !holds_slot (self,
                                    (uint32_t)work->slot,
                                    number_in_header (work->request, "Fence-Epoch"));
      if (!expired && !fenced)
        {
          run (work);
          continue;
        }
      evhttp_connection_set_closecb (work->evcon, NULL, NULL);
      refuse (self,
              work->request,
              expired ? 503 : 409,
              expired ? "Not-Run" : "Fence-Refused");
      free_work (work);
    }
}

static bool
refuse_on_arrival (target_t *self, struct evhttp_request *request, int slot)
{
  if (self->fenced && slot >= 0
      && !holds_slot (self, (uint32_t)slot, number_in_header (request, "Fence-Epoch")))
    {
      refuse (self, request, 409, "Fence-Refused");
      return true;
    }
  if (self->draining || self->n_to_shed > 0
      || g_queue_get_length (&self->queue) >= REQUEST_QUEUE_MAX)
    {
      self->n_to_shed = MAX (self->n_to_shed - 1, 0);
      refuse (self, request, 503, "Not-Run");
      return true;
    }
  if (is_repeat (self, request))
    {
      refuse (self, request, 409, "Repeated");
      return true;
    }
  return false;
}

static void
on_request (struct evhttp_request *request, void *arg)
{
  target_t *self = arg;
  bool keyed = header_of (request, "Fence-Slot") != NULL;
  int slot = keyed ? (int)number_in_header (request, "Fence-Slot") : -1;
  uint64_t timeout_ms = number_in_header (request, "Request-Deadline-Ms");

  if (slot >= SLOT_COUNT || refuse_on_arrival (self, request, slot))
    return;
  work_t *work = g_new0 (work_t, 1);
  *work = (work_t){ .self = self,
                    .request = request,
                    .evcon = evhttp_request_get_connection (request),
                    .slot = slot,
                    .deadline
                    = clock_ms (self) + (timeout_ms > 0 ? (gint64)timeout_ms : 60000) };
  work->line = journal_line (self, request);
  work->timer = evtimer_new (self->base, finish_work, work);
  evhttp_connection_set_closecb (work->evcon, on_caller_closed, work);
  g_queue_push_tail (&self->queue, work);
  run_queued (self);
}

static void
on_health (struct evhttp_request *request, void *arg)
{
  target_t *self = arg;
  bool healthy = !self->unhealthy;

  reply_json (request, healthy ? 200 : 503, json_pack ("{s:b}", "well", healthy));
}

static void
on_load (struct evhttp_request *request, void *arg)
{
  target_t *self = arg;

  reply_json (request,
              200,
              json_pack ("{s:i,s:i,s:I,s:I}",
                         "running",
                         self->running,
                         "waiting",
                         (int)g_queue_get_length (&self->queue),
                         "ran",
                         (json_int_t)self->n_ran,
                         "refused",
                         (json_int_t)self->n_refused));
}

static void
set_int (const json_t *body, const char *key, int *value)
{
  const json_t *item = json_object_get (body, key);

  if (json_is_integer (item))
    *value = (int)json_integer_value (item);
}

static void
set_bool (const json_t *body, const char *key, bool *value)
{
  const json_t *item = json_object_get (body, key);

  if (json_is_boolean (item))
    *value = json_is_true (item);
}

static void
on_fault (struct evhttp_request *request, void *arg)
{
  target_t *self = arg;
  json_t *body = read_body (request);
  int cut = (int)self->cut_after;

  set_int (body, "service_ms", &self->service_ms);
  set_int (body, "shed", &self->n_to_shed);
  set_int (body, "cut_after", &cut);
  set_bool (body, "drain", &self->draining);
  set_bool (body, "silent", &self->mute);
  set_bool (body, "sick", &self->unhealthy);
  self->cut_after = cut;
  json_decref (body);
  reply_json (request, 200, json_object ());
}

static bool
serve (target_t *self, int port)
{
  struct evhttp *http = evhttp_new (self->base);

  evhttp_set_allowed_methods (http,
                              EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST
                                  | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
                                  | EVHTTP_REQ_PATCH);
  evhttp_set_cb (http, "/_grant", on_grant, self);
  evhttp_set_cb (http, "/_health", on_health, self);
  evhttp_set_cb (http, "/_load", on_load, self);
  evhttp_set_cb (http, "/_fault", on_fault, self);
  evhttp_set_gencb (http, on_request, self);
  if (evhttp_bind_socket (http, "127.0.0.1", (uint16_t)port) != 0)
    return false;
  event_base_dispatch (self->base);
  return true;
}

int
main (int argc, char **argv)
{
  struct arg_int *port = arg_int1 ("p", "port", "PORT", "port to listen on");
  struct arg_str *name = arg_str1 ("n", "name", "NAME", "name of the instance");
  struct arg_str *service = arg_str1 ("s", "service", "NAME", "name of the service");
  struct arg_file *journal_file
      = arg_file0 ("j",
                   "journal",
                   "FILE",
                   "file to append a line for each executed request to");
  struct arg_lit *fenced = arg_lit0 ("f", "fenced", "check the fences of keyed requests");
  struct arg_lit *repeats = arg_lit0 ("r", "refuse-repeats", "refuse repeated order ids");
  struct arg_int *slots
      = arg_int0 (NULL, "slots", "N", "maximum of requests executed concurrently (3)");
  struct arg_int *ms
      = arg_int0 (NULL, "service-ms", "N", "execution time of a request in ms (0)");
  struct arg_int *cold
      = arg_int0 (NULL,
                  "cold-ms",
                  "N",
                  "time after start in ms in which execution takes 4 times as long (0)");
  struct arg_end *end = arg_end (8);
  void *table[]
      = { port, name, service, journal_file, fenced, repeats, slots, ms, cold, end };
  target_t self = { .journal = -1 };

  slots->ival[0] = 3;
  ms->ival[0] = cold->ival[0] = 0;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "standin-target");
      return 2;
    }
  self.base = event_base_new ();
  self.name = name->sval[0];
  self.service = service->sval[0];
  self.fenced = fenced->count > 0;
  self.refuses_repeats = repeats->count > 0;
  self.slots = slots->ival[0];
  self.service_ms = ms->ival[0];
  self.cold_ms = cold->ival[0];
  self.incarnation = (uint64_t)g_get_real_time ();
  self.started_ms = clock_ms (&self);
  self.orders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&self.queue);
  if (journal_file->count > 0)
    self.journal = open (journal_file->filename[0],
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                         0644);
  if (!serve (&self, port->ival[0]))
    {
      fprintf (stderr, "standin-target: can't listen on port %d\n", port->ival[0]);
      return 4;
    }
  return 0;
}
