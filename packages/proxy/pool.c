#include "target_conn.h"

static struct target_conn_list *
idle_list (proxy_t *proxy, uint32_t target)
{
  while (proxy->idle->len <= target)
    {
      struct target_conn_list *list = g_new0 (struct target_conn_list, 1);
      TAILQ_INIT (list);
      g_ptr_array_add (proxy->idle, list);
    }
  return g_ptr_array_index (proxy->idle, target);
}

void
target_conn_free (target_conn_t *self)
{
  event_free (self->timer);
  http_reader_finish (&self->reader);
  account_buffer_free (&self->holder, self->body);
  account_forget (&self->holder, self->bev);
  account_charge (&self->holder, ACCOUNT_HEAD, 0, self->head_held);
  account_charge (&self->holder, ACCOUNT_CONNECTION, 0, ACCOUNT_CONNECTION_BYTES);
  g_assert (self->holder.held == 0);
  bufferevent_free (self->bev);
  g_free (self);
}

void
pool_close (target_conn_t *self)
{
  TAILQ_REMOVE (idle_list (self->proxy, self->target), self, link);
  target_conn_free (self);
}

/* Maximum number of idle connections to one target: this host's share of
 * POOL_IDLE_PERCENT of the connections that the target accepts.  The rest is left for
 * connections in use. */
static uint32_t
idle_limit (const proxy_t *proxy, const dispatch_target_t *target)
{
  uint32_t accepted
      = dispatch_service (&proxy->dispatch, target->service)->max_connections;
  uint32_t idle = accepted * POOL_IDLE_PERCENT / 100;
  uint32_t hosts = MAX (proxy->host_count, 1);
  uint64_t hash = text_hash (name_text (&proxy->settings->host))
                  ^ text_hash (name_text (&target->entry.id));

  if (accepted == 0)
    return POOL_IDLE_MAX;
  /* With more hosts than idle connections, only some hosts, selected by hash, keep one.
   */
  if (idle < hosts)
    return hash % hosts < idle ? 1 : 0;
  return MIN (idle / hosts, POOL_IDLE_MAX);
}

void
pool_put (target_conn_t *self, bool extra)
{
  proxy_t *proxy = self->proxy;
  struct target_conn_list *list = idle_list (proxy, self->target);
  const dispatch_target_t *target = dispatch_target (&proxy->dispatch, self->target);
  uint32_t kept = 0;
  target_conn_t *other;

  TAILQ_FOREACH (other, list, link)
    kept++;
  if (extra || self->not_reusable || !self->keep_alive
      || kept >= idle_limit (proxy, target) || proxy->draining || !target->in_use
      || evbuffer_get_length (bufferevent_get_output (self->bev)) > 0)
    {
      target_conn_free (self);
      return;
    }
  msec_t timeout = self->facts.idle_timeout >= 0
                       ? self->facts.idle_timeout - POOL_IDLE_MARGIN_MS
                       : POOL_IDLE_MS;
  if (timeout <= 0)
    {
      target_conn_free (self);
      return;
    }
  const struct timeval after = { timeout / 1000, timeout % 1000 * 1000 };
  http_reader_trim (&self->reader);
  target_conn_charge_head (self);
  target_conn_update (self);
  self->idle_timeout = timeout;
  self->idle_until = msclock_now (&proxy->clock) + timeout;
  TAILQ_INSERT_HEAD (list, self, link);
  evtimer_add (self->timer, &after);
}

static bool
was_rejected_on (const exchange_t *exchange, const target_conn_t *conn)
{
  for (uint32_t i = 0; i < exchange->n_rejected; i++)
    if (exchange->rejected_on[i] == conn->serial)
      return true;
  return false;
}

target_conn_t *
pool_take (proxy_t *proxy, uint32_t target, const exchange_t *exchange)
{
  target_conn_t *conn = TAILQ_FIRST (idle_list (proxy, target));
  msec_t now = msclock_now (&proxy->clock);

  while (conn != NULL && was_rejected_on (exchange, conn))
    conn = TAILQ_NEXT (conn, link);
  if (conn == NULL
      || (!request_kind_may_repeat (exchange->request.kind)
          && conn->idle_until - now < conn->idle_timeout / 2))
    return NULL;
  TAILQ_REMOVE (idle_list (proxy, target), conn, link);
  evtimer_del (conn->timer);
  return conn;
}

void
pool_close_target (proxy_t *proxy, uint32_t target)
{
  struct target_conn_list *list = idle_list (proxy, target);
  target_conn_t *next;

  for (target_conn_t *conn = TAILQ_FIRST (list); conn != NULL; conn = next)
    {
      next = TAILQ_NEXT (conn, link);
      pool_close (conn);
    }
}

void
pool_close_all (proxy_t *proxy)
{
  for (guint i = 0; i < proxy->idle->len; i++)
    pool_close_target (proxy, i);
}
