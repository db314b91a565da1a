#include "cli_store.h"

#include "../config/config_json.h"

#include <string.h>
#include <time.h>

#define ROW_HEAD "config/head"
#define ROW_CURRENT "config/current"
#define HISTORY_PREFIX "config/history/"
#define RESOLVE_ATTEMPTS 5

static void
on_done (void *owner, const platform_answer_t *answer)
{
  cli_store_t *self = owner;

  self->status = answer->status;
  json_decref (self->body);
  self->body = answer->body != NULL ? json_deep_copy (answer->body) : NULL;
  event_base_loopbreak (self->base);
}

static status_t
wait_for_answer (cli_store_t *self)
{
  event_base_dispatch (self->base);
  return self->status;
}

static const json_t *
find_row (const cli_store_t *self, const char *row)
{
  return json_object_get (json_object_get (self->body, "rows"), row);
}

void
cli_store_init (cli_store_t *self, text_t address, uint16_t port)
{
  memset (self, 0, sizeof *self);
  self->base = event_base_new ();
  msclock_init_real (&self->clock);
  metrics_init (&self->metrics);
  platform_init (&self->platform,
                 self->base,
                 address,
                 port,
                 &self->clock,
                 &self->metrics);
}

void
cli_store_finish (cli_store_t *self)
{
  platform_finish (&self->platform);
  event_base_free (self->base);
  json_decref (self->body);
}

status_t
cli_store_read_config (cli_store_t *self, cli_store_config_t *config, fault_t *fault)
{
  memset (config, 0, sizeof *config);
  platform_read (&self->platform,
                 json_pack ("[s,s]", ROW_HEAD, ROW_CURRENT),
                 NULL,
                 on_done,
                 self);
  if (wait_for_answer (self) != STATUS_OK)
    return fault_raise (fault, STATUS_UNAVAILABLE, "the platform can't be read");
  const json_t *head = find_row (self, ROW_HEAD);
  const json_t *text = find_row (self, ROW_CURRENT);
  if (head == NULL)
    return STATUS_OK;
  text_t bytes = { json_string_value (text), json_string_length (text) };
  config->head = json_deep_copy (head);
  config->version = (uint64_t)json_integer_value (json_object_get (head, "version"));
  config->text = text_dup_c (bytes);
  if (!config_checksum_matches (bytes,
                                json_string_value (json_object_get (head, "seal"))))
    return fault_raise (fault,
                        STATUS_CONFIG,
                        "version %" G_GUINT64_FORMAT " was edited by hand (checksum "
                        "mismatch); accept the answers again",
                        config->version);
  return STATUS_OK;
}

void
cli_store_config_clear (cli_store_config_t *config)
{
  g_clear_pointer (&config->text, g_free);
  json_decref (config->head);
  config->head = NULL;
}

static json_t *
new_head (const cli_store_config_t *base,
          text_t text,
          const char *author,
          const char *reason)
{
  char checksum[CONFIG_CHECKSUM_BYTES];
  char *token = g_uuid_string_random ();

  config_checksum (text, checksum);
  json_t *head = json_pack ("{s:I,s:s,s:s,s:s,s:I,s:s}",
                            "version",
                            (json_int_t)base->version + 1,
                            "seal",
                            checksum,
                            "author",
                            author,
                            "reason",
                            reason,
                            "time",
                            (json_int_t)time (NULL),
                            "token",
                            token);
  g_free (token);
  return head;
}

/*
 * Finds out whether a write with a lost answer took effect.  The write may still be in
 * flight, so an unchanged row decides nothing: only a row with our head or with a version
 * that is as high does.
 */
