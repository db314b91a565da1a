#include "route.h"

const char *
fate_name (fate_t outcome)
{
  static const char *const names[] = {
    [FATE_ANSWERED] = "answered",
    [FATE_NOT_RUN] = "not-run",
    [FATE_UNKNOWN] = "unknown",
    [FATE_REFUSED] = "refused",
  };
  return names[outcome];
}

const char *
why_name (why_t reason)
{
  static const char *const names[] = {
    [WHY_NONE] = "none",
    [WHY_NO_CONFIG] = "no-configuration",
    [WHY_NO_SERVICE] = "unknown-service",
    [WHY_NO_KEY] = "no-key",
    [WHY_NO_ORDER_ID] = "no-order-id",
    [WHY_BAD_REQUEST] = "bad-request",
    [WHY_TOO_LARGE] = "too-large",
    [WHY_NO_LEASE] = "no-lease",
    [WHY_NO_OWNER] = "no-owner",
    [WHY_NO_TARGET] = "no-target",
    [WHY_FULL] = "full",
    [WHY_DEADLINE] = "deadline",
    [WHY_TARGET_LOST] = "target-lost",
    [WHY_UNREACHABLE] = "unreachable",
    [WHY_FENCED] = "fenced",
    [WHY_SHED] = "shed",
    [WHY_CUT] = "answer-cut",
    [WHY_CLAIMING] = "claim-late",
    [WHY_REPEATED] = "order-repeated",
    [WHY_STORE] = "store-down",
    [WHY_CRASHES] = "crashes-targets",
    [WHY_SHUTDOWN] = "shutdown",
  };
  return names[reason];
}
