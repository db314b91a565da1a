#include "coordinator_parts.h"

#include "../core/eventlog.h"
#include "../link/link_pack.h"

/* Packs the newest configuration into PACKED, as a patch of the row of BASE_VERSION if
 * this host still has that. */
static link_row_t
pack_configuration (const coordinator_t *self, uint64_t base_version, GByteArray *packed)
{
  const configuration_row_t *row = &self->configuration_row;
  const configuration_row_t *base = &self->previous_row;
  bool patch = base_version > 0 && base_version == base->version;

  link_pack ((text_t){ row->bytes->str, row->bytes->len },
             patch ? (text_t){ base->bytes->str, base->bytes->len } : TEXT_NONE,
             packed);
  return (link_row_t){ .key = self->deployment->configuration_key,
                       .value = { (const char *)packed->data, packed->len },
                       .version = row->version,
                       .packed = true,
                       .base_version = patch ? base_version : 0 };
}

/* The host of REPORT lacks the newest configuration, and has not just been sent it. */
static bool
lacks_configuration (const coordinator_t *self, const link_report_t *report, msec_t now)
{
  const configuration_row_t *row = &self->configuration_row;

  return report->configuration_row_version < row->version
         && row->bytes->len <= LINK_ROW_MAX_BYTES
         && (report->requests_configuration || now - row->since >= FEED_LAG_MS);
}

/* Makes PART, which has the newest configuration, all that the table has, for a host that
 * may have missed what came before. */
static void
complete_part (const coordinator_t *self, link_rows_t *part, GStringChunk *keys)
{
  if (self->evacuation_ms == 0)
    return;
  emptied_append_rows (self, part->rows, keys);
  part->from_version = 0;
  part->to_version = MAX (part->to_version, self->configuration.version);
}

/* Sends the newest configuration to a host that lacks it, one host after another within
 * RELAY_LINK_PERCENT of this host's link.  Until this host has read the table itself, it
 * can't state which data centres are emptied. */
static void
send_configuration (coordinator_t *self, const link_report_t *report, msec_t now)
{
  if (now < self->next_configuration_send
      || (self->evacuation_ms > 0 && !self->configuration.watching))
    return;
  GByteArray *packed = g_byte_array_new ();
  GStringChunk *keys = g_string_chunk_new (NAME_MAX_BYTES);
  link_row_t row = pack_configuration (self, report->configuration_row_version, packed);
  link_rows_t part = { .table = STORE_CONFIGURATION,
                       .from_version = report->configuration_row_version,
                       .to_version = row.version,
                       .rows = g_array_new (FALSE, FALSE, sizeof (link_row_t)) };

  g_array_append_val (part.rows, row);
  complete_part (self, &part, keys);
  if (packed->len < LINK_MESSAGE_MAX_BYTES - LINK_OVERHEAD_BYTES)
    {
      peers_send (self, &report->address, link_encode_rows (&part));
      self->next_configuration_send
          = now
            + (msec_t)(packed->len * 8 / (self->settings->link_mbps * 1000) * 100
                       / RELAY_LINK_PERCENT);
      eventlog_write (EVENT_STATE,
                      "configuration",
                      "sent_again",
                      "to=%.*s row_version=%llu base=%llu bytes=%u",
                      NAME_ARG (report->host),
                      (unsigned long long)row.version,
                      (unsigned long long)row.base_version,
                      packed->len);
    }
  g_array_unref (part.rows);
  g_byte_array_unref (packed);
  g_string_chunk_free (keys);
}

/* Sends the changes of targets that the host of REPORT lacks. */
static void
send_missing_targets (coordinator_t *self, const link_report_t *report, msec_t now)
{
  GPtrArray *missing = g_ptr_array_new ();
  link_rows_t part = { .table = STORE_TARGETS,
                       .from_version = report->targets_version,
                       .to_version = self->relayed_targets.to,
                       .rows = g_array_new (FALSE, FALSE, sizeof (link_row_t)) };

  relay_missing (&self->relayed_targets, report->targets_version, now, missing);
  for (guint i = 0; i < missing->len; i++)
    {
      const store_row_t *row = g_ptr_array_index (missing, i);
      link_row_t copy = { .key = { row->key->str, row->key->len },
                          .value = { row->value->str, row->value->len },
                          .version = row->version,
                          .removed = row->removed };
      g_array_append_val (part.rows, copy);
    }
  if (part.rows->len > 0)
    peers_send (self, &report->address, link_encode_rows (&part));
  g_array_unref (part.rows);
  g_ptr_array_unref (missing);
}

void
rows_send_missing (coordinator_t *self, const link_report_t *report, msec_t now)
{
  if (lacks_configuration (self, report, now))
    send_configuration (self, report, now);
  send_missing_targets (self, report, now);
}

