#pragma once

#include "../core/rng.h"
#include "../directory/directory.h"
#include "../evacuation/evacuation.h"
#include "../pace/pace.h"
#include "../rate/rate.h"
#include "../suspect/suspect.h"
#include "../warmup/warmup.h"
#include "budget.h"
#include "leaving.h"
#include "longest.h"
#include "pauses.h"

/*
 * DISPATCH: routing, queueing and retry decisions for the requests of one host.
 *
 * A state machine without I/O: it takes typed messages and the current time, and
 * appends actions to an array.  It matches the route, selects a target or finds the
 * key's owner, queues requests until a target has capacity, retries them where that
 * is allowed, and ends those that cannot be served.
 *
 * At most once: a mutating request or an upload is retried only if the target reported
 * that it did not run it, or if no byte of it was sent.  A request ends as "not run" only
 * if none of its attempts can have run.
 */

typedef struct dispatch_request dispatch_request_t;

typedef enum
{
  DISPATCH_DIRECTORY, /* a newer configuration; takes ownership of it */
  DISPATCH_TARGETS,   /* the complete list of current targets */
  DISPATCH_KEY_TABLE, /* the key owners of one service; the table is copied */
  DISPATCH_ARRIVED,
  DISPATCH_STREAMING,   /* the response is forwarded as it arrives, until the deadline: no
                           retry any more */
  DISPATCH_ANSWERED,    /* the target's complete response was received */
  DISPATCH_FAILED,      /* the attempt ended without a complete response */
  DISPATCH_CALLER_LEFT, /* the caller disconnected */
  DISPATCH_TIMER,       /* the request's timer expired */
  DISPATCH_ABANDON,     /* the request ends now, whatever its target does */
  DISPATCH_TOO_LARGE,   /* the same: its body, which is not complete, is too large */
  DISPATCH_BOUNDS,      /* new bounds take effect */
  DISPATCH_SUSPECT,     /* another host reports or clears a suspect request */
  DISPATCH_SHARES,      /* the granter's list of limited targets */
  DISPATCH_PACES,       /* the granter's list of the pace of targets */
  DISPATCH_GRANTS,      /* rights to send to limited targets */
  DISPATCH_LEAVING,     /* a target stated in a response that it leaves */
  DISPATCH_EVACUATIONS, /* the complete list of data centres that are emptied */
  DISPATCH_CURRENCY,    /* OUTDATED: the configuration or the targets may be too old */
  DISPATCH_STOP,  /* the process ends soon: what waits, and what arrives, is rejected */
  DISPATCH_DRAIN, /* the process is draining: overdue attempts are no longer retried,
                     targets have to answer by ANSWERS_UNTIL, and callers are directed to
                     this host until CALLERS_UNTIL */
} dispatch_msg_kind_t;

typedef enum
{
  ANSWER_RUN,          /* the target ran the request; the status is its result */
  ANSWER_FULL,         /* not run: no capacity, or the deadline passed in its queue */
  ANSWER_NOT_OWNER,    /* not run: the target does not own the key */
  ANSWER_WRONG_TARGET, /* not run: another target now has this address */
} dispatch_answer_t;

/* The load that a target reports with a response. */
typedef struct
{
  bool reported;
  uint32_t running, waiting, slots;
  /* How long work takes on its machine at this moment, in percent of the usual; 0: not
   * stated. */
  uint32_t moment_percent;
  bool odd_moment; /* what it stated isn't usable */
} load_report_t;

/* Deployment-wide bounds.  Times are in milliseconds. */
typedef struct
{
  msec_t retry_window;
  uint32_t retry_percent; /* retries allowed per 100 requests */
  uint32_t retry_extra;   /* retries allowed in addition, per window */
  msec_t drain; /* a target gets no requests when it has been leaving for this long */
  msec_t evacuation; /* a data centre gets no requests when it has been emptied for this
                        long */
  uint32_t hosts;    /* hosts that use the same targets, including this one */
  /* Together with a service's rate, what a cold target gets in a second at most. */
  double warmup_overage, warmup_slack;
} dispatch_bounds_t;

