#pragma once

#include "../core/fault.h"
#include "../core/msclock.h"

#include <event2/event.h>
#include <glib.h>

/*
 * STORE: what the router needs of the platform's table service.
 *
 * An interface: rows with versions, in a few tables, read whole, watched for
 * changes, and committed under the condition that one row is unchanged.  Calls
 * never block; each ends in one call of its `done`.
 */

typedef enum
{
  STORE_CONFIGURATION, /* written by the operator */
  STORE_TARGETS,       /* written by the targets */
  STORE_KEYS,          /* ours: a row for each service's owners */
  STORE_ROLE,          /* ours: who grants keys */
  STORE_TABLES,
} store_table_t;

typedef enum
{
  STORE_DONE,
  STORE_CONFLICT,     /* the condition didn't hold; nothing was done */
  STORE_HISTORY_GONE, /* changes since that version aren't kept any more: read anew */
  STORE_REFUSED,      /* nothing was done */
  STORE_UNKNOWN,      /* no answer: it may have been done, or may yet be */
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
  GArray *rows;     /* store_row_t, owned by the reply */
  bool more;        /* rows after these are left */
  uint64_t version; /* the store's newest, as of the answer */
  msec_t clock;     /* the store's steady clock; comparable between hosts */
  const char *why;  /* for the log */
} store_reply_t;

typedef void (*store_done_t) (void *owner, const store_reply_t *reply);

typedef struct
{
  store_table_t table;
  text_t key;
  text_t value;
} store_put_t;

/* Puts apply only if the row CONDITION_KEY of CONDITION_TABLE has version EXPECTED;
 * 0: there is no such row. */
typedef struct
{
  store_table_t condition_table;
  text_t condition_key;
  uint64_t expected;
  const store_put_t *puts;
  size_t n_puts;
} store_commit_t;

typedef struct store store_t;

typedef struct
{
  /* Rows of TABLE after the key AFTER, as of one moment. */
  void (*read) (
      store_t *self, store_table_t table, text_t after, store_done_t done, void *owner);
  /* Rows that changed after VERSION, as soon as there are any, or none after WAIT. */
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
  void (*close) (store_t *self);
} store_ops_t;

/* An implementation's state begins with this. */
struct store
{
  const store_ops_t *ops;
  uint64_t calls;
};

const char *store_outcome_name (store_outcome_t outcome);
