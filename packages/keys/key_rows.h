#pragma once

#include "../core/fault.h"
#include "../directory/directory.h"

/* KEY_ROWS: the rows of the keys' tables and of the granter's role, as JSON. */

/* Who grants keys. */
typedef struct
{
  name_t host;
  name_t address;      /* of its link, a.b.c.d:port */
  uint64_t life;       /* tells the host's processes apart */
  uint64_t beat;       /* grows with each write */
  uint64_t next_fence; /* above all fences that were ever committed */
  msec_t until;        /* on the store's clock; 0: the host gave the role up */
} role_row_t;

GString *key_rows_write_table (const key_table_t *table);
status_t key_rows_read_table (key_table_t *table, text_t bytes, fault_t *fault);

GString *key_rows_write_role (const role_row_t *role);
status_t key_rows_read_role (role_row_t *role, text_t bytes, fault_t *fault);
