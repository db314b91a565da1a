#pragma once

#include "../core/metrics.h"
#include "../core/msclock.h"
#include "../link/link.h"
#include "../table/table.h"

#include <event2/event.h>
#include <glib.h>

/*
 * PEER: messages between hosts, over a separate link (see link.h).
 *
 * Every message is self-contained, because messages may be lost, duplicated or delayed.
 */

typedef enum
{
  PEER_HELLO,         /* the sender is up, and VERSION is in effect on it */
  PEER_HELLO_REQUEST, /* asks for a PEER_HELLO; VERSION is committed */
  PEER_LEASE_QUERY,   /* lease query: asks for a vote for VERSION */
  PEER_LEASE_REPLY,   /* lease reply: the vote, and the age of the last read */
  PEER_COMMITTED,     /* VERSION is committed */
  PEER_SUSPECT,       /* a request was in flight at a lost target, or was answered */
  PEER_LOADS,         /* requests per slot of one keyed service: the busiest slots */
  PEER_KIND_COUNT,
} peer_kind_t;

#define PEER_LOADS_MAX 24

typedef struct
{
  uint16_t slot;
  uint32_t load;
} peer_load_t;

typedef struct
{
  peer_kind_t kind;
  host_t from;
  uint64_t version;
  uint64_t config_version;
  bool leaving; /* PEER_HELLO */
  uint64_t seq; /* PEER_LEASE_QUERY, PEER_LEASE_REPLY: number of the lease query */
  bool vote;    /* PEER_LEASE_REPLY: the sender votes for VERSION */
  int64_t age; /* PEER_LEASE_REPLY: ms since the last confirming read started; -1: none */
  uint64_t fingerprint; /* PEER_SUSPECT: of the request */
  uint64_t target;      /* PEER_SUSPECT: hash of the target */
  bool cleared;         /* PEER_SUSPECT: answered; else in flight at the loss */
  uint32_t keyed_index; /* PEER_LOADS: index of the keyed service */
  uint32_t other_load;  /* PEER_LOADS: the sum over all other slots */
  uint32_t n_loads;     /* PEER_LOADS */
  peer_load_t loads[PEER_LOADS_MAX];
} peer_msg_t;

typedef void (*peer_receive_t) (void *owner, const peer_msg_t *msg);

typedef struct
{
  link_t link;
  metrics_t *metrics;
  peer_receive_t receive;
  void *owner;
} peer_t;

/* Listens on ADDRESS and PORT.  Returns false if they cannot be bound. */
bool peer_init (peer_t *self,
                struct event_base *base,
                text_t address,
                uint32_t port,
                metrics_t *metrics,
                peer_receive_t receive,
                void *owner);
void peer_finish (peer_t *self);

/* Sends MSG to the peer port of a host.  If the queue to it is full, the message is
 * dropped and counted. */
void peer_send (peer_t *self, text_t address, uint32_t port, const peer_msg_t *msg);
