#pragma once

#include "../proxy/proxy.h"

/*
 * OUTBOX: messages to the proxy that its mailbox had no room for.
 *
 * A proxy that is busy with its connections may leave its mailbox full, and a message may
 * hold the only copy of a change.  Messages stay in order; one that replaces the contents
 * of an earlier one removes that.
 */

typedef struct
{
  GQueue waiting; /* proxy_msg_t */
  uint64_t delayed;
} outbox_t;

void outbox_init (outbox_t *self);
void outbox_finish (outbox_t *self);

/* Sends MSG, or keeps it until outbox_flush finds room.  Takes ownership of MSG. */
void outbox_post (outbox_t *self, mailbox_t *proxy, proxy_msg_t *msg);

/* Sends what is waiting, as far as there is room.  Call it periodically. */
void outbox_flush (outbox_t *self, mailbox_t *proxy);
