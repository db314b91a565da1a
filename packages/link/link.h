#pragma once

#include "../core/text.h"

#include <event2/event.h>
#include <glib.h>

/*
 * LINK: transport of messages between hosts, as uninterpreted bytes.
 *
 * One ZeroMQ PULL socket receives from all hosts, and one PUSH socket per destination
 * host sends.  Their queues are bounded, and a message is dropped when the queue is full.
 * Messages may be lost, duplicated or delayed, so each has to be self-contained.
 */

typedef void (*link_receive_t) (void *owner, text_t message);

/* Limits of one link. */
typedef struct
{
  size_t message_bytes; /* a longer message closes its connection */
  int queue_messages;   /* messages queued for each host, and from all hosts */
  int linger_ms; /* ms for which link_finish waits for queued messages to be sent */
} link_limits_t;

typedef struct
{
  void *context;
  void *pull;
  link_limits_t limits;
  struct event *readable;
  GHashTable *push; /* open PUSH sockets: "address:port" to link_peer_t */
  link_receive_t receive;
  void *owner;
  uint64_t sent, dropped, received; /* messages */
} link_t;

/* Listens on ADDRESS (a.b.c.d:port).  Returns false if it cannot be bound. */
bool link_init (link_t *self,
                struct event_base *base,
                text_t address,
                const link_limits_t *limits,
                link_receive_t receive,
                void *owner);
void link_finish (link_t *self);

/* Queues MESSAGE for the host at ADDRESS.  Returns false if it was dropped. */
bool link_send (link_t *self, text_t address, text_t message);

/* Closes the sockets unused for LINK_IDLE_MS.  NOW is monotonic, in ms. */
void link_close_idle (link_t *self, int64_t now);
