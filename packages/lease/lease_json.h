#pragma once

#include "lease.h"

#include <jansson.h>

/* LEASE_JSON: encodes and decodes messages and effects of LEASE as JSON, for traces.  A
 * vote has the key "word". */

json_t *lease_msg_to_json (const lease_msg_t *msg);

/* Decodes OBJECT into MSG.  A table in it is stored in TABLE, which MSG then points to.
 * Returns false if OBJECT is not a valid message. */
bool lease_msg_from_json (lease_msg_t *msg, table_t *table, const json_t *object);

json_t *lease_out_to_json (const lease_out_t *effect);
