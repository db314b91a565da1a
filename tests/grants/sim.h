#pragma once

#include "../../packages/coordinator/coordinator_parts.h"

/*
 * SIM: a simulation of the granter on a small fleet, under a settable clock.
 *
 * Hosts run the production code of the role, the grants and the keys; the store and the
 * targets are simulated.  Each call, and each time at which a fault may be injected into
 * a host, is a choice point.  The run takes option 0 there unless one of its deviations
 * names another.
 */

#define HOSTS 2
#define TARGETS 6
#define ADDRESSES 64        /* of targets, as ports */
#define TICK_MS 50          /* between the coordinator's ticks */
#define DELAY_MS 2          /* one-way network delay */
#define WINDOW_FROM_MS 2000 /* the targets have accepted their first grants by then */
#define WINDOW_TO_MS 7000
#define SCENARIO_CHANGE_MS 3500 /* when the scenario's change takes place */
/* The same, after several grants, and after any take-over in the window. */
#define SCENARIO_LATER_MS 5700
#define SCENARIO_AFTER_WINDOW_MS 8000
#define EVACUATION_MS 2600 /* within the window, and while keys move */

/* 17 s after the window, and the time in which a grant may lie unread: longer than the
 * longest hold, so that the keys of a lost target can be granted again. */
#define END_MS (24000 + KEYS_STALL_MS)
/* After a loss of the store its granter may be unknown for a lease after the return. */
#define END_AFTER_LOSS_MS (END_MS + STORE_AWAY_LONG_MS + ROLE_LEASE_MS + ROLE_CHECK_MS)
/* Random runs last longer, since faults of several kinds have to meet. */
#define RANDOM_TO_MS 16000
#define RANDOM_END_MS (36000 + KEYS_STALL_MS)
#define RANDOM_END_AFTER_LOSS_MS (RANDOM_END_MS + END_AFTER_LOSS_MS - END_MS)
#define FREEZE_MS 3200
#define RESTART_MS 400
#define HOST_FAULT_INTERVAL_MS 250 /* between choice points for host faults */
#define STORE_DELAY_MS 2000
#define STORE_SLOW_MS 1500   /* longer than STORE_CALL_MS */
#define STORE_SILENT_MS 1000 /* a renewal is lost, and the role isn't */
#define STORE_REFUSED_MS 1500
#define STALE_READ_AGE_MS 3000
#define COMMAND_DELAY_MS 4000
#define COMMAND_SERIES_MS 3500       /* covers a longest and several usual grants */
#define COMMAND_SERIES_DELAY_MS 7500 /* within the longest hold */
#define LISTING_DELAY_MS 1200        /* from a restart to the target's new entry */
#define COMMAND_SLOW_MS 1100         /* nearly as long as a call may take */
#define STALL_MS 6200                /* of a target: its unanswered grants have expired */
#define STALL_READ_MS 60             /* from a stalled target's first reads to its last */
#define STALL_LAPSE_MS 2600    /* from a stall's start to the end of the target's entry */
#define STALL_LIST_MS 700      /* from its end to the target's new entry */
#define STALL_PLATFORM_MS 4200 /* of the store and all targets: the role's lease ends */
#define STALL_CUT_MS 16000 /* from the begin of that: its grants' bounds have passed */
#define STORE_AWAY_MS 1500 /* before it comes back from an older copy */
#define STORE_AWAY_LONG_MS 3000 /* longer than the role's lease */
#define STORE_COPY_AGE_MS 2500  /* of that copy when the store goes away */
/* More than it lost, so that the hosts' versions are given out again. */
#define STORE_VERSIONS_REPEATED 60
#define HOLD_MAX_MS 10000
#define POINTS_MAX 8192
#define DEVIATIONS_MAX 2

typedef enum
{
  SCENARIO_NO_CHANGE,
  SCENARIO_LEAVE,       /* the first target leaves */
  SCENARIO_LEAVE_LATER, /* the same, when several grants have been sent since the window
                           began */
  SCENARIO_RESTART,     /* the first target restarts under the same id */
  SCENARIO_RESTART_UNSEEN, /* the same, and its entry changes later */
  SCENARIO_JOIN,           /* a third target joins */
  SCENARIO_RESIGN,         /* the granter shuts down and resigns its role */
  SCENARIO_REPLACE,        /* the first target restarts and leaves at once, later */
  SCENARIO_EVACUATE,       /* the first target's data centre is emptied, and taken back */
  SCENARIO_EVACUATE_ALL,   /* the same, of both */
  SCENARIO_COUNT,
} scenario_t;

typedef enum
{
  POINT_STORE,
  POINT_COMMAND,
  POINT_HOST,
} point_kind_t;

