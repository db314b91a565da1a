#pragma once

#include "../core/fault.h"
#include "table.h"

#include <jansson.h>

/*
 * TABLE_ROWS: encodes a table_t as JSON rows of the platform's store, and decodes it.
 *
 *   table/head         {"version", "epoch"}
 *   table/settled      {"version"}
 *   table/members      {"hosts", "targets", "old"}, "old" being the previous witnesses
 *   table/slots/K/B    block B of keyed service K, runs of [count, owner, next, epoch]
 */

#define ROW_HEAD "table/head"
#define ROW_SETTLED "table/settled"
#define ROW_MEMBERS "table/members"
#define ROW_SLOTS "table/slots/"

/* One host, as in the members row.  Decoding returns false if OBJECT is not a host. */
json_t *host_to_json (const host_t *host);
bool host_from_json (host_t *host, const json_t *object);

json_t *table_head_to_json (const table_t *self);
json_t *table_members_to_json (const table_t *self);
json_t *table_block_to_json (const table_t *self, uint32_t keyed, uint32_t block);

/* Decodes one row into SELF; other rows are ignored.  STATUS_DECODE if malformed. */
status_t table_from_row (table_t *self, text_t row, const json_t *value, fault_t *fault);

/* The whole table as an object of rows by name, and back.  STATUS_DECODE if malformed. */
json_t *table_to_json (const table_t *self);
status_t table_from_json (table_t *self, const json_t *rows, fault_t *fault);
