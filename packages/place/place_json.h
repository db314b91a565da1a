#pragma once

#include "place.h"

#include <jansson.h>

/* PLACE_JSON: encodes and decodes messages and effects of PLACE as JSON, for traces. */

/* Storage for what a decoded message points to. */
typedef struct
{
  config_t config;
  table_t table;
  target_t targets[TARGET_MAX];
  uint32_t loads[SLOT_COUNT];
} place_msg_storage_t;

json_t *place_msg_to_json (const place_msg_t *msg);

/* Returns false if OBJECT is not a valid message.  MSG points into STORAGE. */
bool place_msg_from_json (place_msg_t *msg,
                          place_msg_storage_t *storage,
                          const json_t *object);

json_t *place_out_to_json (const place_out_t *effect);
