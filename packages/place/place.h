#pragma once

#include "../config/config.h"
#include "../table/table.h"

#include <glib.h>

/*
 * PLACE: the placement role, which assigns slots to targets; one host at a time holds it.
 *
 * Decision logic without I/O: it takes messages and appends effects to an array.
 * The holder is elected through a row of the store, and each of its writes is
 * conditional on that row, so that a deposed holder can't write.  A slot moves
 * in three steps: a committed version withdraws it; the leases on all lower
 * versions and the old owner's grant end; a later version assigns it to the
 * next owner.
 */

typedef enum
{
  PLACE_TICK,
  PLACE_CONFIG,         /* a configuration took effect */
  PLACE_HOLDER_READ,    /* the holder and beat rows were polled */
  PLACE_TAKE_OVER_DONE, /* result of PLACE_TAKE_OVER */
  PLACE_COMMIT_DONE,    /* result of PLACE_COMMIT */
  PLACE_LOAD_DONE,      /* result of PLACE_LOAD: the stored table */
  PLACE_TARGET_LIST,    /* the platform's list of targets */
  PLACE_HELLO,          /* a host is alive and has VERSION in effect */
  PLACE_TARGET_REPORT,  /* a target answered a grant or probe, or failed to answer */
  PLACE_SLOT_LOADS, /* request rates by slot of one keyed service; only ratios matter */
  PLACE_LEAVE,      /* this host shuts down */
} place_msg_kind_t;

typedef struct
{
  place_msg_kind_t kind;
  bool ok;       /* HOLDER_READ to LOAD_DONE: succeeded; TARGET_REPORT: answered */
  bool conflict; /* COMMIT_DONE: a condition of the write did not hold */
  const config_t *config;  /* CONFIG */
  uint64_t epoch;          /* HOLDER_READ: of the holder row, 0 if there is none */
  uint64_t beat;           /* HOLDER_READ: counter in the beat row */
  name_t holder;           /* HOLDER_READ */
  const table_t *table;    /* LOAD_DONE */
  uint32_t n;              /* TARGET_LIST: number of targets */
  const target_t *targets; /* TARGET_LIST */
  host_t host;             /* HELLO */
  bool leaving;     /* HELLO: the host shuts down; HOLDER_READ: the holder resigned */
  uint64_t version; /* HELLO: in effect on the host; TARGET_REPORT: of its last grant */
  int target;       /* TARGET_REPORT: index in the table */
  uint32_t keyed;   /* SLOT_LOADS: index of the keyed service */
  const uint32_t *loads; /* SLOT_LOADS: SLOT_COUNT entries */
} place_msg_t;

typedef enum
{
  /* Writes other than PLACE_TAKE_OVER are conditional on this host's holder row of EPOCH.
   */
  PLACE_TAKE_OVER,   /* write the holder row with EPOCH if its epoch is still EPOCH - 1 */
  PLACE_BEAT,        /* write BEAT to the beat row */
  PLACE_QUERY_HOSTS, /* request a hello from all hosts */
  PLACE_LOAD,        /* read the whole table */
  PLACE_COMMIT,   /* write the candidate table, if the stored version is the one before */
  PLACE_LOG_MOVE, /* log that a slot was withdrawn or assigned */
  PLACE_SETTLE,   /* write that leases on versions below VERSION have ended */
  PLACE_RESIGN,   /* write to the beat row that other hosts may take over at once */
  PLACE_ROLE_CHANGED, /* this host became the holder or ceased to be it */
} place_out_kind_t;

typedef enum
{
  MOVE_REASON_UNOWNED,
  MOVE_REASON_LEAVING,
  MOVE_REASON_LOST,
  MOVE_REASON_BALANCE,
  MOVE_REASON_SETTLED, /* leases and the old owner's grant have ended: the move completes
                        */
} move_reason_t;

typedef struct
{
  place_out_kind_t kind;
  uint64_t epoch;
  uint64_t beat;
  uint64_t version;     /* SETTLE */
  const table_t *table; /* COMMIT: valid until the next place_handle */
  bool holder;          /* ROLE_CHANGED */
  uint32_t keyed;       /* LOG_MOVE, with the next four */
  uint32_t slot;
  int from, to;
  move_reason_t reason;
} place_out_t;