/* Options of each kind of choice point; 0 is normal operation. */
enum
{
  STORE_LOST = 1,
  STORE_RESPONSE_LOST,
  STORE_DELAYED, /* executed late; the host sees a timeout */
  STORE_CALL_REFUSED,
  STORE_STALE,           /* a read returns old rows; a commit is executed as usual */
  STORE_SLOW,            /* answered later than the host waits for it */
  STORE_SILENT_SERIES,   /* this and the host's next calls are lost */
  STORE_REFUSED_SERIES,  /* this and the host's next calls are refused */
  STORE_STALLED,         /* the store and all targets read it and what follows later */
  STORE_STALLED_CUT,     /* the same, and the hosts don't reach a target after that */
  STORE_RESTORED,        /* the store goes away, and comes back from an older copy */
  STORE_RESTORED_PAST,   /* the same, and gives the lost versions out again at once */
  STORE_RESTORED_LATE,   /* the same as the first, after longer than a lease */
  STORE_RESTORED_KILLED, /* the same as the first, and the caller is killed meanwhile */
  STORE_OPTIONS,
  STORE_RANDOM_OPTIONS = STORE_RESTORED, /* random runs draw losses by themselves */
  COMMAND_LOST = 1,
  COMMAND_RESPONSE_LOST,
  COMMAND_DELAYED,        /* executed late; the host sees a failure */
  COMMAND_DELAYED_SERIES, /* this and the next calls to the target */
  COMMAND_SLOW,           /* executed on arrival near the end of the call */
  COMMAND_STALLED,        /* the target reads this and what follows after a stall */
  COMMAND_OPTIONS,
  HOST_FROZEN = 1,
  HOST_KILLED,
  HOST_OPTIONS,
};

/* Takes OPTION at the choice point number POINT of the run. */
typedef struct
{
  guint point;
  int option;
} deviation_t;

/* A range of keys that a target holds by a grant. */
typedef struct
{
  uint32_t first, last;
  uint64_t fence;
  msec_t until;
  bool late; /* the grant was executed after its call had ended */
} hold_t;

/* A target's entry in the store, or what a host knows of it. */
typedef struct
{
  bool listed, leaving;
  uint64_t born; /* the life that it is about */
  guint address;
  uint64_t version;
} target_row_t;

typedef struct
{
  target_row_t row;
  target_row_t views[HOSTS];
  bool up;
  uint64_t life; /* processes so far */
  guint address;
  msec_t slow_until;    /* its calls are answered by none and executed late */
  msec_t stalled_until; /* its process reads nothing before */
  msec_t lapse_at;      /* when its entry does by that; MSEC_NEVER: not */
  msec_t relist_at;     /* when it is listed again after that; MSEC_NEVER: it is */
  msec_t back_at;       /* when its next process starts; MSEC_NEVER: not at all */
  msec_t list_at;       /* when its entry changes to show that; MSEC_NEVER: it has */
  msec_t exit_at;       /* when it ends after leaving */
  msec_t cut_until[HOSTS];
  GArray *holds;  /* hold_t */
  GArray *fences; /* hold_t: ranges and fences of all grants that its process accepted */
} target_t;

typedef struct
{
  GString *bytes;
  uint64_t version;
} row_t;

/* The store's contents from a time on. */
typedef struct
{
  msec_t from;
  uint64_t version;
  row_t role, keys;
} snapshot_t;

typedef enum
{
  EVENT_STORE_CALL,     /* a call arrives at the store */
  EVENT_STORE_RESPONSE, /* its response, or its failure or timeout, arrives at the host */
  EVENT_COMMAND,        /* a grant or release arrives at a target */
  EVENT_COMMAND_RESPONSE,
  EVENT_LISTING, /* a target's entry arrives at a host */
} event_kind_t;

typedef struct
{
  event_kind_t kind;
  msec_t at;
  guint host;
  uint64_t incarnation;
  /* Store events. */
  uint64_t era; /* of a call: that its host knew; of a response: the store's */
  store_done_t done;
  store_table_t table;
  bool commit;
  uint64_t expected;
  bool stale;
  msec_t response_delay;
  GString *role, *keys; /* of a commit: the new rows; KEYS may be NULL */
  store_reply_t reply;
  /* Command events. */
  command_done_t command_done;
  key_command_t command;
  guint address;
  uint64_t life; /* of the process that has the address when the call begins */
  command_outcome_t outcome;
  bool not_sent;          /* of a failure: no byte of the call left the host */
  bool delivered;         /* of a failure: the call arrived at the target's host */
  bool hold_from_arrival; /* the hold runs from ARRIVED_AT instead of the execution */
  bool stalled;           /* it lies unread at the target, and ends with its process */
  msec_t arrived_at;
  void *owner;
  /* Listing events. */
  guint target;
  target_row_t row;
} sim_event_t;

