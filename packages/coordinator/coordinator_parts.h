#pragma once

#include "../link/link_codec.h"
#include "coordinator.h"

/* COORDINATOR_PARTS: internal interfaces between the coordinator's source files. */

/* discovery.c: watches the configuration, the targets and the key owners in the store. */
void discovery_init (coordinator_t *self);
void discovery_start (coordinator_t *self);
void discovery_finish (coordinator_t *self);

/* Sets the time within which a leaving target gets no more requests, in ms. */
void discovery_set_drain (coordinator_t *self, msec_t drain);

/* Sets the time within which a configuration has to be in force, in ms. */
void discovery_set_apply_time (coordinator_t *self, msec_t time);

/* Resumes suspended feeds, drops targets whose rows have been missing for too long,
 * publishes changes, and reviews whether requests can be served by what is known. */
void discovery_step (coordinator_t *self);

/* The granter's update: a feed that has all that the granter's has is as fresh as that;
 * one that lacks something is reviewed by currency. */
void discovery_handle_update (coordinator_t *self, const link_update_t *update);

/* Applies ROWS (store_row_t) from another host's feed: the changes of TABLE after version
 * BEFORE, up to AFTER. */
void discovery_apply_rows (coordinator_t *self,
                           store_table_t table,
                           uint64_t before,
                           uint64_t after,
                           const GArray *rows);

/* HOST heard TARGET state that it leaves: it is assigned no keys. */
void discovery_note_leaving (coordinator_t *self,
                             const target_incarnation_t *target,
                             const name_t *host);

/* Passes the targets on to the assignment of keys. */
void discovery_publish_to_keys (coordinator_t *self);

/* The process that is listed under ID; started_at is 0 if there is none. */
target_incarnation_t discovery_find_target (const coordinator_t *self, const name_t *id);

/* The store is reachable again: reissues the feeds' calls in flight, which it may never
 * answer. */
void discovery_restart_calls (coordinator_t *self);

/* Whether this host's last attempt to read the configuration failed. */
bool discovery_store_unreachable (const coordinator_t *self);

/* Whether the store has not told this host of changes of the configuration's table for so
 * long that the granter has to. */
bool discovery_lacks_rows (const coordinator_t *self);

/* Whether the configuration, the targets and the owners have been read. */
bool discovery_is_complete (const coordinator_t *self);

/* Sends MSG to the proxy, at once or when its mailbox has room.  Takes ownership of MSG.
 */
void discovery_post (coordinator_t *self, proxy_msg_t *msg);

/* judge.c: logs what config_check finds in a configuration that is being applied. */
void judge_configuration (const coordinator_t *self, const directory_t *directory);

/* role.c: acquires and renews the granter's role. */
void role_init (coordinator_t *self);
void role_step (coordinator_t *self, msec_t now);
void role_resign (coordinator_t *self, msec_t now);

/* Queues a table of key owners for commit, or drops it if the role was lost.  Takes
 * ownership of TABLE's contents. */
void role_queue_table (coordinator_t *self, key_table_t *table);

/* The role's holder reported that it keeps the role until UNTIL on this host's clock: the
 * role row isn't checked earlier. */
void role_postpone_check (coordinator_t *self, msec_t until);

/* The role's holder reported that its row says that it resigned: the row is checked as
 * after the end of a lease. */
void role_vacated (coordinator_t *self, msec_t now);

/* owners.c: the newest known table of key owners of each service.
 *
 * owners_find returns NULL if none is known. */
const key_table_t *owners_find (const coordinator_t *self, const name_t *service);

/* Stores a copy of TABLE if it is newer than the known one, and sends it to the proxy. */
void owners_update (coordinator_t *self, const key_table_t *table);

/* The version of TABLE, decoded from a row of ROW_VERSION: of the era in which it was
 * written, so that a lost history's copy isn't newer than what hosts have from it. */
uint64_t owners_version (const key_table_t *table, uint64_t row_version);
void owners_finish (coordinator_t *self);

/* peers.c: messages between hosts. */
status_t peers_init (coordinator_t *self, fault_t *fault);
void peers_finish (coordinator_t *self);

/* Forwards the proxy's report to the granter, which may be this host. */
void peers_forward_report (coordinator_t *self, const proxy_report_t *report);

/* Notifies all hosts of a request that may crash targets, or of one that was cleared. */
void peers_report_suspect (coordinator_t *self, const suspect_out_t *suspect);

/* Sends a new table, or its changes, to all hosts that report to this one.  To be called
 * before owners_update, since changes are taken against the table known so far. */
