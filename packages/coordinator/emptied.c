#include "coordinator_parts.h"

#include "../core/eventlog.h"

void
emptied_set_time (coordinator_t *self, msec_t time)
{
  self->evacuation_ms = time;
}

static void
log_change (const coordinator_t *self,
            const char *event,
            const name_t *data_centre,
            uint64_t version,
            msec_t since)
{
  msec_t now = msclock_now (&self->clock);

  eventlog_write (EVENT_STATE,
                  "evacuation",
                  event,
                  "data_centre=%.*s age_ms=%lld row_version=%llu in_force=%u",
                  NAME_ARG (*data_centre),
                  since == MSEC_NEVER ? -1LL : (long long)(now - since),
                  (unsigned long long)version,
                  evacuations_count (&self->evacuations));
}

static void
put (coordinator_t *self, const name_t *data_centre, uint64_t version, msec_t age)
{
  msec_t now = msclock_now (&self->clock);

  if (evacuations_put (&self->evacuations, data_centre, version, age, now)
      != EVACUATION_BEGAN)
    return;
  self->evacuations_changed = true;
  log_change (self,
              "begins",
              data_centre,
              version,
              evacuations_find (&self->evacuations, data_centre)->since);
}

static void
take_back (coordinator_t *self, const name_t *data_centre, uint64_t version)
{
  const evacuation_t *known = evacuations_find (&self->evacuations, data_centre);
  msec_t since = known != NULL ? known->since : MSEC_NEVER;

  if (evacuations_remove (&self->evacuations, data_centre, version) != EVACUATION_ENDED)
    return;
  self->evacuations_changed = true;
  log_change (self, "ends", data_centre, version, since);
}

bool
emptied_handle_row (coordinator_t *self, const store_row_t *row, msec_t age)
{
  const deployment_ops_t *deployment = self->deployment;
  name_t data_centre;

  if (deployment->read_evacuation == NULL
      || !deployment->read_evacuation ((text_t){ row->key->str, row->key->len },
                                       &data_centre))
    return false;
  if (self->evacuation_ms > 0 && row->removed)
    take_back (self, &data_centre, row->version);
  else if (self->evacuation_ms > 0)
    put (self, &data_centre, row->version, age);
  else if (!self->evacuations_ignored)
    {
      self->evacuations_ignored = true;
      eventlog_write (EVENT_STATE,
                      "evacuation",
                      "ignored",
                      "data_centre=%.*s row_version=%llu why=\"no time is set for it\"",
                      NAME_ARG (data_centre),
                      (unsigned long long)row->version);
    }
  return true;
}

void
emptied_read_done (coordinator_t *self, uint64_t version)
{
  GArray *ended = g_array_new (FALSE, FALSE, sizeof (evacuation_t));

  evacuations_read_done (&self->evacuations, version, store_version_era, ended);
  for (guint i = 0; i < ended->len; i++)
    {
      const evacuation_t *evacuation = &g_array_index (ended, evacuation_t, i);
      log_change (self, "ends", &evacuation->data_centre, version, evacuation->since);
    }
  self->evacuations_changed |= ended->len > 0;
  if (ended->len > 0)
    feed_note_removal (&self->configuration);
  g_array_unref (ended);
}

/* The proxy's clock doesn't go on while the system is suspended. */
static msec_t
to_proxy_clock (const coordinator_t *self, msec_t at)
{
  return at == MSEC_NEVER
             ? MSEC_NEVER
             : at + g_get_monotonic_time () / 1000 - msclock_now (&self->clock);
}

void
emptied_publish (coordinator_t *self)
{
  if (!self->evacuations_changed)
    return;
  self->evacuations_changed = false;
  proxy_msg_t *msg = g_new0 (proxy_msg_t, 1);
  msg->kind = PROXY_EVACUATIONS;
  msg->evacuations = g_array_new (FALSE, FALSE, sizeof (evacuation_t));
  for (guint i = 0; i < self->evacuations.rows->len; i++)
    {
      evacuation_t evacuation = g_array_index (self->evacuations.rows, evacuation_t, i);
      evacuation.since = to_proxy_clock (self, evacuation.since);
      evacuation.learned_at = to_proxy_clock (self, evacuation.learned_at);
      if (evacuation.in_force)
        g_array_append_val (msg->evacuations, evacuation);
    }
  discovery_post (self, msg);
  discovery_publish_to_keys (self);
}

void
emptied_append_rows (const coordinator_t *self, GArray *rows, GStringChunk *keys)
{
  for (guint i = 0; i < self->evacuations.rows->len; i++)
    {
      const evacuation_t *evacuation
          = &g_array_index (self->evacuations.rows, evacuation_t, i);
      link_row_t row = { .value = TEXT_NONE, .version = evacuation->version };
      if (!evacuation->in_force)
        continue;
      GString *key = self->deployment->write_evacuation (&evacuation->data_centre);
      row.key = (text_t){ g_string_chunk_insert_len (keys, key->str, (gssize)key->len),
                          key->len };
      g_string_free (key, TRUE);
      g_array_append_val (rows, row);
    }
}
