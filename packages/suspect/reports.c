#include "reports.h"

/* Of one request, at the loss of different targets. */
#define LOSSES_MIN 2

typedef struct
{
  suspect_out_t suspect;
  msec_t until;
  bool confirmed; /* still counts as a loss of its request */
} entry_t;

static entry_t *
entry_at (const reports_t *self, guint i)
{
  return &g_array_index (self->entries, entry_t, i);
}

static void
remove_request (reports_t *self, uint64_t fingerprint)
{
  for (guint i = self->entries->len; i-- > 0;)
    if (entry_at (self, i)->suspect.fingerprint == fingerprint)
      g_array_remove_index (self->entries, i);
}

static void
remove_expired (reports_t *self, msec_t now)
{
  while (self->entries->len > 0 && entry_at (self, 0)->until <= now)
    g_array_remove_index (self->entries, 0);
}

static guint
count_losses (const reports_t *self, uint64_t fingerprint)
{
  guint n = 0;

  for (guint i = 0; i < self->entries->len; i++)
    n += entry_at (self, i)->suspect.fingerprint == fingerprint;
  return n;
}

static bool
is_known (const reports_t *self, const suspect_out_t *suspect)
{
  for (guint i = 0; i < self->entries->len; i++)
    if (entry_at (self, i)->suspect.fingerprint == suspect->fingerprint
        && entry_at (self, i)->suspect.target == suspect->target)
      return true;
  return false;
}

void
reports_init (reports_t *self)
{
  self->entries = g_array_new (FALSE, FALSE, sizeof (entry_t));
}

void
reports_finish (reports_t *self)
{
  g_array_unref (self->entries);
}

void
reports_add (reports_t *self, const suspect_out_t *suspect, msec_t now)
{
  const entry_t entry = { .suspect = *suspect, .until = now + SUSPECT_KEEP_MS };

  remove_expired (self, now);
  if (suspect->cleared)
    {
      remove_request (self, suspect->fingerprint);
      return;
    }
  if (is_known (self, suspect))
    return; /* several equal requests were in flight there */
  if (self->entries->len == REPORTS_MAX)
    g_array_remove_index (self->entries, 0);
  g_array_append_val (self->entries, entry);
}

void
reports_confirm (reports_t *self, const suspect_out_t *suspect)
{
  if (suspect->cleared)
    {
      remove_request (self, suspect->fingerprint);
      return;
    }
  for (guint i = 0; i < self->entries->len; i++)
    {
      entry_t *entry = entry_at (self, i);
      if (entry->suspect.fingerprint == suspect->fingerprint
          && entry->suspect.target == suspect->target)
        entry->confirmed = true;
    }
}

void
reports_repeat (reports_t *self, msec_t now, GArray *out)
{
  remove_expired (self, now);
  for (guint i = 0; i < self->entries->len; i++)
    {
      const entry_t *entry = entry_at (self, i);
      if (!entry->confirmed
          && count_losses (self, entry->suspect.fingerprint) >= LOSSES_MIN)
        g_array_append_val (out, entry->suspect);
    }
}
