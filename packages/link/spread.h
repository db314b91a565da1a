#pragma once

#include "../core/msclock.h"
#include "../core/text.h"

#include <glib.h>

/*
 * SPREAD: two-level fan-out of a message to many hosts.
 *
 * Pure functions without I/O.  Up to SPREAD_DIRECT_HOSTS hosts get the message directly.
 * A larger number is divided into groups, about as many as a group has hosts.  The sender
 * sends to the first host of each group, which forwards the message to the rest of its
 * group, so that the number of messages per host grows with the square root of the number
 * of hosts.  The hosts with the fastest links forward, one per group; the others follow
 * the order of addresses.  The groups do not change from one message to the next, so that
 * messages to a host stay in order.  A host that was not heard from within
 * SPREAD_ALIVE_MS does not forward, unless this holds for its whole group.
 */

typedef struct
{
  name_t address;
  msec_t last_heard;  /* when its last message arrived */
  uint32_t link_mbps; /* capacity of its network link */
} spread_host_t;

/* N hosts from index FIRST: the first one forwards the message to the others. */
typedef struct
{
  guint first, n;
} spread_group_t;

/* Returns the number of groups for a number of hosts. */
guint spread_group_count (guint hosts);

/*
 * Reorders HOSTS (spread_host_t) so that each group is contiguous and starts with the
 * host that forwards, and appends the groups to GROUPS (spread_group_t).
 */
void spread_plan (GArray *hosts, msec_t now, GArray *groups);

/*
 * Returns whether sending BYTES to each of N hosts would occupy a link of MEGABITS per
 * second for more than SPREAD_BUSY_MS.
 */
bool spread_exceeds_link (size_t bytes, guint n, double megabits);
