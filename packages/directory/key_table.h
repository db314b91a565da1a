#pragma once

#include "../core/fault.h"
#include "../core/text.h"

#include <glib.h>

/*
 * KEY_TABLE: which target owns which keys of one service.
 *
 * Plain data.  A complete table has ascending ranges without gaps or overlaps, from 0 to
 * KEY_LAST.  Hosts mostly send one another the changes from one version to the next.
 */

/* The largest key; keys of a service whose keys have owners start at 0. */
#define KEY_LAST 65535

/* Keys FIRST to LAST, both included, and the target that owns them. */
typedef struct
{
  uint32_t first, last;
  uint64_t fence; /* fencing token; 0: the keys have no owner */
  name_t target;
  name_t address;             /* of the target, a.b.c.d:port */
  uint64_t target_started_at; /* start of the process that the keys were given to */
} key_range_t;

/* The owners of one service's keys. */
typedef struct
{
  name_t service;
  uint64_t version; /* the store's version when the owners were committed */
  uint64_t era;     /* of the store, as the granter knew it then; 0: not stated */
  GArray *ranges;   /* key_range_t */
} key_table_t;

void key_table_init (key_table_t *self, text_t service);
void key_table_finish (key_table_t *self);
/* Initialises SELF as a deep copy of FROM. */
void key_table_copy (key_table_t *self, const key_table_t *from);

/* The range that contains KEY, or NULL. */
const key_range_t *key_table_find (const key_table_t *self, uint32_t key);

/*
 * Appends to CHANGES, which is initialised, the ranges of AFTER that BEFORE doesn't have,
 * and sets its version to AFTER's.
 */
void key_table_diff (const key_table_t *before,
                     const key_table_t *after,
                     key_table_t *changes);

/*
 * Replaces the ranges of SELF that overlap CHANGES, and takes its version. STATUS_DECODE,
 * with SELF unchanged, if that leaves a gap or an overlap: CHANGES was made for another
 * table.
 */
status_t key_table_apply (key_table_t *self, const key_table_t *changes, fault_t *fault);