static status_t
resolve_unknown_write (cli_store_t *self, const json_t *head, fault_t *fault)
{
  for (int i = 0; i < RESOLVE_ATTEMPTS; i++)
    {
      g_usleep (200 * 1000);
      platform_read (&self->platform, json_pack ("[s]", ROW_HEAD), NULL, on_done, self);
      if (wait_for_answer (self) != STATUS_OK)
        continue;
      if (json_equal (head, find_row (self, ROW_HEAD)))
        return STATUS_OK;
      if (json_integer_value (json_object_get (find_row (self, ROW_HEAD), "version"))
          >= json_integer_value (json_object_get (head, "version")))
        return fault_raise (fault, STATUS_CONFLICT, "another configuration was accepted");
    }
  return fault_raise (
      fault,
      STATUS_UNKNOWN,
      "the platform's answer was lost and the outcome is unknown; see chicoryctl show");
}

status_t
cli_store_accept (cli_store_t *self,
                  const cli_store_config_t *base,
                  text_t text,
                  const char *author,
                  const char *reason,
                  fault_t *fault)
{
  json_t *head = new_head (base, text, author, reason);
  json_t *current = json_stringn (text.at, text.len);
  char *history
      = g_strdup_printf (HISTORY_PREFIX "%08" G_GUINT64_FORMAT, base->version + 1);
  json_t *conditions = json_pack (
      "[o]",
      platform_condition (ROW_HEAD,
                          base->head != NULL ? json_incref (base->head) : NULL));
  json_t *changes = json_pack ("{s:O,s:O,s:{s:O,s:O}}",
                               ROW_HEAD,
                               head,
                               ROW_CURRENT,
                               current,
                               history,
                               "head",
                               head,
                               "config",
                               current);
  status_t status;

  platform_transact (&self->platform, conditions, changes, on_done, self);
  status = wait_for_answer (self);
  if (status == STATUS_UNKNOWN)
    status = resolve_unknown_write (self, head, fault);
  else if (status == STATUS_CONFLICT)
    fault_raise (fault, status, "another configuration was accepted first");
  else if (status != STATUS_OK)
    status = fault_raise (fault,
                          STATUS_UNAVAILABLE,
                          "the platform can't be written; nothing was accepted");
  g_free (history);
  json_decref (head);
  json_decref (current);
  return status;
}

status_t
cli_store_read_history (cli_store_t *self, const json_t **rows, fault_t *fault)
{
  platform_read (&self->platform, NULL, HISTORY_PREFIX, on_done, self);
  if (wait_for_answer (self) != STATUS_OK)
    return fault_raise (fault, STATUS_UNAVAILABLE, "the platform can't be read");
  *rows = json_object_get (self->body, "rows");
  return STATUS_OK;
}

/* GET calls to a host's admin port. */

typedef struct
{
  cli_store_t *self;
  json_t *body;
  bool ok;
} get_call_t;

static void
on_get_done (void *owner, struct evhttp_request *answer)
{
  get_call_t *get = owner;
  get->ok = evhttp_request_get_response_code (answer) == 200;
  get->body = httpc_json (answer);
  event_base_loopbreak (get->self->base);
}

static void
on_get_failed (void *owner, bool sent, httpc_failure_t failure)
{
  get_call_t *get = owner;

  (void)sent;
  (void)failure;
  event_base_loopbreak (get->self->base);
}

status_t
cli_store_get_json (cli_store_t *self,
                    text_t address,
                    uint16_t port,
                    const char *path,
                    json_t **body,
                    fault_t *fault)
{
  static const httpc_ops_t ops = { .done = on_get_done, .failed = on_get_failed };
  get_call_t get = { .self = self };
  httpc_pool_t pool;

  httpc_pool_init (&pool, self->base, address, port, PLATFORM_TIMEOUT_MS);
  if (httpc_call (&pool,
                  httpc_request_new (),
                  EVHTTP_REQ_GET,
                  path,
                  &ops,
                  &get,
                  msclock_now (&self->clock))
      != NULL)
    event_base_dispatch (self->base);
  httpc_pool_finish (&pool);
  *body = get.body;
  if (get.ok && get.body != NULL)
    return STATUS_OK;
  json_decref (get.body);
  *body = NULL;
  return fault_raise (fault,
                      STATUS_UNAVAILABLE,
                      "no answer from %.*s:%u",
                      TEXT_ARG (address),
                      port);
}
