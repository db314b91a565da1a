#include "key_rows.h"

#include "../core/json.h"

static GString *
dump (json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);
  GString *bytes = g_string_new (text);

  free (text);
  json_decref (value);
  return bytes;
}

/* A run: [first, last, fence, target, born, address]. */
GString *
key_rows_write_table (const key_table_t *table)
{
  json_t *runs = json_array ();

  for (guint i = 0; i < table->runs->len; i++)
    {
      const key_run_t *run = &g_array_index (table->runs, key_run_t, i);
      json_array_append_new (runs,
                             json_pack ("[I,I,I,o,I,o]",
                                        (json_int_t)run->first,
                                        (json_int_t)run->last,
                                        (json_int_t)run->fence,
                                        json_from_name (&run->target),
                                        (json_int_t)run->born,
                                        json_from_name (&run->address)));
    }
  return dump (json_pack ("{s:o}", "runs", runs));
}

static bool
read_run (const json_t *value, key_run_t *run)
{
  json_int_t first, last, fence, born;
  json_t *target, *address;

  if (json_unpack ((json_t *)value,
                   "[I,I,I,o,I,o]",
                   &first,
                   &last,
                   &fence,
                   &target,
                   &born,
                   &address)
      != 0)
    return false;
  *run = (key_run_t){ .first = (uint32_t)first,
                      .last = (uint32_t)last,
                      .fence = (uint64_t)fence,
                      .born = (uint64_t)born };
  return first >= 0 && last >= first && last <= KEY_LAST && fence > 0 && born >= 0
         && json_string_length (target) > 0 && json_string_length (address) > 0
         && name_set (&run->target, json_text (target))
         && name_set (&run->address, json_text (address));
}

status_t
key_rows_read_table (key_table_t *table, text_t bytes, fault_t *fault)
{
  json_error_t error;
  json_t *root = json_loadb (bytes.at, bytes.len, 0, &error);
  const json_t *runs = json_object_get (root, "runs");
  uint32_t next = 0;
  status_t status = STATUS_OK;
  size_t i;
  json_t *value;

  g_array_set_size (table->runs, 0);
  json_array_foreach (runs, i, value)
    {
      key_run_t run;
      if (!read_run (value, &run) || run.first != next)
        {
          status = fault_raise (fault, STATUS_DECODE, "run %zu is malformed", i);
          break;
        }
      next = run.last + 1;
      g_array_append_val (table->runs, run);
    }
  if (status == STATUS_OK && next != KEY_LAST + 1)
    status = fault_raise (fault, STATUS_DECODE, "the runs end at key %u", next);
  json_decref (root);
  return status;
}

GString *
key_rows_write_role (const role_row_t *role)
{
  return dump (json_pack ("{s:o,s:o,s:I,s:I,s:I,s:I}",
                          "host",
                          json_from_name (&role->host),
                          "address",
                          json_from_name (&role->address),
                          "life",
                          (json_int_t)role->life,
                          "beat",
                          (json_int_t)role->beat,
                          "next_fence",
                          (json_int_t)role->next_fence,
                          "until",
                          (json_int_t)role->until));
}

status_t
key_rows_read_role (role_row_t *role, text_t bytes, fault_t *fault)
{
  json_error_t error;
  json_t *root = json_loadb (bytes.at, bytes.len, 0, &error);
  uint64_t until = 0;
  bool ok = json_get_name (root, "host", &role->host)
            && json_get_name (root, "address", &role->address)
            && json_get_u64 (root, "life", INT64_MAX, &role->life)
            && json_get_u64 (root, "beat", INT64_MAX, &role->beat)
            && json_get_u64 (root, "next_fence", INT64_MAX, &role->next_fence)
            && json_get_u64 (root, "until", INT64_MAX, &until);

  role->until = (msec_t)until;
  json_decref (root);
  return ok ? STATUS_OK : fault_raise (fault, STATUS_DECODE, "the role is malformed");
}
