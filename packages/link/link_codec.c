#include "link_codec.h"

#include <msgpack.h>
#include <string.h>

#define CODEC_VERSION 2
#define LOADS_MAX 4096
#define RUNS_MAX 4096

static int
write_bytes (void *data, const char *bytes, size_t len)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)len);
  return 0;
}

static void
pack_name (msgpack_packer *packer, const name_t *name)
{
  msgpack_pack_str (packer, name->len);
  msgpack_pack_str_body (packer, name->at, name->len);
}

static void
pack_start (msgpack_packer *packer, GByteArray *bytes, link_kind_t kind, size_t n)
{
  msgpack_packer_init (packer, bytes, write_bytes);
  msgpack_pack_array (packer, n + 2);
  msgpack_pack_uint8 (packer, CODEC_VERSION);
  msgpack_pack_uint8 (packer, (uint8_t)kind);
}

GByteArray *
link_write_report (const link_report_t *report)
{
  GByteArray *bytes = g_byte_array_new ();
  msgpack_packer packer;

  pack_start (&packer, bytes, LINK_REPORT, 6);
  pack_name (&packer, &report->host);
  pack_name (&packer, &report->address);
  msgpack_pack_uint64 (&packer, report->life);
  pack_name (&packer, &report->service);
  msgpack_pack_uint64 (&packer, report->table_version);
  msgpack_pack_array (&packer, 2 * (size_t)report->loads->len);
  for (guint i = 0; i < report->loads->len; i++)
    {
      const key_load_t *load = &g_array_index (report->loads, key_load_t, i);
      msgpack_pack_uint32 (&packer, load->step);
      msgpack_pack_uint32 (&packer, load->count);
    }
  return bytes;
}

static void
pack_table (msgpack_packer *packer, const key_table_t *table)
{
  msgpack_pack_array (packer, 2 + 6 * (size_t)table->runs->len);
  pack_name (packer, &table->service);
  msgpack_pack_uint64 (packer, table->version);
  for (guint i = 0; i < table->runs->len; i++)
    {
      const key_run_t *run = &g_array_index (table->runs, key_run_t, i);
      msgpack_pack_uint32 (packer, run->first);
      msgpack_pack_uint32 (packer, run->last);
      msgpack_pack_uint64 (packer, run->fence);
      pack_name (packer, &run->target);
      pack_name (packer, &run->address);
      msgpack_pack_uint64 (packer, run->born);
    }
}

GByteArray *
link_write_news (const link_news_t *news)
{
  GByteArray *bytes = g_byte_array_new ();
  msgpack_packer packer;

  pack_start (&packer, bytes, LINK_NEWS, 8);
  pack_name (&packer, &news->host);
  pack_name (&packer, &news->address);
  msgpack_pack_uint64 (&packer, news->life);
  msgpack_pack_uint64 (&packer, (uint64_t)MAX (news->role_left, 0));
  msgpack_pack_uint32 (&packer, news->hosts);
  msgpack_pack_uint64 (&packer, news->configuration_row);
  msgpack_pack_uint64 (&packer, news->targets_row);
  if (news->has_table)
    pack_table (&packer, &news->table);
  else
    msgpack_pack_nil (&packer);
  return bytes;
}

/* Values of one array, taken in order; OK turns false at the first that doesn't fit. */
typedef struct
{
  const msgpack_object_array *array;
  uint32_t at;
  bool ok;
} cursor_t;

static const msgpack_object *
next (cursor_t *self)
{
  if (self->at >= self->array->size)
    {
      self->ok = false;
      return NULL;
    }
  return &self->array->ptr[self->at++];
}

static uint64_t
take_number (cursor_t *self, uint64_t max)
{
  const msgpack_object *value = next (self);

  if (value == NULL || value->type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || value->via.u64 > max)
    {
      self->ok = false;
      return 0;
    }
  return value->via.u64;
}

static void
take_name (cursor_t *self, name_t *name)
{
  const msgpack_object *value = next (self);

  if (value == NULL || value->type != MSGPACK_OBJECT_STR
      || !name_set (name, (text_t){ value->via.str.ptr, value->via.str.size }))
    self->ok = false;
}

