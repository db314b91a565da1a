#pragma once

#include "../core/limits.h"
#include "../core/msclock.h"

#include <stdbool.h>

/*
 * KEY_HOLDS: until when the owner of a range of keys may hold it.
 *
 * A grant lasts from when the target's process reads it.  If the target's host has taken
 * its bytes, they may lie there for KEYS_STALL_MS after the call has ended without an
 * answer, whatever became of the connection, and be read after a release that was sent
 * later.  A host that hasn't acknowledged them gets them no more after the reset, and one
 * at which nobody listens has none.  Whether a predecessor's grants were taken isn't
 * known: they may lie unread unless another process answers at the address.  Every grant
 * extends the bounds below and none shortens them: another grant of the range, whatever
 * its duration, proves nothing about one that is still in flight. The bounds end when
 * they have passed, or with the target's process; those of grants under earlier fences
 * also while the process knows a newer one.  Times are in milliseconds on the granter's
 * clock.
 */

typedef struct
{
  msec_t any_until;       /* all grants that were read in time have expired by then */
  msec_t late_until;      /* all without an answer have, if read by the end of the call */
  msec_t unread_until;    /* the same, if read as late as possible */
  msec_t inherited_until; /* all of predecessors have, if read so late; 0: none */
  msec_t unknown_until;   /* all to owners that no table names; 0: there are none */
  bool foreign;           /* another process answered at the owner's address */
  bool fenced_off;        /* the owner's process rejects those of predecessors */
} key_holds_t;

/* The longest time from the arrival of a grant of HOLD to its expiry: on a slow clock,
 * and with the transmission. */
msec_t key_holds_worst_case (msec_t hold);

/* Grants of predecessors may last until UNTIL, those included that are read late. */
void key_holds_inherit (key_holds_t *self, msec_t until);

/* A grant of HOLD is sent. */
void key_holds_sent (key_holds_t *self, msec_t hold, msec_t now);

/* Another process, which isn't known, may hold the range until UNTIL. */
void key_holds_unknown_owner (key_holds_t *self, msec_t until);

/* It was answered, so it has arrived by now. */
void key_holds_answered (key_holds_t *self, msec_t hold, msec_t now);

/* Its call ended without an answer: its bytes have arrived by now or never will, and it
 * may take effect until it expires.  DELIVERED: the owner's host may have taken them. */
void key_holds_unanswered (key_holds_t *self, msec_t hold, bool delivered, msec_t now);

/* Another process answered at the owner's address. */
void key_holds_foreign (key_holds_t *self);

/* The owner has released the range: it holds it by no grant that it has read. */
void key_holds_released (key_holds_t *self);

/* A new fence was committed for the owner: the grants so far count as a predecessor's. */
void key_holds_new_fence (key_holds_t *self);

/* The owner accepted a grant under a fence above all those of predecessors.  It may hold
 * the range by one of LONGEST_HOLD that it had read right before. */
void key_holds_fenced_off (key_holds_t *self, msec_t longest_hold, msec_t now);

/* The owner may have restarted since, and know no fence. */
void key_holds_not_fenced_off (key_holds_t *self);

/* Whether grants of predecessors may take effect at NOW. */
bool key_holds_inherited (const key_holds_t *self, msec_t now);

/* From when on no owner can hold the range by grants that aren't known. */
msec_t key_holds_unknown_end (const key_holds_t *self);

/* From when on the owner can't hold the range.  RELEASED: it has released it since its
 * last grant was sent.  DEAF: nobody listens at its address. */
msec_t key_holds_end (const key_holds_t *self, bool released, bool deaf);
