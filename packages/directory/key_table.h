#pragma once

#include "../core/fault.h"
#include "../core/text.h"

#include <glib.h>

/*
 * KEY_TABLE: which target owns which keys of one service.
 *
 * Plain data.  A whole table has runs without gaps, ascending, from 0 to
 * KEY_LAST.  Hosts tell one another mostly what has changed from one version
 * to the next.
 */

/* Keys of a service whose keys have owners run from 0 to this, both included. */
#define KEY_LAST 65535

/* Keys FIRST to LAST, both included, and the one target that owns them. */
typedef struct
{
  uint32_t first, last;
  uint64_t fence; /* 0: the keys have no owner */
  name_t target;
  name_t address; /* of the target, a.b.c.d:port */
  uint64_t born;  /* the life of the target that the keys were given to */
} key_run_t;

/* The owners of one service's keys. */
typedef struct
{
  name_t service;
  uint64_t version; /* of the store, when it was committed */
  GArray *runs;     /* key_run_t */
} key_table_t;

void key_table_init (key_table_t *self, text_t service);
void key_table_finish (key_table_t *self);
void key_table_copy (key_table_t *self, const key_table_t *from);

/* The run that holds KEY, NULL if there is none. */
const key_run_t *key_table_find (const key_table_t *self, uint32_t key);

/*
 * Fills CHANGES, which is initialised, with the runs of AFTER that BEFORE doesn't have.
 * Its version is AFTER's.
 */
void key_table_diff (const key_table_t *before,
                     const key_table_t *after,
                     key_table_t *changes);

/*
 * Replaces the runs of SELF that CHANGES touches, and takes its version.  STATUS_DECODE,
 * and SELF is as it was, if that leaves a gap or an overlap: CHANGES belongs to another
 * table.
 */
status_t key_table_apply (key_table_t *self, const key_table_t *changes, fault_t *fault);
