#include "peer.h"

#include "../core/log.h"
#include "peer_codec.h"

#include <stdio.h>

#define ADDRESS_MAX 96
/* Lets the last messages leave when the process exits. */
#define LINGER_MS 100

static text_t
format_address (char *buffer, text_t address, uint32_t port)
{
  snprintf (buffer, ADDRESS_MAX, "%.*s:%u", TEXT_ARG (address), port);
  return text_from_c (buffer);
}

static void
receive_message (void *owner, text_t bytes)
{
  peer_t *self = owner;
  peer_msg_t msg;
  fault_t fault;

  if (peer_decode (&msg, bytes.at, bytes.len, &fault) != STATUS_OK)
    {
      metrics_add (self->metrics, COUNT_PEER_REJECTED, 1);
      log_warning ("peer",
                   "Rejected a peer message: %.*s.",
                   TEXT_ARG (fault_text (&fault)));
      return;
    }
  metrics_add (self->metrics, COUNT_PEER_RECEIVED, 1);
  self->receive (self->owner, &msg);
}

bool
peer_init (peer_t *self,
           struct event_base *base,
           text_t address,
           uint32_t port,
           metrics_t *metrics,
           peer_receive_t receive,
           void *owner)
{
  static const link_limits_t limits = { .message_bytes = PEER_MESSAGE_MAX_BYTES,
                                        .queue_messages = PEER_QUEUE_MAX,
                                        .linger_ms = LINGER_MS };
  char buffer[ADDRESS_MAX];

  *self = (peer_t){ .metrics = metrics, .receive = receive, .owner = owner };
  return link_init (&self->link,
                    base,
                    format_address (buffer, address, port),
                    &limits,
                    receive_message,
                    self);
}

void
peer_finish (peer_t *self)
{
  link_finish (&self->link);
}

void
peer_send (peer_t *self, text_t address, uint32_t port, const peer_msg_t *msg)
{
  char buffer[ADDRESS_MAX];
  msgpack_sbuffer bytes;

  msgpack_sbuffer_init (&bytes);
  peer_encode (msg, &bytes);
  bool sent = link_send (&self->link,
                         format_address (buffer, address, port),
                         (text_t){ bytes.data, bytes.size });
  metrics_add (self->metrics, sent ? COUNT_PEER_SENT : COUNT_PEER_DROPPED, 1);
  msgpack_sbuffer_destroy (&bytes);
}
