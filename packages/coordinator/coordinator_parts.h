#pragma once

#include "coordinator.h"

/* COORDINATOR_PARTS: what the coordinator's files share.  Private to them. */

/* news.c: what the store says of the deployment. */
void news_init (coordinator_t *self);
void news_start (coordinator_t *self);
void news_finish (coordinator_t *self);

/* Lets targets go whose rows have been missing long enough, and tells of changes. */
void news_step (coordinator_t *self, msec_t now);

/* The granter knows rows up to these versions: a feed that stays behind asks anew. */
void news_compare (coordinator_t *self, uint64_t configuration_row, uint64_t targets_row);

/* Rows of another host's feed that follow BEFORE: store_row_t. */
void news_take_rows (coordinator_t *self,
                     store_table_t table,
                     uint64_t before,
                     uint64_t after,
                     const GArray *rows);

/* The store answers again: whatever was asked while it was away is asked anew. */
void news_ask_anew (coordinator_t *self);

/* Whether the store doesn't answer this host, by the last try. */
bool news_store_is_away (const coordinator_t *self);

/* Whether all that the granter needs was read. */
bool news_complete (const coordinator_t *self);

/* Gives MSG, which passes on, to the proxy. */
void news_post (coordinator_t *self, proxy_msg_t *msg);

/* role.c: who grants keys. */
void role_step (coordinator_t *self, msec_t now);
void role_resign (coordinator_t *self, msec_t now);

/* Queues a table of owners to be committed; TABLE passes on. */
void role_commit_table (coordinator_t *self, key_table_t *table);

/* The role is held elsewhere until UNTIL, says its holder. */
void role_heard (coordinator_t *self, msec_t until);

/* owners.c: who owns which keys, as far as this host knows. */
const key_table_t *owners_table (const coordinator_t *self, const name_t *service);

/* Takes TABLE over if it is newer, and tells the proxy. */
void owners_take (coordinator_t *self, const key_table_t *table);
void owners_finish (coordinator_t *self);

/* peers.c: what hosts tell one another. */
status_t peers_init (coordinator_t *self, fault_t *fault);
void peers_finish (coordinator_t *self);

/* Passes the proxy's report on to the granter, which may be this host. */
void peers_report (coordinator_t *self, const proxy_report_t *report);

/* Has all hosts told of a request that may crash targets, or of one that doesn't. */
void peers_suspect (coordinator_t *self, const suspect_out_t *suspect);

/* Tells all hosts that report to this one of a new table, before owners_take has it. */
void peers_tell_table (coordinator_t *self, const key_table_t *table);

/* The granter passes on what its feed of TABLE told. */
void peers_tell_rows (coordinator_t *self,
                      store_table_t table,
                      uint64_t before,
                      const store_reply_t *reply);

/* Whether the granter was heard lately, or is this host. */
bool peers_have_news (const coordinator_t *self);

/* status.c: the metrics page. */
status_t status_init (coordinator_t *self, fault_t *fault);
void status_finish (coordinator_t *self);

/* reload.c: the settings file changes. */
void reload_init (coordinator_t *self);
void reload_settings (coordinator_t *self);

/* The file may change without a signal. */
void reload_step (coordinator_t *self, msec_t now);

/* grants.c: what the granter decides. */
void grants_tell (coordinator_t *self, const keys_msg_t *msg);
void grants_finish (coordinator_t *self);
