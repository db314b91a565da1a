#include "place_json.h"

#include "../core/json.h"
#include "../config/config_json.h"
#include "../table/table_rows.h"

#include <string.h>

static json_int_t
get_int (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static json_t *
config_to_value (const config_t *config)
{
  char *text = config_to_json (config);
  json_t *value
      = json_pack ("{s:s,s:I}", "text", text, "version", (json_int_t)config->version);

  g_free (text);
  return value;
}

/* Targets are encoded as the members row of a table. */
static json_t *
targets_to_value (const target_t *targets, uint32_t n)
{
  table_t *table = g_new0 (table_t, 1);

  memcpy (table->targets, targets, n * sizeof *targets);
  table->n_targets = n;
  json_t *value = table_members_to_json (table);
  g_free (table);
  return value;
}

static json_t *
loads_to_value (const uint32_t *loads)
{
  json_t *list = json_array ();

  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    json_array_append_new (list, json_integer (loads[s]));
  return list;
}

json_t *
place_msg_to_json (const place_msg_t *msg)
{
  json_t *object = json_pack ("{s:i,s:b,s:b,s:I,s:I,s:o,s:b,s:I,s:i,s:i}",
                              "kind",
                              (int)msg->kind,
                              "ok",
                              msg->ok,
                              "conflict",
                              msg->conflict,
                              "epoch",
                              (json_int_t)msg->epoch,
                              "beat",
                              (json_int_t)msg->beat,
                              "holder",
                              json_from_name (&msg->holder),
                              "leaving",
                              msg->leaving,
                              "version",
                              (json_int_t)msg->version,
                              "target",
                              msg->target,
                              "keyed",
                              (int)msg->keyed);

  if (msg->kind == PLACE_HELLO)
    json_object_set_new (object, "host", host_to_json (&msg->host));
  if (msg->config != NULL)
    json_object_set_new (object, "config", config_to_value (msg->config));
  if (msg->table != NULL && msg->ok)
    json_object_set_new (object, "table", table_to_json (msg->table));
  if (msg->targets != NULL)
    json_object_set_new (object, "targets", targets_to_value (msg->targets, msg->n));
  if (msg->loads != NULL)
    json_object_set_new (object, "loads", loads_to_value (msg->loads));
  return object;
}

static bool
config_from_value (place_msg_t *msg, place_msg_storage_t *storage, const json_t *value)
{
  const json_t *text = json_object_get (value, "text");
  fault_t fault;

  msg->config = &storage->config;
  if (config_from_json (&storage->config,
                        (text_t){ json_string_value (text), json_string_length (text) },
                        &fault)
      != STATUS_OK)
    return false;
  storage->config.version = (uint64_t)get_int (value, "version");
  return true;
}

static bool
targets_from_value (place_msg_t *msg, place_msg_storage_t *storage, const json_t *value)
{
  table_t *table = g_new0 (table_t, 1);
  fault_t fault;
  bool ok = table_from_row (table, TEXT (ROW_MEMBERS), value, &fault) == STATUS_OK;

  memcpy (storage->targets, table->targets, sizeof storage->targets);
  msg->targets = storage->targets;
  msg->n = table->n_targets;
  g_free (table);
  return ok;
}

static bool
loads_from_value (place_msg_t *msg, place_msg_storage_t *storage, const json_t *value)
{
  if (json_array_size (value) != SLOT_COUNT)
    return false;
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    storage->loads[s] = (uint32_t)json_integer_value (json_array_get (value, s));
  msg->loads = storage->loads;
  return true;
}

static bool
referenced_from_json (place_msg_t *msg,
                      place_msg_storage_t *storage,
                      const json_t *object)
{
  const json_t *config = json_object_get (object, "config");
  const json_t *table = json_object_get (object, "table");
  const json_t *targets = json_object_get (object, "targets");
  const json_t *loads = json_object_get (object, "loads");
  fault_t fault;

  if (config != NULL && !config_from_value (msg, storage, config))
    return false;
  if (targets != NULL && !targets_from_value (msg, storage, targets))
    return false;
  if (loads != NULL && !loads_from_value (msg, storage, loads))
    return false;
  if (table == NULL)
    return true;
  msg->table = &storage->table;
  return table_from_json (&storage->table, table, &fault) == STATUS_OK;
}

/* Whether the message has all parts that its kind requires, with indexes in range. */
static bool
is_complete (const place_msg_t *msg)
{
  switch (msg->kind)
    {
    case PLACE_CONFIG:
      return msg->config != NULL;
    case PLACE_LOAD_DONE:
      return !msg->ok || msg->table != NULL;
    case PLACE_TARGET_LIST:
      return msg->targets != NULL;
    case PLACE_SLOT_LOADS:
      return msg->loads != NULL && msg->keyed < KEYED_MAX;
    case PLACE_TARGET_REPORT:
      return msg->target >= 0 && msg->target < TARGET_MAX;
    default:
      return msg->kind <= PLACE_LEAVE;
    }
}

bool
place_msg_from_json (place_msg_t *msg, place_msg_storage_t *storage, const json_t *object)
{
  const json_t *host = json_object_get (object, "host");

  memset (msg, 0, sizeof *msg);
  msg->kind = (place_msg_kind_t)get_int (object, "kind");
  msg->ok = json_is_true (json_object_get (object, "ok"));
  msg->conflict = json_is_true (json_object_get (object, "conflict"));
  msg->epoch = (uint64_t)get_int (object, "epoch");
  msg->beat = (uint64_t)get_int (object, "beat");
  msg->leaving = json_is_true (json_object_get (object, "leaving"));
  msg->version = (uint64_t)get_int (object, "version");
  msg->target = (int)get_int (object, "target");
  msg->keyed = (uint32_t)get_int (object, "keyed");
  if (host != NULL && !host_from_json (&msg->host, host))
    return false;
  return json_get_name (object, "holder", &msg->holder)
         && referenced_from_json (msg, storage, object) && is_complete (msg);
}

json_t *
place_out_to_json (const place_out_t *effect)
{
  json_t *object = json_pack ("{s:i,s:I,s:I,s:I,s:b,s:i,s:i,s:i,s:i,s:i}",
                              "kind",
                              (int)effect->kind,
                              "epoch",
                              (json_int_t)effect->epoch,
                              "beat",
                              (json_int_t)effect->beat,
                              "version",
                              (json_int_t)effect->version,
                              "holder",
                              effect->holder,
                              "keyed",
                              (int)effect->keyed,
                              "slot",
                              (int)effect->slot,
                              "from",
                              effect->from,
                              "to",
                              effect->to,
                              "reason",
                              (int)effect->reason);

  if (effect->table != NULL)
    json_object_set_new (object, "table", table_to_json (effect->table));
  return object;
}
