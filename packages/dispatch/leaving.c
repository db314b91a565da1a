#include "leaving.h"

static bool
is_same (const target_incarnation_t *target, const target_entry_t *entry)
{
  return target->started_at == entry->started_at && name_equal (&target->id, &entry->id);
}

void
leaving_init (leaving_t *self,
              const leaving_history_t *history,
              const target_entry_t *entry)
{
  *self = (leaving_t){ .listed_at = MSEC_NEVER, .stated_at = MSEC_NEVER };
  /* Without a start time, a new process can't be told from the one that stated it. */
  for (uint32_t i = 0; i < MIN (history->n, DISPATCH_LEAVING_HISTORY); i++)
    if (entry->started_at != 0 && is_same (&history->statements[i].target, entry))
      self->stated_at = history->statements[i].stated_at;
}

void
leaving_update (leaving_t *self, const target_entry_t *entry, msec_t now)
{
  if (!entry->leaving)
    self->listed_at = MSEC_NEVER;
  else if (self->listed_at == MSEC_NEVER)
    {
      self->listed_at = now;
      self->listed_since = now - entry->leaving_for;
    }
}

bool
leaving_state (leaving_t *self,
               leaving_history_t *history,
               const target_entry_t *entry,
               msec_t now)
{
  if (leaving_is_stated (self))
    return false;
  self->stated_at = now;
  history->statements[history->n++ % DISPATCH_LEAVING_HISTORY]
      = (leaving_statement_t){ { entry->id, entry->started_at }, now };
  return true;
}

bool
leaving_is_known (const leaving_t *self)
{
  return self->listed_at != MSEC_NEVER || leaving_is_stated (self);
}

bool
leaving_is_stated (const leaving_t *self)
{
  return self->stated_at != MSEC_NEVER;
}

msec_t
leaving_owner_until (const leaving_t *self, msec_t drain)
{
  msec_t until = MSEC_NEVER;

  if (self->listed_at != MSEC_NEVER)
    until = MIN (self->listed_at + drain * DISPATCH_LEAVING_OWNER_PERCENT / 100,
                 self->listed_since + drain * DISPATCH_LEFT_PERCENT / 100);
  if (leaving_is_stated (self))
    until = MIN (until, self->stated_at + drain * DISPATCH_LEFT_PERCENT / 100);
  return until;
}
