#include "http_reader.h"

#include "../core/limits.h"

#include <string.h>

static http_reader_t *
reader_of (http_parser *parser)
{
  return parser->data;
}

/* Returns 0 if N more bytes fit in the head, else 1, which makes the parser stop. */
static int
check_head_size (http_reader_t *self, size_t n)
{
  if (self->head.bytes->len + n <= self->head_max)
    return 0;
  self->too_large = true;
  return 1;
}

static int
on_begin (http_parser *parser)
{
  http_reader_t *self = reader_of (parser);

  g_string_truncate (self->head.bytes, 0);
  g_array_set_size (self->head.fields, 0);
  self->head.start_len = 0;
  self->head.status = 0;
  self->head.content_length = UINT64_MAX;
  self->in_value = false;
  self->in_message = true;
  return 0;
}

static int
on_start (http_parser *parser, const char *at, size_t len)
{
  http_reader_t *self = reader_of (parser);

  if (check_head_size (self, len) != 0)
    return 1;
  g_string_append_len (self->head.bytes, at, (gssize)len);
  self->head.start_len += (uint32_t)len;
  return 0;
}

static int
on_name (http_parser *parser, const char *at, size_t len)
{
  http_reader_t *self = reader_of (parser);
  GArray *fields = self->head.fields;

  if (check_head_size (self, len) != 0)
    return 1;
  if (fields->len == 0 || self->in_value)
    {
      http_field_t field = { .name_at = (uint32_t)self->head.bytes->len };
      g_array_append_val (fields, field);
      self->in_value = false;
    }
  g_array_index (fields, http_field_t, fields->len - 1).name_len += (uint32_t)len;
  g_string_append_len (self->head.bytes, at, (gssize)len);
  return 0;
}

static int
on_value (http_parser *parser, const char *at, size_t len)
{
  http_reader_t *self = reader_of (parser);
  http_field_t *field
      = &g_array_index (self->head.fields, http_field_t, self->head.fields->len - 1);

  if (check_head_size (self, len) != 0)
    return 1;
  if (!self->in_value)
    {
      field->value_at = (uint32_t)self->head.bytes->len;
      self->in_value = true;
    }
  field->value_len += (uint32_t)len;
  g_string_append_len (self->head.bytes, at, (gssize)len);
  return 0;
}

/* http-parser accepts spaces in header names, which other implementations may interpret
 * as a different header: a request smuggling risk. */
static bool
has_space_in_name (const http_head_t *head)
{
  for (guint i = 0; i < head->fields->len; i++)
    {
      text_t name = http_head_name (head, i);
      if (memchr (name.at, ' ', name.len) != NULL)
        return true;
    }
  return false;
}

/* Not 101: no request asks for an upgrade. */
static bool
is_status (unsigned status)
{
  return status >= 100 && status <= 599 && status != 101;
}

static int
on_head (http_parser *parser)
{
  http_reader_t *self = reader_of (parser);
  http_head_t *head = &self->head;

  for (guint i = 0; i < head->fields->len; i++)
    {
      http_field_t *field = &g_array_index (head->fields, http_field_t, i);
      if (field->value_len == 0)
        field->value_at = field->name_at;
      while (
          field->value_len > 0
          && g_ascii_isspace (head->bytes->str[field->value_at + field->value_len - 1]))
        field->value_len--;
    }
  if (has_space_in_name (head))
    return -1;
  if (parser->type == HTTP_RESPONSE && !is_status (parser->status_code))
    return -1;
  head->method = parser->method;
  head->status = parser->status_code;
  head->http10 = parser->http_major == 1 && parser->http_minor == 0;
  head->keep_alive = http_should_keep_alive (parser) != 0;
  head->content_length = parser->content_length;
  head->has_framing
      = (parser->flags & F_CHUNKED) != 0 || parser->content_length != UINT64_MAX;
  return self->ops->head (self->owner) ? 0 : 1;
}

static int
on_body (http_parser *parser, const char *at, size_t len)
{
  http_reader_t *self = reader_of (parser);

  self->ops->body (self->owner, (text_t){ at, len });
  return 0;
}

