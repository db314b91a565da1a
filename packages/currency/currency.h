#pragma once

#include "../core/msclock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * CURRENCY: what a host does that has to suspect that its copy of a table is too old.
 *
 * Decision logic without I/O, one instance per table.  Covers hosts whose network link or
 * processor is so busy that a change arrives late, and processes that did not run for a
 * while.
 *
 * A host that knows of a newer version queries the store for it, and asks again if the
 * first call may hang.  Once its copy is older than the limit it rejects requests, which
 * callers can send to another host, instead of handling them by what has been replaced.
 * That ends when it has the newer version, or when neither the store nor another host has
 * been heard from: then a rejection at all hosts would serve nobody.
 *
 * A host that can't know whether there is a newer version goes on with its copy, since an
 * outage of the store looks the same to all hosts.  Only if its own process did not run,
 * so that the silence is its own, it rejects requests until the store has confirmed the
 * copy, and for CURRENCY_UNSURE_MS at most.
 *
 * Times are in ms, on one clock.
 */

typedef enum
{
  CURRENCY_NEWER,   /* VERSION of the table exists */
  CURRENCY_STALLED, /* the process did not run for CURRENCY_STALL_MS or more until now */
  CURRENCY_REVIEW,  /* the state of the copy; sent periodically and when it changes */
} currency_msg_kind_t;

typedef struct
{
  currency_msg_kind_t kind;
  uint64_t version; /* CURRENCY_NEWER; CURRENCY_REVIEW: the copy has all up to it */
  /* CURRENCY_REVIEW: */
  msec_t complete_at; /* the copy had all changes at this time; MSEC_NEVER: unknown */
  msec_t heard_at;    /* the store is known to have answered this host or the granter */
} currency_msg_t;

typedef enum
{
  CURRENCY_QUERY,       /* query the store, unless a call is in flight */
  CURRENCY_REQUERY,     /* query the store; a call that began before SINCE may hang */
  CURRENCY_REJECT,      /* reject requests from now on */
  CURRENCY_SERVE,       /* serve requests again */
  CURRENCY_UNCONFIRMED, /* nothing has confirmed the copy for the limit's time */
  CURRENCY_CONFIRMED,   /* it is confirmed again */
} currency_out_kind_t;

typedef struct
{
  currency_out_kind_t kind;
  msec_t since; /* CURRENCY_REQUERY */
} currency_out_t;

typedef struct
{
  msec_t limit;         /* an outdated copy is not used from this age on */
  uint64_t newest;      /* the highest version known to exist */
  msec_t newest_at;     /* when this host learned of it */
  uint64_t awaited;     /* the version that it has been lacking for the longest time */
  msec_t behind_since;  /* when it learned of that; MSEC_NEVER: it lacks none */
  bool requeried;       /* since then */
  msec_t stalled_until; /* end of the last stall; MSEC_NEVER: confirmed since then */
  bool rejecting;
  bool unconfirmed;
} currency_t;

void currency_init (currency_t *self, msec_t limit);
void currency_set_limit (currency_t *self, msec_t limit);

/* Handles MSG at time NOW and appends actions, currency_out_t, to OUT. */
void
currency_handle (currency_t *self, const currency_msg_t *msg, msec_t now, GArray *out);
