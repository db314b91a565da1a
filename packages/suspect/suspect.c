#include "suspect.h"

#include <string.h>

static const suspect_entry_t *
find (const suspect_t *self, uint64_t fingerprint, msec_t now)
{
  for (uint32_t i = 0; i < SUSPECT_MAX; i++)
    if (self->entries[i].until > now && self->entries[i].fingerprint == fingerprint)
      return &self->entries[i];
  return NULL;
}

/* A free entry, or the one that ends first; the condemned are kept longest. */
static suspect_entry_t *
find_room (suspect_t *self, msec_t now)
{
  suspect_entry_t *best = &self->entries[0];

  for (uint32_t i = 0; i < SUSPECT_MAX; i++)
    {
      suspect_entry_t *entry = &self->entries[i];
      if (entry->until <= now)
        return entry;
      if (!entry->condemned && (best->condemned || entry->until < best->until))
        best = entry;
    }
  return best;
}

static void
note (suspect_t *self, const suspect_msg_t *msg, msec_t now)
{
  suspect_entry_t *entry = (suspect_entry_t *)find (self, msg->fingerprint, now);

  if (entry == NULL)
    {
      entry = find_room (self, now);
      *entry = (suspect_entry_t){ .fingerprint = msg->fingerprint };
    }
  for (uint32_t i = 0; i < entry->n_targets; i++)
    if (entry->targets[i] == msg->target)
      return;
  if (entry->n_targets < SUSPECT_TARGETS_MAX)
    entry->targets[entry->n_targets++] = msg->target;
  entry->condemned = entry->n_targets >= self->targets;
  entry->until = now + SUSPECT_KEEP_MS;
}

/* Returns whether there was anything to forget. */
static bool
forget (suspect_t *self, uint64_t fingerprint, msec_t now)
{
  suspect_entry_t *entry = (suspect_entry_t *)find (self, fingerprint, now);

  if (entry == NULL)
    return false;
  entry->until = 0;
  return true;
}

void
suspect_init (suspect_t *self, uint32_t targets)
{
  g_assert (targets > 0 && targets <= SUSPECT_TARGETS_MAX);
  memset (self, 0, sizeof *self);
  self->targets = targets;
}

void
suspect_handle (suspect_t *self, const suspect_msg_t *msg, msec_t now, GArray *out)
{
  suspect_out_t tell = { msg->fingerprint, msg->target, msg->kind == SUSPECT_ANSWERED };

  switch (msg->kind)
    {
    case SUSPECT_LOST:
      note (self, msg, now);
      g_array_append_val (out, tell);
      break;
    case SUSPECT_HEARD:
      note (self, msg, now);
      break;
    case SUSPECT_ANSWERED:
      if (forget (self, msg->fingerprint, now))
        g_array_append_val (out, tell);
      break;
    case SUSPECT_CLEARED:
      forget (self, msg->fingerprint, now);
      break;
    }
}

void
suspect_finish (suspect_t *self)
{
  memset (self, 0, sizeof *self);
}

bool
suspect_is_condemned (const suspect_t *self, uint64_t fingerprint, msec_t now)
{
  const suspect_entry_t *entry = find (self, fingerprint, now);

  return entry != NULL && entry->condemned;
}
