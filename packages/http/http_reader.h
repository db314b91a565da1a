#pragma once

#include "../core/fault.h"

#include <event2/buffer.h>
#include <glib.h>
#include <http_parser.h>

/*
 * HTTP_READER: cuts the bytes of one HTTP/1.1 connection into messages.
 *
 * Works on an evbuffer and holds no socket.  Parsing is by the http-parser
 * library, which refuses malformed framing (two lengths, a length beside
 * chunks), so that no message can hide in another.
 */

typedef enum
{
  HTTP_REQUESTS,
  HTTP_ANSWERS,
} http_side_t;

typedef struct
{
  uint32_t name_at, name_len;
  uint32_t value_at, value_len;
} http_field_t;

typedef struct
{
  GString *bytes; /* the target or reason, then all names and values */
  uint32_t start_len;
  GArray *fields;  /* http_field_t */
  unsigned method; /* of http-parser, for requests */
  unsigned status; /* for answers */
  bool old;        /* HTTP/1.0 */
  bool keep_alive; /* by version and Connection */
  bool framed;     /* its end is known from a length or chunks */
  uint64_t length; /* of the body if it was told, else UINT64_MAX */
} http_head_t;

typedef struct
{
  /* The head is whole.  Returns whether a body may follow (not so for HEAD). */
  bool (*head) (void *owner);
  void (*body) (void *owner, text_t bytes);
} http_reader_ops_t;

typedef enum
{
  HTTP_MORE,      /* all bytes were taken; the message isn't whole yet */
  HTTP_COMPLETE,  /* one message is whole; bytes after it stay in the buffer */
  HTTP_BROKEN,    /* the bytes aren't HTTP */
  HTTP_TOO_LARGE, /* the head is larger than was allowed */
} http_progress_t;

typedef struct
{
  http_parser parser;
  http_head_t head;
  uint32_t head_max; /* bytes */
  bool value_last;   /* the last header piece was a value */
  bool complete;
  bool too_large;
  bool begun; /* a byte of the current message was taken */
  const http_reader_ops_t *ops;
  void *owner;
} http_reader_t;

void http_reader_init (http_reader_t *self,
                       http_side_t side,
                       uint32_t head_max,
                       const http_reader_ops_t *ops,
                       void *owner);
void http_reader_finish (http_reader_t *self);

/* Takes bytes from IN up to the end of one message. */
http_progress_t http_reader_take (http_reader_t *self, struct evbuffer *in);

/*
 * The connection ended in order (not by a reset).  HTTP_COMPLETE if that is
 * the end of a message without a length.
 */
http_progress_t http_reader_end (http_reader_t *self);

/* The value of header NAME, which is compared without case; TEXT_NONE if absent. */
text_t http_head_get (const http_head_t *self, text_t name);
text_t http_head_name (const http_head_t *self, guint i);
text_t http_head_value (const http_head_t *self, guint i);

/* The request's target, or the answer's reason. */
text_t http_head_start (const http_head_t *self);

/* Whether header NAME concerns one connection only and isn't passed on. */
bool http_header_is_hop (text_t name);

/* ASCII case is ignored. */
bool http_name_equal (text_t a, text_t b);

/* Whether the comma-separated LIST has WORD, without case. */
bool http_list_has (text_t list, text_t word);
