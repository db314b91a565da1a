#pragma once

#include "../core/limits.h"
#include "../directory/directory.h"

/*
 * LEAVING: what a host knows of a target's leaving.
 *
 * Two sources tell it, and each is sufficient: the list of targets, which may be late or
 * go back, and the target's own responses.  What a target has stated holds until its
 * process ends, whatever the list says and whatever later responses leave out.
 *
 * Decision logic without I/O.  Times are in ms on one clock.
 */

typedef struct
{
  /* When this host first saw it listed as leaving; MSEC_NEVER: it is not listed so. */
  msec_t listed_at;
  msec_t listed_since; /* the earliest time at which it can have begun to leave */
  msec_t stated_at;    /* its first response that stated it; MSEC_NEVER: none has */
} leaving_t;

typedef struct
{
  target_incarnation_t target;
  msec_t stated_at;
} leaving_statement_t;

/* Ring buffer of the most recent statements, for targets that are removed from the list
 * and listed again. */
typedef struct
{
  leaving_statement_t statements[DISPATCH_LEAVING_HISTORY];
  uint32_t n; /* statements so far */
} leaving_history_t;

/* ENTRY's incarnation is new to the list; HISTORY may have its statement. */
void leaving_init (leaving_t *self,
                   const leaving_history_t *history,
                   const target_entry_t *entry);

/* The target is listed as ENTRY. */
void leaving_update (leaving_t *self, const target_entry_t *entry, msec_t now);

/* The target of ENTRY stated that it leaves.  False if it had before. */
bool leaving_state (leaving_t *self,
                    leaving_history_t *history,
                    const target_entry_t *entry,
                    msec_t now);

/* Whether the target is leaving by either source: only the owner of a request's key still
 * gets requests then. */
bool leaving_is_known (const leaving_t *self);

bool leaving_is_stated (const leaving_t *self);

/* The time from which an owner gets no more requests for its keys either, MSEC_NEVER if
 * it is not leaving.  DRAIN: the time within which requests may reach a leaving target.
 */
msec_t leaving_owner_until (const leaving_t *self, msec_t drain);
