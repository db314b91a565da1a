#include "lease_json.h"

#include "../table/table_rows.h"

#include <string.h>

static json_t *
id_to_json (const host_id_t *id)
{
  return json_pack ("{s:o,s:I}",
                    "name",
                    json_stringn (id->name.at, id->name.len),
                    "incarnation",
                    (json_int_t)id->incarnation);
}

static bool
id_from_json (host_id_t *id, const json_t *object)
{
  const json_t *name = json_object_get (object, "name");

  id->incarnation
      = (uint64_t)json_integer_value (json_object_get (object, "incarnation"));
  return name_set (&id->name,
                   (text_t){ json_string_value (name), json_string_length (name) });
}

json_t *
lease_msg_to_json (const lease_msg_t *msg)
{
  json_t *object = json_pack ("{s:i,s:b,s:I,s:I,s:o,s:I,s:b,s:I}",
                              "kind",
                              (int)msg->kind,
                              "ok",
                              msg->ok,
                              "started",
                              (json_int_t)msg->started,
                              "version",
                              (json_int_t)msg->version,
                              "from",
                              id_to_json (&msg->from),
                              "seq",
                              (json_int_t)msg->seq,
                              "word",
                              msg->vote,
                              "age",
                              (json_int_t)msg->age);

  if (msg->table != NULL)
    json_object_set_new (object, "table", table_to_json (msg->table));
  return object;
}

bool
lease_msg_from_json (lease_msg_t *msg, table_t *table, const json_t *object)
{
  const json_t *rows = json_object_get (object, "table");
  fault_t fault;

  memset (msg, 0, sizeof *msg);
  msg->kind = (lease_msg_kind_t)json_integer_value (json_object_get (object, "kind"));
  msg->ok = json_is_true (json_object_get (object, "ok"));
  msg->started = json_integer_value (json_object_get (object, "started"));
  msg->version = (uint64_t)json_integer_value (json_object_get (object, "version"));
  msg->seq = (uint64_t)json_integer_value (json_object_get (object, "seq"));
  msg->vote = json_is_true (json_object_get (object, "word"));
  msg->age = json_integer_value (json_object_get (object, "age"));
  if (rows != NULL)
    {
      msg->table = table;
      if (table_from_json (table, rows, &fault) != STATUS_OK)
        return false;
    }
  return msg->kind <= LEASE_REPLY_RECEIVED && (msg->kind != LEASE_TABLE || rows != NULL)
         && id_from_json (&msg->from, json_object_get (object, "from"));
}

json_t *
lease_out_to_json (const lease_out_t *effect)
{
  return json_pack ("{s:i,s:I,s:I,s:o,s:I,s:b,s:I}",
                    "kind",
                    (int)effect->kind,
                    "version",
                    (json_int_t)effect->version,
                    "until",
                    (json_int_t)effect->until,
                    "to",
                    id_to_json (&effect->to),
                    "seq",
                    (json_int_t)effect->seq,
                    "word",
                    effect->vote,
                    "age",
                    (json_int_t)effect->age);
}
