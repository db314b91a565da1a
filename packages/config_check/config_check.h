#pragma once

#include "../directory/directory.h"
#include "findings.h"

/*
 * CONFIG_CHECK: judges a configuration, before it is sent and when it arrives.
 *
 * A decision without sockets, clock or encoding.  The load that it answers are the
 * operators' changes, 1,200 a day: each takes effect on all hosts within seconds, so that
 * a mistake in one is a fault of the whole deployment.
 */

/* What a host can bear.  Fields of 0 are unknown and not checked. */
typedef struct
{
  uint32_t memory_mb;   /* MiB that the process may use */
  bool has_budget;      /* whether the following two are known */
  double retry_ratio;   /* retries per request */
  uint32_t retry_extra; /* retries in addition */
} check_host_t;

/* Appends to FINDINGS what is wrong with DIRECTORY, whose routes are sorted: entries that
 * are double, that can never match or that aren't used, and limits that contradict each
 * other or HOST. */
void config_check (const directory_t *directory,
                   const check_host_t *host,
                   findings_t *findings);

/* Appends to FINDINGS in what DIRECTORY differs from IN_FORCE.  Entries are the same if
 * they have the same name. */
void config_check_changes (const directory_t *directory,
                           const directory_t *in_force,
                           findings_t *findings);

/* Internal: an index of ENTRIES, whose first field is their name.  Keys and values are
 * the entries; of several with one name, the first. */
GHashTable *config_check_by_name (const GArray *entries);
