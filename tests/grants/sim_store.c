#include "sim.h"

static void
clear_row (void *item)
{
  g_string_free (((store_row_t *)item)->key, TRUE);
  g_string_free (((store_row_t *)item)->value, TRUE);
}

static void
add_row (GArray *rows, const char *key, const row_t *row)
{
  store_row_t copy = { .key = g_string_new (key), .version = row->version };

  copy.value = g_string_new_len (row->bytes->str, (gssize)row->bytes->len);
  g_array_append_val (rows, copy);
}

static void
put (row_t *row, const GString *bytes)
{
  if (bytes == NULL)
    return;
  g_string_truncate (row->bytes, 0);
  g_string_append_len (row->bytes, bytes->str, (gssize)bytes->len);
  row->version = sim->version;
}

static row_t
copy_row (const row_t *row)
{
  row_t copy
      = { g_string_new_len (row->bytes->str, (gssize)row->bytes->len), row->version };

  return copy;
}

static void
remember (void)
{
  past_t past = { sim->now, sim->version, copy_row (&sim->role), copy_row (&sim->keys) };

  g_array_append_val (sim->past, past);
}

static void
clear_past (void *item)
{
  g_string_free (((past_t *)item)->role.bytes, TRUE);
  g_string_free (((past_t *)item)->keys.bytes, TRUE);
}

void
sim_store_open (void)
{
  sim->role.bytes = g_string_new (NULL);
  sim->keys.bytes = g_string_new (NULL);
  sim->past = g_array_new (FALSE, FALSE, sizeof (past_t));
  g_array_set_clear_func (sim->past, clear_past);
  remember ();
}

void
sim_store_close (void)
{
  g_string_free (sim->role.bytes, TRUE);
  g_string_free (sim->keys.bytes, TRUE);
  g_array_unref (sim->past);
}

/* What the store held at AT. */
static const past_t *
past_at (msec_t at)
{
  guint i = sim->past->len - 1;

  while (i > 0 && g_array_index (sim->past, past_t, i).from > at)
    i--;
  return &g_array_index (sim->past, past_t, i);
}

static void
do_commit (const sim_event_t *call, store_reply_t *reply)
{
  if (call->expected != sim->role.version)
    {
      reply->outcome = STORE_CONFLICT;
      return;
    }
  sim->version++;
  put (&sim->role, call->role);
  put (&sim->keys, call->keys);
  remember ();
}

void
sim_store_execute (const sim_event_t *call, store_reply_t *reply)
{
  reply->rows = g_array_new (FALSE, FALSE, sizeof (store_row_t));
  g_array_set_clear_func (reply->rows, clear_row);
  reply->why = "played";
  if (call->commit)
    do_commit (call, reply);
  const past_t *seen = past_at (call->stale ? sim->now - STORE_STALE_MS : sim->now);
  if (!call->commit && call->table == STORE_ROLE && seen->role.version > 0)
    add_row (reply->rows, "granter", &seen->role);
  if (!call->commit && call->table == STORE_KEYS && seen->keys.version > 0)
    add_row (reply->rows, "s", &seen->keys);
  reply->version = call->commit ? sim->role.version : seen->version;
  reply->clock = sim->now;
}

static sim_event_t *
new_call (store_t *store, store_done_t done, void *owner, bool *answered)
{
  const host_t *host = (const host_t *)(void *)store;
  int option = sim_choose (POINT_STORE);
  sim_event_t *call = sim_schedule (EVENT_STORE, host->index, WAY_MS);

  *answered = option == 0 || option == STORE_STALE;
  call->stale = option == STORE_STALE;
  call->done = done;
  call->owner = owner;
  if (option == STORE_LATE)
    call->at += STORE_LATE_MS;
  if (option == STORE_LOST || option == STORE_TURNED_AWAY)
    call->at = MSEC_NEVER;
  if (*answered)
    return call;
  sim_event_t *silence
      = sim_schedule (EVENT_STORE_ANSWER,
                      host->index,
                      option == STORE_TURNED_AWAY ? 2 * WAY_MS : STORE_CALL_MS);
  silence->done = done;
  silence->owner = owner;
  silence->reply = (store_reply_t){
    .outcome = option == STORE_TURNED_AWAY ? STORE_REFUSED : STORE_UNKNOWN,
    .why = "played",
    .rows = g_array_new (FALSE, FALSE, sizeof (store_row_t)),
  };
  call->done = NULL;
  return call;
}

static void
read_table (
    store_t *store, store_table_t table, text_t after, store_done_t done, void *owner)
{
  bool answered;

  (void)after;
  new_call (store, done, owner, &answered)->table = table;
}

static void
commit (store_t *store, const store_commit_t *commit, store_done_t done, void *owner)
{
  bool answered;
  sim_event_t *call = new_call (store, done, owner, &answered);

  call->commit = true;
  call->expected = commit->expected;
  for (size_t i = 0; i < commit->n_puts; i++)
    {
      const store_put_t *row = &commit->puts[i];
      GString *bytes = g_string_new_len (row->value.at, (gssize)row->value.len);
      if (row->table == STORE_ROLE)
        call->role = bytes;
      else
        call->keys = bytes;
    }
}

const store_ops_t sim_store_ops = { .read = read_table, .commit = commit };
