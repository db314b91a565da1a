#pragma once

#include "fake.h"

/* FAKE_PARTS: internal interfaces between the simulation's source files. */

#define LOST (-1) /* delay of a lost message */

typedef enum
{
  EVENT_TICK,
  EVENT_STORE_CALL, /* a call arrives at the store */
  EVENT_STORE_RESPONSE,
  EVENT_PEER_MSG,
  EVENT_GRANT_CALL, /* a grant or probe arrives at a target */
  EVENT_GRANT_RESPONSE,
} event_kind_t;

typedef enum
{
  STORE_POLL,
  STORE_FETCH,
  STORE_LOAD,
  STORE_TAKE,
  STORE_BEAT,
  STORE_RESIGN,
  STORE_SETTLE,
  STORE_COMMIT,
} store_op_t;

typedef enum
{
  PEER_MSG_HELLO,
  PEER_MSG_HELLO_REQUEST,
  PEER_MSG_LEASE_QUERY,
  PEER_MSG_LEASE_REPLY,
  PEER_MSG_NEW_VERSION,
} peer_msg_kind_t;

typedef struct
{
  msec_t at;
  uint64_t order; /* of creation; sorts events of the same time */
  event_kind_t kind;
  uint32_t host;        /* its receiver; of a call, the sender */
  uint64_t incarnation; /* of that host; events for a former one are dropped */
  store_op_t op;
  bool ok, timeout;
  msec_t started;
  uint64_t epoch, beat, version, seq;
  bool resigned, leaving, vote;
  msec_t age;
  host_id_t holder;
  table_t *table;
  peer_msg_kind_t peer_msg;
  host_t from;
  int target;
  uint64_t target_incarnation;
  int64_t until, clock;
  uint64_t *epochs;
  bool *completed; /* shared by a response and its timeout; the first sets it */
} event_t;

/* fake.c: schedules a copy of EVENT at the time AT. */
event_t *fake_schedule (fake_t *self, const event_t *event, msec_t at);

/* Returns the delay of the next message in ms, or LOST. */
msec_t fake_delay (fake_t *self);

/* fake_hosts.c: passes messages to a host's decision logic and executes its effects. */
void fake_handle_lease (fake_t *self, uint32_t host, const lease_msg_t *msg);
void fake_handle_place (fake_t *self, uint32_t host, const place_msg_t *msg);
void fake_handle_grant (fake_t *self, uint32_t host, const grant_msg_t *msg);
void fake_apply_table (fake_t *self, uint32_t host, const table_t *table, msec_t started);
void fake_send_peer_msg (fake_t *self, uint32_t host, const name_t *to, event_t event);
void fake_send_hello (fake_t *self, uint32_t host, const name_t *to);

/* The index of the simulated target behind entry TARGET of a host's table, or -1. */
int fake_find_target (const fake_t *self, const table_t *table, int target);

/* fake_store.c: the simulated store. */
void fake_on_store_call (fake_t *self, event_t *request);
void fake_on_store_response (fake_t *self, event_t *response);

/* fake_check.c: counts breaches of the invariants. */
void fake_check_invariants (fake_t *self);
