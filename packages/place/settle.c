#include "settle.h"

#include "members.h"
#include "plan.h"

#include <string.h>

/* Whether the host, in this incarnation, has acknowledged VERSION or a higher one. */
static bool
has_acknowledged (place_t *self, const host_id_t *id, uint64_t version)
{
  const place_host_t *known = members_find_host (self, &id->name);

  return known != NULL && known->host.incarnation == id->incarnation
         && known->version >= version;
}

static bool
all_acknowledged (place_t *self)
{
  for (uint32_t i = 0; i < self->n_previous_hosts; i++)
    {
      host_id_t id = host_id (&self->previous_hosts[i]);
      if (!has_acknowledged (self, &id, self->committed_version))
        return false;
    }
  return true;
}

/* Whether so many witnesses have acknowledged that the others can't form a majority. */
static bool
previous_version_cant_extend (place_t *self)
{
  uint32_t n = 0, acked = 0;

  for (uint32_t i = 0; i < self->n_previous_hosts; i++)
    {
      if (!self->previous_hosts[i].witness)
        continue;
      host_id_t id = host_id (&self->previous_hosts[i]);
      n++;
      acked += has_acknowledged (self, &id, self->committed_version);
    }
  return 2 * (n - acked) <= n;
}

static bool
older_version_cant_extend (place_t *self)
{
  uint32_t acked = 0;

  for (uint32_t i = 0; i < self->n_older_witnesses; i++)
    acked += has_acknowledged (self, &self->older_witnesses[i], self->committed_version);
  return 2 * (self->n_older_witnesses - acked) <= self->n_older_witnesses;
}

static bool
extensions_ended (place_t *self, msec_t now)
{
  if (!self->policy->majority)
    return true;
  if (now >= self->committed_at + LEASE_EXTEND_MAX_MS + LEASE_MS + LEASE_MARGIN_MS)
    return true;
  if (self->extension_blocked_at == 0 && previous_version_cant_extend (self)
      && older_version_cant_extend (self))
    self->extension_blocked_at = now;
  return self->extension_blocked_at > 0
         && now >= self->extension_blocked_at + self->policy->lease_ms + LEASE_MARGIN_MS;
}

bool
settle_leases_ended (place_t *self, msec_t now)
{
  if (self->previous_hosts_complete && all_acknowledged (self))
    return true;
  bool ended = extensions_ended (self, now);
  return ended && now >= self->committed_at + self->policy->lease_ms + LEASE_MARGIN_MS;
}

/*
 * Whether the old owner of a withdrawn slot no longer holds it: it took a grant
 * of a version in which the slot is withdrawn, or its last grant has expired.
 */
static bool
old_grant_ended (const place_t *self,
                 int owner,
                 const withdrawal_t *withdrawal,
                 msec_t now)
{
  if (withdrawal->settled_at == 0)
    return false;
  if (now >= withdrawal->settled_at + GRANT_MS + LEASE_MARGIN_MS)
    return true;
  return self->targets[owner].grant_version >= withdrawal->version;
}

bool
settle_finish_moves (place_t *self, msec_t now, GArray *out)
{
  bool changed = false;

  for (uint32_t k = 0; k < KEYED_MAX; k++)
    for (uint32_t s = 0; s < SLOT_COUNT; s++)
      {
        slot_t *slot = &self->candidate.slots[k][s];
        if (slot->next == INDEX_NONE
            || !old_grant_ended (self, slot->owner, &self->withdrawals[k][s], now))
          continue;
        plan_log_move (out, k, s, slot->owner, slot->next, MOVE_REASON_SETTLED);
        *slot = (slot_t){ slot->next, INDEX_NONE, self->candidate.version };
        changed = true;
      }
  return changed;
}

void
settle_save_previous (place_t *self)
{
  self->n_previous_hosts = self->table.n_hosts;
  memcpy (self->previous_hosts,
          self->table.hosts,
          self->n_previous_hosts * sizeof *self->previous_hosts);
  bool settled = self->table.settled_version >= self->table.version;
  self->n_older_witnesses = settled ? 0 : self->table.n_previous_witnesses;
  memcpy (self->older_witnesses,
          self->table.previous_witnesses,
          self->n_older_witnesses * sizeof *self->older_witnesses);
}

/* After a take-over it isn't known which version withdrew a slot; the current one, which
 * is no lower, is recorded instead. */
void
settle_record_withdrawals (place_t *self)
{
  self->has_withdrawals = false;
  for (uint32_t k = 0; k < KEYED_MAX; k++)
    for (uint32_t s = 0; s < SLOT_COUNT; s++)
      {
        withdrawal_t *withdrawal = &self->withdrawals[k][s];
        if (self->table.slots[k][s].next == INDEX_NONE)
          *withdrawal = (withdrawal_t){ 0 };
        else if (withdrawal->version == 0)
          withdrawal->version = self->table.version;
        self->has_withdrawals = self->has_withdrawals || withdrawal->version > 0;
      }
}

void
settle_start_grant_wait (place_t *self, msec_t now)
{
  for (uint32_t k = 0; k < KEYED_MAX; k++)
    for (uint32_t s = 0; s < SLOT_COUNT; s++)
      {
        withdrawal_t *withdrawal = &self->withdrawals[k][s];
        if (withdrawal->version > 0 && withdrawal->settled_at == 0)
          withdrawal->settled_at = now;
      }
}
