#include "job.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <sys/queue.h>
#include <string.h>
#include <time.h>

#define STREAM_MIN_BYTES (64 * 1024) /* longer answers are streamed */
#define NUMBER_MAX_BYTES 24
#define FENCE_REFUSED_HEADER "Fence-Refused"

static void
add_number (struct evkeyvalq *headers, const char *name, uint64_t value)
{
  char text[NUMBER_MAX_BYTES];

  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, value);
  evhttp_add_header (headers, name, text);
}

/* Headers that this process sets itself; a caller's are not forwarded. */
static bool
is_reserved_header (text_t name)
{
  return (name.len >= 6 && g_ascii_strncasecmp (name.at, "Fence-", 6) == 0)
         || (name.len == 19
             && g_ascii_strncasecmp (name.at, "Request-Deadline-Ms", 19) == 0);
}

static void
forward_header (void *context, text_t name, text_t value)
{
  struct evkeyvalq *headers = context;

  if (front_is_hop_header (name) || is_reserved_header (name))
    return;
  char *n = text_dup_c (name);
  char *v = text_dup_c (value);
  evhttp_add_header (headers, n, v);
  g_free (n);
  g_free (v);
}

static char *
join_uri (const request_view_t *view)
{
  if (view->query.len == 0)
    return text_dup_c (view->path);
  return g_strdup_printf ("%.*s?%.*s", TEXT_ARG (view->path), TEXT_ARG (view->query));
}

static uint64_t
compute_fingerprint (front_request_t *request,
                     method_t method,
                     const char *uri,
                     text_t order_id)
{
  struct evbuffer *body = front_body (request);
  size_t len = evbuffer_get_length (body);
  const uint64_t parts[] = {
    (uint64_t)method,
    text_hash (text_from_c (uri)),
    text_hash (order_id),
    len > 0 ? text_hash ((text_t){ (const char *)evbuffer_pullup (body, -1), len }) : 0,
  };

  return text_hash ((text_t){ (const char *)parts, sizeof parts });
}

/* A caller may shorten the service's deadline, but not extend it. */
static msec_t
get_timeout (const service_t *service, const request_view_t *view)
{
  text_t value = view->header (view->context, TEXT ("Request-Deadline-Ms"));
  uint64_t requested;

  if (!text_to_u64 (value, &requested) || requested > service->deadline_ms)
    return service->deadline_ms;
  return (msec_t)requested;
}

void
job_init (job_t *self,
          worker_t *worker,
          front_request_t *request,
          const request_view_t *view,
          const request_class_t *class,
          msec_t now)
{
  const service_t *service = &worker->route.config.services[class->service];

  *self = (job_t){ .open = true,
                   .worker = worker,
                   .serial = worker->last_serial,
                   .request = request,
                   .service_index = class->service,
                   .service = *service,
                   .method = view->method,
                   .uri = join_uri (view),
                   .arrived_at = now };
  self->fingerprint
      = compute_fingerprint (request, view->method, self->uri, class->order_id);
  self->timeout = get_timeout (service, view);
  self->deadline = now + self->timeout;
  self->needs_claim = class->order_id.len > 0 && !service->refuses_repeats;
  name_set (&self->order_id, class->order_id);
}

void
job_finish (job_t *self)
{
  g_clear_pointer (&self->uri, g_free);
  g_clear_pointer (&self->stored_answer, g_free);
  self->open = false;
  self->ticket = 0;
}

enum evhttp_cmd_type
job_method (const job_t *self)
{
  static const enum evhttp_cmd_type methods[] = {
    [METHOD_GET] = EVHTTP_REQ_GET,       [METHOD_HEAD] = EVHTTP_REQ_HEAD,
    [METHOD_POST] = EVHTTP_REQ_POST,     [METHOD_PUT] = EVHTTP_REQ_PUT,
    [METHOD_DELETE] = EVHTTP_REQ_DELETE, [METHOD_PATCH] = EVHTTP_REQ_PATCH,
    [METHOD_OTHER] = EVHTTP_REQ_OPTIONS,
  };
  return methods[self->method];
}

