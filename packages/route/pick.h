#pragma once

#include "route.h"

/*
 * PICK: chooses a request's target, and keeps this worker's statistics of the targets.
 */

/*
 * Return the target for a request at NOW, or INDEX_NONE with the reason in *REASON.
 * pick_instance chooses an instance of an unkeyed service by the requests in
 * flight and the latency that this worker measured.  pick_owner returns the owner
 * of the request's slot, if the host holds a lease on its table.
 */
int pick_instance (route_t *self,
                   const route_request_t *r,
                   msec_t now,
                   route_reason_t *reason);
int
pick_owner (route_t *self, const route_request_t *r, msec_t now, route_reason_t *reason);

/* Record an answer's latency, a failure, which ejects the target for a while, and a
 * success, which ends the ejection. */
void pick_record_latency (route_target_t *target, msec_t latency);
void pick_record_failure (route_target_t *target, msec_t now);
void pick_record_success (route_target_t *target);

/* Adapts the statistics to the table's targets.  FIRST: new targets don't start cold. */
void pick_update_targets (route_t *self, bool first);
