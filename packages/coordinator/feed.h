#pragma once

#include "../core/rng.h"
#include "../store/store.h"
#include "outage.h"

/*
 * FEED: keeps a subscriber up to date with one table of the store.
 *
 * Reads the whole table page by page, then watches it for changes; reads it again when
 * the store no longer keeps the changes since the last known version.  Failed calls are
 * retried with exponential backoff.  Times are in ms, on the clock passed to feed_init.
 *
 * The age of a feed is the time since the latest moment as of which it is known to have
 * delivered all changes: a watch without an answer looks like a table without changes.
 */

typedef struct
{
  /* A full read starts: rows that it does not return no longer exist.  May be NULL. */
  void (*read_started) (void *owner);
  void (*row) (void *owner, const store_row_t *row);
  /* All rows of a reply were delivered; FULL_READ: that ends a full read.  May be NULL.
   */
  void (*batch_done) (void *owner, bool full_read);
  /* A watch returned REPLY's rows, which follow the row of version BEFORE.  Not called
   * for rows from another host's feed.  May be NULL. */
  void (*changed) (void *owner, uint64_t before, const store_reply_t *reply);
  /* Whether a watch should be started now.  NULL: always. */
  bool (*should_watch) (void *owner);
  /* The age that the feed may reach while the store answers; each watch ends by then.
   * NULL: STORE_WATCH_MS. */
  msec_t (*max_age) (void *owner);
} feed_ops_t;

typedef struct
{
  store_t *store;
  const msclock_t *clock;
  outage_t *outage; /* of the host */
  store_table_t table;
  const char *name; /* for the log */
  const feed_ops_t *ops;
  void *owner;
  struct event *retry_timer;
  struct feed_call *call; /* in flight; NULL: none, or an abandoned one */
  rng_t rng;
  bool watching;    /* else a full read is due or in progress */
  bool suspended;   /* should_watch returned false when it was last called */
  uint64_t version; /* all changes up to this version were delivered */
  /* Version of the newest change that was delivered: of a row, or of a full read that
   * lacked rows. */
  uint64_t newest_change;
  msec_t behind_since;  /* the store is known to have a newer row since; MSEC_NEVER */
  msec_t confirm_after; /* calls don't wait for changes until one confirms a later time */
  GString *last_key;    /* last key of the previous page */
  msec_t retry_delay;   /* backoff; 0: the last call succeeded */
  bool repeated;        /* an overdue watch, since a call last succeeded */
  msec_t read_started;  /* start of the full read in progress, or of the last one */
  msec_t confirmed_at;  /* all changes up to then were delivered; MSEC_NEVER: unknown */
  msec_t
      watched_since; /* start of the watch whose rows are being delivered; MSEC_NEVER */
} feed_t;

void feed_init (feed_t *self,
                store_t *store,
                struct event_base *base,
                const msclock_t *clock,
                outage_t *outage,
                store_table_t table,
                const char *name,
                const feed_ops_t *ops,
                void *owner);
void feed_start (feed_t *self);
void feed_finish (feed_t *self);

/*
 * Abandons a call in flight that was started before SINCE and issues it again, unless its
 * reply has begun to arrive.  After an outage the store may never answer such a call,
 * although it answers new ones.
 */
void feed_restart_call (feed_t *self, msec_t since);

/* Asks the store for changes now, without waiting for later ones, unless a call that was
 * started at SINCE or later is in flight, or its reply is arriving. */
void feed_requery (feed_t *self, msec_t since);

/*
 * Applies ROWS (store_row_t) from another host's feed as if a watch had returned them:
 * all changes after version BEFORE, up to AFTER.  If this feed lacks changes before them,
 * it drops ROWS and queries the store instead.
 */
void feed_apply_delta (feed_t *self, uint64_t before, uint64_t after, const GArray *rows);

/*
 * Applies ROWS from another host's feed as a full read would: they are all that the table
 * has at version AFTER.  What is newer here stays.
 */
void feed_apply_state (feed_t *self, uint64_t after, const GArray *rows);

/* A full read lacked a row that existed before.  It was removed at an unknown version, up
 * to the read's. */
void feed_note_removal (feed_t *self);

/* Delivers ROWS (store_row_t) that another host sent, even before the first read of the
 * store.  Each row has to be complete in itself. */
void feed_apply_rows (feed_t *self, const GArray *rows);

/* Notes that all changes up to the time AT were delivered. */
void feed_confirm (feed_t *self, msec_t at);

/* The time in ms for which changes may have been missed; MSEC_NEVER if the table was
 * never read. */
msec_t feed_age (const feed_t *self);

/* The time in ms since the call in flight was started; -1: there is none. */
msec_t feed_call_duration (const feed_t *self);

/* Resumes a suspended feed once should_watch allows it, reissues a watch that ends too
 * late for max_age, and repeats one that is overdue.  Call it periodically. */
void feed_step (feed_t *self);

/* Starts a call to the store now if none is in flight. */
void feed_resume (feed_t *self);