typedef struct
{
  dispatch_msg_kind_t kind;
  directory_t *directory;      /* DISPATCH_DIRECTORY */
  const GArray *targets;       /* DISPATCH_TARGETS: target_entry_t */
  const key_table_t *keys;     /* DISPATCH_KEY_TABLE */
  dispatch_request_t *request; /* DISPATCH_ARRIVED to DISPATCH_TOO_LARGE */
  uint32_t target;             /* DISPATCH_STREAMING to DISPATCH_FAILED: of the attempt */
  text_t host, path;           /* DISPATCH_ARRIVED */
  bool has_key;                /* DISPATCH_ARRIVED */
  uint32_t key;                /* DISPATCH_ARRIVED */
  uint64_t fingerprint;  /* DISPATCH_ARRIVED: identifies equal requests; 0: unknown */
  suspect_out_t suspect; /* DISPATCH_SUSPECT */
  bool outdated;         /* DISPATCH_CURRENCY */
  bool not_replayable;   /* DISPATCH_ARRIVED: the body cannot be sent again */
  msec_t timeout; /* DISPATCH_ARRIVED: the caller's timeout in ms; -1: none given */
  msec_t waited;  /* DISPATCH_ARRIVED: ms since its first byte arrived */
  dispatch_answer_t answer; /* DISPATCH_ANSWERED */
  unsigned status;          /* DISPATCH_ANSWERED: HTTP status */
  load_report_t load;       /* DISPATCH_ANSWERED */
  /* DISPATCH_ANSWERED: when the response began to wait for its caller; 0: it never did.
   */
  msec_t held_up_at;
  bool rate_limited;       /* DISPATCH_ANSWERED: the target stated RATE_LIMIT */
  double rate_limit;       /* DISPATCH_ANSWERED: requests per second, from all hosts */
  pause_statement_t pause; /* DISPATCH_ANSWERED: for how long it wants no requests */
  const GArray *shares;    /* DISPATCH_SHARES: rate_share_t */
  msec_t answers_until, callers_until; /* DISPATCH_DRAIN */
  const GArray *paces;                 /* DISPATCH_PACES: pace_t */
  const GArray *grants;                /* DISPATCH_GRANTS: rate_grant_t */
  msec_t rates_at;              /* DISPATCH_GRANTS: of the report that they answer */
  target_incarnation_t leaving; /* DISPATCH_LEAVING */
  const GArray *evacuations;    /* DISPATCH_EVACUATIONS: evacuation_t, in force */
  dispatch_bounds_t bounds;     /* DISPATCH_BOUNDS */
  bool sent;             /* DISPATCH_FAILED: part of the request may have been sent */
  bool connected;        /* DISPATCH_FAILED: the connection was established */
  bool refused;          /* DISPATCH_FAILED: the connection was refused */
  bool connection_reset; /* DISPATCH_FAILED: a new connection was reset before any
                            response */
} dispatch_msg_t;

typedef enum
{
  DISPATCH_SEND,    /* send the request to a target, with the time it has left; an attempt
                       in progress goes on */
  DISPATCH_CANCEL,  /* abort the attempt at TARGET */
  DISPATCH_DELIVER, /* forward the received response to the caller */
  DISPATCH_END,     /* end the request without a response from a target */
  DISPATCH_BROADCAST_SUSPECT, /* report or clear a suspect request at all hosts */
  DISPATCH_CLOSE_IDLE, /* a target is no longer listed, or at another address: close idle
                          connections to it */
  DISPATCH_TARGET_LEAVING, /* a target first stated that it leaves */
  DISPATCH_TARGET_PAUSE,   /* a target asked for no requests, or gets them again */
  DISPATCH_SERVICE_PAUSE,  /* all targets of a service asked for that, or one gets them */
} dispatch_out_kind_t;

typedef enum
{
  OUTCOME_NOT_RUN,   /* guaranteed: no target has run it or will run it */
  OUTCOME_UNKNOWN,   /* it may have run */
  OUTCOME_TIMED_OUT, /* it may have run, and its deadline has passed */
  OUTCOME_NO_ROUTE,
} dispatch_outcome_t;

typedef enum
{
  REASON_NONE,
  REASON_NO_CONFIGURATION,
  REASON_OUTDATED, /* the configuration or the list of targets may be too old */
  REASON_NO_ROUTE,
  REASON_UNSUPPORTED, /* this version doesn't support the route's kind */
  REASON_NO_TARGET,   /* no usable target is listed or reachable */
  REASON_EVACUATED,   /* all usable targets are in data centres that are emptied */
  REASON_NO_OWNER,    /* the key has no owner at present, or the owner is unreachable */
  REASON_OVERLOAD,    /* no target has capacity in time */
  REASON_OWNER_FULL,  /* the key's owner is wanted more than it can end, see owners.h */
  REASON_RATE_LIMIT,  /* targets limited the requests from all hosts */
  REASON_COLD,     /* the only usable targets are cold, and get no more from all hosts */
  REASON_PAUSED,   /* all usable targets asked this host for no requests */
  REASON_STOPPING, /* the process may end before an attempt does */
  REASON_RETRY_BUDGET,    /* a retry is needed and the retry budget is spent */
  REASON_ANSWER_LOST,     /* the response was lost, invalid, overdue or a server error */
  REASON_CRASHES_TARGETS, /* the request is known to crash targets */
  REASON_DEADLINE,        /* the deadline has passed */
  REASON_TOO_LARGE,       /* its body is larger than the configuration allows */
  REASON_CALLER_LEFT,
  REASON_ANSWERED,
} dispatch_reason_t;

