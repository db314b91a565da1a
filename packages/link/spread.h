#pragma once

#include "../core/msclock.h"
#include "../core/text.h"

#include <glib.h>

/*
 * SPREAD: how one host's message reaches many.
 *
 * Decision part.  Up to SPREAD_DIRECT hosts get it directly.  More are divided
 * into about as many groups as a group has hosts; the first host of each group
 * gets it and passes it on to the others of its group, so that the sender's
 * part grows with the square root of their number.  The groups follow the
 * hosts' order and stay the same from message to message, which keeps messages
 * in order.  A host that wasn't heard of lately passes nothing on.
 */

typedef struct
{
  name_t address;
  msec_t heard; /* the last message from it */
} spread_host_t;

/* Hosts TO of the array: the first gets the message, the others get it from that one. */
typedef struct
{
  guint first, n;
} spread_group_t;

/* Into how many groups so many hosts are divided. */
guint spread_groups (guint hosts);

/*
 * Puts HOSTS (spread_host_t) in an order in which each group stands together, its first
 * host first, and appends the groups to GROUPS (spread_group_t).
 */
void spread_plan (GArray *hosts, msec_t now, GArray *groups);

/*
 * Whether sending BYTES to all of N hosts takes a link of MEGABITS a second longer than
 * it may be kept from other work.
 */
bool spread_is_heavy (size_t bytes, guint n, double megabits);
