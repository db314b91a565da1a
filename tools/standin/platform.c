#include <argtable2.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * PLATFORM: simulates the platform's table service and host list.
 *
 * Implements the server side of the protocol in packages/platform/platform.h, with all
 * state in memory.  Listens on several ports, so that faults can be injected for the
 * clients of one port alone.
 *
 *   POST /fault {"port": P, "down": bool, "slow_ms": N, "lose_answers": N,
 *                "writes_per_s": N, "lag_ms": N}
 *                port 0 or none: all ports; the last two always apply to all ports
 *   POST /hosts {"hosts": [...]}    takes effect after lag_ms
 *   GET  /stats
 */

#define LISTENERS_MAX 32

typedef struct platform platform_t;

typedef struct
{
  platform_t *platform;
  uint16_t port;
  bool down;
  int delay_ms;
  int responses_to_lose; /* number of next applied transactions to leave unanswered */
} listener_t;

struct platform
{
  struct event_base *base;
  json_t *rows;
  json_t *hosts;
  listener_t listeners[LISTENERS_MAX];
  unsigned n_listeners;
  unsigned writes_per_s; /* 0: no limit */
  double write_tokens;
  gint64 tokens_updated_at;
  int hosts_delay_ms;
  uint64_t reads, writes, conflicts, refused, bytes_out;
};

typedef struct
{
  platform_t *platform;
  struct evhttp_request *request;
  int status;
  json_t *body;
  struct event *timer;
} delayed_response_t;

typedef struct
{
  platform_t *platform;
  json_t *hosts;
  struct event *timer;
} hosts_update_t;

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
send_json (platform_t *self, struct evhttp_request *request, int status, json_t *body)
{
  struct evbuffer *buffer = evbuffer_new ();
  char *dump = json_dumps (body, JSON_COMPACT);

  evbuffer_add (buffer, dump, strlen (dump));
  self->bytes_out += strlen (dump);
  evhttp_send_reply (request, status, "OK", buffer);
  evbuffer_free (buffer);
  free (dump);
  json_decref (body);
}

static void
on_response_timer (evutil_socket_t fd, short what, void *arg)
{
  delayed_response_t *delayed = arg;

  (void)fd;
  (void)what;
  send_json (delayed->platform, delayed->request, delayed->status, delayed->body);
  event_free (delayed->timer);
  g_free (delayed);
}

static void
respond (listener_t *listener, struct evhttp_request *request, int status, json_t *body)
{
  platform_t *self = listener->platform;
  struct timeval tv = { listener->delay_ms / 1000, listener->delay_ms % 1000 * 1000 };

  if (listener->delay_ms == 0)
    {
      send_json (self, request, status, body);
      return;
    }
  delayed_response_t *delayed = g_new0 (delayed_response_t, 1);
  *delayed = (delayed_response_t){ .platform = self,
                                   .request = request,
                                   .status = status,
                                   .body = body };
  delayed->timer = evtimer_new (self->base, on_response_timer, delayed);
  evtimer_add (delayed->timer, &tv);
}

static bool
reject_if_down (listener_t *listener, struct evhttp_request *request)
{
  if (!listener->down)
    return false;
  listener->platform->refused++;
  respond (listener, request, 503, json_object ());
  return true;
}

static void
on_read (struct evhttp_request *request, void *arg)
{
  listener_t *listener = arg;
  platform_t *self = listener->platform;

  if (reject_if_down (listener, request))
    return;
  json_t *body = read_body (request);
  const char *prefix = json_string_value (json_object_get (body, "prefix"));
  json_t *found = json_object ();
  const char *row;
  json_t *value;
  size_t i;

  self->reads++;
  json_array_foreach (json_object_get (body, "rows"), i, value)
    {
      json_t *current = json_object_get (self->rows, json_string_value (value));
      if (current != NULL)
        json_object_set (found, json_string_value (value), current);
    }
  if (prefix != NULL)
    json_object_foreach (self->rows, row, value)
      if (g_str_has_prefix (row, prefix))
        json_object_set (found, row, value);
  json_decref (body);
  respond (listener, request, 200, json_pack ("{s:o}", "rows", found));
}

static json_t *
failed_conditions (platform_t *self, const json_t *conditions)
{
  json_t *failed = json_object ();
  json_t *condition;
  size_t i;

  json_array_foreach (conditions, i, condition)
    {
      const char *row = json_string_value (json_object_get (condition, "row"));
      json_t *expected = json_object_get (condition, "is");
      json_t *current = json_object_get (self->rows, row);
      bool holds = json_is_null (expected)
                       ? current == NULL
                       : current != NULL && json_equal (current, expected);
      if (!holds)
        json_object_set_new (failed,
                             row,
                             current != NULL ? json_incref (current) : json_null ());
    }
  return failed;
}

static void
apply (platform_t *self, const json_t *sets)
{
  const char *row;
  json_t *value;

  json_object_foreach ((json_t *)sets, row, value)
    {
      if (json_is_null (value))
        json_object_del (self->rows, row);
      else
        json_object_set (self->rows, row, value);
    }
}

static bool
exceeds_write_rate (platform_t *self)
{
  gint64 now = g_get_monotonic_time ();

  if (self->writes_per_s == 0)
    return false;
  self->write_tokens
      += (double)(now - self->tokens_updated_at) * self->writes_per_s / 1e6;
  self->write_tokens = MIN (self->write_tokens, self->writes_per_s);
  self->tokens_updated_at = now;
  if (self->write_tokens < 1)
    return true;
  self->write_tokens -= 1;
  return false;
}

