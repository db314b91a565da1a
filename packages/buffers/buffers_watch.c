#include "buffers_watch.h"

#include <event2/buffer.h>

static void
on_change (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *arg)
{
  (void)buffer;
  buffers_changed (arg, info->n_added, info->n_deleted);
}

/* Freeing a buffer doesn't report its bytes as deleted. */
static void
forget (buffers_t *self, struct evbuffer *buffer)
{
  evbuffer_remove_cb (buffer, on_change, self);
  buffers_changed (self, 0, evbuffer_get_length (buffer));
}

struct evbuffer *
buffers_new (buffers_t *self)
{
  struct evbuffer *buffer = evbuffer_new ();

  evbuffer_add_cb (buffer, on_change, self);
  return buffer;
}

void
buffers_free (buffers_t *self, struct evbuffer *buffer)
{
  if (buffer == NULL)
    return;
  forget (self, buffer);
  evbuffer_free (buffer);
}

void
buffers_watch_output (buffers_t *self, struct bufferevent *bev)
{
  evbuffer_add_cb (bufferevent_get_output (bev), on_change, self);
}

void
buffers_forget_output (buffers_t *self, struct bufferevent *bev)
{
  forget (self, bufferevent_get_output (bev));
}
