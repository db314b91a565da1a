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
 * Callers are spread unevenly over hosts, and on many hosts one sees a request for a
 * given target only every few seconds, so that a fixed part of the limit per host would
 * leave most of it unused on some and be missing on others.  Instead all hosts send the
 * same part of the requests that they have for the target: the limit divided by the
 * demand of the whole fleet.  The granter adds up the demand that hosts report
 * (rate_fleet_t) and distributes that part; each host admits requests by it
 * (rate_limit_t), spaced evenly.
 *
 * A host without a valid share (the granter has failed, or can't be reached) takes an
 * equal part of the limit instead.
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
  msec_t valid_until; /* the limit is forgotten if nobody states it again by then */
  double share;       /* of the host's requests that are admitted, 0 to 1 */
  msec_t share_until;
  double credit; /* sum of the shares of requests since the last admitted one */
  double tokens; /* that this host may send at once, whatever its share */
  msec_t tokens_at;
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
} rate_report_t;

/* The part of its requests for a target that every host may send. */
typedef struct
{
  name_t target;
  double limit;
  double share;
  double wanted; /* by all hosts; known to the granter alone */
} rate_share_t;

/* PHASE, 0 to 1, differs between hosts, so that they don't admit at the same time. */
void rate_limit_init (rate_limit_t *self, double phase);

/* A response of the target stated LIMIT, or none if not LIMITED. */
void rate_limit_state (rate_limit_t *self, bool limited, double limit, msec_t now);

/* The granter's SHARE for the target; NULL: its list does not contain the target. */
void rate_limit_set_share (rate_limit_t *self, const rate_share_t *share, msec_t now);

/* Whether one more request, which is wanted for the target, may be sent to it.  HOSTS
 * share the limit. */
bool rate_limit_admit (rate_limit_t *self, uint32_t hosts, msec_t now);

/* Sets what is to be reported, but not the target.  Returns false if there is nothing. */
bool rate_limit_report (rate_limit_t *self, msec_t now, rate_report_t *report);

/* The granter's view of all limited targets. */
typedef struct
{
  GHashTable *targets; /* id to the state of one limited target */
  msec_t next_plan;
  bool was_limited; /* the last plan had shares */
} rate_fleet_t;

void rate_fleet_init (rate_fleet_t *self);
void rate_fleet_finish (rate_fleet_t *self);

/* Forgets everything; the host is no longer the granter. */
void rate_fleet_clear (rate_fleet_t *self);

/* REPORTS (rate_report_t) of HOST arrived. */
void rate_fleet_report (rate_fleet_t *self,
                        const name_t *host,
                        const GArray *reports,
                        msec_t now);

/*
 * Each RATE_PLAN_MS, appends the shares (rate_share_t) of all limited targets to OUT and
 * returns true if they are to be sent: also once when there are none any more.
 */
bool rate_fleet_plan (rate_fleet_t *self, msec_t now, GArray *out);
