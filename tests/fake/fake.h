#pragma once

#include "../../packages/core/rng.h"
#include "../../packages/grant/grant.h"
#include "../../packages/lease/lease.h"
#include "../../packages/place/place.h"

/*
 * FAKE: a deterministic simulation of a fleet, under a settable clock and a seed.
 *
 * Each host runs the decision logic of lease_t, place_t and grant_t.  The store, the
 * targets and the network are simple models that can delay and lose messages, stop and
 * freeze.  After each event the simulation checks that no slot has two owners.
 */

#define FAKE_HOSTS 13 /* the last index stands for the store in fake_cut */
#define FAKE_STORE (FAKE_HOSTS - 1)
#define FAKE_TARGETS 26
#define FAKE_STEP_MS 10

typedef enum
{
  FAKE_UP,
  FAKE_FROZEN, /* arriving events wait until it is thawed */
  FAKE_DEAD,
} fake_state_t;

typedef struct
{
  fake_state_t state;
  host_t self;
  lease_t lease;
  place_t *place;
  grant_t *grant;
  table_t *table; /* in effect */
  name_t holder;  /* of the placement role, as last read from the store */
  bool config_known;
} fake_host_t;

typedef struct
{
  fake_state_t state;
  target_t entry;
  bool fenced;
  bool listed; /* by the platform */
  uint64_t incarnation;
  int64_t clock_offset;
  uint64_t version;
  int64_t until;               /* on its own clock */
  uint64_t epochs[SLOT_COUNT]; /* 0: not granted */
} fake_target_t;

typedef struct
{
  const lease_policy_t *lease;
  const place_policy_t *place;
  uint32_t n_hosts;
  uint32_t n_targets;
  uint32_t n_data_centres;
  bool fenced;
  msec_t delay_ms;       /* maximum one-way delay */
  uint32_t loss_percent; /* of messages between hosts */
} fake_setup_t;

typedef struct fake fake_t;

struct fake
{
  msec_t now;
  rng_t rng;
  fake_setup_t setup;
  GSequence *events;
  uint64_t n_events;
  fake_host_t hosts[FAKE_HOSTS];
  fake_target_t targets[FAKE_TARGETS];
  bool cut[FAKE_HOSTS][FAKE_HOSTS]; /* by sender and receiver: messages are lost */
  bool cut_target[FAKE_HOSTS][FAKE_TARGETS]; /* grants and their responses are lost */
  bool store_down;
  bool store_slow;
  uint32_t lose_answers; /* responses to lose, to the store's next successful writes */
  uint64_t epoch;        /* from here to TABLE: the store's rows */
  uint64_t beat;
  uint64_t settled_version;
  bool resigned;
  host_id_t holder;
  table_t *table;
  config_t config;
  uint64_t next_incarnation;
  uint64_t owner_breaches; /* slots that two targets owned, summed over all checks */
  /* Slots that two hosts would route to different targets, summed over all checks. */
  uint64_t route_breaches;
  uint64_t moves;  /* of slots, completed */
  uint64_t digest; /* hash of all events, to compare two runs */
  /* If set, returns each message's delay, which is else random; negative: it is lost. */
  msec_t (*choose_delay) (fake_t *self, void *context);
  void (*on_step) (fake_t *self, void *context); /* called every FAKE_STEP_MS */
  void *context;                                 /* passed to choose_delay and on_step */
};

void fake_init (fake_t *self, const fake_setup_t *setup, uint64_t seed);
void fake_finish (fake_t *self);

/* Handles all events of the next SPAN ms. */
void fake_run (fake_t *self, msec_t span);

void fake_kill_host (fake_t *self, uint32_t host);
void fake_freeze_host (fake_t *self, uint32_t host);
void fake_thaw_host (fake_t *self, uint32_t host);
void fake_leave_host (fake_t *self, uint32_t host);

/* Starts a new process under the same name. */
void fake_restart_host (fake_t *self, uint32_t host);

void fake_kill_target (fake_t *self, uint32_t target);
void fake_freeze_target (fake_t *self, uint32_t target);
void fake_thaw_target (fake_t *self, uint32_t target);
void fake_restart_target (fake_t *self, uint32_t target);

/* Cuts or restores the link between two hosts, or a host and FAKE_STORE, both ways. */
void fake_cut (fake_t *self, uint32_t a, uint32_t b, bool cut);

/* The index of the running host that holds the placement role, or -1. */
int fake_holder (const fake_t *self);

/* The number of slots that no host can route to a target that would run the request. */
uint32_t fake_unserved (const fake_t *self);

/* The index of a target that owns the slot now, or -1. */
int fake_owner (const fake_t *self, uint32_t slot);
