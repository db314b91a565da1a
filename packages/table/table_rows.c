#include "table_rows.h"

#include "../core/json.h"

#include <glib.h>
#include <string.h>

static json_t *
host_id_to_json (const host_id_t *id)
{
  return json_pack ("{s:o,s:I}",
                    "name",
                    json_from_name (&id->name),
                    "incarnation",
                    (json_int_t)id->incarnation);
}

json_t *
host_to_json (const host_t *host)
{
  return json_pack ("{s:o,s:o,s:o,s:i,s:I,s:b}",
                    "name",
                    json_from_name (&host->name),
                    "address",
                    json_from_name (&host->address),
                    "data_centre",
                    json_from_name (&host->data_centre),
                    "peer_port",
                    (int)host->peer_port,
                    "incarnation",
                    (json_int_t)host->incarnation,
                    "witness",
                    host->witness);
}

static json_t *
target_to_json (const target_t *target)
{
  return json_pack ("{s:o,s:o,s:o,s:o,s:i,s:i}",
                    "name",
                    json_from_name (&target->name),
                    "address",
                    json_from_name (&target->address),
                    "data_centre",
                    json_from_name (&target->data_centre),
                    "service",
                    json_from_name (&target->service),
                    "port",
                    (int)target->port,
                    "state",
                    (int)target->state);
}

bool
host_from_json (host_t *host, const json_t *object)
{
  uint64_t port;

  if (!json_get_name (object, "name", &host->name)
      || !json_get_name (object, "address", &host->address)
      || !json_get_name (object, "data_centre", &host->data_centre)
      || !json_get_u64 (object, "peer_port", 65535, &port)
      || !json_get_u64 (object, "incarnation", INT64_MAX, &host->incarnation))
    return false;
  host->peer_port = (uint32_t)port;
  host->witness = json_is_true (json_object_get (object, "witness"));
  return true;
}

static bool
target_from_json (target_t *target, const json_t *object)
{
  uint64_t port, state;

  if (!json_get_name (object, "name", &target->name)
      || !json_get_name (object, "address", &target->address)
      || !json_get_name (object, "data_centre", &target->data_centre)
      || !json_get_name (object, "service", &target->service)
      || !json_get_u64 (object, "port", 65535, &port)
      || !json_get_u64 (object, "state", TARGET_LOST, &state))
    return false;
  target->port = (uint32_t)port;
  target->state = (target_state_t)state;
  return true;
}

static status_t
previous_witnesses_from_json (table_t *self, const json_t *list, fault_t *fault)
{
  size_t n = json_array_size (list);

  if (n > WITNESS_MAX)
    return fault_raise (fault,
                        STATUS_DECODE,
                        "members row: too many previous witnesses: %zu",
                        n);
  self->n_previous_witnesses = (uint32_t)n;
  for (size_t i = 0; i < n; i++)
    {
      const json_t *item = json_array_get (list, i);
      host_id_t *id = &self->previous_witnesses[i];
      if (!json_get_name (item, "name", &id->name)
          || !json_get_u64 (item, "incarnation", INT64_MAX, &id->incarnation))
        return fault_raise (fault,
                            STATUS_DECODE,
                            "members row: malformed previous witness %zu",
                            i);
    }
  return STATUS_OK;
}

static status_t
members_from_json (table_t *self, const json_t *value, fault_t *fault)
{
  const json_t *hosts = json_object_get (value, "hosts");
  const json_t *targets = json_object_get (value, "targets");

  if (!json_is_array (hosts) || json_array_size (hosts) > HOST_MAX
      || !json_is_array (targets) || json_array_size (targets) > TARGET_MAX)
    return fault_raise (fault,
                        STATUS_DECODE,
                        "members row: hosts or targets missing or too many");
  self->n_hosts = (uint32_t)json_array_size (hosts);
  self->n_targets = (uint32_t)json_array_size (targets);
  for (uint32_t i = 0; i < self->n_hosts; i++)
    if (!host_from_json (&self->hosts[i], json_array_get (hosts, i)))
      return fault_raise (fault, STATUS_DECODE, "members row: malformed host %u", i);
  for (uint32_t i = 0; i < self->n_targets; i++)
    if (!target_from_json (&self->targets[i], json_array_get (targets, i)))
      return fault_raise (fault, STATUS_DECODE, "members row: malformed target %u", i);
  return previous_witnesses_from_json (self, json_object_get (value, "old"), fault);
}

static bool
get_target_index (const json_t *run, size_t at, int16_t *index)
{
  const json_t *item = json_array_get (run, at);
  json_int_t value = json_integer_value (item);

  *index = (int16_t)value;
  return json_is_integer (item) && value >= INDEX_NONE && value < TARGET_MAX;
}

static bool
run_from_json (slot_t *slots, uint32_t capacity, const json_t *run, uint32_t *length)
{
  json_int_t count = json_integer_value (json_array_get (run, 0));
  slot_t slot;

  if (count < 1 || count > capacity || !get_target_index (run, 1, &slot.owner)
      || !get_target_index (run, 2, &slot.next)
      || !json_is_integer (json_array_get (run, 3)))
    return false;
  slot.epoch = (uint64_t)json_integer_value (json_array_get (run, 3));
  for (json_int_t i = 0; i < count; i++)
    slots[i] = slot;
  *length = (uint32_t)count;
  return true;
}

