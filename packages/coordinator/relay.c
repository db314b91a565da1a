#include "relay.h"

#include "../core/limits.h"

typedef struct
{
  store_row_t row;
  msec_t at;
} relayed_row_t;

static void
free_row (void *item)
{
  relayed_row_t *relayed = item;

  g_string_free (relayed->row.key, TRUE);
  g_string_free (relayed->row.value, TRUE);
  g_free (relayed);
}

static void
drop_oldest (relay_t *self)
{
  relayed_row_t *oldest = g_queue_pop_head (&self->rows);

  self->from = oldest->row.version;
  free_row (oldest);
}

void
relay_reset (relay_t *self, uint64_t version)
{
  g_queue_clear_full (&self->rows, free_row);
  self->from = version;
  self->to = version;
}

void
relay_add (relay_t *self, uint64_t before, const store_reply_t *reply, msec_t now)
{
  if (before > self->to)
    relay_reset (self, before);
  for (guint i = 0; i < reply->rows->len; i++)
    {
      const store_row_t *row = &g_array_index (reply->rows, store_row_t, i);
      relayed_row_t *kept = g_new (relayed_row_t, 1);
      *kept = (relayed_row_t){
        .row = { .key = g_string_new_len (row->key->str, (gssize)row->key->len),
                 .value = g_string_new_len (row->value->str, (gssize)row->value->len),
                 .version = row->version,
                 .removed = row->removed },
        .at = now,
      };
      g_queue_push_tail (&self->rows, kept);
    }
  self->to = MAX (self->to, reply->version);
  while (self->rows.length > RELAY_ROWS_MAX)
    drop_oldest (self);
}

void
relay_missing (const relay_t *self, uint64_t version, msec_t now, GPtrArray *rows)
{
  if (version < self->from || version >= self->to)
    return;
  for (const GList *node = self->rows.head; node != NULL; node = node->next)
    {
      relayed_row_t *relayed = node->data;
      if (relayed->row.version <= version)
        continue;
      if (rows->len == 0 && now - relayed->at < FEED_LAG_MS)
        return;
      g_ptr_array_add (rows, &relayed->row);
    }
}

void
relay_init (relay_t *self)
{
  *self = (relay_t){ 0 };
  g_queue_init (&self->rows);
}

void
relay_finish (relay_t *self)
{
  g_queue_clear_full (&self->rows, free_row);
}