/* Whether ROW is the newest configuration and large enough to be packed. */
static bool
should_pack (const coordinator_t *self, store_table_t table, const store_row_t *row)
{
  return table == STORE_CONFIGURATION && !row->removed
         && row->value->len >= LINK_PACK_MIN_BYTES
         && row->value->len <= LINK_ROW_MAX_BYTES
         && row->version == self->configuration_row.version;
}

/* Broadcasts rows from a feed.  If they are too large, only their version is announced,
 * and each host queries the store for them. */
static void
broadcast_rows (coordinator_t *self, const link_rows_t *part)
{
  GByteArray *body = link_encode_rows (part);

  if (body->len > LINK_MESSAGE_MAX_BYTES - LINK_OVERHEAD_BYTES
      || peers_is_heavy (self, body->len))
    {
      GArray *none = g_array_new (FALSE, FALSE, sizeof (link_row_t));
      uint64_t newest = 0;
      for (guint i = 0; i < part->rows->len; i++)
        newest = MAX (newest, g_array_index (part->rows, link_row_t, i).version);
      link_rows_t announced = { .table = part->table,
                                .from_version = newest,
                                .to_version = newest,
                                .rows = none };
      g_byte_array_unref (body);
      body = link_encode_rows (&announced);
      g_array_unref (none);
    }
  peers_broadcast (self, body);
  g_byte_array_unref (body);
}

void
rows_relay (coordinator_t *self,
            store_table_t table,
            uint64_t before,
            const store_reply_t *reply)
{
  link_rows_t part = { .table = table,
                       .from_version = before,
                       .rows = g_array_new (FALSE, FALSE, sizeof (link_row_t)) };
  GByteArray *packed = g_byte_array_new ();
  GStringChunk *keys = g_string_chunk_new (NAME_MAX_BYTES);
  bool has_configuration = false;
  size_t size = 0;

  for (guint i = 0; i < reply->rows->len && self->role.state == ROLE_HELD; i++)
    {
      const store_row_t *row = &g_array_index (reply->rows, store_row_t, i);
      link_row_t copy = { .key = { row->key->str, row->key->len },
                          .value = { row->value->str, row->value->len },
                          .version = row->version,
                          .removed = row->removed };
      if (should_pack (self, table, row))
        copy = pack_configuration (self, self->previous_row.version, packed);
      g_array_append_val (part.rows, copy);
      has_configuration |= table == STORE_CONFIGURATION && !copy.removed
                           && copy.version == self->configuration_row.version;
      size += copy.value.len;
      bool last = i + 1 == reply->rows->len;
      if (!last && size < LINK_MESSAGE_MAX_BYTES / 2)
        continue;
      part.to_version = last ? reply->version : row->version;
      if (has_configuration)
        complete_part (self, &part, keys);
      broadcast_rows (self, &part);
      part.from_version = part.to_version;
      g_array_set_size (part.rows, 0);
      has_configuration = false;
      size = 0;
    }
  g_byte_array_unref (packed);
  g_string_chunk_free (keys);
  g_array_unref (part.rows);
}

/* Unpacks ROW into VALUE.  Returns false if this host lacks the row's base. */
static bool
unpack_row (const coordinator_t *self, const link_row_t *row, GString *value)
{
  const configuration_row_t *base = &self->configuration_row;
  fault_t fault;

  if (row->base_version != 0 && row->base_version != base->version)
    return false;
  text_t from = row->base_version == 0 ? TEXT_NONE
                                       : (text_t){ base->bytes->str, base->bytes->len };
  if (link_unpack (row->value, from, value, &fault) == STATUS_OK)
    return true;
  eventlog_write (EVENT_FAILURE,
                  "link",
                  "row_rejected",
                  "row_version=%llu why=\"%.*s\"",
                  (unsigned long long)row->version,
                  TEXT_ARG (fault_text (&fault)));
  return false;
}

static void
clear_row (void *item)
{
  store_row_t *row = item;

  g_string_free (row->key, TRUE);
  g_string_free (row->value, TRUE);
}

void
rows_handle (coordinator_t *self, const link_rows_t *from)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (store_row_t));
  bool complete = true;

  g_array_set_clear_func (rows, clear_row);
  for (guint i = 0; i < from->rows->len && complete; i++)
    {
      const link_row_t *row = &g_array_index (from->rows, link_row_t, i);
      if (row->packed && row->version <= self->configuration_row.version)
        continue; /* its base may be gone */
      store_row_t copy = { .key = g_string_new_len (row->key.at, (gssize)row->key.len),
                           .value = g_string_new (NULL),
                           .version = row->version,
                           .removed = row->removed };
      if (row->packed)
        complete = unpack_row (self, row, copy.value);
      else
        g_string_append_len (copy.value, row->value.at, (gssize)row->value.len);
      g_array_append_val (rows, copy);
    }
  if (!complete)
    g_array_set_size (rows, 0); /* their version is announced all the same */
  if (self->role.state != ROLE_HELD)
    discovery_apply_rows (self,
                          (store_table_t)from->table,
                          complete ? from->from_version : from->to_version,
                          from->to_version,
                          rows);
  g_array_unref (rows);
}
