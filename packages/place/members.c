#include "members.h"

#include <stdlib.h>
#include <string.h>

place_host_t *
members_find_host (place_t *self, const name_t *name)
{
  for (uint32_t i = 0; i < self->n_hosts; i++)
    if (name_equal (&self->hosts[i].host.name, name))
      return &self->hosts[i];
  return NULL;
}

static void
choose_witnesses (table_t *table)
{
  uint32_t n = MIN (table->n_hosts, WITNESS_MAX);

  for (uint32_t i = 0; i < table->n_hosts; i++)
    table->hosts[i].witness = false;
  /* Hosts are sorted by name; even steps spread the witnesses over the data centres. */
  for (uint32_t i = 0; i < n; i++)
    table->hosts[(uint64_t)i * table->n_hosts / n].witness = true;
}

static int
compare_hosts (const void *a, const void *b)
{
  const name_t *x = &((const host_t *)a)->name;
  const name_t *y = &((const host_t *)b)->name;
  int order = memcmp (x->at, y->at, MIN (x->len, y->len));

  return order != 0 ? order : (int)x->len - (int)y->len;
}

static bool
hosts_equal (const table_t *table, const host_t *hosts, uint32_t n)
{
  if (table->n_hosts != n)
    return false;
  for (uint32_t i = 0; i < n; i++)
    if (!name_equal (&table->hosts[i].name, &hosts[i].name)
        || table->hosts[i].incarnation != hosts[i].incarnation)
      return false;
  return true;
}

static bool
host_is_member (const place_t *self, const place_host_t *known, msec_t now)
{
  if (known->leaving)
    return false;
  if (name_equal (&known->host.name, &self->self_host.name))
    return true;
  /* A host that doesn't take new versions would delay the settling of each of them. */
  return now - known->up_to_date_at < PLACE_VERSION_TIMEOUT_MS
         && known->heard_at >= self->taken_over_at
         && now - known->heard_at < PLACE_HOST_TIMEOUT_MS;
}

bool
members_update_hosts (place_t *self, msec_t now)
{
  host_t hosts[HOST_MAX];
  uint32_t n = 0;

  for (uint32_t i = 0; i < self->n_hosts; i++)
    {
      place_host_t *known = &self->hosts[i];
      if (known->version >= self->settled_version)
        known->up_to_date_at = now;
      if (host_is_member (self, known, now))
        hosts[n++] = known->host;
    }
  qsort (hosts, n, sizeof *hosts, compare_hosts);
  if (hosts_equal (&self->candidate, hosts, n))
    return false;
  memcpy (self->candidate.hosts, hosts, n * sizeof *hosts);
  self->candidate.n_hosts = n;
  choose_witnesses (&self->candidate);
  return true;
}

void
members_save_witnesses (place_t *self)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < self->table.n_hosts; i++)
    if (self->table.hosts[i].witness && n < WITNESS_MAX)
      self->candidate.previous_witnesses[n++] = host_id (&self->table.hosts[i]);
  self->candidate.n_previous_witnesses = n;
}

static int
allocate_target (table_t *table)
{
  for (uint32_t i = 0; i < table->n_targets; i++)
    if (table->targets[i].state == TARGET_FREE)
      return (int)i;
  return table->n_targets < TARGET_MAX ? (int)table->n_targets++ : INDEX_NONE;
}

static bool
add_listed_target (place_t *self, const target_t *listed, msec_t now)
{
  int i = table_find_target (&self->candidate, listed);

  if (i >= 0)
    {
      self->targets[i].listed = true;
      self->targets[i].listed_leaving = listed->state == TARGET_LEAVING;
      return false;
    }
  if (listed->state == TARGET_LEAVING)
    return false;
  i = allocate_target (&self->candidate);
  if (i == INDEX_NONE)
    return false;
  self->candidate.targets[i] = *listed;
  self->targets[i] = (place_target_t){ .listed = true, .healthy_since = now };
  return true;
}

static bool
has_slots (const table_t *table, int target)
{
  for (uint32_t k = 0; k < KEYED_MAX; k++)
    for (uint32_t s = 0; s < SLOT_COUNT; s++)
      if (table->slots[k][s].owner == target || table->slots[k][s].next == target)
        return true;
  return false;
}

static target_state_t
next_target_state (const place_target_t *known, target_state_t before, msec_t now)
{
  if (!known->listed || known->listed_leaving)
    return TARGET_LEAVING;
  if (known->failures >= PROBE_FAILURES)
    return TARGET_LOST;
  if (before == TARGET_LOST && now - known->healthy_since < PLACE_BALANCE_MS)
    return TARGET_LOST;
  return TARGET_LIVE;
}

static bool
update_target (place_t *self, int i, msec_t now)
{
  place_target_t *known = &self->targets[i];
  target_t *target = &self->candidate.targets[i];

  if (target->state == TARGET_FREE)
    return false;
  if (known->listed)
    known->unlisted_since = now;
  if (!known->listed && now - known->unlisted_since > PLACE_HOST_TIMEOUT_MS
      && !has_slots (&self->candidate, i))
    {
      target->state = TARGET_FREE;
      return true;
    }
  target_state_t state = next_target_state (known, target->state, now);
  bool changed = state != target->state;
  target->state = state;
  return changed;
}

bool
members_update_targets (place_t *self, msec_t now)
{
  bool changed = false;

  if (self->n_listed == 0)
    return false;
  for (uint32_t i = 0; i < TARGET_MAX; i++)
    self->targets[i].listed = false;
  for (uint32_t i = 0; i < self->n_listed; i++)
    changed |= add_listed_target (self, &self->listed[i], now);
  for (uint32_t i = 0; i < self->candidate.n_targets; i++)
    changed |= update_target (self, (int)i, now);
  return changed;
}

void
members_handle_hello (place_t *self, const place_msg_t *msg, msec_t now)
{
  place_host_t *known = members_find_host (self, &msg->host.name);

  if (known == NULL)
    {
      if (self->n_hosts == HOST_MAX)
        return;
      known = &self->hosts[self->n_hosts++];
      *known = (place_host_t){ .host = msg->host };
    }
  /*
   * Ignores a delayed hello of an earlier incarnation.  After a silence a lower
   * incarnation is accepted: the host's clock may have been set back.
   */
  if (msg->host.incarnation < known->host.incarnation
      && now - known->heard_at < PLACE_HOST_TIMEOUT_MS)
    return;
  if (msg->host.incarnation != known->host.incarnation)
    *known = (place_host_t){ .host = msg->host };
  if (known->heard_at == 0)
    known->up_to_date_at = now;
  known->heard_at = now;
  known->leaving = msg->leaving;
  known->version = MAX (known->version, msg->version);
}

void
members_handle_report (place_t *self, const place_msg_t *msg, msec_t now)
{
  place_target_t *known = &self->targets[msg->target];

  if (!msg->ok)
    {
      known->failures++;
      return;
    }
  if (known->failures > 0)
    known->healthy_since = now;
  known->failures = 0;
  known->grant_version = MAX (known->grant_version, msg->version);
}