/* When leases of hosts that don't acknowledge a version end.  Has to match the
 * lease_policy_t of the hosts. */
typedef struct
{
  const char *name;
  msec_t lease_ms;
  bool majority; /* a majority of the witnesses may extend leases */
} place_policy_t;

extern const place_policy_t place_policy_stop;
extern const place_policy_t place_policy_long;
extern const place_policy_t place_policy_majority;

typedef enum
{
  PLACE_STANDBY, /* not the holder */
  PLACE_TAKING_OVER,
  PLACE_DISCOVERING, /* holder; collecting hellos before the table is loaded */
  PLACE_LOADING,
  PLACE_LOAD_FAILED, /* retried after PLACE_RETRY_MS */
  PLACE_SETTLING,    /* a version is committed; leases on lower ones may still run */
  PLACE_SETTLED,     /* leases on lower versions have ended */
  PLACE_COMMITTING,
} place_phase_t;

typedef struct
{
  host_t host;
  msec_t heard_at;      /* last hello; 0: none yet */
  msec_t up_to_date_at; /* when it last had the settled version in effect */
  uint64_t version;     /* the highest it acknowledged */
  bool leaving;
} place_host_t;

typedef struct
{
  bool listed; /* by the platform */
  bool listed_leaving;
  uint32_t failures;      /* since its last answer */
  msec_t healthy_since;   /* since when it has answered without a failure */
  msec_t unlisted_since;  /* when it was last on the platform's list */
  uint64_t grant_version; /* of the last grant it took */
} place_target_t;

/* Progress of the withdrawal of a slot. */
typedef struct
{
  uint64_t version; /* the one that withdrew the slot, or a later one; 0: not withdrawn */
  msec_t settled_at; /* when the leases on lower versions had ended; 0: not yet */
} withdrawal_t;

typedef struct
{
  const place_policy_t *policy;
  host_t self_host;
  place_phase_t phase;
  uint64_t epoch; /* held, or last read from the store */
  uint64_t beat;  /* last read, or last written by this host */
  msec_t beat_changed_at;
  msec_t rows_read_at; /* last poll that the store answered */
  msec_t beat_written_at;
  bool rows_fresh; /* the rows were read since the last failed take-over */
  bool leaving;
  msec_t phase_since;
  msec_t taken_over_at;
  msec_t next_balance_at;
  msec_t retry_at; /* earliest next take-over, or next PLACE_QUERY_HOSTS while settling */
  uint64_t committed_version; /* the last committed */
  uint64_t settled_version;   /* leases on lower versions have ended */
  msec_t committed_at;        /* time of the last commit */
  /* When no majority was left to extend leases on lower versions; 0: not yet. */
  msec_t extension_blocked_at;
  bool has_withdrawals;         /* slots are withdrawn in `table` */
  bool previous_hosts_complete; /* they include the hosts of every version that may still
                                   be leased */
  uint32_t n_previous_hosts;
  host_t previous_hosts[HOST_MAX]; /* of the version before the last commit */
  /* Witnesses of the version before that one, unless its leases had ended. */
  uint32_t n_older_witnesses;
  host_id_t older_witnesses[WITNESS_MAX];
  uint32_t n_hosts;
  place_host_t hosts[HOST_MAX];
  place_target_t targets[TARGET_MAX];
  uint32_t n_listed;
  target_t listed[TARGET_MAX];
  uint32_t loads[KEYED_MAX][SLOT_COUNT];
  config_t config;
  withdrawal_t withdrawals[KEYED_MAX][SLOT_COUNT];
  table_t table;     /* the last committed or loaded */
  table_t candidate; /* built on `table`, which it replaces once committed */
} place_t;

void
place_init (place_t *self, const place_policy_t *policy, const host_t *host, msec_t now);

/* Handles MSG at time NOW and appends the resulting effects, place_out_t, to OUT. */
void place_handle (place_t *self, const place_msg_t *msg, msec_t now, GArray *out);

void place_finish (place_t *self);

bool place_is_holder (const place_t *self);

/* Whether a hello or a target's answer may complete the current step before a tick. */
bool place_awaits_reports (const place_t *self);

const char *move_reason_name (move_reason_t reason);
