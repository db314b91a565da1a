#pragma once

#include "../key_rows.h"
#include "../keys.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

/* KEYS_WORLD: the granter's decisions under a clock that the test sets. */

#define START 100000
#define HOLD_MAX 10000
#define ROLE 2500

typedef struct
{
  keys_t keys;
  GArray *out;     /* keys_out_t of the last message */
  GArray *targets; /* target_entry_t */
  name_t service;
  msec_t now;
} world_t;

void drop_tables (world_t *self);

void tell (world_t *self, keys_msg_t msg);

void tick (world_t *self, msec_t at);

void hold_role (world_t *self);

void list_targets (world_t *self);

target_entry_t *target (world_t *self, guint i);

void add_target (world_t *self, guint n);

void begin (world_t *self, guint n);

void end (world_t *self);

guint count (const world_t *self, keys_out_kind_t kind);

const keys_out_t *find (const world_t *self, keys_out_kind_t kind);

void reply (world_t *self, const keys_out_t *call, keys_msg_kind_t kind, bool sent);

/* Answers all grants that the last message asked for. */
void take_grants (world_t *self);

/* From nothing to all keys granted. */
void settle (world_t *self);

/* Goes on in small steps with the role held and grants taken, until KIND is wanted. */
bool run_until (world_t *self, keys_out_kind_t kind, msec_t until);

key_table_t stored_table (const world_t *world, guint n);
