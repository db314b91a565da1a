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

/* The owner of RUN among OWNERS, which are listed once each; adds it if it's new. */
static json_int_t
owner_index (json_t *owners, GHashTable *known, const key_run_t *run)
{
  char *id = g_strdup_printf ("%.*s %llu",
                              NAME_ARG (run->target),
                              (unsigned long long)run->born);
  gpointer found;

  if (g_hash_table_lookup_extended (known, id, NULL, &found))
    {
      g_free (id);
      return GPOINTER_TO_INT (found);
    }
  json_int_t index = (json_int_t)json_array_size (owners);
  g_hash_table_insert (known, id, GINT_TO_POINTER (index));
  json_array_append_new (owners,
                         json_pack ("[o,o,I]",
                                    json_from_name (&run->target),
                                    json_from_name (&run->address),
                                    (json_int_t)run->born));
  return index;
}

/*
 * Owners: [target, address, born], once each.  Runs: [first key, fence, index of the
 * owner], each up to the key before the next one's first.  A row holds 64 KiB.
 */
GString *
key_rows_write_table (const key_table_t *table)
{
  GHashTable *known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  json_t *owners = json_array ();
  json_t *runs = json_array ();

  for (guint i = 0; i < table->runs->len; i++)
    {
      const key_run_t *run = &g_array_index (table->runs, key_run_t, i);
      json_array_append_new (runs,
                             json_pack ("[I,I,I]",
                                        (json_int_t)run->first,
                                        (json_int_t)run->fence,
                                        owner_index (owners, known, run)));
    }
  g_hash_table_unref (known);
  return dump (json_pack ("{s:o,s:o}", "owners", owners, "runs", runs));
}

static bool
read_owner (const json_t *value, key_run_t *run)
{
  json_int_t born;
  json_t *target, *address;

  if (json_unpack ((json_t *)value, "[o,o,I]", &target, &address, &born) != 0)
    return false;
  run->born = (uint64_t)born;
  return born >= 0 && json_string_length (target) > 0 && json_string_length (address) > 0
         && name_set (&run->target, json_text (target))
         && name_set (&run->address, json_text (address));
}

static bool
read_run (const json_t *value, const json_t *owners, key_run_t *run)
{
  json_int_t first, fence, owner;

  *run = (key_run_t){ 0 };
  if (json_unpack ((json_t *)value, "[I,I,I]", &first, &fence, &owner) != 0 || first < 0
      || first > KEY_LAST || fence <= 0 || owner < 0)
    return false;
  run->first = (uint32_t)first;
  run->fence = (uint64_t)fence;
  return read_owner (json_array_get (owners, (size_t)owner), run);
}

status_t
key_rows_read_table (key_table_t *table, text_t bytes, fault_t *fault)
{
  json_error_t error;
  json_t *root = json_loadb (bytes.at, bytes.len, 0, &error);
  const json_t *owners = json_object_get (root, "owners");
  const json_t *runs = json_object_get (root, "runs");
  status_t status = STATUS_OK;
  size_t i;
  json_t *value;

  g_array_set_size (table->runs, 0);
  json_array_foreach (runs, i, value)
    {
      key_run_t run;
      key_run_t *before = i > 0 ? &g_array_index (table->runs, key_run_t, i - 1) : NULL;
      if (!read_run (value, owners, &run)
          || (before == NULL ? run.first != 0 : run.first <= before->first))
        {
          status = fault_raise (fault, STATUS_DECODE, "run %zu is malformed", i);
          break;
        }
      if (before != NULL)
        before->last = run.first - 1;
      run.last = KEY_LAST;
      g_array_append_val (table->runs, run);
    }
  if (status == STATUS_OK && table->runs->len == 0)
    status = fault_raise (fault, STATUS_DECODE, "there are no runs");
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
