#include "feed.h"

#include "../core/eventlog.h"
#include "../core/limits.h"

/* One call to the store.  The reply to an abandoned call is ignored. */
typedef struct feed_call
{
  feed_t *feed; /* NULL: the call was abandoned */
  msec_t started;
  msec_t wait;      /* of a watch: how long the store waits for a change */
  uint64_t version; /* of the feed when it was started */
  bool overdue;     /* at the last step; its answer may have arrived and be unread */
} feed_call_t;

static void on_reply (void *owner, const store_reply_t *reply);

static msec_t
max_age (const feed_t *self)
{
  return self->ops->max_age != NULL ? self->ops->max_age (self->owner) : STORE_WATCH_MS;
}

static void
start_call (feed_t *self)
{
  const store_ops_t *ops = self->store->ops;

  self->call = g_new (feed_call_t, 1);
  *self->call = (feed_call_t){ .feed = self,
                               .started = msclock_now (self->clock),
                               .version = self->version };

  if (self->watching)
    {
      bool urgent = self->behind_since != MSEC_NEVER
                    || self->confirmed_at < self->confirm_after
                    || store_is_earlier (self->store, self->version);
      self->call->wait = urgent ? 0 : MAX (max_age (self) - feed_age (self), 0);
      ops->watch (self->store,
                  self->table,
                  self->version,
                  self->call->wait,
                  on_reply,
                  self->call);
    }
  else
    ops->read (self->store,
               self->table,
               (text_t){ self->last_key->str, self->last_key->len },
               on_reply,
               self->call);
}

static void schedule_call (feed_t *self, msec_t wait);

static void
log_state (const feed_t *self, const char *event)
{
  msec_t age = feed_age (self);

  eventlog_write (EVENT_STATE,
                  "store",
                  event,
                  "feed=%s version=%llu age_ms=%lld",
                  self->name,
                  (unsigned long long)self->version,
                  age == MSEC_NEVER ? -1LL : (long long)age);
}

/* Issues the next call, unless it would be a watch that is not needed at present. */
static void
start_next_call (feed_t *self)
{
  self->suspended = self->watching && self->ops->should_watch != NULL
                    && !self->ops->should_watch (self->owner);
  if (self->suspended)
    log_state (self, "watch_suspended");
  else
    start_call (self);
}

static void
on_retry (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  start_next_call (arg);
}

static void
schedule_call (feed_t *self, msec_t wait)
{
  const struct timeval after = { wait / 1000, wait % 1000 * 1000 };

  evtimer_add (self->retry_timer, &after);
}

static void
handle_failure (feed_t *self, const feed_call_t *call, const store_reply_t *reply)
{
  if (self->retry_delay == 0)
    eventlog_write (EVENT_STATE,
                    "store",
                    "lost",
                    "feed=%s outcome=%s why=%s version=%llu",
                    self->name,
                    store_outcome_name (reply->outcome),
                    reply->reason != NULL ? reply->reason : "none",
                    (unsigned long long)self->version);
  outage_note_failure (self->outage, call->started, msclock_now (self->clock));
  self->retry_delay = CLAMP (self->retry_delay * 2, STORE_RETRY_MS, STORE_RETRY_MAX_MS);
  schedule_call (self,
                 self->retry_delay / 2
                     + (msec_t)rng_below (&self->rng, self->retry_delay));
}

/* The store has lost versions that this host had before CALL. */
static void
log_lost_versions (const feed_t *self,
                   const feed_call_t *call,
                   const store_reply_t *reply)
{
  if (reply->version >= call->version)
    return;
  eventlog_write (EVENT_STATE,
                  "store",
                  "versions_lost",
                  "feed=%s version=%llu newest=%llu",
                  self->name,
                  (unsigned long long)call->version,
                  (unsigned long long)reply->version);
}

static void
handle_success (feed_t *self, const feed_call_t *call, const store_reply_t *reply)
{
  log_lost_versions (self, call, reply);
  outage_note_answer (self->outage, msclock_now (self->clock));
  self->repeated = false;
  if (self->retry_delay == 0)
    return;
  self->retry_delay = 0;
  eventlog_write (EVENT_STATE,
                  "store",
                  "recovered",
                  "feed=%s version=%llu newest=%llu",
                  self->name,
                  (unsigned long long)self->version,
                  (unsigned long long)reply->version);
}

static size_t
reply_bytes (const store_reply_t *reply)
{
  size_t bytes = 0;

  for (guint i = 0; i < reply->rows->len; i++)
    bytes += g_array_index (reply->rows, store_row_t, i).value->len;
  return bytes;
}

