#pragma once

#include "coordinator.h"

/* COORDINATOR_PARTS: what the coordinator's files share.  Private to them. */

/* news.c: what the store says of the deployment. */
void news_init (coordinator_t *self);
void news_start (coordinator_t *self);
void news_finish (coordinator_t *self);

/* Lets targets go whose rows have been missing long enough, and tells of changes. */
void news_step (coordinator_t *self, msec_t now);

/* Whether all that the granter needs was read. */
bool news_complete (const coordinator_t *self);

/* Gives MSG, which passes on, to the proxy. */
void news_post (coordinator_t *self, proxy_msg_t *msg);

/* role.c: who grants keys. */
void role_step (coordinator_t *self, msec_t now);
void role_resign (coordinator_t *self, msec_t now);

/* Queues a table of owners to be committed; TABLE passes on. */
void role_commit_table (coordinator_t *self, key_table_t *table);

/* grants.c: what the granter decides. */
void grants_tell (coordinator_t *self, const keys_msg_t *msg);
void grants_finish (coordinator_t *self);
