#include "exchange.h"

#include <event2/buffer.h>

/*
 * STREAM: forwards bodies that are too large to be buffered, as they arrive.
 *
 * Flow control: reading from the sender pauses while too much output is queued for a
 * slower receiver.  Forwarded data is not kept, so it cannot be requested or sent
 * again.
 */

static void
write_part (struct evbuffer *out, struct evbuffer *part, bool chunked)
{
  size_t len = evbuffer_get_length (part);

  if (len == 0)
    return;
  if (chunked)
    evbuffer_add_printf (out, "%zx\r\n", len);
  evbuffer_add_buffer (out, part);
  if (chunked)
    evbuffer_add (out, "\r\n", 2);
}

/* Stops reading FROM if more than a part of the memory is queued for writing to TO.  TO's
 * write callback, called at a quarter of that, resumes it. */
static void
pause_if_full (const exchange_t *self, struct bufferevent *from, struct bufferevent *to)
{
  size_t high = buffers_part (&self->proxy->buffers, STREAM_HIGH_BYTES);

  if (evbuffer_get_length (bufferevent_get_output (to)) <= high)
    return;
  bufferevent_setwatermark (to, EV_WRITE, high / 4, 0);
  bufferevent_disable (from, EV_READ);
}

void
stream_response (exchange_t *self, struct evbuffer *part, struct bufferevent *from)
{
  struct bufferevent *to = self->caller->bev;

  write_part (bufferevent_get_output (to), part, self->response_chunked);
  pause_if_full (self, from, to);
}

void
stream_response_end (exchange_t *self)
{
  if (self->response_chunked)
    bufferevent_write (self->caller->bev, "0\r\n\r\n", 5);
}

void
stream_request (exchange_t *self, struct bufferevent *to)
{
  write_part (bufferevent_get_output (to), self->body, self->request_chunked);
  if (self->request_complete && self->request_chunked)
    bufferevent_write (to, "0\r\n\r\n", 5);
  if (self->caller != NULL && !self->request_complete)
    pause_if_full (self, self->caller->bev, to);
}
