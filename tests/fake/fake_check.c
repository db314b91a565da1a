#include "fake_parts.h"

static bool
owns (const fake_t *self, uint32_t target, uint32_t slot)
{
  const fake_target_t *model = &self->targets[target];

  if (model->state == FAKE_DEAD || model->epochs[slot] == 0)
    return false;
  return self->now + model->clock_offset < model->until;
}

static void
check_owners (fake_t *self, uint32_t slot)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < self->setup.n_targets; i++)
    n += owns (self, i, slot);
  self->owner_breaches += n > 1;
}

static bool
is_leased (const fake_t *self, const fake_host_t *host)
{
  return host->state != FAKE_DEAD
         && lease_covers (&host->lease, host->table->version, self->now);
}

/* Lists the hosts whose leases allow them to route now. */
static uint32_t
list_leased (const fake_t *self, const fake_host_t **leased)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < self->setup.n_hosts; i++)
    if (is_leased (self, &self->hosts[i]))
      leased[n++] = &self->hosts[i];
  return n;
}

static bool
routes_differ (const fake_host_t *a, const fake_host_t *b, uint32_t slot)
{
  int x = table_serving_target (a->table, 0, slot);
  int y = table_serving_target (b->table, 0, slot);

  return x != INDEX_NONE && y != INDEX_NONE
         && !name_equal (&a->table->targets[x].name, &b->table->targets[y].name);
}

static void
check_routes (fake_t *self)
{
  const fake_host_t *leased[FAKE_HOSTS];
  uint32_t n = list_leased (self, leased);

  for (uint32_t i = 1; i < n; i++)
    {
      if (leased[i]->table->version == leased[0]->table->version)
        continue;
      for (uint32_t s = 0; s < SLOT_COUNT; s++)
        for (uint32_t j = 0; j < i; j++)
          self->route_breaches += routes_differ (leased[j], leased[i], s);
    }
}

void
fake_check_invariants (fake_t *self)
{
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    check_owners (self, s);
  check_routes (self);
}

static bool
is_served (const fake_t *self, uint32_t slot)
{
  for (uint32_t i = 0; i < self->setup.n_hosts; i++)
    {
      const fake_host_t *host = &self->hosts[i];
      if (host->state != FAKE_UP || !is_leased (self, host))
        continue;
      int owner = table_serving_target (host->table, 0, slot);
      int index = owner == INDEX_NONE ? -1 : fake_find_target (self, host->table, owner);
      if (index < 0 || self->targets[index].state != FAKE_UP)
        continue;
      if (!self->setup.fenced
          || (owns (self, (uint32_t)index, slot)
              && self->targets[index].epochs[slot] == host->table->slots[0][slot].epoch))
        return true;
    }
  return false;
}

uint32_t
fake_unserved (const fake_t *self)
{
  uint32_t n = 0;

  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    n += !is_served (self, s);
  return n;
}

int
fake_owner (const fake_t *self, uint32_t slot)
{
  for (uint32_t i = 0; i < self->setup.n_targets; i++)
    if (owns (self, i, slot))
      return (int)i;
  return -1;
}