/* How long a read took, or a watch of which the feed knew that it was due. */
static void
log_duration (const feed_t *self, const feed_call_t *call, const store_reply_t *reply)
{
  msec_t now = msclock_now (self->clock);
  msec_t since
      = MAX (call->started, self->behind_since != MSEC_NEVER ? self->behind_since : 0);

  if (reply->rows->len == 0 || (self->watching && self->behind_since == MSEC_NEVER))
    return;
  eventlog_write (EVENT_STATE,
                  "store",
                  "reply",
                  "feed=%s version=%llu newest=%llu rows=%u bytes=%zu after_ms=%lld",
                  self->name,
                  (unsigned long long)self->version,
                  (unsigned long long)reply->version,
                  reply->rows->len,
                  reply_bytes (reply),
                  (long long)(now - since));
}

static void
deliver_row (feed_t *self, const store_row_t *row)
{
  self->newest_change = MAX (self->newest_change, row->version);
  self->ops->row (self->owner, row);
}

static void
finish_batch (feed_t *self, bool full_read)
{
  if (self->ops->batch_done != NULL)
    self->ops->batch_done (self->owner, full_read);
}

/* Whether the store came back from an older copy between this page and the first one. */
static bool
is_page_of_a_later_era (const feed_t *self, const store_reply_t *reply)
{
  return self->last_key->len > 0
         && store_version_era (reply->version) > store_version_era (self->version);
}

static void
handle_page (feed_t *self, const feed_call_t *call, const store_reply_t *reply)
{
  if (is_page_of_a_later_era (self, reply))
    {
      g_string_truncate (self->last_key, 0);
      return; /* the next call reads the first page */
    }
  if (self->last_key->len == 0)
    {
      /* Later pages may reflect a later version, so the watch starts from the first
       * page's. */
      self->version = reply->version;
      self->read_started = call->started;
      if (self->ops->read_started != NULL)
        self->ops->read_started (self->owner);
    }
  for (guint i = 0; i < reply->rows->len; i++)
    {
      const store_row_t *row = &g_array_index (reply->rows, store_row_t, i);
      deliver_row (self, row);
      g_string_assign (self->last_key, row->key->str);
    }
  if (reply->has_more && reply->rows->len > 0)
    return;
  g_string_truncate (self->last_key, 0);
  self->watching = true;
  if (self->version >= self->newest_change)
    feed_confirm (self, self->read_started);
  finish_batch (self, true);
}

/* Delivers the rows that follow the feed's version; others hold what was true before. */
static void
deliver_newer_rows (feed_t *self, const GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    {
      const store_row_t *row = &g_array_index (rows, store_row_t, i);
      if (row->version > self->version)
        deliver_row (self, row);
    }
}

static void
handle_changes (feed_t *self, const feed_call_t *call, const store_reply_t *reply)
{
  uint64_t before = self->newest_change;

  self->watched_since = call->started;
  deliver_newer_rows (self, reply->rows);
  self->watched_since = MSEC_NEVER;
  self->version = MAX (self->version, reply->version);
  /* Without a change, the store answered at the end of the wait. */
  if (reply->version >= self->newest_change)
    feed_confirm (self, call->started + (reply->rows->len > 0 ? 0 : call->wait));
  if (reply->rows->len == 0)
    return;
  if (self->ops->changed != NULL)
    self->ops->changed (self->owner, before, reply);
  finish_batch (self, false);
}

static void
handle_reply (feed_t *self, const feed_call_t *call, const store_reply_t *reply)
{
  if (reply->outcome == STORE_HISTORY_GONE && self->watching)
    {
      eventlog_write (EVENT_STATE,
                      "store",
                      "history_gone",
                      "feed=%s version=%llu",
                      self->name,
                      (unsigned long long)self->version);
      self->watching = false;
      start_call (self);
      return;
    }
  if (reply->outcome != STORE_DONE)
    {
      handle_failure (self, call, reply);
      return;
    }
  handle_success (self, call, reply);
  log_duration (self, call, reply);
  if (self->watching)
    handle_changes (self, call, reply);
  else
    handle_page (self, call, reply);
  /* The delay lets one reply carry changes that come close together, and paces calls that
   * don't wait, since what they confirm is too old. */
  if (self->watching && (reply->rows->len > 0 || feed_age (self) >= max_age (self)))
    schedule_call (self, FEED_BATCH_MS);
  else
    start_next_call (self);
}

static void
on_reply (void *owner, const store_reply_t *reply)
{
  feed_call_t call = *(feed_call_t *)owner;

  g_free (owner);
  if (call.feed == NULL)
    return;
  call.feed->call = NULL;
  handle_reply (call.feed, &call, reply);
}

void
feed_confirm (feed_t *self, msec_t at)
{
  at = MIN (at, msclock_now (self->clock));
  if (self->confirmed_at == MSEC_NEVER || at > self->confirmed_at)
    self->confirmed_at = at;
  outage_note_answer (self->outage, at);
}

