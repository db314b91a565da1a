#pragma once

#include "../core/fault.h"
#include "../core/msclock.h"

#include <event2/event.h>
#include <glib.h>

/*
 * STORE: the interface through which the router uses the platform's table service.
 *
 * The store has versioned rows in a few tables.  A table can be read in full and
 * watched for changes; a commit applies only if one row is unchanged.  Calls don't
 * block; each ends in exactly one call of its `done`.
 *
 * The store may come back from an older copy: a new history of it begins, its era, in
 * which version numbers are given out again.  A version is the number of its era times
 * STORE_ERA_STEP, plus its number in that history, so that versions of a later era are
 * higher.
 */

#define STORE_ERA_STEP 1000000000000u /* versions of one era are below it */
#define STORE_ERA_MAX 1000000u

typedef enum
{
  STORE_CONFIGURATION, /* written by the operator */
  STORE_TARGETS,       /* written by the targets */
  STORE_KEYS,          /* written by the router: a row of key owners per service */
  STORE_ROLE,          /* written by the router: the host that grants keys */
  STORE_TABLES,
} store_table_t;

typedef enum
{
  STORE_DONE,
  STORE_CONFLICT,     /* the condition didn't hold; nothing was changed */
  STORE_HISTORY_GONE, /* changes since that version were discarded, or it is of an earlier
                         era: reread the table */
  STORE_REFUSED,      /* the call failed; nothing was changed */
  STORE_UNKNOWN,      /* no answer: the call may have taken effect or still do so */
} store_outcome_t;

typedef struct
{
  GString *key;
  GString *value; /* bytes */
  uint64_t version;
  bool removed;
} store_row_t;

typedef struct
{
  store_outcome_t outcome;
  GArray *rows;       /* store_row_t, owned by the reply */
  bool has_more;      /* further rows follow after the last of these */
  uint64_t version;   /* the store's latest version at the time of the answer */
  msec_t clock;       /* the store's monotonic clock; comparable between hosts */
  const char *reason; /* reason of a failure, for the log */
} store_reply_t;

typedef void (*store_done_t) (void *owner, const store_reply_t *reply);

typedef struct
{
  store_table_t table;
  text_t key;
  text_t value;
} store_put_t;

/* The puts apply only if the row CONDITION_KEY of CONDITION_TABLE has version EXPECTED;
 * 0: only if there is no such row. */
typedef struct
{
  store_table_t condition_table;
  text_t condition_key;
  uint64_t expected_version;
  const store_put_t *puts;
  size_t n_puts;
} store_commit_t;

typedef struct store store_t;

typedef struct
{
  /* Reads the rows of TABLE with keys greater than AFTER, in the order of their keys'
   * bytes, as one snapshot. */
  void (*read) (
      store_t *self, store_table_t table, text_t after, store_done_t done, void *owner);
  /* Answers with the rows of TABLE that changed after VERSION as soon as there are any,
   * or with none after WAIT ms. */
  void (*watch) (store_t *self,
                 store_table_t table,
                 uint64_t version,
                 msec_t wait,
                 store_done_t done,
                 void *owner);
  void (*commit) (store_t *self,
                  const store_commit_t *commit,
                  store_done_t done,
                  void *owner);
  /* Whether the reply to OWNER's latest call has begun to arrive.  NULL: unknown. */
  bool (*is_arriving) (const store_t *self, const void *owner);
  /* Watches from now on use no connection that is idle now: it may be silent for good.
   * NULL: calls share none. */
  void (*renew_connections) (store_t *self);
  void (*close) (store_t *self);
} store_ops_t;

/* The first member of each implementation's state. */
struct store
{
  const store_ops_t *ops;
  uint64_t calls;
  uint64_t era;      /* the latest that an answer was of; 0: none has stated it */
  uint64_t losses;   /* rises of the era that this process has met */
  uint64_t rejected; /* answers of an earlier era, or without one though others had it */
};

/* The era that VERSION tells; 0: none. */
uint64_t store_version_era (uint64_t version);

/* The number that VERSION has in its era. */
uint64_t store_version_number (uint64_t version);

/* VERSION's number as one of ERA. */
uint64_t store_version_in (uint64_t era, uint64_t version);

/* Whether VERSION is of an earlier era than the latest. */
bool store_is_earlier (const store_t *self, uint64_t version);

const char *store_outcome_name (store_outcome_t outcome);
