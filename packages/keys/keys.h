#pragma once

#include "../core/limits.h"
#include "../directory/directory.h"
#include "../dispatch/dispatch.h"
#include "key_holds.h"

/*
 * KEYS: assigns the keys of a service to its targets, each key to exactly one owner.
 *
 * Decision logic of the host that holds the granter's role.  Takes typed messages and the
 * current time, and appends the resulting actions to a list; does no I/O.
 *
 * Safety: a target is granted a range only after the range is committed in the store
 * under a fence (fencing token) higher than all earlier ones.  A range is committed for a
 * new owner only after the old owner released it, restarted, or can't hold it any more:
 * the latest time at which it can have read a grant, plus the grant's duration on a slow
 * clock, has passed.  A granter that takes over doesn't know its predecessor's last
 * grants and assumes the longest possible ones.  A target may even apply one of them
 * after a release. The new granter therefore commits new fences for all ranges, and a
 * target that accepted a grant under a new fence rejects what is left of the old ones.
 *
 * The store may come back from an older copy.  A granter that has held the role since
 * before goes by its own ranges, and writes them again.  One that acquires the role meets
 * a table which may lack the last moves: nobody knows who holds a range, so that none is
 * granted, to any target, before every grant of earlier granters has expired.  Until then
 * no table is written, as a successor would trust it.  If it held the role a short time
 * ago, it asks the owners that it remembers, by a renewal under the fence that they have:
 * a granter in between would have shown them a higher one before it moved their keys.
 * Fences of a later era of the store are above all of earlier ones.
 *
 * Targets may repeat an answer in place of the next one.  What frees keys is therefore
 * taken from answers alone that can belong to no other call: a release, the acceptance of
 * a new fence, and that another target has the address.
 */

typedef enum
{
  KEYS_ROLE,       /* the role is held until ROLE_UNTIL; 0: not held */
  KEYS_SERVICES,   /* the services whose keys have owners */
  KEYS_TARGETS,    /* all listed targets */
  KEYS_TABLE,      /* the stored table of one service, or none; counts while the role is
                      held, the first time since it was acquired */
  KEYS_STORE_LOST, /* the store has lost its latest commits; the role is still held */
  KEYS_COMMITTED,  /* the pending commit took effect */
  KEYS_COMMIT_REJECTED, /* the store rejected the pending commit and applied nothing */
  KEYS_GRANTED,         /* the target accepted the grant */
  KEYS_SUPERSEDED,      /* the target has seen a higher fence */
  KEYS_RELEASED,        /* the target released the keys; HANDOVER may be empty */
  KEYS_OWNER_GONE,      /* another target has the address: the owner no longer runs */
  KEYS_CALL_FAILED,     /* a grant or release got no answer */
  KEYS_LOADS,           /* requests by key bucket, as counted by one host */
  KEYS_SERVICE_TIMES,   /* time per request of the targets, as measured by this host */
  KEYS_RATE_LIMITS,     /* all targets whose rate is limited */
  KEYS_RESIGN,          /* the host is about to stop */
  KEYS_TICK,
} keys_msg_kind_t;

typedef struct
{
  keys_msg_kind_t kind;
  msec_t role_until;      /* ROLE */
  bool store_reachable;   /* ROLE: it answered the last call, so moves can be committed */
  const GArray *services; /* SERVICES: name_t */
  const GArray *targets;  /* TARGETS: target_entry_t */
  const key_table_t *table; /* TABLE; NULL: none, or unreadable */
  msec_t predecessor_hold;  /* TABLE: no grant of a predecessor lasts longer than this */
  bool unreadable;          /* TABLE: the stored table can't be decoded, or was lost */
  bool outdated;            /* TABLE: the store may have lost a newer one */
  name_t service;           /* TABLE, COMMITTED to CALL_FAILED, LOADS, SERVICE_TIMES */
  uint64_t call;            /* GRANTED to CALL_FAILED: which one ended */
  bool release;             /* CALL_FAILED: the call was a release */
  bool sent;                /* CALL_FAILED: a byte of the call may have been sent */
  bool answered;            /* CALL_FAILED: by what no owner answers */
  bool delivered;           /* CALL_FAILED: the target's host may have taken the call */
  bool refused;             /* CALL_FAILED: nobody listens at the target's address */
  bool shared;     /* GRANTED to OWNER_GONE: the answer may be one to an earlier call */
  name_t handover; /* RELEASED */
  const GArray *loads;         /* LOADS: key_load_t, of one host since its last report */
  const GArray *service_times; /* SERVICE_TIMES: target_service_time_t */
  const GArray *shares;        /* RATE_LIMITS: rate_share_t */
} keys_msg_t;

