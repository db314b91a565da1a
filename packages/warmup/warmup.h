#pragma once

#include "../directory/directory.h"
#include "../rate/rate.h"

/*
 * WARMUP: which targets are cold, and what all hosts together may send to one.
 *
 * Load: tens of targets that become cold together, at a restart of a data centre, after
 * an evacuation or as they join.  A cold target is slow and bears a stated number of
 * requests a second from all hosts, of which a large fleet has a hundred and more, none
 * of which sees what the others send.
 *
 * A host goes by the target's entry and each change of it.  Requests that have a choice
 * go to no cold target (see dispatch).  For the others a cold target counts as one that
 * states a limit: the hosts share it by rights (rate.h), so that the bound holds in each
 * second whatever callers ask for.
 *
 * Decision logic without I/O.  Times are in ms on the host's clock.
 */

/* What one host knows of one process of a target. */
typedef struct
{
  bool guarded; /* its service states what a cold target bears */
  double rate;  /* requests per second from all hosts while it is cold */
  bool heard;
  uint64_t version; /* of the entry that was last heard */
  msec_t cold_until;
  msec_t suspect_until; /* it may have become cold without its entry saying so yet */
  /* The limit that its own responses last stated. */
  bool target_limited;
  double target_limit;
  bool applied; /* its rate limit contains RATE */
  msec_t applied_at;
} warmup_t;

/*
 * The limit by which all hosts together send a cold target no more than BEARS * OVERAGE +
 * SLACK requests in any second: the rights that are unused and those that are issued in
 * it.  0: none may be sent.
 */
double warmup_rate (double bears, double overage, double slack);

/* Its service states what a cold target bears, by which all hosts may send RATE; or it
 * doesn't. */
void warmup_set_rate (warmup_t *self, bool guarded, double rate);

/* ENTRY is what the store lists now. */
void warmup_hear (warmup_t *self, const target_entry_t *entry, msec_t now);

/* It counts as cold for DURATION, or until an entry that changed later is heard. */
void warmup_suspect (warmup_t *self, msec_t duration, msec_t now);

/* Whether it is slow, as far as is known. */
bool warmup_is_cold (const warmup_t *self, msec_t now);

/* Whether the bound on what all hosts send to it applies. */
bool warmup_is_guarded (const warmup_t *self, msec_t now);

/* A response stated that the target takes LIMIT requests a second, or that it has no
 * limit; RATE_LIMIT is that of the target. */
void warmup_answered (
    warmup_t *self, rate_limit_t *rate_limit, bool limited, double limit, msec_t now);

/* Before RATE_LIMIT is asked for a request: puts the bound into it, or takes it out. */
void warmup_apply (warmup_t *self, rate_limit_t *rate_limit, msec_t now);
