#include "feed.h"

#include "../core/eventlog.h"
#include "../core/limits.h"

static msec_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* One call to the store.  A feed that asked anew doesn't listen to the call before. */
typedef struct feed_call
{
  feed_t *feed; /* NULL: nobody listens */
  msec_t began;
} feed_call_t;

static void on_reply (void *owner, const store_reply_t *reply);

static void
call (feed_t *self)
{
  const store_ops_t *ops = self->store->ops;

  self->call = g_new (feed_call_t, 1);
  *self->call = (feed_call_t){ self, now_ms () };

  if (self->watching)
    ops->watch (self->store,
                self->table,
                self->version,
                STORE_WATCH_MS,
                on_reply,
                self->call);
  else
    ops->read (self->store,
               self->table,
               (text_t){ self->after->str, self->after->len },
               on_reply,
               self->call);
}

static void call_later (feed_t *self, msec_t wait);

/* Watches once it is wanted.  Changes that come close together are told in one answer. */
static void
go_on (feed_t *self)
{
  if (self->watching && self->ops->wanted != NULL && !self->ops->wanted (self->owner))
    self->resting = true;
  else
    call (self);
}

static void
on_retry (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  go_on (arg);
}

static void
call_later (feed_t *self, msec_t wait)
{
  const struct timeval after = { wait / 1000, wait % 1000 * 1000 };

  evtimer_add (self->retry, &after);
}

static void
failed (feed_t *self, const store_reply_t *reply)
{
  if (self->pause == 0)
    eventlog_write (EVENT_BELIEF,
                    "store",
                    "lost",
                    "feed=%s outcome=%s why=%s version=%llu",
                    self->name,
                    store_outcome_name (reply->outcome),
                    reply->why != NULL ? reply->why : "none",
                    (unsigned long long)self->version);
  self->failed_at = now_ms ();
  self->pause = CLAMP (self->pause * 2, STORE_RETRY_MS, STORE_RETRY_MAX_MS);
  call_later (self, self->pause / 2 + (msec_t)rng_below (&self->rng, self->pause));
}

static void
succeeded (feed_t *self, const store_reply_t *reply)
{
  self->last_good = now_ms ();
  if (self->pause == 0)
    return;
  self->pause = 0;
  self->regained = self->last_good;
  eventlog_write (EVENT_BELIEF,
                  "store",
                  "regained",
                  "feed=%s version=%llu newest=%llu",
                  self->name,
                  (unsigned long long)self->version,
                  (unsigned long long)reply->version);
}

static void
tell_row (feed_t *self, const store_row_t *row)
{
  self->newest = MAX (self->newest, row->version);
  self->ops->row (self->owner, row);
}

static void
settled (feed_t *self, bool whole)
{
  if (self->ops->settled != NULL)
    self->ops->settled (self->owner, whole);
}

static void
read_page (feed_t *self, const store_reply_t *reply)
{
  if (self->after->len == 0)
    {
      /* Later pages may be of a later moment; the watch goes on from the first. */
      self->version = reply->version;
      if (self->ops->begin != NULL)
        self->ops->begin (self->owner);
    }
  for (guint i = 0; i < reply->rows->len; i++)
    {
      const store_row_t *row = &g_array_index (reply->rows, store_row_t, i);
      tell_row (self, row);
      g_string_assign (self->after, row->key->str);
    }
  if (reply->more && reply->rows->len > 0)
    return;
  g_string_truncate (self->after, 0);
  self->watching = true;
  settled (self, true);
}

static void
take_reply (feed_t *self, const store_reply_t *reply)
{
  if (reply->outcome == STORE_HISTORY_GONE && self->watching)
    {
      eventlog_write (EVENT_BELIEF,
                      "store",
                      "history_gone",
                      "feed=%s version=%llu",
                      self->name,
                      (unsigned long long)self->version);
      self->watching = false;
      call (self);
      return;
    }
  if (reply->outcome != STORE_DONE)
    {
      failed (self, reply);
      return;
    }
  succeeded (self, reply);
  if (self->watching)
    {
      uint64_t before = self->newest;
      for (guint i = 0; i < reply->rows->len; i++)
        tell_row (self, &g_array_index (reply->rows, store_row_t, i));
      self->version = MAX (self->version, reply->version);
      if (self->ops->changed != NULL && reply->rows->len > 0)
        self->ops->changed (self->owner, before, reply);
      if (reply->rows->len > 0)
        settled (self, false);
    }
  else
    read_page (self, reply);
  if (self->watching && reply->rows->len > 0)
    call_later (self, FEED_GATHER_MS);
  else
    go_on (self);
}

static void
on_reply (void *owner, const store_reply_t *reply)
{
  feed_call_t *call = owner;
  feed_t *self = call->feed;

  g_free (call);
  if (self == NULL)
    return;
  self->call = NULL;
  take_reply (self, reply);
}

void
feed_wake (feed_t *self)
{
  if (self->call != NULL)
    return;
  evtimer_del (self->retry);
  self->resting = false;
  call (self);
}

void
feed_step (feed_t *self)
{
  if (self->resting && self->ops->wanted (self->owner))
    feed_wake (self);
}

void
feed_take (feed_t *self, uint64_t before, uint64_t after, const GArray *rows)
{
  if (!self->watching || after <= self->version)
    return;
  if (before > self->version)
    {
      feed_wake (self);
      return;
    }
  for (guint i = 0; i < rows->len; i++)
    {
      const store_row_t *row = &g_array_index (rows, store_row_t, i);
      if (row->version > self->version)
        tell_row (self, row);
    }
  self->version = after;
  self->last_good = now_ms ();
  if (rows->len > 0)
    settled (self, false);
}

void
feed_tell (feed_t *self, const GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    tell_row (self, &g_array_index (rows, store_row_t, i));
}

void
feed_ask_anew (feed_t *self, msec_t since)
{
  if (self->call == NULL || self->call->began >= since)
    return;
  eventlog_write (EVENT_BELIEF,
                  "store",
                  "asked_anew",
                  "feed=%s version=%llu after_ms=%lld",
                  self->name,
                  (unsigned long long)self->version,
                  (long long)(now_ms () - self->call->began));
  self->call->feed = NULL;
  call (self);
}

void
feed_init (feed_t *self,
           store_t *store,
           struct event_base *base,
           store_table_t table,
           const char *name,
           const feed_ops_t *ops,
           void *owner)
{
  *self = (feed_t){ .store = store,
                    .table = table,
                    .name = name,
                    .ops = ops,
                    .owner = owner,
                    .behind_since = MSEC_NEVER,
                    .after = g_string_new (NULL) };
  self->retry = evtimer_new (base, on_retry, self);
  rng_init (&self->rng, (uint64_t)g_get_monotonic_time ());
}

void
feed_start (feed_t *self)
{
  call (self);
}

void
feed_finish (feed_t *self)
{
  if (self->call != NULL)
    self->call->feed = NULL;
  event_free (self->retry);
  g_string_free (self->after, TRUE);
}
