#include "table.h"

#include <string.h>

void
table_init (table_t *self)
{
  memset (self, 0, sizeof *self);
  for (uint32_t k = 0; k < KEYED_MAX; k++)
    for (uint32_t s = 0; s < SLOT_COUNT; s++)
      self->slots[k][s] = (slot_t){ INDEX_NONE, INDEX_NONE, 0 };
}

uint32_t
table_slot (text_t key)
{
  return (uint32_t)(text_hash (key) % SLOT_COUNT);
}

int
table_find_host (const table_t *self, const name_t *name)
{
  for (uint32_t i = 0; i < self->n_hosts; i++)
    if (name_equal (&self->hosts[i].name, name))
      return (int)i;
  return -1;
}

bool
target_same_instance (const target_t *a, const target_t *b)
{
  return a->port == b->port && name_equal (&a->name, &b->name)
         && name_equal (&a->service, &b->service)
         && name_equal (&a->address, &b->address);
}

int
table_find_target (const table_t *self, const target_t *target)
{
  for (uint32_t i = 0; i < self->n_targets; i++)
    if (self->targets[i].state != TARGET_FREE
        && target_same_instance (&self->targets[i], target))
      return (int)i;
  return -1;
}

bool
slot_equal (const slot_t *a, const slot_t *b)
{
  return a->owner == b->owner && a->next == b->next && a->epoch == b->epoch;
}

host_id_t
host_id (const host_t *host)
{
  return (host_id_t){ host->name, host->incarnation };
}

bool
host_id_equal (const host_id_t *a, const host_id_t *b)
{
  return a->incarnation == b->incarnation && name_equal (&a->name, &b->name);
}

bool
table_has_host (const table_t *self, const host_id_t *id)
{
  int i = table_find_host (self, &id->name);

  return i >= 0 && self->hosts[i].incarnation == id->incarnation;
}

int
table_serving_target (const table_t *self, uint32_t keyed, uint32_t slot)
{
  const slot_t *entry = &self->slots[keyed][slot];

  return entry->next == INDEX_NONE ? entry->owner : INDEX_NONE;
}

uint32_t
table_count_witnesses (const table_t *self)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < self->n_hosts; i++)
    n += self->hosts[i].witness;
  return n;
}