typedef struct
{
  dispatch_out_kind_t kind;
  dispatch_request_t *request;
  uint32_t target; /* index of a dispatch_target_t */
  msec_t timeout;  /* DISPATCH_SEND: time left until the deadline, or until the process
                      ends */
  dispatch_outcome_t outcome;
  dispatch_reason_t reason;
  msec_t retry_after;    /* DISPATCH_END with OUTCOME_NOT_RUN: milliseconds */
  suspect_out_t suspect; /* DISPATCH_BROADCAST_SUSPECT */
  msec_t owner_for; /* DISPATCH_TARGET_LEAVING: for so long it still gets requests for
                       keys that it owns */
  uint32_t service; /* DISPATCH_SERVICE_PAUSE */
  bool paused;      /* DISPATCH_TARGET_PAUSE, DISPATCH_SERVICE_PAUSE */
  msec_t duration;  /* of a pause that begins, or that is over */
} dispatch_out_t;

typedef enum
{
  REQUEST_NEW,
  REQUEST_WAITING,
  REQUEST_SENT,
  REQUEST_ENDED,
} dispatch_state_t;

/* One request.  The caller of dispatch_handle owns the memory, and keeps it until the
 * request has ended. */
struct dispatch_request
{
  dispatch_state_t state;
  uint32_t service; /* index in dispatch_t.services */
  request_kind_t kind;
  bool keyed;
  uint32_t key;
  uint32_t priority;
  uint64_t fingerprint;    /* 0: unknown */
  uint32_t executions_max; /* maximum number of attempts that may have run */
  msec_t arrived;
  msec_t objective; /* the latency objective, as a point in time */
  msec_t deadline;
  msec_t timer_at;     /* when to pass in DISPATCH_TIMER; MSEC_NEVER: no timer */
  msec_t not_before;   /* earliest time of the next attempt */
  uint32_t attempts;   /* including those that were not run */
  uint32_t executions; /* attempts that may have run */
  bool no_retry;       /* never retried, whatever the result of the first attempt */
  bool streaming;      /* the response is being forwarded as it arrives */
  bool caller_left; /* the caller of a sent mutating request left; the attempt goes on */
  int32_t target;   /* of the last attempt, or -1 */
  int32_t queued_owner; /* key owner whose capacity it waits for, or -1 */
  int32_t admitted_to;  /* target whose rate limit admitted the next attempt, or -1 */
  int32_t rate_target;  /* target whose rate limit it waits for, or -1 */
  msec_t rate_until;    /* and until when */
  /* Bits of the targets, by index modulo 64, whose rate limits didn't admit it. */
  uint64_t not_admitted;
  int32_t last_failed_target; /* selected again only at a penalty; or -1 */
  msec_t sent_at;
  /* The attempt beside the newest one; -1: there is none.  See second.h. */
  int32_t other_target;
  msec_t other_sent_at;
  uint32_t other_load_at_send;
  uint32_t load_at_send; /* requests at the target at that time, including this one */
  /* Of the newest attempt, in ms: what was left until targets have to have answered, and
   * what the target was expected to need.  LEFT_AT_SEND is -1 if the process didn't
   * drain. */
  msec_t left_at_send, expected_at_send;
  dispatch_reason_t reason;   /* why it is queued, or why it ended */
  uint64_t directory_version; /* version of the configuration that routed it */
  uint64_t key_table_version; /* version of the key table that named the owner; 0: none */
  GList link;                 /* node in its service's queue */
};

/* A request whose connection to a target broke before a response. */
typedef struct
{
  uint64_t fingerprint; /* 0: none */
  msec_t at;
} dispatch_loss_t;

