#pragma once

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

/*
 * MAILBOX: a bounded queue of messages to one task.
 *
 * Any task may post.  An eventfd wakes the owner's event loop when a message
 * arrives.  A message is a heap block; posting it transfers its ownership.
 */

typedef void (*mailbox_deliver_t) (void *owner, void *message);

typedef struct
{
  GAsyncQueue *queue;
  int fd;
  int capacity; /* messages */
  struct event *wake;
  mailbox_deliver_t deliver;
  GDestroyNotify free_message;
  void *owner;
} mailbox_t;

/*
 * Opens a mailbox of at most CAPACITY messages in the event loop BASE.  DELIVER
 * is called in the owner's task and has to free the message; FREE_MESSAGE frees
 * those that are still queued at mailbox_finish.  False if no eventfd can be
 * created.
 */
bool mailbox_init (mailbox_t *self,
                   struct event_base *base,
                   int capacity,
                   mailbox_deliver_t deliver,
                   GDestroyNotify free_message,
                   void *owner);

/* Queues MESSAGE.  False if the mailbox is full: the sender then keeps its ownership. */
bool mailbox_post (mailbox_t *self, void *message);

void mailbox_finish (mailbox_t *self);
