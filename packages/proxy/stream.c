#include "exchange.h"

#include <event2/buffer.h>

/*
 * STREAM: bodies that are too large to be held whole pass through as they come.
 *
 * Whoever reads slower than the other side sends stops the other side's
 * reading.  What was passed on can't be asked for or sent again.
 */

static void
add_piece (struct evbuffer *out, struct evbuffer *piece, bool chunked)
{
  size_t len = evbuffer_get_length (piece);

  if (len == 0)
    return;
  if (chunked)
    evbuffer_add_printf (out, "%zx\r\n", len);
  evbuffer_add_buffer (out, piece);
  if (chunked)
    evbuffer_add (out, "\r\n", 2);
}

/* Stops reading FROM while more than STREAM_HIGH_BYTES wait to be written to TO. */
static void
hold_back (struct bufferevent *from, struct bufferevent *to)
{
  if (evbuffer_get_length (bufferevent_get_output (to)) <= STREAM_HIGH_BYTES)
    return;
  bufferevent_setwatermark (to, EV_WRITE, STREAM_LOW_BYTES, 0);
  bufferevent_disable (from, EV_READ);
}

void
stream_answer (exchange_t *self, struct evbuffer *piece, struct bufferevent *from)
{
  struct bufferevent *to = self->caller->bev;

  add_piece (bufferevent_get_output (to), piece, self->answer_chunked);
  hold_back (from, to);
}

void
stream_answer_end (exchange_t *self)
{
  if (self->answer_chunked)
    bufferevent_write (self->caller->bev, "0\r\n\r\n", 5);
}

void
stream_request (exchange_t *self, struct bufferevent *to)
{
  add_piece (bufferevent_get_output (to), self->body, self->body_chunked);
  if (self->whole && self->body_chunked)
    bufferevent_write (to, "0\r\n\r\n", 5);
  if (self->caller != NULL && !self->whole)
    hold_back (self->caller->bev, to);
}
