#include "key_rows.h"

#include "../core/json.h"
#include "../core/limits.h"
#include "../link/link_pack.h"

#include <string.h>

/* The first bytes of a packed row (Zstandard); a plain one begins with a brace. */
static const char packed_start[] = { '\x28', '\xb5', '\x2f', '\xfd' };

static GString *
encode_json (json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);
  GString *bytes = g_string_new (text);

  free (text);
  json_decref (value);
  return bytes;
}

/* The index in OWNERS of RANGE's owner at its address; adds it if it is missing. */
static json_int_t
owner_index (json_t *owners, GHashTable *indices, const key_range_t *range)
{
  char *id = g_strdup_printf ("%.*s %.*s %llu",
                              NAME_ARG (range->target),
                              NAME_ARG (range->address),
                              (unsigned long long)range->target_started_at);
  gpointer found;

  if (g_hash_table_lookup_extended (indices, id, NULL, &found))
    {
      g_free (id);
      return GPOINTER_TO_INT (found);
    }
  json_int_t index = (json_int_t)json_array_size (owners);
  g_hash_table_insert (indices, id, GINT_TO_POINTER (index));
  json_array_append_new (owners,
                         json_pack ("[o,o,I]",
                                    json_from_name (&range->target),
                                    json_from_name (&range->address),
                                    (json_int_t)range->target_started_at));
  return index;
}

/* Frees ROW. */
static GString *
pack_row (GString *row)
{
  GByteArray *packed = g_byte_array_new ();

  link_pack ((text_t){ row->str, row->len }, TEXT_NONE, packed);
  GString *bytes = g_string_new_len ((const char *)packed->data, (gssize)packed->len);
  g_byte_array_unref (packed);
  g_string_free (row, TRUE);
  return bytes;
}

/*
 * "owners": [target, address, start time], each once.  "runs": [first key, fence,
 * index of the owner]; a range ends before the first key of the next one.  "era": of the
 * store.  The format is compact because a row holds at most 64 KiB; a longer table is
 * packed.
 */
GString *
key_rows_encode_table (const key_table_t *table)
{
  GHashTable *indices = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  json_t *owners = json_array ();
  json_t *ranges = json_array ();

  for (guint i = 0; i < table->ranges->len; i++)
    {
      const key_range_t *range = &g_array_index (table->ranges, key_range_t, i);
      json_array_append_new (ranges,
                             json_pack ("[I,I,I]",
                                        (json_int_t)range->first,
                                        (json_int_t)range->fence,
                                        owner_index (owners, indices, range)));
    }
  g_hash_table_unref (indices);
  GString *row = encode_json (json_pack ("{s:o,s:o,s:I}",
                                         "owners",
                                         owners,
                                         "runs",
                                         ranges,
                                         "era",
                                         (json_int_t)table->era));
  return row->len > KEYS_ROW_PLAIN_MAX_BYTES ? pack_row (row) : row;
}

static bool
decode_owner (const json_t *value, key_range_t *range)
{
  json_int_t started_at;
  json_t *target, *address;

  if (json_unpack ((json_t *)value, "[o,o,I]", &target, &address, &started_at) != 0)
    return false;
  range->target_started_at = (uint64_t)started_at;
  return started_at >= 0 && json_string_length (target) > 0
         && json_string_length (address) > 0
         && name_set (&range->target, json_text (target))
         && name_set (&range->address, json_text (address));
}

static bool
decode_range (const json_t *value, const json_t *owners, key_range_t *range)
{
  json_int_t first, fence, owner;

  *range = (key_range_t){ 0 };
  if (json_unpack ((json_t *)value, "[I,I,I]", &first, &fence, &owner) != 0 || first < 0
      || first > KEY_LAST || fence <= 0 || owner < 0)
    return false;
  range->first = (uint32_t)first;
  range->fence = (uint64_t)fence;
  return decode_owner (json_array_get (owners, (size_t)owner), range);
}

static status_t
decode_plain_table (key_table_t *table, text_t bytes, fault_t *fault)
{
  json_error_t error;
  json_t *root = json_loadb (bytes.at, bytes.len, 0, &error);
  const json_t *owners = json_object_get (root, "owners");
  const json_t *ranges = json_object_get (root, "runs");
  status_t status = STATUS_OK;
  size_t i;
  json_t *value;

  g_array_set_size (table->ranges, 0);
  table->era = json_number (root, "era");
  json_array_foreach (ranges, i, value)
    {
      key_range_t range;
      key_range_t *previous
          = i > 0 ? &g_array_index (table->ranges, key_range_t, i - 1) : NULL;
      if (!decode_range (value, owners, &range)
          || (previous == NULL ? range.first != 0 : range.first <= previous->first))
        {
          status = fault_raise (fault, STATUS_DECODE, "key range %zu is malformed", i);
          break;
        }
      if (previous != NULL)
        previous->last = range.first - 1;
      range.last = KEY_LAST;
      g_array_append_val (table->ranges, range);
    }
  if (status == STATUS_OK && table->ranges->len == 0)
    status = fault_raise (fault, STATUS_DECODE, "key table has no ranges");
  json_decref (root);
  return status;
}

status_t
key_rows_decode_table (key_table_t *table, text_t bytes, fault_t *fault)
{
  bool packed = bytes.len >= sizeof packed_start
                && memcmp (bytes.at, packed_start, sizeof packed_start) == 0;

  if (!packed)
    return decode_plain_table (table, bytes, fault);
  GString *plain = g_string_new (NULL);
  status_t status = link_unpack (bytes, TEXT_NONE, plain, fault);
  if (status == STATUS_OK)
    status = decode_plain_table (table, (text_t){ plain->str, plain->len }, fault);
  g_string_free (plain, TRUE);
  return status;
}

GString *
key_rows_encode_role (const role_row_t *role)
{
  return encode_json (json_pack ("{s:o,s:o,s:I,s:I,s:I,s:I,s:I,s:I,s:b}",
                                 "host",
                                 json_from_name (&role->host),
                                 "address",
                                 json_from_name (&role->address),
                                 "life",
                                 (json_int_t)role->incarnation,
                                 "beat",
                                 (json_int_t)role->sequence,
                                 "next_fence",
                                 (json_int_t)role->next_fence,
                                 "until",
                                 (json_int_t)role->until,
                                 "longest_hold",
                                 (json_int_t)role->longest_hold,
                                 "era",
                                 (json_int_t)role->era,
                                 "incomplete",
                                 role->incomplete));
}

status_t
key_rows_decode_role (role_row_t *role, text_t bytes, fault_t *fault)
{
  json_error_t error;
  json_t *root = json_loadb (bytes.at, bytes.len, 0, &error);
  uint64_t until = 0;
  bool ok = json_get_name (root, "host", &role->host)
            && json_get_name (root, "address", &role->address)
            && json_get_u64 (root, "life", INT64_MAX, &role->incarnation)
            && json_get_u64 (root, "beat", INT64_MAX, &role->sequence)
            && json_get_u64 (root, "next_fence", INT64_MAX, &role->next_fence)
            && json_get_u64 (root, "until", INT64_MAX, &until);

  role->until = (msec_t)until;
  role->longest_hold
      = (msec_t)MIN (json_number (root, "longest_hold"), KEYS_HOLD_LIMIT_MS);
  role->era = json_number (root, "era");
  role->incomplete = json_is_true (json_object_get (root, "incomplete"));
  json_decref (root);
  return ok ? STATUS_OK
            : fault_raise (fault, STATUS_DECODE, "granter role row is malformed");
}