static status_t
block_from_json (
    table_t *self, uint64_t keyed, uint64_t block, const json_t *runs, fault_t *fault)
{
  uint32_t done = 0;

  if (keyed >= KEYED_MAX || block >= SLOT_BLOCKS)
    return fault_raise (fault,
                        STATUS_DECODE,
                        "slots row: service or block number out of range");
  slot_t *slots = &self->slots[keyed][block * SLOT_BLOCK];
  for (size_t i = 0; i < json_array_size (runs); i++)
    {
      uint32_t length;
      if (!run_from_json (slots + done,
                          SLOT_BLOCK - done,
                          json_array_get (runs, i),
                          &length))
        return fault_raise (fault, STATUS_DECODE, "slots row: malformed run %zu", i);
      done += length;
    }
  if (done != SLOT_BLOCK)
    return fault_raise (fault,
                        STATUS_DECODE,
                        "slots row: runs cover %u of %d slots",
                        done,
                        SLOT_BLOCK);
  return STATUS_OK;
}

json_t *
table_head_to_json (const table_t *self)
{
  return json_pack ("{s:I,s:I}",
                    "version",
                    (json_int_t)self->version,
                    "epoch",
                    (json_int_t)self->holder_epoch);
}

json_t *
table_members_to_json (const table_t *self)
{
  json_t *hosts = json_array ();
  json_t *targets = json_array ();
  json_t *old = json_array ();

  for (uint32_t i = 0; i < self->n_hosts; i++)
    json_array_append_new (hosts, host_to_json (&self->hosts[i]));
  for (uint32_t i = 0; i < self->n_targets; i++)
    json_array_append_new (targets, target_to_json (&self->targets[i]));
  for (uint32_t i = 0; i < self->n_previous_witnesses; i++)
    json_array_append_new (old, host_id_to_json (&self->previous_witnesses[i]));
  return json_pack ("{s:o,s:o,s:o}", "hosts", hosts, "targets", targets, "old", old);
}

json_t *
table_block_to_json (const table_t *self, uint32_t keyed, uint32_t block)
{
  const slot_t *slots = &self->slots[keyed][block * SLOT_BLOCK];
  json_t *runs = json_array ();

  for (uint32_t i = 0; i < SLOT_BLOCK;)
    {
      uint32_t end = i + 1;
      while (end < SLOT_BLOCK && slot_equal (&slots[i], &slots[end]))
        end++;
      json_array_append_new (runs,
                             json_pack ("[iiiI]",
                                        (int)(end - i),
                                        slots[i].owner,
                                        slots[i].next,
                                        (json_int_t)slots[i].epoch));
      i = end;
    }
  return runs;
}

status_t
table_from_row (table_t *self, text_t row, const json_t *value, fault_t *fault)
{
  uint64_t keyed, block;
  text_t rest;

  if (text_equal (row, TEXT (ROW_HEAD)))
    {
      if (!json_get_u64 (value, "version", INT64_MAX, &self->version)
          || !json_get_u64 (value, "epoch", INT64_MAX, &self->holder_epoch))
        return fault_raise (fault,
                            STATUS_DECODE,
                            "head row: version or epoch missing or invalid");
      return STATUS_OK;
    }
  if (text_equal (row, TEXT (ROW_SETTLED)))
    {
      if (!json_get_u64 (value, "version", INT64_MAX, &self->settled_version))
        return fault_raise (fault,
                            STATUS_DECODE,
                            "settled row: version missing or invalid");
      return STATUS_OK;
    }
  if (text_equal (row, TEXT (ROW_MEMBERS)))
    return members_from_json (self, value, fault);
  if (!text_has_prefix (row, TEXT (ROW_SLOTS)))
    return STATUS_OK;
  text_t tail = { row.at + strlen (ROW_SLOTS), row.len - strlen (ROW_SLOTS) };
  text_t first = text_split (tail, '/', &rest);
  if (!text_to_u64 (first, &keyed) || !text_to_u64 (rest, &block))
    return fault_raise (fault, STATUS_DECODE, "slots row: malformed row name");
  return block_from_json (self, keyed, block, value, fault);
}

json_t *
table_to_json (const table_t *self)
{
  json_t *rows = json_object ();
  char row[64];

  json_object_set_new (rows, ROW_HEAD, table_head_to_json (self));
  json_object_set_new (rows,
                       ROW_SETTLED,
                       json_pack ("{s:I}", "version", (json_int_t)self->settled_version));
  json_object_set_new (rows, ROW_MEMBERS, table_members_to_json (self));
  for (uint32_t k = 0; k < KEYED_MAX; k++)
    for (uint32_t b = 0; b < SLOT_BLOCKS; b++)
      {
        g_snprintf (row, sizeof row, ROW_SLOTS "%u/%u", k, b);
        json_object_set_new (rows, row, table_block_to_json (self, k, b));
      }
  return rows;
}

status_t
table_from_json (table_t *self, const json_t *rows, fault_t *fault)
{
  const char *row;
  json_t *value;

  table_init (self);
  json_object_foreach ((json_t *)rows, row, value)
    {
      status_t status = table_from_row (self, text_from_c (row), value, fault);
      if (status != STATUS_OK)
        return status;
    }
  return STATUS_OK;
}
