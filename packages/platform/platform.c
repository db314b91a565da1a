#include "platform.h"

#include <stdlib.h>

typedef struct
{
  platform_t *self;
  platform_done_t done;
  void *owner;
  msec_t started;
  bool is_write;
} call_t;

static void
finish_call (call_t *call, status_t status, const json_t *body)
{
  platform_answer_t answer = { .status = status, .body = body, .started = call->started };
  platform_done_t done = call->done;
  void *owner = call->owner;

  call->self->in_flight--;
  if (status != STATUS_OK && status != STATUS_CONFLICT)
    metrics_add (call->self->metrics, COUNT_STORE_FAILURES, 1);
  g_free (call);
  done (owner, &answer);
}

static void
on_failed (void *owner, bool sent, httpc_failure_t failure)
{
  call_t *call = owner;

  (void)failure;
  finish_call (call, sent && call->is_write ? STATUS_UNKNOWN : STATUS_UNAVAILABLE, NULL);
}

static void
on_done (void *owner, struct evhttp_request *answer)
{
  call_t *call = owner;
  int code = evhttp_request_get_response_code (answer);

  if (code != 200 && code != 409)
    {
      /* By contract a 503 means that nothing took effect, and a 429 is treated alike.
       * Other errors leave the outcome of a write unknown. */
      bool may_have_applied = call->is_write && code != 503 && code != 429;
      finish_call (call, may_have_applied ? STATUS_UNKNOWN : STATUS_UNAVAILABLE, NULL);
      return;
    }
  json_t *body = httpc_json (answer);
  if (!json_is_object (body))
    {
      metrics_add (call->self->metrics, COUNT_STORE_REJECTED, 1);
      finish_call (call, call->is_write ? STATUS_UNKNOWN : STATUS_DECODE, NULL);
    }
  else
    finish_call (call, code == 200 ? STATUS_OK : STATUS_CONFLICT, body);
  json_decref (body);
}

static const httpc_ops_t call_ops = { .done = on_done, .failed = on_failed };

static void
start_call (platform_t *self,
            const char *uri,
            json_t *body,
            bool is_write,
            platform_done_t done,
            void *owner)
{
  call_t *call = g_new0 (call_t, 1);
  struct evhttp_request *request = httpc_request_new ();

  *call = (call_t){ .self = self,
                    .done = done,
                    .owner = owner,
                    .started = msclock_now (self->clock),
                    .is_write = is_write };
  self->in_flight++;
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Host",
                     self->pool.address);
  if (body != NULL)
    {
      char *dump = json_dumps (body, JSON_COMPACT);
      evbuffer_add_printf (evhttp_request_get_output_buffer (request), "%s", dump);
      free (dump);
      json_decref (body);
    }
  if (httpc_call (&self->pool,
                  request,
                  body != NULL ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                  uri,
                  &call_ops,
                  call,
                  call->started)
      == NULL)
    finish_call (call, STATUS_UNAVAILABLE, NULL);
}

void
platform_init (platform_t *self,
               struct event_base *base,
               text_t address,
               uint16_t port,
               const msclock_t *clock,
               metrics_t *metrics)
{
  *self = (platform_t){ .clock = clock, .metrics = metrics };
  httpc_pool_init (&self->pool, base, address, port, PLATFORM_TIMEOUT_MS);
}

void
platform_finish (platform_t *self)
{
  httpc_pool_finish (&self->pool);
}

void
platform_read (
    platform_t *self, json_t *rows, const char *prefix, platform_done_t done, void *owner)
{
  json_t *body = json_object ();

  json_object_set_new (body, "rows", rows != NULL ? rows : json_array ());
  if (prefix != NULL)
    json_object_set_new (body, "prefix", json_string (prefix));
  metrics_add (self->metrics, COUNT_STORE_READS, 1);
  start_call (self, "/v1/read", body, false, done, owner);
}

void
platform_transact (platform_t *self,
                   json_t *conditions,
                   json_t *changes,
                   platform_done_t done,
                   void *owner)
{
  json_t *body = json_pack ("{s:o,s:o}", "if", conditions, "set", changes);

  metrics_add (self->metrics, COUNT_STORE_WRITES, 1);
  start_call (self, "/v1/transact", body, true, done, owner);
}

void
platform_read_hosts (platform_t *self, platform_done_t done, void *owner)
{
  metrics_add (self->metrics, COUNT_STORE_READS, 1);
  start_call (self, "/v1/hosts", NULL, false, done, owner);
}

json_t *
platform_condition (const char *row, json_t *value)
{
  return json_pack ("{s:s,s:o}", "row", row, "is", value != NULL ? value : json_null ());
}
