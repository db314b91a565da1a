#pragma once

#include "../claim/claim.h"
#include "../core/mailbox.h"
#include "../core/metrics.h"
#include "../front/front.h"
#include "../httpc/httpc.h"
#include "../settings/settings.h"
#include "../suspect/suspect.h"

/*
 * WORKER: a task that serves callers.
 *
 * Owns its listening socket, its connections to targets and its routing state.
 * Receives configurations, tables and leases from the control task, and sends it claims,
 * acknowledgements, loads and counters.
 */

typedef enum
{
  WORKER_CONFIG,
  WORKER_TABLE,
  WORKER_LEASE,
  WORKER_REVOKE_LEASE, /* the clock jumped: drop the lease and close idle connections */
  WORKER_CLAIM_RESULT, /* the result of a claim */
  WORKER_SUSPECT,      /* a suspect report of a worker of this or another host */
  WORKER_REPORT,       /* send loads and counters */
  WORKER_DISABLE_KEEP_ALIVE, /* close each caller's connection after its next answer */
  WORKER_DRAIN,              /* accept no further connections, and report when idle */
  WORKER_STOP,
} worker_msg_kind_t;

typedef struct
{
  worker_msg_kind_t kind;
  config_t *config; /* CONFIG: owned by the message */
  table_t *table;   /* TABLE: owned by the message */
  uint64_t version; /* LEASE */
  msec_t until;     /* LEASE */
  ticket_t ticket;  /* CLAIM_RESULT, with the next three */
  claim_outcome_t outcome;
  name_t service;
  name_t order_id;
  suspect_out_t suspect;   /* SUSPECT */
  stored_answer_t *stored; /* CLAIM_RESULT: owned by the message, or NULL */
} worker_msg_t;

void worker_msg_free (void *message);

/* A worker's messages to the control task. */
typedef enum
{
  WORKER_OUT_CLAIM,
  WORKER_OUT_ACK, /* this worker applies table VERSION */
  WORKER_OUT_SUSPECT,
  WORKER_OUT_LOADS,
  WORKER_OUT_METRICS,
  WORKER_OUT_IDLE, /* draining, and no request or caller's connection is open */
} worker_out_kind_t;

typedef struct
{
  worker_out_kind_t kind;
  uint32_t worker;               /* index of the sender */
  claim_op_t op;                 /* CLAIM */
  suspect_out_t suspect;         /* SUSPECT */
  uint64_t version;              /* ACK */
  metrics_t *metrics;            /* METRICS: owned by the message */
  uint32_t (*loads)[SLOT_COUNT]; /* LOADS: KEYED_MAX rows, owned by the message */
} worker_out_t;

void worker_out_free (void *message);

typedef struct job job_t;

typedef struct
{
  uint32_t index;
  const settings_t *settings;
  uint64_t incarnation;
  msclock_t clock;
  struct event_base *base;
  struct event *timer;
  mailbox_t inbox;
  mailbox_t *control; /* of the control task */
  front_t front;
  route_t route;
  suspect_t suspect;
  GArray *suspect_out;
  metrics_t metrics;
  httpc_pool_t *pools[TARGET_MAX];
  target_t pool_targets[TARGET_MAX];     /* the target that each pool connects to */
  job_t *jobs;                           /* REQUEST_MAX entries, indexed by route_id_t */
  job_t *new_job;                        /* while its ROUTE_ARRIVE is handled */
  struct evhttp_request *current_answer; /* while its ROUTE_ANSWERED is handled */
  GArray *effects;                       /* of route_out_t, not executed yet */
  bool handling_effects;                 /* worker_feed is running */
  bool draining;
  uint64_t last_serial; /* of the latest request */
} worker_t;

/* Listens on the callers' port of SETTINGS, which all workers share.  INDEX counts
 * workers from 0; CONTROL is the mailbox of the control task.  STATUS_IO. */
status_t worker_init (worker_t *self,
                      uint32_t index,
                      const settings_t *settings,
                      uint64_t incarnation,
                      mailbox_t *control,
                      fault_t *fault);

/* Runs the event loop until WORKER_STOP; a thread's start routine.  Returns NULL. */
void *worker_run (void *self);

void worker_finish (worker_t *self);