static bool
take_report (cursor_t *fields, link_report_t *report)
{
  take_name (fields, &report->host);
  take_name (fields, &report->address);
  report->life = take_number (fields, UINT64_MAX);
  take_name (fields, &report->service);
  report->table_version = take_number (fields, UINT64_MAX);
  const msgpack_object *loads = next (fields);
  report->loads = g_array_new (FALSE, FALSE, sizeof (key_load_t));
  if (!fields->ok || loads->type != MSGPACK_OBJECT_ARRAY
      || loads->via.array.size > 2 * LOADS_MAX)
    return false;
  cursor_t items = { &loads->via.array, 0, true };
  while (items.ok && items.at < items.array->size)
    {
      key_load_t load = { .step = (uint16_t)take_number (&items, KEY_LAST),
                          .count = (uint32_t)take_number (&items, UINT32_MAX) };
      g_array_append_val (report->loads, load);
    }
  return items.ok;
}

static bool
take_table (const msgpack_object *value, key_table_t *table)
{
  name_t service = { 0 };

  if (value->type != MSGPACK_OBJECT_ARRAY || value->via.array.size > 2 + 6 * RUNS_MAX)
    return false;
  cursor_t items = { &value->via.array, 0, true };
  take_name (&items, &service);
  key_table_init (table, name_text (&service));
  table->version = take_number (&items, UINT64_MAX);
  while (items.ok && items.at < items.array->size)
    {
      key_run_t run = { 0 };
      run.first = (uint32_t)take_number (&items, KEY_LAST);
      run.last = (uint32_t)take_number (&items, KEY_LAST);
      run.fence = take_number (&items, UINT64_MAX);
      take_name (&items, &run.target);
      take_name (&items, &run.address);
      run.born = take_number (&items, UINT64_MAX);
      g_array_append_val (table->runs, run);
    }
  return items.ok;
}

static bool
take_news (cursor_t *fields, link_news_t *news)
{
  take_name (fields, &news->host);
  take_name (fields, &news->address);
  news->life = take_number (fields, UINT64_MAX);
  news->role_left = (msec_t)take_number (fields, 1000 * 1000);
  news->hosts = (uint32_t)take_number (fields, UINT32_MAX);
  news->configuration_row = take_number (fields, UINT64_MAX);
  news->targets_row = take_number (fields, UINT64_MAX);
  const msgpack_object *table = next (fields);
  if (!fields->ok)
    return false;
  news->has_table = table->type != MSGPACK_OBJECT_NIL;
  return !news->has_table || take_table (table, &news->table);
}

status_t
link_read (link_msg_t *msg, text_t bytes, fault_t *fault)
{
  msgpack_unpacked unpacked;
  size_t at = 0;
  bool ok = false;

  *msg = (link_msg_t){ 0 };
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, bytes.at, bytes.len, &at) == MSGPACK_UNPACK_SUCCESS
      && unpacked.data.type == MSGPACK_OBJECT_ARRAY)
    {
      cursor_t fields = { &unpacked.data.via.array, 0, true };
      uint64_t version = take_number (&fields, UINT8_MAX);
      msg->kind = (link_kind_t)take_number (&fields, LINK_NEWS);
      ok = fields.ok && version == CODEC_VERSION
           && (msg->kind == LINK_REPORT ? take_report (&fields, &msg->report)
                                        : take_news (&fields, &msg->news));
    }
  msgpack_unpacked_destroy (&unpacked);
  if (ok)
    return STATUS_OK;
  link_msg_finish (msg);
  return fault_raise (fault,
                      STATUS_DECODE,
                      "a message of %zu bytes is malformed",
                      bytes.len);
}

void
link_msg_finish (link_msg_t *self)
{
  if (self->report.loads != NULL)
    g_array_unref (self->report.loads);
  if (self->news.table.runs != NULL)
    key_table_finish (&self->news.table);
  *self = (link_msg_t){ 0 };
}
