#include "call_parts.h"

static struct call_list *
idle_list (proxy_t *proxy, uint32_t target)
{
  while (proxy->idle->len <= target)
    {
      struct call_list *list = g_new0 (struct call_list, 1);
      TAILQ_INIT (list);
      g_ptr_array_add (proxy->idle, list);
    }
  return g_ptr_array_index (proxy->idle, target);
}

void
call_free (call_t *self)
{
  event_free (self->timer);
  http_reader_finish (&self->reader);
  evbuffer_free (self->body);
  bufferevent_free (self->bev);
  g_free (self);
}

void
pool_close (call_t *self)
{
  TAILQ_REMOVE (idle_list (self->proxy, self->target), self, link);
  call_free (self);
}

/* Idle connections to one target: this host's share of those that it accepts, less those
 * that are in use. */
static uint32_t
idle_limit (const proxy_t *proxy, const dispatch_target_t *target)
{
  uint32_t all = dispatch_service (&proxy->dispatch, target->service)->connections;
  uint32_t idle = all * CALL_IDLE_PERCENT / 100;
  uint32_t hosts = MAX (proxy->hosts, 1);
  uint64_t turn = text_hash (name_text (&proxy->settings->host))
                  ^ text_hash (name_text (&target->entry.id));

  if (all == 0)
    return CALL_IDLE_MAX;
  /* With more hosts than connections, each target is kept to by some of them. */
  if (idle < hosts)
    return turn % hosts < idle ? 1 : 0;
  return MIN (idle / hosts, CALL_IDLE_MAX);
}

void
pool_keep (call_t *self, bool extra)
{
  proxy_t *proxy = self->proxy;
  struct call_list *list = idle_list (proxy, self->target);
  const dispatch_target_t *target = dispatch_target (&proxy->dispatch, self->target);
  uint32_t kept = 0;
  call_t *other;

  TAILQ_FOREACH (other, list, link)
    kept++;
  if (extra || self->spoilt || !self->alive || kept >= idle_limit (proxy, target)
      || proxy->draining || !target->used
      || evbuffer_get_length (bufferevent_get_output (self->bev)) > 0)
    {
      call_free (self);
      return;
    }
  msec_t span = self->facts.keep_alive >= 0 ? self->facts.keep_alive - CALL_IDLE_MARGIN_MS
                                            : CALL_IDLE_MS;
  if (span <= 0)
    {
      call_free (self);
      return;
    }
  const struct timeval after = { span / 1000, span % 1000 * 1000 };
  self->idle_span = span;
  self->idle_until = msclock_now (&proxy->clock) + span;
  TAILQ_INSERT_HEAD (list, self, link);
  evtimer_add (self->timer, &after);
}

call_t *
pool_take (proxy_t *proxy, uint32_t target, request_kind_t kind)
{
  call_t *call = TAILQ_FIRST (idle_list (proxy, target));
  msec_t now = msclock_now (&proxy->clock);

  if (call == NULL
      || (kind == KIND_MUTATING && call->idle_until - now < call->idle_span / 2))
    return NULL;
  TAILQ_REMOVE (idle_list (proxy, target), call, link);
  evtimer_del (call->timer);
  return call;
}

void
call_forget (proxy_t *proxy, uint32_t target)
{
  struct call_list *list = idle_list (proxy, target);
  call_t *next;

  for (call_t *call = TAILQ_FIRST (list); call != NULL; call = next)
    {
      next = TAILQ_NEXT (call, link);
      pool_close (call);
    }
}

void
call_close_all (proxy_t *proxy)
{
  for (guint i = 0; i < proxy->idle->len; i++)
    call_forget (proxy, i);
}
