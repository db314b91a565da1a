#include "suspect.h"

#include <string.h>

static const suspect_entry_t *
find_entry (const suspect_t *self, uint64_t fingerprint, msec_t now)
{
  for (uint32_t i = 0; i < SUSPECT_MAX; i++)
    if (self->entries[i].until > now && self->entries[i].fingerprint == fingerprint)
      return &self->entries[i];
  return NULL;
}

/* Returns a free entry.  If there is none, evicts the entry that expires first among
 * those that aren't blocked, or the first entry if all are. */
static suspect_entry_t *
allocate_entry (suspect_t *self, msec_t now)
{
  suspect_entry_t *victim = &self->entries[0];

  for (uint32_t i = 0; i < SUSPECT_MAX; i++)
    {
      suspect_entry_t *entry = &self->entries[i];
      if (entry->until <= now)
        return entry;
      if (!entry->blocked && (victim->blocked || entry->until < victim->until))
        victim = entry;
    }
  return victim;
}

static void
add_loss (suspect_t *self, const suspect_msg_t *msg, msec_t now)
{
  suspect_entry_t *entry = (suspect_entry_t *)find_entry (self, msg->fingerprint, now);

  if (entry == NULL)
    {
      entry = allocate_entry (self, now);
      *entry = (suspect_entry_t){ .fingerprint = msg->fingerprint };
    }
  for (uint32_t i = 0; i < entry->n_targets; i++)
    if (entry->targets[i] == msg->target)
      return;
  if (entry->n_targets < SUSPECT_TARGETS_MAX)
    entry->targets[entry->n_targets++] = msg->target;
  entry->blocked = entry->n_targets >= self->loss_threshold;
  entry->until = now + SUSPECT_KEEP_MS;
}

/* Returns whether there was an entry. */
static bool
remove_entry (suspect_t *self, uint64_t fingerprint, msec_t now)
{
  suspect_entry_t *entry = (suspect_entry_t *)find_entry (self, fingerprint, now);

  if (entry == NULL)
    return false;
  entry->until = 0;
  return true;
}

void
suspect_init (suspect_t *self, uint32_t loss_threshold)
{
  g_assert (loss_threshold > 0 && loss_threshold <= SUSPECT_TARGETS_MAX);
  memset (self, 0, sizeof *self);
  self->loss_threshold = loss_threshold;
}

void
suspect_handle (suspect_t *self, const suspect_msg_t *msg, msec_t now, GArray *out)
{
  suspect_out_t notice = { msg->fingerprint, msg->target, msg->kind == SUSPECT_ANSWERED };

  switch (msg->kind)
    {
    case SUSPECT_LOST:
      add_loss (self, msg, now);
      g_array_append_val (out, notice);
      break;
    case SUSPECT_LOSS_REPORTED:
      add_loss (self, msg, now);
      break;
    case SUSPECT_ANSWERED:
      if (remove_entry (self, msg->fingerprint, now))
        g_array_append_val (out, notice);
      break;
    case SUSPECT_ANSWER_REPORTED:
      remove_entry (self, msg->fingerprint, now);
      break;
    }
}

void
suspect_finish (suspect_t *self)
{
  memset (self, 0, sizeof *self);
}

bool
suspect_is_blocked (const suspect_t *self, uint64_t fingerprint, msec_t now)
{
  const suspect_entry_t *entry = find_entry (self, fingerprint, now);

  return entry != NULL && entry->blocked;
}
