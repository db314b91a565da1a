#pragma once

#include "dispatch.h"

/*
 * TARGETS: one host's state for each target, and target selection.
 *
 * Covers targets of unequal speed, targets that start cold, shed load, fail part of their
 * requests or are unreachable, and load that other hosts put on the same targets.
 */

/*
 * Requests at the target: this host's, plus the other hosts' as in the target's last load
 * report, whose weight falls to 0 within DISPATCH_LOAD_REPORT_MAX_AGE_MS.
 */
uint32_t target_load (const dispatch_target_t *self, msec_t now);

/* The expected response time of one more request, including queueing. */
msec_t target_expected_ms (const dispatch_target_t *self, msec_t now);

/* The same, but not below what the mean number of requests there gives, where that is
 * known: for a request whose late answer would be lost. */
msec_t target_cautious_ms (const dispatch_target_t *self, msec_t now);

/* Whether the target has capacity for a request that should end by OBJECTIVE. */
bool target_has_capacity (const dispatch_target_t *self, msec_t objective, msec_t now);

void target_answered (dispatch_target_t *self,
                      const dispatch_request_t *request,
                      const dispatch_msg_t *msg,
                      msec_t now);
void target_failed (dispatch_target_t *self, const dispatch_msg_t *msg, msec_t now);

/* An attempt over an established connection got no response in time. */
void target_timed_out (dispatch_target_t *self, msec_t now);

/* Replaces the list of targets.  For those that are gone or at another address, appends
 * DISPATCH_CLOSE_IDLE to OUT, and for those that are gone reports of requests lost there
 * unless the target was leaving. */
void targets_update (dispatch_t *self, const GArray *entries, msec_t now, GArray *out);

/* The target with incarnation STATED has stated that it leaves.  The first time, appends
 * DISPATCH_TARGET_LEAVING to OUT.  No request is sent or ended by this: the event may
 * come from within a response. */
void targets_note_leaving (dispatch_t *self,
                           const target_incarnation_t *stated,
                           msec_t now,
                           GArray *out);

/* Appends the listed targets of keyed services that stated it (target_incarnation_t) to
 * REPORTS. */
void targets_report_leaving (const dispatch_t *self, GArray *reports);

/* The bounds or the services' rates for cold targets changed. */
void targets_set_cold_rates (dispatch_t *self);

/* The targets in DATA_CENTRE count as cold until entries that change later say otherwise,
 * for their services' warm-up time at most. */
void targets_suspect_cold (dispatch_t *self, text_t data_centre, msec_t now);

/* Listed targets that are cold and to which the bound applies. */
uint32_t targets_count_cold (const dispatch_t *self, msec_t now);

/* SHARES (rate_share_t) lists all targets whose rate is limited, as the granter knows. */
void targets_set_shares (dispatch_t *self, const GArray *shares, msec_t now);

/* PACES (pace_t) is the granter's list. */
void targets_set_paces (dispatch_t *self, const GArray *paces, msec_t now);

/* TARGET reported LOAD with an answer. */
void targets_note_moment (dispatch_t *self,
                          dispatch_target_t *target,
                          const load_report_t *load,
                          msec_t now);

/* Appends what was measured at targets since the last call (pace_sample_t) to SAMPLES. */
void targets_report_paces (dispatch_t *self, GArray *samples);

/* GRANTS (rate_grant_t) are the reply to what was reported at REPORTED_AT. */
void targets_add_grants (dispatch_t *self,
                         const GArray *grants,
                         msec_t reported_at,
                         msec_t now);

/* Appends the service times of the targets of SERVICE that were measured since the last
 * call (target_service_time_t) to REPORTS. */
void targets_report_service_times (dispatch_t *self, uint32_t service, GArray *reports);

/* Whether any target limits its rate. */
bool targets_are_limited (const dispatch_t *self);

/* Appends what is to be reported of rate limits (rate_report_t) to REPORTS. */
void targets_report_rates (dispatch_t *self, msec_t now, GArray *reports);

/*
 * The earliest time at which a target of SERVICE may get a request: NOW unless all usable
 * ones are paused.
 */
msec_t targets_service_next (const dispatch_t *self, uint32_t service, msec_t now);

/* The same for REQUEST: the key's owner decides if it has one. */
msec_t
targets_next (const dispatch_t *self, const dispatch_request_t *request, msec_t now);

/*
 * The best target for REQUEST, of a service without key owners, or -1.  *REASON then
 * says whether there is no usable target, none with capacity, only such whose rate
 * limits don't admit the request or that are paused, or none that would end it before the
 * process ends.
 */
int targets_select (dispatch_t *self,
                    dispatch_request_t *request,
                    msec_t now,
                    dispatch_reason_t *reason);

/* The owner reported that it does not own the request's key: it gets no requests for this
 * range of keys for DISPATCH_OWNER_RETRY_MS. */
void
targets_note_not_owner (dispatch_t *self, const dispatch_request_t *request, msec_t now);

/*
 * The owner of the request's key if it can take the request now, or -1.  If it only lacks
 * capacity, *REASON is REASON_OVERLOAD, if all hosts have more requests for it than it
 * can end, REASON_OWNER_FULL, if its rate is limited, REASON_RATE_LIMIT, if that is
 * because it is cold, REASON_COLD, if it would not end the request before the process
 * ends, REASON_STOPPING, if it is paused, REASON_PAUSED.  *OWNER is the owner if it is
 * usable, with or without capacity, else -1.  Notes the key table's version in REQUEST.
 */
int targets_find_owner (dispatch_t *self,
                        dispatch_request_t *request,
                        msec_t now,
                        int32_t *owner,
                        dispatch_reason_t *reason);

/* Whether SERVICE has usable targets, but only in data centres that are emptied. */
bool targets_all_evacuated (const dispatch_t *self, uint32_t service);
