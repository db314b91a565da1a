#include "departed.h"

#include "../core/limits.h"

typedef struct
{
  uint64_t started_at;
  uint64_t era;
  msec_t at;
} departure_t;

void
departed_note (
    departed_t *self, const char *id, uint64_t started_at, uint64_t era, msec_t now)
{
  departure_t *departure = g_new (departure_t, 1);

  *departure = (departure_t){ started_at, era, now };
  g_hash_table_replace (self->by_id, g_strdup (id), departure);
}

bool
departed_has (const departed_t *self, const char *id, uint64_t started_at, uint64_t era)
{
  const departure_t *departure = g_hash_table_lookup (self->by_id, id);

  return departure != NULL && era > departure->era && started_at <= departure->started_at;
}

static gboolean
is_old (gpointer id, gpointer departure, gpointer now)
{
  (void)id;
  return *(const msec_t *)now - ((const departure_t *)departure)->at > DEPARTED_KEEP_MS;
}

void
departed_step (departed_t *self, msec_t now)
{
  g_hash_table_foreach_remove (self->by_id, is_old, &now);
}

void
departed_init (departed_t *self)
{
  self->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
departed_finish (departed_t *self)
{
  g_hash_table_unref (self->by_id);
}
