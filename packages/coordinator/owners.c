#include "coordinator_parts.h"

#include "../core/eventlog.h"

static void
free_table (void *item)
{
  key_table_finish (item);
  g_free (item);
}

const key_table_t *
owners_find (const coordinator_t *self, const name_t *service)
{
  for (guint i = 0; self->key_tables != NULL && i < self->key_tables->len; i++)
    {
      const key_table_t *table = g_ptr_array_index (self->key_tables, i);
      if (name_equal (&table->service, service))
        return table;
    }
  return NULL;
}

static key_table_t *
find_or_add_table (coordinator_t *self, const name_t *service)
{
  key_table_t *table = (key_table_t *)owners_find (self, service);

  if (self->key_tables == NULL)
    self->key_tables = g_ptr_array_new_with_free_func (free_table);
  if (table != NULL)
    {
      key_table_finish (table);
      return table;
    }
  table = g_new0 (key_table_t, 1);
  g_ptr_array_add (self->key_tables, table);
  return table;
}

void
owners_update (coordinator_t *self, const key_table_t *table)
{
  const key_table_t *known = owners_find (self, &table->service);
  proxy_msg_t *msg;

  if (known != NULL && known->version >= table->version)
    return;
  eventlog_write (EVENT_STATE,
                  "keys",
                  "table_updated",
                  "service=%.*s version=%llu previous=%llu runs=%u",
                  NAME_ARG (table->service),
                  (unsigned long long)table->version,
                  (unsigned long long)(known != NULL ? known->version : 0),
                  table->ranges->len);
  key_table_copy (find_or_add_table (self, &table->service), table);
  msg = g_new0 (proxy_msg_t, 1);
  msg->kind = PROXY_KEY_TABLE;
  key_table_copy (&msg->key_table, table);
  discovery_post (self, msg);
}

uint64_t
owners_version (const key_table_t *table, uint64_t row_version)
{
  return table->era > 0 ? store_version_in (table->era, row_version) : row_version;
}

void
owners_finish (coordinator_t *self)
{
  if (self->key_tables != NULL)
    g_ptr_array_unref (self->key_tables);
}