typedef enum
{
  KEYS_GRANT,
  KEYS_RELEASE,
  KEYS_COMMIT, /* TABLE is the new table of the service; the receiver frees it */
  /* For the log alone: */
  KEYS_UNANSWERED, /* a grant got no answer and may take effect for REMAINING ms */
  KEYS_FREED,      /* the owner no longer holds the range, by REASON */
} keys_out_kind_t;

typedef struct
{
  keys_out_kind_t kind;
  name_t service;
  name_t target;
  name_t address;
  uint64_t started_at; /* of the target's process that got the range */
  uint32_t first, last;
  uint64_t fence;
  uint64_t call;       /* GRANT, RELEASE: identifies the call; never 0 */
  bool proof;          /* GRANT, RELEASE: its answer counts only if it isn't shared */
  bool first_grant;    /* GRANT: none has been accepted under this fence */
  msec_t hold;         /* GRANT: its duration */
  name_t handover;     /* GRANT */
  key_table_t table;   /* COMMIT */
  uint64_t next_fence; /* COMMIT */
  const char *reason;  /* FREED */
  msec_t remaining;    /* UNANSWERED, FREED: until all grants of the range have expired */
  /* The same of those without an answer and of those of predecessors; negative: they
   * have, or there were none. */
  msec_t unanswered, inherited;
  bool fenced_off; /* UNANSWERED, FREED: the owner rejects those of predecessors */
} keys_out_t;

typedef enum
{
  RANGE_UNASSIGNED, /* no target can hold it */
  RANGE_COMMITTING, /* assigned to `owner` by the pending commit */
  RANGE_OWNED,
  RANGE_REVOKING, /* being taken from `owner`, for `next_owner` if that is set */
} range_phase_t;

/* A range of keys as the granter sees it. */
typedef struct
{
  range_phase_t phase;
  uint32_t first, last;
  uint64_t fence;
  name_t owner;
  name_t address; /* of the owner, so that it can be called while it isn't listed */
  uint64_t owner_started_at;
  name_t next_owner; /* planned; empty: the least loaded */
  /* The state before the pending commit, restored if the commit is rejected. */
  name_t previous_owner, previous_address;
  uint64_t previous_fence, previous_started_at;
  name_t handover;        /* from the last owner, passed on with the first grant */
  bool granted;           /* the owner accepted its first grant */
  uint64_t call;          /* the grant or release under way; 0: none */
  msec_t next_call_at;    /* no call before this */
  key_holds_t holds;      /* of the owner */
  uint64_t pending_fence; /* for the same owner, in the pending commit; 0: none */
  bool needs_new_fence;   /* against grants without an answer */
  msec_t last_hold;       /* hold of the latest call; 0 for a release */
  uint64_t old_call;      /* a grant under the fence before, still under way; 0: none */
  msec_t old_call_hold;
  bool confirming; /* the owner is remembered, and hasn't confirmed it yet */
  uint64_t called; /* start time of the listed process when it was last called */
  uint64_t fenced; /* the same of the process that accepted the fence */
  bool answered, unanswered; /* the last call since its keys are taken back */
  bool refused;              /* nobody listened at the owner's address at the last call */
  uint32_t unanswered_fences; /* since its keys are taken back */
  bool needs_proof;           /* the last answer contradicts the range, and was shared */
  bool fence_confirmed; /* the owner accepted a grant since its keys are taken back */
  bool released;        /* the owner released it */
  bool superseded;      /* the owner has seen a higher fence */
  bool owner_gone;      /* the owner's address belongs to another target */
  uint32_t release_attempts;
} key_range_state_t;

