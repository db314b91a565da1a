#include "outbox.h"

#include "../core/eventlog.h"
#include "../core/limits.h"

/* Whether LATER makes EARLIER needless: each holds the whole of what it is about. */
static bool
replaces (const proxy_msg_t *later, const proxy_msg_t *earlier)
{
  if (later->kind != earlier->kind || later->kind == PROXY_SUSPECT)
    return false;
  return later->kind != PROXY_KEY_TABLE
         || name_equal (&later->key_table.service, &earlier->key_table.service);
}

static void
remove_replaced (outbox_t *self, const proxy_msg_t *msg)
{
  for (GList *link = self->waiting.head; link != NULL; link = link->next)
    if (replaces (msg, link->data))
      {
        proxy_msg_free (link->data);
        g_queue_delete_link (&self->waiting, link);
        return;
      }
}

void
outbox_post (outbox_t *self, mailbox_t *proxy, proxy_msg_t *msg)
{
  outbox_flush (self, proxy);
  if (g_queue_is_empty (&self->waiting) && mailbox_post (proxy, msg))
    return;
  if (self->delayed++ % OUTBOX_LOG_EVERY == 0)
    eventlog_write (EVENT_STATE,
                    "coordinator",
                    "mailbox_full",
                    "to=proxy waiting=%u delayed=%llu",
                    self->waiting.length,
                    (unsigned long long)self->delayed);
  remove_replaced (self, msg);
  if (msg->kind == PROXY_SUSPECT && self->waiting.length >= OUTBOX_MAX)
    proxy_msg_free (msg);
  else
    g_queue_push_tail (&self->waiting, msg);
}

void
outbox_flush (outbox_t *self, mailbox_t *proxy)
{
  while (!g_queue_is_empty (&self->waiting)
         && mailbox_post (proxy, g_queue_peek_head (&self->waiting)))
    g_queue_pop_head (&self->waiting);
}

void
outbox_init (outbox_t *self)
{
  *self = (outbox_t){ 0 };
  g_queue_init (&self->waiting);
}

void
outbox_finish (outbox_t *self)
{
  g_queue_clear_full (&self->waiting, proxy_msg_free);
}