struct evhttp_request *
job_make_request (job_t *self, const route_out_t *effect, msec_t now)
{
  struct evhttp_request *request = httpc_request_new ();
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  struct evbuffer *body = front_body (self->request);

  front_foreach_header (self->request, forward_header, headers);
  evhttp_add_header (headers, "Host", "target");
  add_number (headers, "Request-Deadline-Ms", (uint64_t)MAX (effect->deadline - now, 1));
  if (effect->keyed)
    {
      add_number (headers, "Fence-Slot", effect->slot);
      add_number (headers, "Fence-Epoch", effect->epoch);
    }
  /* By reference: the body must remain for another attempt. */
  if (evbuffer_get_length (body) > 0)
    evbuffer_add_buffer_reference (evhttp_request_get_output_buffer (request), body);
  return request;
}

bool
job_wants_stream (const job_t *self, struct evhttp_request *answer)
{
  const char *value
      = evhttp_find_header (evhttp_request_get_input_headers (answer), "Content-Length");
  int status = evhttp_request_get_response_code (answer);
  uint64_t length;

  if (self->method == METHOD_HEAD || self->ticket != 0
      || (status != 200 && status != 206))
    return false;
  return !text_to_u64 (text_from_c (value), &length) || length > STREAM_MIN_BYTES;
}

/* Retry-After is a number of seconds or an HTTP date.  Returns ms, 0 if there is none. */
static msec_t
parse_retry_after (struct evhttp_request *answer)
{
  const char *value
      = evhttp_find_header (evhttp_request_get_input_headers (answer), "Retry-After");
  struct tm tm = { 0 };
  uint64_t seconds;

  if (value == NULL)
    return 0;
  if (text_to_u64 (text_from_c (value), &seconds))
    return (msec_t)MIN (seconds, 3600) * 1000;
  if (strptime (value, "%a, %d %b %Y %H:%M:%S GMT", &tm) == NULL)
    return 0;
  return MAX ((msec_t)(timegm (&tm) - time (NULL)), 0) * 1000;
}

answer_kind_t
job_classify_answer (const job_t *self,
                     struct evhttp_request *answer,
                     msec_t *retry_after)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (answer);
  int status = evhttp_request_get_response_code (answer);

  *retry_after = parse_retry_after (answer);
  if (self->service.checks_fences
      && evhttp_find_header (headers, FENCE_REFUSED_HEADER) != NULL)
    return ANSWER_FENCED;
  if (self->service.not_run_status != 0 && status == (int)self->service.not_run_status)
    return ANSWER_NOT_RUN;
  return status == 503 || status == 429 ? ANSWER_SHED : ANSWER_COMPLETE;
}

void
job_copy_headers (job_t *self, struct evhttp_request *answer)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (answer);
  bool sized = self->streaming || self->method == METHOD_HEAD;
  struct evkeyval *header;

  TAILQ_FOREACH (header, headers, next)
    {
      text_t name = text_from_c (header->key);
      bool length = g_ascii_strcasecmp (header->key, "Content-Length") == 0;
      if ((length && sized) || !front_is_hop_header (name))
        front_add_header (self->request, name, text_from_c (header->value));
    }
}

stored_answer_t *
job_store_answer (struct evhttp_request *answer)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (answer);
  const char *type
      = evhttp_find_header (evhttp_request_get_input_headers (answer), "Content-Type");
  stored_answer_t *stored = g_new0 (stored_answer_t, 1);
  size_t len = evbuffer_get_length (body);

  stored->status = evhttp_request_get_response_code (answer);
  name_set (&stored->type, text_from_c (type));
  if (len <= STORED_ANSWER_MAX_BYTES)
    {
      stored->len = (uint16_t)len;
      evbuffer_copyout (body, stored->body, len);
    }
  /* Without a stored answer, a repeat of the order gets the outcome `unknown`. */
  if (stored->status >= 500 || len > STORED_ANSWER_MAX_BYTES
      || !g_utf8_validate (stored->body, stored->len, NULL))
    {
      stored->status = 0;
      stored->len = 0;
    }
  return stored;
}

void
job_replay (job_t *self, front_request_t *request)
{
  struct evbuffer *body = evbuffer_new ();

  evbuffer_add (body, self->stored_answer->body, self->stored_answer->len);
  if (self->stored_answer->type.len > 0)
    front_add_header (request,
                      TEXT ("Content-Type"),
                      name_text (&self->stored_answer->type));
  front_add_header (request, TEXT ("Request-Outcome"), TEXT ("repeated"));
  front_reply (request, self->stored_answer->status, body);
  evbuffer_free (body);
}