typedef struct
{
  name_t name;
  bool table_loaded; /* the stored table was read */
  bool commit_pending;
  bool needs_new_fences; /* for the ranges taken over from a predecessor */
  bool unwritten;        /* the store has lost its latest table */
  msec_t
      remembered_until; /* no successor can have moved the ranges without a new fence */
  msec_t confirm_until; /* owners that haven't confirmed their ranges by then are lost */
  msec_t last_join_at;  /* when the last target joined */
  msec_t held_until;    /* all grants by an unreadable table have expired by then */
  msec_t next_plan_at;
  GArray *ranges;                        /* key_range_state_t, ascending, without gaps */
  double loads[KEY_BUCKETS];             /* decayed request counts, as of the last plan */
  uint32_t recent_requests[KEY_BUCKETS]; /* since the last plan */
  uint64_t recent_total;                 /* sum of recent_requests */
  double request_sums[KEY_BUCKETS + 1];  /* prefix sums of loads, as of the last plan */
  GHashTable *service_times;             /* target id to ms per request, of all hosts */
} key_service_t;

typedef struct
{
  msec_t role_until; /* 0: not held */
  bool store_reachable;
  msec_t hold_max;       /* longest duration of a grant, by the settings */
  msec_t stated_hold;    /* by the role's row, if this host holds the role */
  msec_t longest_hold;   /* by the settings that this process has known */
  msec_t inherited_hold; /* by the role's row when this host last acquired the role */
  bool resigning;
  uint64_t next_fence;
  uint32_t in_flight;  /* calls under way, as of the last step */
  uint64_t last_call;  /* the calls so far are numbered from 1 */
  GPtrArray *services; /* key_service_t */
  GArray *targets;     /* target_entry_t: the listed ones that may run */
  msec_t targets_at;   /* when they were listed */
  msec_t now;          /* of the message that is handled */
  GArray *ended;       /* target_entry_t: listed, but have ended */
  GArray *rate_limits; /* rate_share_t: the targets whose rate is limited */
} keys_t;

/* HOLD_MAX: longest duration of a grant. */
void keys_init (keys_t *self, msec_t hold_max);

/* Changes the longest duration of a grant; predecessors may have given the earlier one. A
 * longer one is granted from when the role's row states it. */
void keys_set_hold_max (keys_t *self, msec_t hold_max);

/* The role's row, as this host has written or is writing it, states that its grants last
 * for HOLD ms at most: it gives none that is longer. */
void keys_state_hold (keys_t *self, msec_t hold);

/* The role's row states that grants of predecessors last for HOLD ms at most; 0: it
 * doesn't state that. */
void keys_inherit_hold (keys_t *self, msec_t hold);

/* Handles MSG at time NOW and appends actions (keys_out_t) to OUT. */
void keys_handle (keys_t *self, const keys_msg_t *msg, msec_t now, GArray *out);

void keys_finish (keys_t *self);

/* Whether the table of SERVICE is to be read: none was loaded since the role is held. */
bool keys_lacks_table (const keys_t *self, const name_t *service);

/* Whether the store has a table of each service, as far as this host knows: none was lost
 * that it hasn't written again. */
bool keys_are_written (const keys_t *self);

/* Whether this host has granted lately, so that owners may confirm what it remembers. */
bool keys_remembers (const keys_t *self, msec_t now);

/* Raises the next fence to NEXT_FENCE, the counter stored with the role; never lowers it.
 */
void keys_raise_fence (keys_t *self, uint64_t next_fence);

/*
 * How long grants of a predecessor may still last (ms) if its role ended SINCE ms ago.
 * Assumes a grant of the longest duration right before that end: the one that the role's
 * row stated, or that this process has known if that is longer.
 */
msec_t keys_predecessor_hold (const keys_t *self, msec_t since);
