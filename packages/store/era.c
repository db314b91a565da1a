#include "era.h"

#include "store.h"

era_verdict_t
era_note (uint64_t *known, uint64_t stated)
{
  if (*known == 0 && (stated == 0 || stated > STORE_ERA_MAX))
    return ERA_CURRENT;
  if (stated == 0 || stated > STORE_ERA_MAX)
    return ERA_MISSING;
  if (stated == *known)
    return ERA_CURRENT;
  if (stated < *known)
    return ERA_EARLIER;
  if (*known > 0 && stated - *known > ERA_RISE_MAX)
    return ERA_MISSING;
  *known = stated;
  return ERA_RISEN;
}

const char *
era_verdict_name (era_verdict_t verdict)
{
  static const char *const names[] = {
    [ERA_CURRENT] = "current",
    [ERA_RISEN] = "risen",
    [ERA_EARLIER] = "earlier_era",
    [ERA_MISSING] = "no_era",
  };

  return names[verdict];
}
