#pragma once

#include "../core/fault.h"
#include "../directory/directory.h"

/* KEY_ROWS: JSON encoding of the stored rows: key tables and the granter's role. */

/* The host that holds the granter's role. */
typedef struct
{
  name_t host;
  name_t address;       /* its link address, a.b.c.d:port */
  uint64_t incarnation; /* distinguishes successive processes of the host */
  uint64_t sequence;    /* incremented by each write */
  uint64_t next_fence;  /* above every committed fence */
  msec_t until;         /* end of the lease on the store's clock; 0: the host resigned */
} role_row_t;

/* Returns JSON, to be freed by the caller. */
GString *key_rows_encode_table (const key_table_t *table);

/* Replaces the ranges of TABLE, which is initialised.  STATUS_DECODE if malformed. */
status_t key_rows_decode_table (key_table_t *table, text_t bytes, fault_t *fault);

/* Returns JSON, to be freed by the caller. */
GString *key_rows_encode_role (const role_row_t *role);

/* STATUS_DECODE if malformed; ROLE may then be partly filled. */
status_t key_rows_decode_role (role_row_t *role, text_t bytes, fault_t *fault);
