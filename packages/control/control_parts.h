#pragma once

#include "control.h"

/* CONTROL_PARTS: the functions that the files of the control task share. */

/* ms on the control task's clock. */
msec_t control_now (const control_t *self);

/* control.c: pass MSG to the decision logic and execute the effects it returns. */
void control_handle_lease (control_t *self, const lease_msg_t *msg);
void control_handle_place (control_t *self, const place_msg_t *msg);
void control_handle_grant (control_t *self, const grant_msg_t *msg);

/* Puts TABLE in force on this host unless it has this version or a higher one.  STARTED
 * is the start of the read or commit that found it to be the highest version. */
void control_apply_table (control_t *self, const table_t *table, msec_t started);
/* Puts CONFIG in force on this host unless it has this version or a higher one. */
void control_apply_config (control_t *self, const config_t *config);
/* Posts a copy of MSG to every worker. */
void control_post_workers (control_t *self, const worker_msg_t *msg);
/* Records the address of a host; an earlier incarnation doesn't replace a later one. */
void control_record_host (control_t *self, const host_t *host);
/* The host's recorded address, or NULL. */
const host_t *control_find_host (const control_t *self, const name_t *name);

/* control_claims.c: claims of order ids. */
void control_handle_claim (control_t *self, const claim_msg_t *msg);
void control_on_claim_timer (evutil_socket_t fd, short what, void *arg);

/* control_timers.c: periodic work and the shutdown on SIGTERM or SIGINT. */
void control_on_tick (evutil_socket_t fd, short what, void *arg);
void control_on_signal (evutil_socket_t fd, short what, void *arg);

/* control_store.c: reads and writes of the platform's store.  Results come later, as
 * messages to the decision logic. */
void store_poll (control_t *self);
/* Fetches the table and puts it in force on this host. */
void store_fetch_table (control_t *self);
/* Loads the table for the placement logic. */
void store_load_table (control_t *self);
void store_list_hosts (control_t *self);
/* Writes the holder row with EPOCH if the row last read, of EPOCH - 1, is unchanged. */
void store_take_over (control_t *self, uint64_t epoch);
void store_write_beat (control_t *self, uint64_t epoch, uint64_t beat, bool resign);
void store_write_settled (control_t *self, uint64_t epoch, uint64_t version);
void store_commit_table (control_t *self, const table_t *candidate);

/* control_claim_rows.c: rows of order claims in the store.  Writes GROUP, claim_op_t, in
 * one transaction. */
void store_write_claims (control_t *self, const GArray *group);

/* control_probe.c: grants to targets and probes of their health. */
void probe_send (control_t *self, const grant_out_t *send);
void probe_finish (control_t *self);

/* control_peers.c: messages between hosts. */
/* To the holder: this host's state. */
void control_send_hello (control_t *self);
/* To all hosts. */
void control_request_hellos (control_t *self);
void control_announce_commit (control_t *self, uint64_t version);
void control_broadcast_suspect (control_t *self, const suspect_out_t *suspect);
/* Sends a lease query, or the reply to one. */
void control_send_lease (control_t *self, const lease_out_t *effect);
/* Sends the requests counted since the last report to the holder; the holder adds its own
 * to the sums. */
void control_report_loads (control_t *self);
void control_receive (void *owner, const peer_msg_t *msg);

/* control_admin.c: the admin port.  STATUS_IO if it can't be bound. */
status_t admin_init (control_t *self, fault_t *fault);
