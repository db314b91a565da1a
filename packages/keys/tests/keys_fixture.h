#pragma once

#include "../key_rows.h"
#include "../keys.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

/* Fixture for the tests of KEYS: one service "s" under a clock that the test sets. */

#define START_MS 100000
#define HOLD_MAX_MS 10000
#define ROLE_MS 2500
/* How long grants of a predecessor may last that were just sent. */
#define PREDECESSOR_MS (HOLD_MAX_MS + KEYS_STALL_MS)

typedef struct
{
  keys_t keys;
  GArray *out;     /* keys_out_t of the last message */
  GArray *targets; /* target_entry_t */
  name_t service;
  msec_t now;
  bool store_lost; /* the store does not answer, as of the next renew_role */
} fixture_t;

/* Frees and removes the collected actions. */
void clear_actions (fixture_t *self);

/* Handles MSG at the fixture's time; an empty service means the fixture's. */
void handle_msg (fixture_t *self, keys_msg_t msg);

/* Sets the time to AT and sends a tick. */
void tick (fixture_t *self, msec_t at);

/* Extends the role to ROLE_MS from now. */
void renew_role (fixture_t *self);

/* Renews the role while the store is LOST, or reachable: whether commits make sense. */
void set_store_lost (fixture_t *self, bool lost);

/* Sends the current list of targets. */
void list_targets (fixture_t *self);

target_entry_t *target (fixture_t *self, guint i);

void add_target (fixture_t *self, guint n);

/* N targets, t0 and on; the role isn't held yet. */
void begin (fixture_t *self, guint n);

void end (fixture_t *self);

guint count_actions (const fixture_t *self, keys_out_kind_t kind);

/* The first action of KIND from the last message, or NULL. */
const keys_out_t *find (const fixture_t *self, keys_out_kind_t kind);

/* Ends CALL with a message of KIND; a release hands over "warm".  SENT: if it failed, the
 * target's host had taken it. */
void reply (fixture_t *self, const keys_out_t *call, keys_msg_kind_t kind, bool sent);

/* The same by an answer that may be one to an earlier call. */
void reply_shared (fixture_t *self, const keys_out_t *call, keys_msg_kind_t kind);

/* Accepts all grants that the last message requested. */
void accept_grants (fixture_t *self);

/* Takes the role without a stored table, and assigns and grants all keys. */
void assign_all_keys (fixture_t *self);

/* Advances in steps of 50 ms, renewing the role and accepting grants, until an action of
 * KIND is requested; false if that doesn't happen before UNTIL. */
bool run_until_action (fixture_t *self, keys_out_kind_t kind, msec_t until);

/* All calls to the target of ID fail from now on until keys are to move, which is after
 * UNTIL and soon.  A fence that it is sent now may be read late. */
void assert_moved_from_silent_owner (fixture_t *self, const name_t *id, msec_t until);

/* A table that splits the keys among the first N targets; fences from 20 on. */
key_table_t stored_table (const fixture_t *fixture, guint n);
