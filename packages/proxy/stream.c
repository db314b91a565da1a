#include "exchange.h"

#include <event2/buffer.h>

/*
 * STREAM: forwards bodies that are too large to be buffered, as they arrive.
 *
 * Flow control: the sender is not read while too much output is queued for a slower
 * receiver (flow.h).  Forwarded data is not kept, so it cannot be requested or sent
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

flow_queue_t
stream_queue (const proxy_t *proxy, struct bufferevent *to, bool paused)
{
  return (flow_queue_t){ .held = evbuffer_get_length (bufferevent_get_output (to)),
                         .held_max
                         = buffers_part (&proxy->account.buffers, STREAM_HIGH_BYTES),
                         .paused = paused };
}

/* TO's write callback is called when so little is left that its sender is read again. */
static void
tell_when_taken (const exchange_t *self, struct bufferevent *to)
{
  bufferevent_setwatermark (to,
                            EV_WRITE,
                            stream_queue (self->proxy, to, true).held_max / 4,
                            0);
}

void
stream_response (exchange_t *self, struct evbuffer *part)
{
  struct bufferevent *to = self->caller->bev;

  write_part (bufferevent_get_output (to), part, self->response_chunked);
  tell_when_taken (self, to);
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
  tell_when_taken (self, to);
}