void peers_broadcast_table (coordinator_t *self, const key_table_t *table);

/* Tells all hosts that report to this one that it no longer has the role, so that one of
 * them acquires it before its lease would have ended. */
void peers_broadcast_resignation (coordinator_t *self);

/* Whether this host is the granter, or received an update from it recently. */
bool peers_granter_is_live (const coordinator_t *self);

/* Sends BODY to one host and frees it. */
void peers_send (coordinator_t *self, const name_t *address, GByteArray *body);

/* Sends BODY to all hosts that report to this one, by way of some of them. */
void peers_broadcast (coordinator_t *self, const GByteArray *body);

/* Whether sending BYTES to all hosts would occupy the network link of this host, or of
 * one that forwards them, for too long. */
bool peers_is_heavy (const coordinator_t *self, size_t bytes);

/* rows.c: rows of the configuration and the targets on their way between hosts.
 *
 * On the granter, relays changes of TABLE from its feed to all hosts. */
void rows_relay (coordinator_t *self,
                 store_table_t table,
                 uint64_t before,
                 const store_reply_t *reply);

/* On the granter, sends the host of REPORT what it lacks. */
void rows_send_missing (coordinator_t *self, const link_report_t *report, msec_t now);

/* Applies rows from the granter. */
void rows_handle (coordinator_t *self, const link_rows_t *from);

/* rates.c: limits on the rate of requests to targets.
 *
 * On the granter, sends the shares of targets whose rate is limited to all hosts. */
void rates_step (coordinator_t *self, msec_t now);

/* Passes the granter's list on to the proxy.  Takes ownership of SHARES. */
void rates_apply (coordinator_t *self, GArray *shares);

/* Passes GRANTS, the reply to what the proxy reported at REPORTED_AT, on to it.  Takes
 * ownership of GRANTS. */
void rates_grant (coordinator_t *self, GArray *grants, msec_t reported_at);

/* paces.c: the pace of targets, as all hosts measure it.
 *
 * Sends the proxy's SAMPLES (pace_sample_t) to the granter, which may be this host. */
void paces_forward_samples (coordinator_t *self, GArray *samples);

/* On the granter, takes in another host's SAMPLES. */
void paces_handle_samples (coordinator_t *self, const GArray *samples);

/* On the granter, sends what has changed to all hosts. */
void paces_step (coordinator_t *self, msec_t now);

/* Passes the granter's list on to the proxy.  Takes ownership of PACES. */
void paces_apply (coordinator_t *self, GArray *paces);

/* emptied.c: data centres that the operator wants to be emptied.
 *
 * Sets the time within which one has to be empty, in ms; 0: rows are ignored. */
void emptied_set_time (coordinator_t *self, msec_t time);

/* A row of the configuration's table, whose copy here was complete AGE ms ago.  False if
 * it is no such row. */
bool emptied_handle_row (coordinator_t *self, const store_row_t *row, msec_t age);

/* A complete read of that table ended, and has all changes up to VERSION. */
void emptied_read_done (coordinator_t *self, uint64_t version);

/* Tells the proxy and the assignment of keys what has changed. */
void emptied_publish (coordinator_t *self);

/* Appends rows (link_row_t) for all data centres that are being emptied to ROWS; their
 * keys are appended to KEYS, which has to last as long. */
void emptied_append_rows (const coordinator_t *self, GArray *rows, GStringChunk *keys);

/* outdated.c: performs what currency decides on the configuration and the targets.
 *
 * Reviews both, and tells the proxy when requests are to be rejected. */
void outdated_review (coordinator_t *self);

/* VERSION of the feed's table exists. */
void outdated_note_newer (coordinator_t *self,
                          feed_t *feed,
                          currency_t *currency,
                          uint64_t version);

/* The process did not run for CURRENCY_STALL_MS or more until now. */
void outdated_note_stall (coordinator_t *self);

/* metrics_page.c: the HTTP page of metrics. */
status_t metrics_page_init (coordinator_t *self, fault_t *fault);
void metrics_page_finish (coordinator_t *self);

/* reload.c: reloads the settings file. */
void reload_init (coordinator_t *self);
void reload_settings (coordinator_t *self);

/* Checks for a changed file, since it may be replaced without a SIGHUP. */
void reload_step (coordinator_t *self, msec_t now);

/* grants.c: executes the granter's decisions. */
void grants_handle (coordinator_t *self, const keys_msg_t *msg);
void grants_finish (coordinator_t *self);
