#pragma once

#include "../core/msclock.h"
#include "../core/text.h"

/*
 * TABLE: the routing table, which says which target owns each slot, at one version.
 *
 * A plain struct, copied whole between tasks.  The holder of the placement role
 * writes it; hosts route by it under a lease on its version.  Only its owner
 * serves a slot, and no target does while it is withdrawn (next >= 0).
 */

#define INDEX_NONE (-1)

typedef struct
{
  int16_t owner; /* index of the target, or INDEX_NONE */
  int16_t next; /* while withdrawn from owner: index of its next owner, else INDEX_NONE */
  uint64_t epoch; /* the version that assigned the slot to its owner */
} slot_t;

typedef enum
{
  TARGET_FREE, /* the entry is unused */
  TARGET_LIVE,
  TARGET_LEAVING, /* gets no new requests */
  TARGET_LOST,    /* does not answer probes */
} target_state_t;

typedef struct
{
  name_t name;
  name_t address;
  name_t data_centre;
  name_t service;
  uint32_t port;
  target_state_t state;
} target_t;

typedef struct
{
  name_t name;
  name_t address;
  name_t data_centre;
  uint32_t peer_port;
  uint64_t incarnation;
  bool witness; /* votes on extending leases while the store is unreachable */
} host_t;

/* One incarnation of a host: a restarted process has another. */
typedef struct
{
  name_t name;
  uint64_t incarnation;
} host_id_t;

typedef struct
{
  uint64_t version;              /* 0: never written */
  uint64_t holder_epoch;         /* of the holder that wrote it */
  uint64_t settled_version;      /* leases on versions below this one have ended */
  uint32_t n_previous_witnesses; /* witnesses of the previous version */
  host_id_t previous_witnesses[WITNESS_MAX];
  uint32_t n_hosts;
  uint32_t n_targets; /* entries, including unused ones (TARGET_FREE) */
  host_t hosts[HOST_MAX];
  target_t targets[TARGET_MAX];
  slot_t slots[KEYED_MAX][SLOT_COUNT];
} table_t;

/* Initializes an empty table at version 0. */
void table_init (table_t *self);

/* The slot a key hashes to. */
uint32_t table_slot (text_t key);

/* The index of the named host, or INDEX_NONE. */
int table_find_host (const table_t *self, const name_t *name);

/* Whether both are one instance of a service: same name, service, address and port. */
bool target_same_instance (const target_t *a, const target_t *b);

/* The index of the used entry that is the same instance as TARGET, or INDEX_NONE. */
int table_find_target (const table_t *self, const target_t *target);

bool slot_equal (const slot_t *a, const slot_t *b);

host_id_t host_id (const host_t *host);
bool host_id_equal (const host_id_t *a, const host_id_t *b);

/* Whether the table has the host, in this incarnation. */
bool table_has_host (const table_t *self, const host_id_t *id);

/* The target that may serve the slot; INDEX_NONE if it is unowned or withdrawn. */
int table_serving_target (const table_t *self, uint32_t keyed, uint32_t slot);

uint32_t table_count_witnesses (const table_t *self);
