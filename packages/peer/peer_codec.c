#include "peer_codec.h"

#include <string.h>

/* First bytes of the MessagePack types that peer messages use. */
#define LEAD_FIXMAP 0x80
#define LEAD_FIXSTR 0xa0
#define LEAD_NIL 0xc0
#define LEAD_UINT8 0xcc
#define LEAD_INT64 0xd3
#define LEAD_STR8 0xd9

typedef struct
{
  const char *bytes;
  size_t len;
  size_t at;
  msgpack_unpacked value;
  bool ok;
} reader_t;

static void
pack_name (msgpack_packer *packer, const name_t *name)
{
  msgpack_pack_str (packer, name->len);
  msgpack_pack_str_body (packer, name->at, name->len);
}

void
peer_encode (const peer_msg_t *msg, msgpack_sbuffer *buffer)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  msgpack_pack_uint8 (&packer, PEER_CODEC_VERSION);
  msgpack_pack_uint8 (&packer, (uint8_t)msg->kind);
  pack_name (&packer, &msg->from.name);
  pack_name (&packer, &msg->from.address);
  pack_name (&packer, &msg->from.data_centre);
  msgpack_pack_uint32 (&packer, msg->from.peer_port);
  msgpack_pack_uint64 (&packer, msg->from.incarnation);
  msgpack_pack_uint64 (&packer, msg->version);
  msgpack_pack_uint64 (&packer, msg->config_version);
  msgpack_pack_uint8 (&packer, msg->leaving);
  msgpack_pack_uint64 (&packer, msg->seq);
  msgpack_pack_uint8 (&packer, msg->vote);
  msgpack_pack_int64 (&packer, msg->age);
  msgpack_pack_uint64 (&packer, msg->fingerprint);
  msgpack_pack_uint64 (&packer, msg->target);
  msgpack_pack_uint8 (&packer, msg->cleared);
  msgpack_pack_uint32 (&packer, msg->keyed_index);
  msgpack_pack_uint32 (&packer, msg->other_load);
  msgpack_pack_uint32 (&packer, msg->n_loads);
  for (uint32_t i = 0; i < msg->n_loads; i++)
    {
      msgpack_pack_uint16 (&packer, msg->loads[i].slot);
      msgpack_pack_uint32 (&packer, msg->loads[i].load);
    }
}

/*
 * Accepts integers and strings only.  For an array or map the library allocates memory
 * for as many items as its header claims, which a short message can set to billions.
 */
static bool
is_scalar (uint8_t lead)
{
  if (lead < LEAD_FIXMAP || lead > LEAD_STR8)
    return lead < LEAD_FIXMAP || lead >= 0xe0;
  return (lead >= LEAD_FIXSTR && lead < LEAD_NIL)
         || (lead >= LEAD_UINT8 && lead <= LEAD_INT64) || lead == LEAD_STR8;
}

/* Returns the next value.  If there is none, sets `ok` of the reader to false and returns
 * nil. */
static const msgpack_object *
read_value (reader_t *reader)
{
  static const msgpack_object nil = { .type = MSGPACK_OBJECT_NIL };

  if (!reader->ok || reader->at >= reader->len
      || !is_scalar ((uint8_t)reader->bytes[reader->at])
      || msgpack_unpack_next (&reader->value, reader->bytes, reader->len, &reader->at)
             != MSGPACK_UNPACK_SUCCESS)
    {
      reader->ok = false;
      return &nil;
    }
  return &reader->value.data;
}

static uint64_t
read_uint (reader_t *reader, uint64_t max)
{
  const msgpack_object *item = read_value (reader);

  if (item->type != MSGPACK_OBJECT_POSITIVE_INTEGER || item->via.u64 > max)
    {
      reader->ok = false;
      return 0;
    }
  return item->via.u64;
}

static int64_t
read_int (reader_t *reader)
{
  const msgpack_object *item = read_value (reader);

  if (item->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return item->via.i64;
  if (item->type == MSGPACK_OBJECT_POSITIVE_INTEGER && item->via.u64 <= INT64_MAX)
    return (int64_t)item->via.u64;
  reader->ok = false;
  return 0;
}

static void
read_name (reader_t *reader, name_t *name)
{
  const msgpack_object *item = read_value (reader);
  text_t text = TEXT_NONE;

  if (item->type == MSGPACK_OBJECT_STR)
    text = (text_t){ item->via.str.ptr, item->via.str.size };
  if (text.len == 0 || !name_set (name, text))
    reader->ok = false;
}

static void
read_loads (reader_t *reader, peer_msg_t *msg)
{
  for (uint32_t i = 0; reader->ok && i < msg->n_loads; i++)
    {
      msg->loads[i].slot = (uint16_t)read_uint (reader, SLOT_COUNT - 1);
      msg->loads[i].load = (uint32_t)read_uint (reader, UINT32_MAX);
    }
}

static bool
read_message (reader_t *reader, peer_msg_t *msg)
{
  if (read_uint (reader, UINT8_MAX) != PEER_CODEC_VERSION)
    return false;
  msg->kind = (peer_kind_t)read_uint (reader, PEER_KIND_COUNT - 1);
  read_name (reader, &msg->from.name);
  read_name (reader, &msg->from.address);
  read_name (reader, &msg->from.data_centre);
  msg->from.peer_port = (uint32_t)read_uint (reader, 65535);
  msg->from.incarnation = read_uint (reader, INT64_MAX);
  msg->version = read_uint (reader, INT64_MAX);
  msg->config_version = read_uint (reader, INT64_MAX);
  msg->leaving = read_uint (reader, 1) != 0;
  msg->seq = read_uint (reader, UINT64_MAX);
  msg->vote = read_uint (reader, 1) != 0;
  msg->age = read_int (reader);
  msg->fingerprint = read_uint (reader, UINT64_MAX);
  msg->target = read_uint (reader, UINT64_MAX);
  msg->cleared = read_uint (reader, 1) != 0;
  msg->keyed_index = (uint32_t)read_uint (reader, KEYED_MAX - 1);
  msg->other_load = (uint32_t)read_uint (reader, UINT32_MAX);
  msg->n_loads = (uint32_t)read_uint (reader, PEER_LOADS_MAX);
  read_loads (reader, msg);
  return reader->ok;
}

status_t
peer_decode (peer_msg_t *msg, const char *bytes, size_t len, fault_t *fault)
{
  reader_t reader = { .bytes = bytes, .len = len, .ok = true };

  memset (msg, 0, sizeof *msg);
  if (len > PEER_MESSAGE_MAX_BYTES)
    return fault_raise (fault, STATUS_DECODE, "peer message too long: %zu bytes", len);
  msgpack_unpacked_init (&reader.value);
  bool ok = read_message (&reader, msg) && reader.at == len;
  msgpack_unpacked_destroy (&reader.value);
  if (!ok)
    return fault_raise (fault, STATUS_DECODE, "malformed peer message");
  return STATUS_OK;
}
