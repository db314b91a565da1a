#pragma once

#include "../core/msclock.h"
#include "../core/text.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * RATE: limits on the requests per second that a target takes from all hosts together.
 *
 * A target in need states such a limit in its responses, for as long as it needs it.
 * Each request to it takes one right.  The granter issues rights at the rate of the
 * limit, in its replies to the reports of hosts, and only while fewer than a ceiling are
 * unused (rate_fleet_t).  A right can be used once, for RATE_RIGHT_MS from the report
 * that it answers.  Whatever callers ask for, all hosts together thus send no more than
 * the ceiling and what was issued meanwhile.
 *
 * Callers are spread unevenly over hosts, and on many hosts one sees a request for a
 * given target only every few seconds.  So a host gets rights ahead of requests only if
 * it will soon need them.  Otherwise the request waits for the reply to the next report.
 * Which requests may wait is decided by a share, the limit divided by the demand of the
 * whole fleet, which the granter distributes; the others are rejected at once.
 *
 * A host that lost the granter takes RATE_ALONE_PERCENT of an equal part of the limit.
 * One that never had a granter takes its equal part.
 *
 * Decision logic without I/O.  Times are in ms on one clock, rates in requests per
 * second.
 */

#define RATE_BUCKETS 8

/* Requests counted over the last RATE_WINDOW_MS. */
typedef struct
{
  uint32_t counts[RATE_BUCKETS];
  int64_t newest; /* number of the newest bucket, counted from time 0 */
  msec_t since;   /* of the first count */
} rate_window_t;

/* What one host knows of one target. */
typedef struct
{
  bool limited;
  double limit;
  msec_t stated_at; /* when an own response last stated a limit, or that there is none */
  bool stated;      /* what it stated: there is a limit */
  msec_t known_at;  /* the target stated the limit to some host then, or later */
  msec_t valid_until; /* the limit is forgotten if nobody states it again by then */
  double share;       /* of the host's requests that may wait for a right, 0 to 1 */
  msec_t share_until; /* 0: it never had a granter */
  msec_t await_until; /* the first share may still come until then */
  msec_t listed_at;   /* when the granter's list last had the target */
  double credit; /* sum of the shares of requests, less those that waited or were sent */
  uint32_t rights;
  msec_t rights_until;
  msec_t accepted; /* time of the report that the last accepted rights answered */
  msec_t rights_idle_since; /* of the last use or arrival */
  uint32_t waiting;         /* requests that wait for a right */
  uint32_t admitted;        /* requests that have one and aren't sent yet */
  double tokens;            /* of a host without the granter */
  msec_t tokens_at;         /* 0: it has the granter */
  double phase;
  rate_window_t wanted;
  bool unreported_statement;
  bool reported_demand; /* the last report had some */
} rate_limit_t;

/* A host's report on one target. */
typedef struct
{
  name_t target;
  bool stated; /* LIMITED and LIMIT are what a response stated AGE ms ago */
  bool limited;
  double limit;
  msec_t age;
  double wanted;        /* requests that it had for the target, over RATE_WINDOW_MS */
  double wanted_lately; /* and over about half of that */
  uint32_t held;     /* its unused rights, those of requests that aren't sent included */
  uint32_t returned; /* rights that it gives back */
  uint32_t waiting;  /* requests that wait for a right, or have one and aren't sent */
  msec_t accepted;   /* time of the report that its last rights answered; 0: none */
} rate_report_t;

/* The part of its requests for a target that every host may have wait. */
typedef struct
{
  name_t target;
  double limit;
  msec_t age; /* since the target stated the limit */
  double share;
  double wanted; /* by all hosts; known to the granter alone */
} rate_share_t;

/* RIGHTS more to send requests to the target; those that the host has last longer. */
typedef struct
{
  name_t target;
  uint32_t rights;
} rate_grant_t;

/* PHASE, 0 to 1, differs between hosts, so that they don't admit at the same time. */
void rate_limit_init (rate_limit_t *self, double phase);

/* A response of the target stated LIMIT, or none if not LIMITED. */
void rate_limit_state (rate_limit_t *self, bool limited, double limit, msec_t now);

/* The granter's SHARE for the target; NULL: its list does not contain the target. */
void rate_limit_set_share (rate_limit_t *self, const rate_share_t *share, msec_t now);

/* The target has begun to be limited, and the granter will soon say how the limit is
 * shared: until then, for RATE_WAIT_MS at most, requests wait for rights. */
void rate_limit_await_share (rate_limit_t *self, msec_t now);

/* The granter's GRANT, in reply to the report that was made at REPORTED_AT. */
void rate_limit_grant (rate_limit_t *self,
                       const rate_grant_t *grant,
                       msec_t reported_at,
                       msec_t now);

/* Whether one more request, which is wanted for the target, may be sent to it now.  HOSTS
 * share the limit. */
bool rate_limit_admit (rate_limit_t *self, uint32_t hosts, msec_t now);

/* A request that was admitted isn't sent at once; rate_limit_sent or rate_limit_put_back
 * follows. */
void rate_limit_hold (rate_limit_t *self);
void rate_limit_sent (rate_limit_t *self);
void rate_limit_put_back (rate_limit_t *self);

/* Whether a request that was not admitted may wait for a right; it then has to end that
 * by rate_limit_take, if this returns true, or by rate_limit_leave. */
bool rate_limit_wait (rate_limit_t *self, msec_t now);
bool rate_limit_take (rate_limit_t *self, msec_t now);
void rate_limit_leave (rate_limit_t *self);

/* Sets what is to be reported, but not the target, and gives up the rights that are
 * reported as returned.  Returns false if there is nothing. */
bool rate_limit_report (rate_limit_t *self, msec_t now, rate_report_t *report);

/* The granter's view of all limited targets. */
typedef struct
{
  GHashTable *targets; /* id to the state of one limited target */
  msec_t next_plan;
  msec_t since;     /* of the first report; 0: none yet */
  bool was_limited; /* the last plan had shares */
} rate_fleet_t;

void rate_fleet_init (rate_fleet_t *self);
void rate_fleet_finish (rate_fleet_t *self);

/* Forgets everything; the host is no longer the granter. */
void rate_fleet_clear (rate_fleet_t *self);

/* REPORTS (rate_report_t) of HOST, made at REPORTED_AT on its clock, arrived.  Appends
 * what it gets (rate_grant_t) to GRANTS. */
void rate_fleet_report (rate_fleet_t *self,
                        const name_t *host,
                        const GArray *reports,
                        msec_t reported_at,
                        msec_t now,
                        GArray *grants);

/*
 * Each RATE_PLAN_MS, appends the shares (rate_share_t) of all limited targets to OUT and
 * returns true if they are to be sent: also once when there are none any more.
 */
bool rate_fleet_plan (rate_fleet_t *self, msec_t now, GArray *out);