typedef struct
{
  store_t store; /* must be first: the store's functions cast it to host_t */
  guint index;
  coordinator_t coordinator;
  bool up;
  uint64_t incarnation;
  msec_t frozen_until, kill_at, restart_at;
  int store_series; /* what becomes of its calls to the store; 0: as usual */
  msec_t store_series_until;
  /* Of a random run: some of its calls to the store are refused, or get no answer. */
  msec_t store_busy_until, store_lossy_until;
  uint64_t store_busy_share; /* calls refused in 10 */
  guint commits_left;        /* it is killed after so many tables; 0: it isn't */
} host_t;

typedef struct
{
  scenario_t scenario;
  const deviation_t *deviations;
  guint n_deviations;
  bool random;             /* deviations and faults are drawn, instead of named */
  bool losses;             /* the store's returns from older copies as well */
  rng_t rng;               /* of a random run */
  uint64_t rate;           /* deviations in 1,000 choice points of a random run */
  uint32_t hot_key;        /* the first of the hottest keys of a random run; 0: none */
  bool foreign[ADDRESSES]; /* a process of another service has the address */
  guint next_address;
  msec_t now;
  guint active_host; /* the host whose code is running */
  guint n_points;    /* choice points passed so far */
  point_kind_t point_kinds[POINTS_MAX];
  host_t hosts[HOSTS];
  target_t targets[TARGETS];
  row_t role, keys;
  uint64_t version, era;
  msec_t store_stalled_until; /* it reads no call before */
  bool store_away; /* it rejects all calls, and comes back from an older copy */
  msec_t store_back_at, copy_taken_at;
  bool versions_repeated;  /* and gives out those of after the copy again */
  GArray *snapshots;       /* snapshot_t, one for each commit */
  GPtrArray *events;       /* sim_event_t */
  GArray *fences[TARGETS]; /* the same, of all processes of each target */
  bool verbose;            /* print each command that arrives at a target */
  char violation[256];     /* the first one found; empty: none */
} sim_t;

extern const int sim_options[]; /* number of options, by point_kind_t */
/* The current run; callbacks of the coordinator have no other way to find it. */
extern sim_t *sim;
extern name_t service;
extern const store_ops_t sim_store_ops;
extern const deployment_ops_t sim_deployment;

/* Runs the scenario of SELF with its deviations until END_MS or the first violation. */
void sim_run (sim_t *self, const router_settings_t *settings);

/* Records a violation of an invariant, unless the run has one already. */
void sim_record_violation (const char *what, guint target, uint32_t key);

/* Passes a choice point and returns the option to take there. */
int sim_choose (point_kind_t kind);

/* Adds an event of HOST that happens AFTER ms from now.  The caller fills in the rest. */
sim_event_t *sim_schedule (event_kind_t kind, guint host, msec_t after);

void sim_store_open (void);

/* The store goes away for AWAY_MS, and comes back from a copy AGE_MS old.  REPEATED: it
 * gives out the versions that it lost at once. */
void sim_lose_store (msec_t away_ms, msec_t age_ms, bool repeated);

/* Has the store come back once it is time. */
void sim_step_store (void);

/* The answer of EVENT arrives at STORE's host: one of an earlier era doesn't count. */
void sim_check_era (store_t *store, sim_event_t *event);
void sim_store_close (void);

/* Executes a CALL that has arrived at the store. */
void sim_store_execute (const sim_event_t *call, store_reply_t *reply);

/* Executes a grant or release that has arrived at its address.  NOT_SENT: nothing listens
 * there, so that the call fails. */
command_outcome_t sim_execute_command (const sim_event_t *event, bool *not_sent);

/* The target's process reads nothing for FOR_MS, and its entry lapses if that is long. */
void sim_stall_target (guint index, msec_t for_ms);

/* The same of all targets and the store.  CUT: the hosts don't reach one of them after
 * that. */
void sim_stall_platform (bool cut);

/* Has the entries of stalled targets lapse and return. */
void sim_step_stalls (void);

/* Ends the target's process. */
void sim_stop_target (guint index);

/* Sends the target's entry to each host; in a random run hosts get it at various times.
 */
void sim_publish_target (guint index);

/* Has a host know the targets' entries as they are now. */
void sim_read_targets (guint host);

/* Draws the settings of a random run.  LOSSES: the store may lose its latest commits. */
void sim_draw_run (uint64_t seed, bool losses);

/* Draws faults of targets, links and hosts for this moment, and ends those that are over.
 */
void sim_disturb (void);

/* In a random run, callers' requests since the last call, for the granter. */
void sim_draw_loads (GArray *loads);

/* Ends the host's process; another one starts AFTER ms. */
void sim_kill_host (host_t *host, msec_t after);

/* Passes on to a host what it knows of the targets. */
void sim_send_targets (host_t *host);
