#include "drain_times.h"

#include "../core/limits.h"

drain_times_t
drain_times (msec_t signalled_at, msec_t noticed_at, double grace_s)
{
  msec_t end = signalled_at + (msec_t)(grace_s * 1000) - PROXY_GRACE_MARGIN_MS;

  return (drain_times_t){ .unbounded_until = signalled_at + PROXY_UNREADY_MS,
                          .callers_until = noticed_at + PROXY_UNREADY_MS,
                          .waits_until = end - PROXY_LAST_ANSWERS_MS,
                          .answers_until = end - PROXY_LAST_WRITES_MS,
                          .end = end };
}
