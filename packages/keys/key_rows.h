#pragma once

#include "../core/fault.h"
#include "../directory/directory.h"

/* KEY_ROWS: JSON encoding of the stored rows: key tables and the granter's role. */

/*
 * The host that holds the granter's role.
 *
 * LONGEST_HOLD, in ms: no grant that may still last is longer.  It is at least what the
 * holder's process has known as the longest, and at least what the row said before until
 * all grants of earlier holders have expired.  0: not stated; a successor then assumes
 * the longest hold that its own process has known.  So does one that meets an unreadable
 * row, or a row that an earlier version wrote, also if a row before it stated more.
 */
typedef struct
{
  name_t host;
  name_t address;       /* its link address, a.b.c.d:port */
  uint64_t incarnation; /* distinguishes successive processes of the host */
  uint64_t sequence;    /* incremented by each write */
  uint64_t next_fence;  /* above every committed fence */
  msec_t until;         /* end of the lease on the store's clock; 0: the host resigned */
  msec_t longest_hold;  /* of the grants of this or an earlier holder; 0: not stated */
  uint64_t era;         /* of the store, as the writer knew it; 0: not stated */
  bool incomplete;      /* a table may be missing, as the store lost it */
} role_row_t;

/* Returns JSON, packed if it is over KEYS_ROW_PLAIN_MAX_BYTES, to be freed by the caller.
 */
GString *key_rows_encode_table (const key_table_t *table);

/* Replaces the ranges of TABLE, which is initialised.  STATUS_DECODE if malformed. */
status_t key_rows_decode_table (key_table_t *table, text_t bytes, fault_t *fault);

/* Returns JSON, to be freed by the caller. */
GString *key_rows_encode_role (const role_row_t *role);

/* STATUS_DECODE if malformed; ROLE may then be partly filled.  A missing or malformed
 * LONGEST_HOLD counts as 0, one above KEYS_HOLD_LIMIT_MS as that. */
status_t key_rows_decode_role (role_row_t *role, text_t bytes, fault_t *fault);