static void
on_transact (struct evhttp_request *request, void *arg)
{
  listener_t *listener = arg;
  platform_t *self = listener->platform;

  if (reject_if_down (listener, request))
    return;
  if (exceeds_write_rate (self))
    {
      self->refused++;
      respond (listener, request, 429, json_object ());
      return;
    }
  json_t *body = read_body (request);
  json_t *failed = failed_conditions (self, json_object_get (body, "if"));
  bool holds = json_object_size (failed) == 0;

  self->writes++;
  self->conflicts += !holds;
  if (holds)
    apply (self, json_object_get (body, "set"));
  json_decref (body);
  if (holds && listener->responses_to_lose > 0)
    {
      /* The transaction was applied, but the client gets no response. */
      listener->responses_to_lose--;
      json_decref (failed);
      return;
    }
  respond (listener, request, holds ? 200 : 409, json_pack ("{s:o}", "rows", failed));
}

static void
on_hosts (struct evhttp_request *request, void *arg)
{
  listener_t *listener = arg;

  if (reject_if_down (listener, request))
    return;
  listener->platform->reads++;
  respond (listener,
           request,
           200,
           json_pack ("{s:O}", "hosts", listener->platform->hosts));
}

static void
on_hosts_update (evutil_socket_t fd, short what, void *arg)
{
  hosts_update_t *update = arg;

  (void)fd;
  (void)what;
  json_decref (update->platform->hosts);
  update->platform->hosts = update->hosts;
  event_free (update->timer);
  g_free (update);
}

static void
on_set_hosts (struct evhttp_request *request, void *arg)
{
  platform_t *self = ((listener_t *)arg)->platform;
  struct timeval tv = { self->hosts_delay_ms / 1000, self->hosts_delay_ms % 1000 * 1000 };
  json_t *body = read_body (request);
  hosts_update_t *update = g_new0 (hosts_update_t, 1);

  update->platform = self;
  update->hosts = json_incref (json_object_get (body, "hosts"));
  update->timer = evtimer_new (self->base, on_hosts_update, update);
  evtimer_add (update->timer, &tv);
  json_decref (body);
  send_json (self, request, 200, json_object ());
}

static void
set_int (const json_t *body, const char *key, int *value)
{
  const json_t *item = json_object_get (body, key);

  if (json_is_integer (item))
    *value = (int)json_integer_value (item);
}

static void
set_fault (listener_t *listener, const json_t *body)
{
  const json_t *down = json_object_get (body, "down");

  if (json_is_boolean (down))
    listener->down = json_is_true (down);
  set_int (body, "slow_ms", &listener->delay_ms);
  set_int (body, "lose_answers", &listener->responses_to_lose);
}

static void
on_fault (struct evhttp_request *request, void *arg)
{
  platform_t *self = ((listener_t *)arg)->platform;
  json_t *body = read_body (request);
  int port = 0;
  int rate = (int)self->writes_per_s;

  set_int (body, "port", &port);
  set_int (body, "lag_ms", &self->hosts_delay_ms);
  set_int (body, "writes_per_s", &rate);
  self->writes_per_s = (unsigned)rate;
  for (unsigned i = 0; i < self->n_listeners; i++)
    if (port == 0 || self->listeners[i].port == port)
      set_fault (&self->listeners[i], body);
  json_decref (body);
  send_json (self, request, 200, json_object ());
}

static void
on_stats (struct evhttp_request *request, void *arg)
{
  platform_t *self = ((listener_t *)arg)->platform;

  send_json (self,
             request,
             200,
             json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I}",
                        "reads",
                        (json_int_t)self->reads,
                        "writes",
                        (json_int_t)self->writes,
                        "conflicts",
                        (json_int_t)self->conflicts,
                        "refused",
                        (json_int_t)self->refused,
                        "rows",
                        (json_int_t)json_object_size (self->rows),
                        "bytes_out",
                        (json_int_t)self->bytes_out));
}

static bool
open_listener (platform_t *self, uint16_t port)
{
  listener_t *listener = &self->listeners[self->n_listeners++];
  struct evhttp *http = evhttp_new (self->base);

  *listener = (listener_t){ .platform = self, .port = port };
  evhttp_set_cb (http, "/v1/read", on_read, listener);
  evhttp_set_cb (http, "/v1/transact", on_transact, listener);
  evhttp_set_cb (http, "/v1/hosts", on_hosts, listener);
  evhttp_set_cb (http, "/hosts", on_set_hosts, listener);
  evhttp_set_cb (http, "/fault", on_fault, listener);
  evhttp_set_cb (http, "/stats", on_stats, listener);
  return evhttp_bind_socket (http, "127.0.0.1", port) == 0;
}

int
main (int argc, char **argv)
{
  struct arg_int *ports
      = arg_intn ("p", "port", "PORT", 1, LISTENERS_MAX, "ports to listen on");
  struct arg_int *rate
      = arg_int0 ("w",
                  "writes",
                  "N",
                  "maximum writes per second, others get status 429; 0: no limit");
  struct arg_end *end = arg_end (8);
  void *table[] = { ports, rate, end };
  platform_t self = { .rows = json_object (), .hosts = json_array () };

  rate->ival[0] = 0;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "standin-platform");
      return 2;
    }
  self.base = event_base_new ();
  self.writes_per_s = (unsigned)rate->ival[0];
  self.tokens_updated_at = g_get_monotonic_time ();
  for (int i = 0; i < ports->count; i++)
    if (!open_listener (&self, (uint16_t)ports->ival[i]))
      {
        fprintf (stderr, "standin-platform: can't listen on port %d\n", ports->ival[i]);
        return 4;
      }
  event_base_dispatch (self.base);
  return 0;
}
