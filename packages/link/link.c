#include "link.h"

#include "../core/limits.h"

#include <stdio.h>
#include <zmq.h>

#define ENDPOINT_MAX 96

typedef struct
{
  void *socket;
  int64_t last_used; /* ms, monotonic */
} link_peer_t;

static void
close_peer (void *item)
{
  link_peer_t *peer = item;

  zmq_close (peer->socket);
  g_free (peer);
}

static void
set_int_option (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

/* ZMQ_FD is edge-triggered: reads until no message is left. */
static void
on_readable (evutil_socket_t fd, short what, void *arg)
{
  link_t *self = arg;
  zmq_msg_t message;

  (void)fd;
  (void)what;
  zmq_msg_init (&message);
  while (zmq_msg_recv (&message, self->pull, ZMQ_DONTWAIT) >= 0)
    {
      self->received++;
      self->receive (self->owner,
                     (text_t){ zmq_msg_data (&message), zmq_msg_size (&message) });
    }
  zmq_msg_close (&message);
}

static link_peer_t *
get_peer (link_t *self, text_t address)
{
  char endpoint[ENDPOINT_MAX];
  link_peer_t *peer;

  snprintf (endpoint, sizeof endpoint, "tcp://%.*s", TEXT_ARG (address));
  peer = g_hash_table_lookup (self->push, endpoint);
  if (peer != NULL)
    return peer;
  void *socket = zmq_socket (self->context, ZMQ_PUSH);
  set_int_option (socket, ZMQ_SNDHWM, self->limits.queue_messages);
  set_int_option (socket, ZMQ_LINGER, self->limits.linger_ms);
  set_int_option (socket, ZMQ_TCP_MAXRT, LINK_TCP_TIMEOUT_MS);
  set_int_option (socket, ZMQ_RECONNECT_IVL, LINK_RECONNECT_MS);
  set_int_option (socket, ZMQ_RECONNECT_IVL_MAX, LINK_RECONNECT_MAX_MS);
  if (zmq_connect (socket, endpoint) != 0)
    {
      zmq_close (socket);
      return NULL;
    }
  peer = g_new0 (link_peer_t, 1);
  peer->socket = socket;
  g_hash_table_insert (self->push, g_strdup (endpoint), peer);
  return peer;
}

bool
link_init (link_t *self,
           struct event_base *base,
           text_t address,
           const link_limits_t *limits,
           link_receive_t receive,
           void *owner)
{
  const int64_t size = (int64_t)limits->message_bytes;
  char endpoint[ENDPOINT_MAX];
  int fd;
  size_t len = sizeof fd;

  *self = (link_t){ .limits = *limits, .receive = receive, .owner = owner };
  self->context = zmq_ctx_new ();
  self->pull = zmq_socket (self->context, ZMQ_PULL);
  self->push = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, close_peer);
  set_int_option (self->pull, ZMQ_RCVHWM, limits->queue_messages);
  set_int_option (self->pull, ZMQ_LINGER, limits->linger_ms);
  zmq_setsockopt (self->pull, ZMQ_MAXMSGSIZE, &size, sizeof size);
  snprintf (endpoint, sizeof endpoint, "tcp://%.*s", TEXT_ARG (address));
  if (zmq_bind (self->pull, endpoint) != 0)
    return false;
  zmq_getsockopt (self->pull, ZMQ_FD, &fd, &len);
  self->readable = event_new (base, fd, EV_READ | EV_PERSIST, on_readable, self);
  event_add (self->readable, NULL);
  event_active (self->readable, EV_READ, 0);
  return true;
}

void
link_finish (link_t *self)
{
  if (self->readable != NULL)
    event_free (self->readable);
  g_hash_table_unref (self->push);
  zmq_close (self->pull);
  zmq_ctx_term (self->context);
}

bool
link_send (link_t *self, text_t address, text_t message)
{
  link_peer_t *peer = get_peer (self, address);

  if (peer == NULL)
    return false;
  peer->last_used = g_get_monotonic_time () / 1000;
  bool sent = zmq_send (peer->socket, message.at, message.len, ZMQ_DONTWAIT) >= 0;
  self->sent += sent;
  self->dropped += !sent;
  /* Sending may consume the event of an arrived message, so check for messages again. */
  event_active (self->readable, EV_READ, 0);
  return sent;
}

void
link_close_idle (link_t *self, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->push);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now - ((link_peer_t *)value)->last_used > LINK_IDLE_MS)
      g_hash_table_iter_remove (&iter);
}
