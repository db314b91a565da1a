#include "account_watch.h"

#include <event2/buffer.h>

static void
on_body_changed (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *arg)
{
  (void)buffer;
  account_charge (arg, ACCOUNT_BODY, info->n_added, info->n_deleted);
}

static void
on_input_changed (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *arg)
{
  (void)buffer;
  account_charge (arg, ACCOUNT_INPUT, info->n_added, info->n_deleted);
}

static void
on_output_changed (struct evbuffer *buffer,
                   const struct evbuffer_cb_info *info,
                   void *arg)
{
  (void)buffer;
  account_charge (arg, ACCOUNT_OUTPUT, info->n_added, info->n_deleted);
}

struct evbuffer *
account_buffer_new (account_holder_t *holder)
{
  struct evbuffer *buffer = evbuffer_new ();

  evbuffer_add_cb (buffer, on_body_changed, holder);
  return buffer;
}

/* Freeing a buffer doesn't report its bytes as deleted. */
void
account_buffer_free (account_holder_t *holder, struct evbuffer *buffer)
{
  if (buffer == NULL)
    return;
  evbuffer_remove_cb (buffer, on_body_changed, holder);
  account_charge (holder, ACCOUNT_BODY, 0, evbuffer_get_length (buffer));
  evbuffer_free (buffer);
}

void
account_watch (account_holder_t *holder, struct bufferevent *bev)
{
  evbuffer_add_cb (bufferevent_get_input (bev), on_input_changed, holder);
  evbuffer_add_cb (bufferevent_get_output (bev), on_output_changed, holder);
}

void
account_forget (account_holder_t *holder, struct bufferevent *bev)
{
  struct evbuffer *in = bufferevent_get_input (bev), *out = bufferevent_get_output (bev);

  evbuffer_remove_cb (in, on_input_changed, holder);
  evbuffer_remove_cb (out, on_output_changed, holder);
  account_charge (holder, ACCOUNT_INPUT, 0, evbuffer_get_length (in));
  account_charge (holder, ACCOUNT_OUTPUT, 0, evbuffer_get_length (out));
}
