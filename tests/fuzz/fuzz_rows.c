#include "../../packages/config/config_json.h"
#include "../../packages/lease/lease_json.h"
#include "../../packages/place/place_json.h"
#include "../../packages/table/table_rows.h"

/* FUZZ_ROWS: feeds arbitrary input to the readers of the configuration, of the table's
 * rows and of the messages in traces. */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static table_t table;
static place_msg_storage_t room;

static void
check_slots (void)
{
  for (uint32_t k = 0; k < KEYED_MAX; k++)
    for (uint32_t s = 0; s < SLOT_COUNT; s++)
      g_assert (table.slots[k][s].owner >= INDEX_NONE
                && table.slots[k][s].owner < TARGET_MAX);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  text_t text = { (const char *)data, size };
  json_t *value = json_loadb (text.at, text.len, 0, NULL);
  place_msg_t place;
  lease_msg_t lease;
  config_t config;
  fault_t fault;

  config_from_json (&config, text, &fault);
  if (table_from_json (&table, value, &fault) == STATUS_OK)
    check_slots ();
  place_msg_from_json (&place, &room, value);
  lease_msg_from_json (&lease, &table, value);
  json_decref (value);
  return 0;
}
