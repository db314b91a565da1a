#pragma once

#include "../core/limits.h"
#include "../directory/directory.h"
#include "../dispatch/dispatch.h"

/*
 * KEYS: assigns the keys of a service to its targets, one owner a key.
 *
 * Decision part of the host that holds the granter's role.  Takes typed
 * messages and the time, appends what is to be done.
 *
 * Safety: a target gets a grant only for a run that is committed in the store
 * under a fence higher than all before.  A run is committed for a new owner
 * only after the old one has given it back, has started anew, or can't hold it
 * any more: the last moment at which a grant of it can have arrived, plus the
 * grant's length on a slow clock, is over.  A granter that takes over doesn't
 * know its predecessor's last grants and takes the longest possible.  One of them may
 * even be carried out after a release; so it commits new fences for all runs, and a
 * target that took a grant under one refuses whatever is left of the old ones.
 */

typedef enum
{
  KEYS_ROLE,          /* the role is held until UNTIL; 0: it isn't */
  KEYS_SERVICES,      /* NAMES: the services whose keys have owners */
  KEYS_TARGETS,       /* all listed targets */
  KEYS_TABLE,         /* what the store holds for one service, or that it has nothing */
  KEYS_COMMITTED,     /* the commit under way took effect */
  KEYS_NOT_COMMITTED, /* the store refused it for now; nothing was done */
  KEYS_GRANTED,       /* the target took the grant */
  KEYS_REFUSED,       /* the target saw a higher fence */
  KEYS_RELEASED,      /* the target gave the keys back; HANDOVER may be empty */
  KEYS_OVER,          /* another target has the address: the owner is over */
  KEYS_FAILED,        /* a grant or release got no answer */
  KEYS_LOADS,
  KEYS_SPEEDS, /* what this host saw the targets take for one request */
  KEYS_RESIGN, /* the host is about to stop */
  KEYS_TICK,
} keys_msg_kind_t;

typedef struct
{
  keys_msg_kind_t kind;
  msec_t until;             /* ROLE */
  bool store_answers;       /* ROLE: its last answer is fresh, so that a move can end */
  const GArray *names;      /* SERVICES: name_t */
  const GArray *targets;    /* TARGETS: target_entry_t */
  const key_table_t *table; /* TABLE */
  msec_t held_for;          /* TABLE: no grant of a predecessor lasts longer */
  bool unreadable;          /* TABLE: there is one, which can't be read */
  name_t service;           /* TABLE, and of GRANTED to FAILED */
  uint32_t first;           /* GRANTED to FAILED: the run's first key */
  uint64_t fence;           /* GRANTED to FAILED */
  bool release;             /* FAILED: it was a release */
  bool sent;                /* FAILED: a byte may have left */
  name_t handover;          /* RELEASED */
  const GArray *loads;      /* LOADS: key_load_t of SERVICE, of one host's last second */
  const GArray *speeds;     /* SPEEDS: target_speed_t */
} keys_msg_t;

typedef enum
{
  KEYS_GRANT,
  KEYS_RELEASE,
  KEYS_COMMIT, /* TABLE is the service's new assignment, to be freed by the receiver */
} keys_out_kind_t;

typedef struct
{
  keys_out_kind_t kind;
  name_t service;
  name_t target;
  name_t address;
  uint32_t first, last;
  uint64_t fence;
  msec_t hold;         /* GRANT */
  name_t handover;     /* GRANT */
  key_table_t table;   /* COMMIT */
  uint64_t next_fence; /* COMMIT */
} keys_out_t;

typedef enum
{
  RUN_FREE,       /* nobody can hold it */
  RUN_COMMITTING, /* given to `owner` by the commit under way */
  RUN_HELD,
  RUN_LEAVING, /* taken back from `owner`, for `next` if that is set */
} run_state_t;

typedef struct
{
  run_state_t state;
  uint32_t first, last;
  uint64_t fence;
  name_t owner;
  name_t address; /* of the owner, where it is called also when it isn't listed */
  uint64_t born;
  name_t next;         /* planned owner; empty: the least loaded */
  name_t owner_before; /* of a commit under way, as far as it can be undone */
  uint64_t fence_before, born_before;
  name_t handover;    /* of the last owner, for the first grant */
  bool warm;          /* the first grant was taken */
  bool calling;       /* a grant or release is under way */
  msec_t call_after;  /* not called before */
  msec_t held_until;  /* no grant of it can run longer */
  msec_t doubt_until; /* a grant that got no answer may still be carried out till then */
  msec_t inherited_until; /* the same of a predecessor's, 0 once the owner has taken a new
                             fence */
  uint64_t new_fence;     /* for the same owner, by the commit under way; 0: none */
  msec_t last_hold;       /* length of the grant under way */
  bool released;          /* the owner gave it back */
  uint32_t tries;         /* of the release */
} key_span_t;

typedef struct
{
  name_t name;
  bool known; /* the store's table was read */
  bool committing;
  bool wants_fences; /* a predecessor's runs are to get new ones */
  msec_t joined_at;  /* the last target joined */
  msec_t plan_at;
  GArray *spans;              /* key_span_t, without gaps, ascending */
  double loads[KEY_STEPS];    /* decayed counts of requests, as of the last plan */
  uint32_t recent[KEY_STEPS]; /* requests since then */
  uint64_t n_recent;          /* all of them */
  double sums[KEY_STEPS + 1]; /* of the loads below a step, as of the last plan */
  GHashTable *work_ms;        /* target's id to what it takes for one request */
} key_service_t;

typedef struct
{
  msec_t role_until; /* 0: not held */
  bool store_answers;
  msec_t hold_max;
  bool resigning;
  uint64_t next_fence;
  GPtrArray *services; /* key_service_t */
  GArray *targets;     /* target_entry_t */
} keys_t;

void keys_init (keys_t *self, msec_t hold_max);

/* Takes MSG at time NOW and appends keys_out_t to OUT. */
void keys_handle (keys_t *self, const keys_msg_t *msg, msec_t now, GArray *out);

void keys_finish (keys_t *self);

/* The store's fence counter, read with the role. */
void keys_set_fence (keys_t *self, uint64_t next_fence);

/*
 * How long grants of a predecessor may still last whose role ended SINCE ago: it may have
 * granted the longest hold right before.
 */
msec_t keys_held_after (const keys_t *self, msec_t since);
