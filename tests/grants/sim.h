#pragma once

#include "../../packages/coordinator/coordinator_parts.h"

/*
 * SIM: one run of granting on a small fleet, on a clock that is set.
 *
 * Hosts run the real role, grants and keys; the store and the targets are played.  Each
 * call and each moment at which a host may be harmed is a point, at which the run takes
 * the option that its deviations name.
 */

#define HOSTS 2
#define TARGETS 3
#define STEP_MS 50          /* the coordinator's tick in the simulation */
#define WAY_MS 2            /* a call's way, one way */
#define WINDOW_FROM_MS 2000 /* the first grants have been taken by then */
#define WINDOW_TO_MS 7000
#define TURN_MS 3500 /* what the scenario does to the targets */
#define END_MS 24000 /* twice the longest hold after the window */
#define FREEZE_MS 3200
#define RESTART_MS 400
#define MARK_MS 250 /* between points at which hosts may be harmed */
#define STORE_LATE_MS 2000
#define STORE_STALE_MS 3000
#define ORDER_LATE_MS 4000
#define HOLD_MAX_MS 10000
#define KEY_STRIDE 4096 /* between the keys of a sample */
#define KEY_SAMPLES (KEY_LAST / KEY_STRIDE + 1)
#define POINTS_MAX 8192
#define DEVIATIONS_MAX 2

typedef enum
{
  SCENARIO_CALM,
  SCENARIO_LEAVE,  /* the first target leaves */
  SCENARIO_REBORN, /* it starts anew under its id */
  SCENARIO_JOIN,   /* a third one joins */
  SCENARIO_RESIGN, /* the granter stops */
  SCENARIOS,
} scenario_t;

typedef enum
{
  POINT_STORE,
  POINT_ORDER,
  POINT_HOST,
} point_kind_t;

/* Options of each kind of point; 0 is the calm one. */
enum
{
  STORE_LOST = 1,
  STORE_ANSWER_LOST,
  STORE_LATE,
  STORE_TURNED_AWAY,
  STORE_STALE, /* a read is answered as of a while ago; a commit is done */
  STORE_OPTIONS,
  ORDER_LOST = 1,
  ORDER_ANSWER_LOST,
  ORDER_LATE,
  ORDER_OPTIONS,
  HOST_FROZEN = 1,
  HOST_KILLED,
  HOST_OPTIONS,
};

typedef struct
{
  guint point;
  int option;
} deviation_t;

typedef struct
{
  uint32_t first, last;
  uint64_t fence;
  msec_t until;
} hold_t;

typedef struct
{
  bool listed;
  uint64_t born;
  bool leaving;
  GArray *holds;              /* hold_t */
  uint64_t seen[KEY_SAMPLES]; /* the highest fence that it took of a sample of keys */
} target_t;

typedef struct
{
  GString *bytes;
  uint64_t version;
} row_t;

/* What the store held from a moment on. */
typedef struct
{
  msec_t from;
  uint64_t version;
  row_t role, keys;
} past_t;

typedef enum
{
  EVENT_STORE,        /* a call arrives at the store */
  EVENT_STORE_ANSWER, /* ... and its answer, or that there is none, at the host */
  EVENT_ORDER,
  EVENT_ORDER_ANSWER,
} event_kind_t;

typedef struct
{
  event_kind_t kind;
  msec_t at;
  guint host;
  uint64_t life;
  /* Calls to the store. */
  store_done_t done;
  store_table_t table;
  bool commit;
  uint64_t expected;
  bool stale;
  GString *role, *keys; /* to be put; KEYS may be NULL */
  store_reply_t reply;
  /* Orders. */
  order_done_t order_done;
  key_order_t order;
  order_outcome_t outcome;
  bool counts_from_before; /* its time runs from ARRIVED */
  msec_t arrived;
  void *owner;
} sim_event_t;

typedef struct
{
  store_t store; /* first: a store call knows its host by it */
  guint index;
  coordinator_t coordinator;
  bool up;
  uint64_t life;
  msec_t frozen_until, starts_at;
} host_t;

typedef struct
{
  scenario_t scenario;
  const deviation_t *deviations;
  guint n_deviations;
  msec_t now;
  guint acting; /* the host whose code runs */
  guint next_point;
  point_kind_t kinds[POINTS_MAX]; /* of the points that this run came to */
  host_t hosts[HOSTS];
  target_t targets[TARGETS];
  row_t role, keys;
  uint64_t version;
  GArray *past;                 /* past_t, a moment each commit */
  GPtrArray *events;            /* sim_event_t */
  uint64_t fences[KEY_SAMPLES]; /* the highest that any target took */
  guint fence_owners[KEY_SAMPLES];
  bool tell;       /* print what happens */
  char fault[256]; /* empty: none */
} sim_t;

extern const int sim_options[]; /* how many options a kind of point has */
extern sim_t *sim; /* the run under way, which the coordinator's callbacks come back to */
extern name_t service;
extern const store_ops_t sim_store_ops;
extern const deployment_ops_t sim_deployment;

/* Plays SELF, whose scenario and deviations are set, to its end. */
void sim_play (sim_t *self, const router_settings_t *settings);

/* Keeps the first fault of the run. */
void sim_found (const char *what, guint target, uint32_t key);

/* The option that this run takes at the next point. */
int sim_choose (point_kind_t kind);

/* An event of HOST, AFTER from now; the caller fills it in. */
sim_event_t *sim_schedule (event_kind_t kind, guint host, msec_t after);

void sim_store_open (void);
void sim_store_close (void);

/* CALL has arrived at the store. */
void sim_store_execute (const sim_event_t *call, store_reply_t *reply);

/* A grant or release has arrived at its target. */
order_outcome_t sim_take_order (const sim_event_t *event);