typedef struct
{
  bool in_use; /* false: the array entry is free for another target */
  bool listed; /* in the last list of targets */
  target_entry_t entry;
  uint32_t service;
  uint32_t in_flight;  /* this host's requests */
  uint32_t other_load; /* other hosts' requests there, as last reported or assumed */
  uint32_t other_load_average; /* moving average of other_load, in thousandths */
  msec_t reported_at;          /* when other_load was reported or assumed */
  uint32_t service_time_ms;    /* moving average of its service time for one request */
  uint32_t samples;            /* such times since they were last reported */
  uint64_t samples_ms;         /* and their sum */
  uint32_t failures;           /* consecutive failed attempts */
  msec_t backoff_until;        /* until then an owner gets no requests, others fewer */
  bool address_reused;         /* another target has its address; it gets no requests */
  msec_t address_since;        /* when it was listed at another address; 0: never */
  /* Moving average: failed attempts, server errors and ANSWER_FULL per 1000 attempts. */
  uint32_t errors_permille;
  warmup_t warmup;  /* while it is cold its service time is taken as double */
  uint32_t waiting; /* queued requests that wait for its capacity as key owner */
  bool saturated; /* the last of these requests to leave the queue was not sent in time */
  dispatch_loss_t losses[DISPATCH_LOSS_HISTORY]; /* ring buffer of the most recent ones */
  uint32_t next_loss;
  leaving_t leaving;
  rate_limit_t rate;
  pause_t pause;
  pace_t pace; /* by the granter's list */
  msec_t pace_until;
  pace_sample_t sample;    /* since it was last reported */
  uint32_t owner_credit;   /* requests for its keys that may be sent, in thousandths */
  uint32_t moment_percent; /* as its last report stated it, at MOMENT_AT */
  msec_t moment_at;
} dispatch_target_t;

typedef struct
{
  name_t name;
  bool configured;
  bool keyed;
  uint32_t max_connections; /* limit per target over all hosts; 0: none given */
  double cold_rate;         /* as in service_entry_t */
  msec_t cold_time;
  budget_t budget;
  key_table_t keys;
  /* msec_t per range of the key table: its owner reported that it does not own the range,
   * and gets no requests for it before this time. */
  GArray *not_owner_until;
  GQueue queue;             /* queued dispatch_request_t, in order of arrival */
  uint32_t service_time_ms; /* moving average over its targets */
  uint32_t pace_ms;         /* mean work time of its targets by that list */
  msec_t paced_until; /* until then its targets' pace is known by the granter's list */
  uint32_t moment_permille; /* moving average of the momentary speeds that they stated */
  longest_t longest;        /* that its targets needed for a request, its wait included */
  msec_t paused_since;      /* since when no target took requests; MSEC_NEVER: one does */
  uint32_t *key_loads;      /* requests per KEY_BUCKET_SIZE keys since the last reset */
} dispatch_service_t;

typedef struct
{
  name_t data_centre;
  dispatch_bounds_t bounds;
  directory_t *directory; /* NULL until the first configuration arrives */
  GArray *service_map; /* uint32_t: a service's index in directory to that in services */
  GArray *current_weights; /* double per share, for smooth weighted round robin */
  GPtrArray *services;     /* dispatch_service_t */
  GPtrArray *targets; /* dispatch_target_t at stable indexes; unused entries are reused */
  leaving_history_t left;
  GArray *evacuations; /* evacuation_t, in force */
  suspect_t suspects;
  rng_t rng;
  bool draining;     /* the process is shutting down */
  msec_t work_until; /* when a target has to have ended a request; MSEC_NEVER: no limit */
  msec_t callers_until; /* until when callers are directed to this host; see stops.h */
  bool stopping;        /* and ends soon: requests that wait are rejected */
  bool outdated;        /* requests are rejected, as currency decided */
  uint64_t cold_sent;   /* requests that cold targets' limits admitted */
  uint64_t cold_held;   /* and didn't admit */
} dispatch_t;

void dispatch_init (dispatch_t *self, text_t data_centre, uint64_t seed);

/* Handles MSG at time NOW and appends actions, dispatch_out_t, to OUT. */
void
dispatch_handle (dispatch_t *self, const dispatch_msg_t *msg, msec_t now, GArray *out);

void dispatch_finish (dispatch_t *self);

/* Whether a request may be pipelined: run while earlier ones of its connection are
 * unanswered. */
bool dispatch_may_pipeline (const dispatch_t *self, text_t host, text_t path);

/* The time-out of the route of HOST and PATH, in ms; MSEC_NEVER if there is no route. */
msec_t dispatch_time_limit (const dispatch_t *self, text_t host, text_t path);

void dispatch_request_init (dispatch_request_t *self);

const dispatch_target_t *dispatch_target (const dispatch_t *self, uint32_t target);
const dispatch_service_t *dispatch_service (const dispatch_t *self, uint32_t service);
const char *dispatch_reason_name (dispatch_reason_t reason);
