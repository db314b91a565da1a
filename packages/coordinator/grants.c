#include "coordinator_parts.h"

#include "../core/eventlog.h"

/* A grant or release on its way. */
typedef struct
{
  coordinator_t *coordinator;
  keys_out_t what;
  msec_t started;
} order_t;

static void
free_pool (void *item)
{
  httpc_pool_finish (item);
  g_free (item);
}

static httpc_pool_t *
pool_of (coordinator_t *self, const name_t *address)
{
  char *key = text_dup_c (name_text (address));
  httpc_pool_t *pool;

  if (self->pools == NULL)
    self->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_pool);
  pool = g_hash_table_lookup (self->pools, key);
  if (pool == NULL)
    {
      text_t port_text;
      text_t host = text_split (name_text (address), ':', &port_text);
      uint64_t port = 0;
      text_to_u64 (port_text, &port);
      pool = g_new0 (httpc_pool_t, 1);
      httpc_pool_init (pool, self->base, host, (uint16_t)port, ORDER_CALL_MS);
      g_hash_table_insert (self->pools, g_strdup (key), pool);
    }
  g_free (key);
  return pool;
}

static void
log_order (const order_t *order, const char *event, event_class_t class, msec_t now)
{
  const keys_out_t *what = &order->what;

  eventlog_write (class,
                  "keys",
                  event,
                  "service=%.*s target=%.*s first=%u last=%u fence=%llu hold_ms=%lld "
                  "release=%d after_ms=%lld",
                  NAME_ARG (what->service),
                  NAME_ARG (what->target),
                  what->first,
                  what->last,
                  (unsigned long long)what->fence,
                  (long long)what->hold,
                  what->kind == KEYS_RELEASE,
                  (long long)(now - order->started));
}

static void
on_order (void *owner, order_outcome_t outcome, bool sent, text_t handover)
{
  order_t *order = owner;
  coordinator_t *self = order->coordinator;
  bool release = order->what.kind == KEYS_RELEASE;
  keys_msg_t msg = { .service = order->what.service,
                     .first = order->what.first,
                     .fence = order->what.fence,
                     .release = release,
                     .sent = sent };

  switch (outcome)
    {
    case ORDER_TAKEN:
      msg.kind = release ? KEYS_RELEASED : KEYS_GRANTED;
      if (!name_set (&msg.handover, handover))
        msg.handover.len = 0;
      break;
    case ORDER_SUPERSEDED:
      msg.kind = KEYS_REFUSED;
      break;
    case ORDER_STRANGER:
      msg.kind = KEYS_OVER;
      break;
    case ORDER_FAILED:
      msg.kind = KEYS_FAILED;
      break;
    }
  if (outcome != ORDER_TAKEN || release)
    log_order (order,
               outcome == ORDER_TAKEN        ? "released"
               : outcome == ORDER_SUPERSEDED ? "superseded"
               : outcome == ORDER_STRANGER   ? "target_over"
               : sent                        ? "order_unanswered"
                                             : "order_not_sent",
               EVENT_BELIEF,
               msclock_now (&self->clock));
  g_free (order);
  grants_tell (self, &msg);
}

static void
send_order (coordinator_t *self, const keys_out_t *what)
{
  order_t *order = g_new (order_t, 1);
  msec_t now = msclock_now (&self->clock);
  key_order_t call = { .release = what->kind == KEYS_RELEASE,
                       .target = what->target,
                       .first = what->first,
                       .last = what->last,
                       .fence = what->fence,
                       .hold = what->hold,
                       .handover = what->handover };

  *order = (order_t){ self, *what, now };
  /* Time may have passed since the decision: no grant leaves after the role's end. */
  if (!call.release && now >= self->role.until)
    on_order (order, ORDER_FAILED, false, TEXT_NONE);
  else
    self->deployment->order (pool_of (self, &what->address),
                             &call,
                             on_order,
                             order,
                             g_get_monotonic_time () / 1000);
}

void
grants_tell (coordinator_t *self, const keys_msg_t *msg)
{
  guint from = self->out->len;

  keys_handle (&self->keys, msg, msclock_now (&self->clock), self->out);
  if (from > 0)
    return; /* told from within the loop below, which takes these up */
  for (guint i = 0; i < self->out->len; i++)
    {
      keys_out_t out = g_array_index (self->out, keys_out_t, i);
      if (out.kind != KEYS_COMMIT)
        send_order (self, &out);
      else
        {
          eventlog_write (EVENT_BELIEF,
                          "keys",
                          "assigned",
                          "service=%.*s runs=%u next_fence=%llu",
                          NAME_ARG (out.service),
                          out.table.runs->len,
                          (unsigned long long)out.next_fence);
          role_commit_table (self, &out.table);
        }
    }
  g_array_set_size (self->out, 0);
}

void
grants_finish (coordinator_t *self)
{
  if (self->pools != NULL)
    g_hash_table_unref (self->pools);
}
