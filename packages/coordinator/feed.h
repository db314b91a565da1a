#pragma once

#include "../core/rng.h"
#include "../store/store.h"

/*
 * FEED: follows one table of the store.
 *
 * Reads the table whole, then watches it for changes; reads anew when the
 * store no longer has the changes in between.  Failed calls are repeated after
 * a growing pause.
 */

typedef struct
{
  /* A whole read begins: rows that it doesn't bring are gone.  NULL: not told. */
  void (*begin) (void *owner);
  void (*row) (void *owner, const store_row_t *row);
  /* All rows of an answer were told; WHOLE: they end a whole read.  NULL: not told. */
  void (*settled) (void *owner, bool whole);
  /* A watch brought REPLY's rows, which follow the row of version BEFORE; NULL: nobody
   * else is told. */
  void (*changed) (void *owner, uint64_t before, const store_reply_t *reply);
  /* Whether a watch should begin now; NULL: always. */
  bool (*wanted) (void *owner);
} feed_ops_t;

typedef struct
{
  store_t *store;
  store_table_t table;
  const char *name; /* for the log */
  const feed_ops_t *ops;
  void *owner;
  struct event *retry;
  struct feed_call *call; /* under way; NULL: none, or one that isn't listened to */
  rng_t rng;
  bool watching;       /* else a whole read is due or under way */
  bool resting;        /* no watch is wanted, by the last look */
  uint64_t version;    /* all changes up to this were told */
  uint64_t newest;     /* version of the newest row that was told */
  msec_t behind_since; /* another host told of a newer row; MSEC_NEVER: none did */
  GString *after;      /* last key of the page before */
  msec_t pause;        /* before the next try; 0: the last call went well */
  msec_t failed_at;    /* the last call that failed did so */
  msec_t last_good;    /* the last answer came */
  msec_t regained;     /* the store answered again after failures */
} feed_t;

void feed_init (feed_t *self,
                store_t *store,
                struct event_base *base,
                store_table_t table,
                const char *name,
                const feed_ops_t *ops,
                void *owner);
void feed_start (feed_t *self);
void feed_finish (feed_t *self);

/*
 * Asks anew if a call is under way that began before SINCE (ms, monotonic).  A store that
 * was away may never answer it, though it answers others again.
 */
void feed_ask_anew (feed_t *self, msec_t since);

/*
 * Takes over rows that another host's feed told, as if a watch had brought them: those
 * that follow the row of version BEFORE, up to AFTER.  Asks the store if rows before them
 * are missing here.
 */
void feed_take (feed_t *self, uint64_t before, uint64_t after, const GArray *rows);

/* Tells rows that another host sent, each of them whole, also before the store was read.
 */
void feed_tell (feed_t *self, const GArray *rows);

/* Looks whether a resting feed is wanted again; to be called often. */
void feed_step (feed_t *self);

/* Asks the store now if the feed rests. */
void feed_wake (feed_t *self);
