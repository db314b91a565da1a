#pragma once

#include "keys.h"

/*
 * KEY_COMMITS: what of a service's runs is to be committed, and what a commit's
 * end means for them.  One commit a service is under way at a time.
 */

/* Gives free runs to targets and asks for the commit. */
void key_commits_free (keys_t *self, key_service_t *service, GArray *out);

/* Asks for the commit of new fences for the owners as they are, where they are wanted. */
void key_commits_fences (keys_t *self, key_service_t *service, GArray *out);

/* The commit under way took effect. */
void key_commits_done (key_service_t *service);

/* Nothing of it was done: runs that were released go back to their owners, as the store
 * still says; what their owners can't take stays free for the next commit. */
void key_commits_refused (keys_t *self, key_service_t *service);
