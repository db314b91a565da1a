#include "store.h"

const char *
store_outcome_name (store_outcome_t outcome)
{
  static const char *const names[] = {
    [STORE_DONE] = "done",
    [STORE_CONFLICT] = "conflict",
    [STORE_HISTORY_GONE] = "history-gone",
    [STORE_REFUSED] = "refused",
    [STORE_UNKNOWN] = "unknown",
  };

  return names[outcome];
}

bool
store_has_eras (store_table_t table)
{
  return table == STORE_CONFIGURATION || table == STORE_TARGETS;
}

uint64_t
store_version_era (uint64_t version)
{
  return version / STORE_ERA_STEP;
}

bool
store_is_earlier (const store_t *self, store_table_t table, uint64_t version)
{
  return store_has_eras (table) && store_version_era (version) < self->era;
}
