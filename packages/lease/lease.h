#pragma once

#include "../table/table.h"

#include <glib.h>

/*
 * LEASE: a host's permission to act on one version of the table.
 *
 * Decision logic without I/O: it takes messages and appends effects to an array.  While a
 * lease is valid, no other host acts on a higher version in a way that conflicts with it:
 * the host that commits a higher version waits until all leases on lower versions have
 * expired (see place.h).
 *
 * A lease is extended by a read of the store, by a read that another host made, or,
 * if the policy allows it, by the votes of a majority of the table's witnesses.  Its
 * duration is counted from the start of that read or of the query for votes, so that
 * delays can only shorten it.
 */

typedef enum
{
  LEASE_TICK,
  LEASE_READ,  /* a poll of the store succeeded or failed */
  LEASE_TABLE, /* a table that was read from the store took effect on this host */
  LEASE_QUERY_RECEIVED, /* a query from another host */
  LEASE_REPLY_RECEIVED, /* another host's reply to a query of this host */
} lease_msg_kind_t;

typedef struct
{
  lease_msg_kind_t kind;
  bool ok;          /* LEASE_READ: the read succeeded */
  msec_t started;   /* LEASE_READ, LEASE_TABLE: start of the read */
  uint64_t version; /* LEASE_READ: in the store; else: in effect at the sender */
  host_id_t from;   /* LEASE_QUERY_RECEIVED, LEASE_REPLY_RECEIVED */
  uint64_t seq;     /* LEASE_QUERY_RECEIVED, LEASE_REPLY_RECEIVED: number of the query */
  bool vote;  /* LEASE_REPLY_RECEIVED: the sender is a witness and votes for VERSION */
  msec_t age; /* LEASE_REPLY_RECEIVED: ms since the start of its last confirming read; -1:
                 none */
  const table_t *table; /* LEASE_TABLE */
} lease_msg_t;

typedef enum
{
  LEASE_POLL,        /* read the version in the store's head row */
  LEASE_FETCH_TABLE, /* read the complete table from the store */
  LEASE_SEND_QUERY,  /* send a query to a witness */
  LEASE_SEND_REPLY,  /* reply to a query */
  LEASE_EXTENDED,    /* the lease on VERSION is valid until UNTIL: notify the workers */
  LEASE_REVOKE,      /* the clock jumped: revoke the lease before any other action */
} lease_out_kind_t;

typedef struct
{
  lease_out_kind_t kind;
  uint64_t version;
  msec_t until; /* LEASE_EXTENDED: end of the lease */
  host_id_t to; /* LEASE_SEND_QUERY, LEASE_SEND_REPLY */
  uint64_t seq; /* LEASE_SEND_QUERY, LEASE_SEND_REPLY: number of the query */
  bool vote;    /* LEASE_SEND_REPLY: this host is a witness and votes for VERSION */
  msec_t age; /* LEASE_SEND_REPLY: ms since the last confirming read started; -1: none */
} lease_out_t;

typedef struct lease lease_t;

/* How a host keeps its lease while the store is unavailable. */
typedef struct
{
  const char *name;
  msec_t lease_ms; /* duration */
  bool queries_witnesses;
} lease_policy_t;

extern const lease_policy_t lease_policy_stop;     /* lets it expire */
extern const lease_policy_t lease_policy_long;     /* uses very long leases */
extern const lease_policy_t lease_policy_majority; /* extends it by a majority of votes */

struct lease
{
  const lease_policy_t *policy;
  host_id_t host;
  uint64_t version; /* of the table in effect */
  bool in_table;    /* the table lists this host's current incarnation */
  bool is_witness;
  bool has_read_store; /* this process has read VERSION from the store */
  bool polling;
  msec_t poll_started;
  msec_t last_tick;
  msec_t confirmed_at; /* start of the latest read that confirmed VERSION, by any host */
  msec_t until;
  uint64_t seq;         /* number of the last query */
  msec_t query_started; /* start of the query SEQ */
  msec_t last_query_at; /* last query that a tick started */
  uint32_t n_witnesses;
  host_id_t witnesses[WITNESS_MAX];
  bool votes[WITNESS_MAX]; /* received for the query SEQ, by witness */
};

void lease_init (lease_t *self,
                 const lease_policy_t *policy,
                 const host_id_t *host,
                 msec_t now);

/* Handles MSG at time NOW and appends the resulting effects, lease_out_t, to OUT. */
void lease_handle (lease_t *self, const lease_msg_t *msg, msec_t now, GArray *out);

void lease_finish (lease_t *self);

/* Whether the host may act on VERSION at NOW. */
bool lease_covers (const lease_t *self, uint64_t version, msec_t now);