static int
on_complete (http_parser *parser)
{
  http_reader_t *self = reader_of (parser);

  self->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_begin,
  .on_url = on_start,
  .on_status = on_start,
  .on_header_field = on_name,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
http_reader_init (http_reader_t *self,
                  http_message_kind_t kind,
                  uint32_t head_max,
                  const http_reader_ops_t *ops,
                  void *owner)
{
  *self = (http_reader_t){ .head_max = head_max, .ops = ops, .owner = owner };
  http_parser_init (&self->parser, kind == HTTP_REQUESTS ? HTTP_REQUEST : HTTP_RESPONSE);
  self->parser.data = self;
  self->head.bytes = g_string_sized_new (HTTP_HEAD_USUAL_BYTES);
  self->head.fields = g_array_new (FALSE, TRUE, sizeof (http_field_t));
}

void
http_reader_finish (http_reader_t *self)
{
  g_string_free (self->head.bytes, TRUE);
  g_array_unref (self->head.fields);
}

size_t
http_reader_held (const http_reader_t *self)
{
  guint fields = self->head.fields->len;
  size_t room = fields > 0 ? (size_t)1 << g_bit_storage (fields - 1) : 0;

  return self->head.bytes->allocated_len + room * sizeof (http_field_t);
}

void
http_reader_trim (http_reader_t *self)
{
  if (http_reader_held (self) <= HTTP_HEAD_KEPT_BYTES)
    return;
  http_reader_finish (self);
  self->head.bytes = g_string_sized_new (HTTP_HEAD_USUAL_BYTES);
  self->head.fields = g_array_new (FALSE, TRUE, sizeof (http_field_t));
}

static http_progress_t
execute (http_reader_t *self, const char *at, size_t len, size_t *consumed)
{
  *consumed = http_parser_execute (&self->parser, &parser_settings, at, len);
  enum http_errno error = HTTP_PARSER_ERRNO (&self->parser);

  if (self->too_large)
    return HTTP_TOO_LARGE;
  if (self->complete)
    {
      self->complete = false;
      self->in_message = false;
      http_parser_pause (&self->parser, 0);
      return HTTP_COMPLETE;
    }
  return error == HPE_OK && self->parser.upgrade == 0 ? HTTP_INCOMPLETE : HTTP_MALFORMED;
}

http_progress_t
http_reader_consume (http_reader_t *self, struct evbuffer *in)
{
  http_progress_t progress = HTTP_INCOMPLETE;

  while (progress == HTTP_INCOMPLETE && evbuffer_get_length (in) > 0)
    {
      struct evbuffer_iovec extent;
      size_t consumed = 0;
      if (evbuffer_peek (in, -1, NULL, &extent, 1) < 1)
        break;
      progress = execute (self, extent.iov_base, extent.iov_len, &consumed);
      evbuffer_drain (in, consumed);
    }
  return progress;
}

http_progress_t
http_reader_eof (http_reader_t *self)
{
  size_t consumed = 0;

  return execute (self, NULL, 0, &consumed);
}

bool
http_name_equal (text_t a, text_t b)
{
  return a.len == b.len && g_ascii_strncasecmp (a.at, b.at, a.len) == 0;
}

text_t
http_head_name (const http_head_t *self, guint i)
{
  const http_field_t *field = &g_array_index (self->fields, http_field_t, i);

  return (text_t){ self->bytes->str + field->name_at, field->name_len };
}

text_t
http_head_value (const http_head_t *self, guint i)
{
  const http_field_t *field = &g_array_index (self->fields, http_field_t, i);

  return (text_t){ self->bytes->str + field->value_at, field->value_len };
}

text_t
http_head_get (const http_head_t *self, text_t name)
{
  for (guint i = 0; i < self->fields->len; i++)
    if (http_name_equal (http_head_name (self, i), name))
      return http_head_value (self, i);
  return TEXT_NONE;
}

text_t
http_head_start_text (const http_head_t *self)
{
  return (text_t){ self->bytes->str, self->start_len };
}

bool
http_header_is_hop_by_hop (text_t name)
{
  static const text_t hop_by_hop_names[] = {
    TEXT ("connection"),        TEXT ("keep-alive"),
    TEXT ("proxy-connection"),  TEXT ("te"),
    TEXT ("trailer"),           TEXT ("upgrade"),
    TEXT ("transfer-encoding"), TEXT ("proxy-authorization"),
    TEXT ("content-length"),    TEXT ("expect"),
  };

  for (size_t i = 0; i < G_N_ELEMENTS (hop_by_hop_names); i++)
    if (http_name_equal (name, hop_by_hop_names[i]))
      return true;
  return false;
}

bool
http_list_has (text_t list, text_t word)
{
  while (list.len > 0)
    {
      text_t item = text_split (list, ',', &list);
      while (item.len > 0 && g_ascii_isspace (item.at[0]))
        item = (text_t){ item.at + 1, item.len - 1 };
      while (item.len > 0 && g_ascii_isspace (item.at[item.len - 1]))
        item.len--;
      if (http_name_equal (item, word))
        return true;
    }
  return false;
}
