#pragma once

#include "keys.h"

/*
 * KEY_COMMITS: builds the table commits of a service and applies their results.  At most
 * one commit per service is pending.
 */

/* Assigns unassigned ranges to targets and requests the commit. */
void key_commits_assign (keys_t *self, key_service_t *service, GArray *out);

/* Requests a commit of the ranges as they are if the store has lost the table. */
void key_commits_rewrite (const keys_t *self, key_service_t *service, GArray *out);

/* If the service needs new fences, requests a commit of them with unchanged owners. */
void key_commits_renew_fences (keys_t *self, key_service_t *service, GArray *out);

/* Applies the pending commit after it took effect. */
void key_commits_succeeded (key_service_t *service, msec_t now);

/*
 * Undoes the pending commit, of which the store applied nothing.  A released range
 * returns to its previous owner, as the store still records; if that owner can't take it,
 * or the range wasn't released, it stays unassigned until the next commit.
 */
void key_commits_rejected (keys_t *self, key_service_t *service);
