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
