#pragma once

#include "../core/fault.h"

#include <event2/buffer.h>
#include <glib.h>
#include <http_parser.h>

/*
 * HTTP_READER: splits the byte stream of one HTTP/1.1 connection into messages.
 *
 * Works on an evbuffer and owns no socket.  Parsing is done by the http-parser library,
 * which rejects ambiguous framing (two Content-Length headers, or Content-Length together
 * with chunked encoding), to prevent request smuggling.
 */

typedef enum
{
  HTTP_REQUESTS,
  HTTP_RESPONSES,
} http_message_kind_t;

typedef struct
{
  uint32_t name_at, name_len;
  uint32_t value_at, value_len;
} http_field_t;

typedef struct
{
  GString *bytes; /* request target or reason phrase, then all header names and values */
  uint32_t start_len;
  GArray *fields;   /* http_field_t */
  unsigned method;  /* requests: enum http_method */
  unsigned status;  /* responses */
  bool http10;      /* the message is HTTP/1.0 */
  bool keep_alive;  /* persistent connection, by the version and the Connection header */
  bool has_framing; /* Content-Length or chunked: the end of the body is explicit */
  uint64_t content_length; /* Content-Length, in bytes; UINT64_MAX if absent */
} http_head_t;

typedef struct
{
  /* The head is complete.  Returns whether a body may follow; false for the response to a
   * HEAD request. */
  bool (*head) (void *owner);
  void (*body) (void *owner, text_t bytes);
} http_reader_ops_t;

typedef enum
{
  HTTP_INCOMPLETE, /* all bytes were consumed; the message is not complete yet */
  HTTP_COMPLETE,   /* one message is complete; bytes after it stay in the buffer */
  HTTP_MALFORMED,  /* the bytes are not valid HTTP, or the status is none of a response */
  HTTP_TOO_LARGE,  /* the head exceeds head_max */
} http_progress_t;

typedef struct
{
  http_parser parser;
  http_head_t head;
  uint32_t head_max; /* bytes */
  bool in_value;     /* the last header fragment was part of a value */
  bool complete;
  bool too_large;
  bool in_message; /* a byte of the current message was consumed */
  const http_reader_ops_t *ops;
  void *owner;
} http_reader_t;

/* HEAD_MAX: maximum total size in bytes of the request target or reason phrase, the
 * header names and the header values of one message. */
void http_reader_init (http_reader_t *self,
                       http_message_kind_t kind,
                       uint32_t head_max,
                       const http_reader_ops_t *ops,
                       void *owner);
void http_reader_finish (http_reader_t *self);

/* Bytes that it occupies for the head of a message. */
size_t http_reader_held (const http_reader_t *self);

/* Frees what a large head occupies.  The head is not valid afterwards. */
void http_reader_trim (http_reader_t *self);

/* Consumes bytes from IN up to the end of one message. */
http_progress_t http_reader_consume (http_reader_t *self, struct evbuffer *in);

/*
 * Reports the end of the byte stream (an orderly close, not a reset).  Returns
 * HTTP_COMPLETE if that completes a message without explicit framing.
 */
http_progress_t http_reader_eof (http_reader_t *self);

/* The value of the first header NAME, ignoring ASCII case; TEXT_NONE if absent. */
text_t http_head_get (const http_head_t *self, text_t name);
text_t http_head_name (const http_head_t *self, guint i);
text_t http_head_value (const http_head_t *self, guint i);

/* The request target, or the reason phrase of a response. */
text_t http_head_start_text (const http_head_t *self);

/* Whether header NAME is not forwarded: it describes one connection, or its framing. */
bool http_header_is_hop_by_hop (text_t name);

/* Compares header names, ignoring ASCII case. */
bool http_name_equal (text_t a, text_t b);

/* Whether the comma-separated LIST contains WORD, ignoring ASCII case. */
bool http_list_has (text_t list, text_t word);
