#include "coordinator_parts.h"

#include "../core/eventlog.h"

static void
free_table (void *item)
{
  key_table_finish (item);
  g_free (item);
}

const key_table_t *
owners_table (const coordinator_t *self, const name_t *service)
{
  for (guint i = 0; self->tables != NULL && i < self->tables->len; i++)
    {
      const key_table_t *table = g_ptr_array_index (self->tables, i);
      if (name_equal (&table->service, service))
        return table;
    }
  return NULL;
}

static key_table_t *
table_to_fill (coordinator_t *self, const name_t *service)
{
  key_table_t *table = (key_table_t *)owners_table (self, service);

  if (self->tables == NULL)
    self->tables = g_ptr_array_new_with_free_func (free_table);
  if (table != NULL)
    {
      key_table_finish (table);
      return table;
    }
  table = g_new0 (key_table_t, 1);
  g_ptr_array_add (self->tables, table);
  return table;
}

void
owners_take (coordinator_t *self, const key_table_t *table)
{
  const key_table_t *known = owners_table (self, &table->service);
  proxy_msg_t *msg;

  if (known != NULL && known->version >= table->version)
    return;
  eventlog_write (EVENT_BELIEF,
                  "keys",
                  "table",
                  "service=%.*s version=%llu before=%llu runs=%u",
                  NAME_ARG (table->service),
                  (unsigned long long)table->version,
                  (unsigned long long)(known != NULL ? known->version : 0),
                  table->runs->len);
  key_table_copy (table_to_fill (self, &table->service), table);
  msg = g_new0 (proxy_msg_t, 1);
  msg->kind = PROXY_KEYS;
  key_table_copy (&msg->keys, table);
  news_post (self, msg);
}

void
owners_finish (coordinator_t *self)
{
  if (self->tables != NULL)
    g_ptr_array_unref (self->tables);
}
