#include "mailbox.h"

#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>

/*
 * GLib isn't built with ThreadSanitizer, so it can't see that the queue orders
 * the sender's accesses before the receiver's.
 */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define MESSAGE_SENT(message) __tsan_release (message)
#define MESSAGE_RECEIVED(message) __tsan_acquire (message)
#else
#define MESSAGE_SENT(message) (void)(message)
#define MESSAGE_RECEIVED(message) (void)(message)
#endif

static void
on_wake (evutil_socket_t fd, short what, void *arg)
{
  mailbox_t *self = arg;
  uint64_t count;
  void *message;

  (void)what;
  if (read (fd, &count, sizeof count) < 0)
    return;
  while ((message = g_async_queue_try_pop (self->queue)) != NULL)
    {
      MESSAGE_RECEIVED (message);
      self->deliver (self->owner, message);
    }
}

bool
mailbox_init (mailbox_t *self,
              struct event_base *base,
              int capacity,
              mailbox_deliver_t deliver,
              GDestroyNotify free_message,
              void *owner)
{
  *self = (mailbox_t){ .capacity = capacity,
                       .deliver = deliver,
                       .free_message = free_message,
                       .owner = owner };
  self->fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (self->fd < 0)
    return false;
  self->queue = g_async_queue_new_full (free_message);
  self->wake = event_new (base, self->fd, EV_READ | EV_PERSIST, on_wake, self);
  event_add (self->wake, NULL);
  return true;
}

bool
mailbox_post (mailbox_t *self, void *message)
{
  const uint64_t one = 1;

  if (g_async_queue_length (self->queue) >= self->capacity)
    return false;
  MESSAGE_SENT (message);
  g_async_queue_push (self->queue, message);
  return write (self->fd, &one, sizeof one) == sizeof one;
}

void
mailbox_finish (mailbox_t *self)
{
  event_free (self->wake);
  close (self->fd);
  g_async_queue_unref (self->queue);
}
