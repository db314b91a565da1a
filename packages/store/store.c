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

uint64_t
store_version_era (uint64_t version)
{
  return version / STORE_ERA_STEP;
}

uint64_t
store_version_number (uint64_t version)
{
  return version % STORE_ERA_STEP;
}

uint64_t
store_version_in (uint64_t era, uint64_t version)
{
  return era * STORE_ERA_STEP + store_version_number (version);
}

bool
store_is_earlier (const store_t *self, uint64_t version)
{
  return store_version_era (version) < self->era;
}