msec_t
feed_age (const feed_t *self)
{
  return self->confirmed_at == MSEC_NEVER
             ? MSEC_NEVER
             : msclock_now (self->clock) - self->confirmed_at;
}

msec_t
feed_call_duration (const feed_t *self)
{
  return self->call != NULL ? msclock_now (self->clock) - self->call->started : -1;
}

void
feed_resume (feed_t *self)
{
  if (self->call != NULL)
    return;
  evtimer_del (self->retry_timer);
  if (self->suspended)
    log_state (self, "watch_resumed");
  self->suspended = false;
  start_call (self);
}

/* Whether the watch in flight ends too late, or asks for changes after a version that the
 * store may have given out again. */
static bool
watch_is_of_no_use (const feed_t *self, const feed_call_t *call)
{
  msec_t latest_end = msclock_now (self->clock) + max_age (self);

  return call->started + call->wait > latest_end
         || (call->wait > 0 && store_is_earlier (self->store, call->version));
}

/* Whether the watch in flight was overdue already at the last step.  While the feed is
 * known to lack a row, currency decides whether a call may hang: the row may be large. */
static bool
is_overdue (const feed_t *self, feed_call_t *call)
{
  bool before = call->overdue;
  msec_t due = call->started + call->wait;

  call->overdue = self->behind_since == MSEC_NEVER
                  && msclock_now (self->clock) >= due + FEED_OVERDUE_MS;
  return before && call->overdue;
}

void
feed_step (feed_t *self)
{
  if (self->suspended
      && (self->ops->should_watch (self->owner)
          || store_is_earlier (self->store, self->version)))
    feed_resume (self);
  else if (self->call != NULL && self->watching && watch_is_of_no_use (self, self->call))
    feed_restart_call (self, MSEC_NEVER);
  else if (self->call != NULL && self->watching && !self->repeated
           && is_overdue (self, self->call))
    {
      self->repeated = true;
      if (self->store->ops->renew_connections != NULL)
        self->store->ops->renew_connections (self->store);
      feed_restart_call (self, MSEC_NEVER);
    }
}

void
feed_apply_delta (feed_t *self, uint64_t before, uint64_t after, const GArray *rows)
{
  if (!self->watching || after <= self->version)
    return;
  if (before > self->version)
    {
      feed_resume (self);
      return;
    }
  deliver_newer_rows (self, rows);
  self->version = after;
  if (rows->len > 0)
    finish_batch (self, false);
}

void
feed_apply_state (feed_t *self, uint64_t after, const GArray *rows)
{
  if (!self->watching || after < self->version)
    return;
  if (self->ops->read_started != NULL)
    self->ops->read_started (self->owner);
  for (guint i = 0; i < rows->len; i++)
    deliver_row (self, &g_array_index (rows, store_row_t, i));
  self->version = after;
  finish_batch (self, true);
}

void
feed_note_removal (feed_t *self)
{
  self->newest_change = MAX (self->newest_change, self->version);
}

void
feed_apply_rows (feed_t *self, const GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    deliver_row (self, &g_array_index (rows, store_row_t, i));
}

void
feed_restart_call (feed_t *self, msec_t since)
{
  const store_ops_t *ops = self->store->ops;

  if (self->call == NULL || self->call->started >= since
      || (ops->is_arriving != NULL && ops->is_arriving (self->store, self->call)))
    return;
  eventlog_write (EVENT_STATE,
                  "store",
                  "call_restarted",
                  "feed=%s version=%llu after_ms=%lld",
                  self->name,
                  (unsigned long long)self->version,
                  (long long)(msclock_now (self->clock) - self->call->started));
  self->call->feed = NULL;
  start_call (self);
}

void
feed_requery (feed_t *self, msec_t since)
{
  self->confirm_after = MAX (self->confirm_after, since);
  feed_restart_call (self, since);
  feed_resume (self);
}

void
feed_init (feed_t *self,
           store_t *store,
           struct event_base *base,
           const msclock_t *clock,
           outage_t *outage,
           store_table_t table,
           const char *name,
           const feed_ops_t *ops,
           void *owner)
{
  *self = (feed_t){ .store = store,
                    .clock = clock,
                    .outage = outage,
                    .table = table,
                    .name = name,
                    .ops = ops,
                    .owner = owner,
                    .behind_since = MSEC_NEVER,
                    .confirmed_at = MSEC_NEVER,
                    .watched_since = MSEC_NEVER,
                    .last_key = g_string_new (NULL) };
  self->retry_timer = evtimer_new (base, on_retry, self);
  rng_init (&self->rng, (uint64_t)g_get_monotonic_time ());
}

void
feed_start (feed_t *self)
{
  start_call (self);
}

void
feed_finish (feed_t *self)
{
  if (self->call != NULL)
    self->call->feed = NULL;
  event_free (self->retry_timer);
  g_string_free (self->last_key, TRUE);
}
