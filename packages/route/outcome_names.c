#include "route.h"

const char *
route_outcome_name (route_outcome_t outcome)
{
  static const char *const names[] = {
    [ROUTE_OUTCOME_ANSWERED] = "answered",
    [ROUTE_OUTCOME_NOT_RUN] = "not-run",
    [ROUTE_OUTCOME_UNKNOWN] = "unknown",
    [ROUTE_OUTCOME_REFUSED] = "refused",
  };
  return names[outcome];
}

const char *
route_reason_name (route_reason_t reason)
{
  static const char *const names[] = {
    [ROUTE_REASON_NONE] = "none",
    [ROUTE_REASON_NO_CONFIG] = "no-configuration",
    [ROUTE_REASON_UNKNOWN_SERVICE] = "unknown-service",
    [ROUTE_REASON_NO_KEY] = "no-key",
    [ROUTE_REASON_NO_ORDER_ID] = "no-order-id",
    [ROUTE_REASON_BAD_REQUEST] = "bad-request",
    [ROUTE_REASON_TOO_LARGE] = "too-large",
    [ROUTE_REASON_NO_LEASE] = "no-lease",
    [ROUTE_REASON_NO_OWNER] = "no-owner",
    [ROUTE_REASON_NO_TARGET] = "no-target",
    [ROUTE_REASON_FULL] = "full",
    [ROUTE_REASON_DEADLINE] = "deadline",
    [ROUTE_REASON_TARGET_LOST] = "target-lost",
    [ROUTE_REASON_UNREACHABLE] = "unreachable",
    [ROUTE_REASON_FENCED] = "fenced",
    [ROUTE_REASON_SHED] = "shed",
    [ROUTE_REASON_ANSWER_CUT] = "answer-cut",
    [ROUTE_REASON_CLAIM_LATE] = "claim-late",
    [ROUTE_REASON_ORDER_REPEATED] = "order-repeated",
    [ROUTE_REASON_STORE_DOWN] = "store-down",
    [ROUTE_REASON_CRASHES_TARGETS] = "crashes-targets",
    [ROUTE_REASON_SHUTDOWN] = "shutdown",
  };
  return names[reason];
}
