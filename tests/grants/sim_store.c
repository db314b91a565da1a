#include "sim.h"

#include "../../packages/store/era.h"

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
take_snapshot (void)
{
  snapshot_t snapshot
      = { sim->now, sim->version, copy_row (&sim->role), copy_row (&sim->keys) };

  g_array_append_val (sim->snapshots, snapshot);
}

static void
clear_snapshot (void *item)
{
  g_string_free (((snapshot_t *)item)->role.bytes, TRUE);
  g_string_free (((snapshot_t *)item)->keys.bytes, TRUE);
}

static void
restore_row (row_t *row, const row_t *copy)
{
  g_string_truncate (row->bytes, 0);
  g_string_append_len (row->bytes, copy->bytes->str, (gssize)copy->bytes->len);
  row->version = copy->version;
}

void
sim_store_open (void)
{
  sim->era = 1;
  sim->role.bytes = g_string_new (NULL);
  sim->keys.bytes = g_string_new (NULL);
  sim->snapshots = g_array_new (FALSE, FALSE, sizeof (snapshot_t));
  g_array_set_clear_func (sim->snapshots, clear_snapshot);
  take_snapshot ();
}

void
sim_store_close (void)
{
  g_string_free (sim->role.bytes, TRUE);
  g_string_free (sim->keys.bytes, TRUE);
  g_array_unref (sim->snapshots);
}

/* The store's contents at the time AT. */
static const snapshot_t *
snapshot_at (msec_t at)
{
  guint i = sim->snapshots->len - 1;

  while (i > 0 && g_array_index (sim->snapshots, snapshot_t, i).from > at)
    i--;
  return &g_array_index (sim->snapshots, snapshot_t, i);
}

void
sim_lose_store (msec_t away_ms, msec_t age_ms, bool repeated)
{
  if (sim->store_away)
    return;
  sim->store_away = true;
  sim->store_back_at = sim->now + away_ms;
  sim->copy_taken_at = sim->now - age_ms;
  sim->versions_repeated = repeated;
}

void
sim_step_store (void)
{
  if (!sim->store_away || sim->now < sim->store_back_at)
    return;
  const snapshot_t *copy = snapshot_at (sim->copy_taken_at);
  sim->store_away = false;
  sim->era++;
  restore_row (&sim->role, &copy->role);
  restore_row (&sim->keys, &copy->keys);
  sim->version = copy->version + (sim->versions_repeated ? STORE_VERSIONS_REPEATED : 0);
  take_snapshot ();
}

void
sim_check_era (store_t *store, sim_event_t *event)
{
  const uint64_t before = store->era;
  const era_verdict_t verdict
      = event->era > 0 ? era_note (&store->era, event->era) : ERA_CURRENT;

  store->losses += verdict == ERA_RISEN && before > 0;
  if (verdict != ERA_CURRENT && verdict != ERA_RISEN)
    event->reply.outcome = STORE_UNKNOWN;
}

/* Nobody but the caller may believe to hold the role when its row changes. */
static void
check_leases (const sim_event_t *call)
{
  for (guint i = 0; i < HOSTS; i++)
    {
      const role_t *role = &sim->hosts[i].coordinator.role;
      if (i != call->host && sim->hosts[i].up && role->state == ROLE_HELD
          && sim->now < role->lease_end)
        sim_record_violation ("role taken while another host holds it", TARGETS, 0);
    }
}

static void
do_commit (const sim_event_t *call, store_reply_t *reply)
{
  if (call->expected % STORE_ERA_STEP != sim->role.version)
    {
      reply->outcome = STORE_CONFLICT;
      return;
    }
  /* A call of an earlier era that is performed late may meet its version again; its row
   * gives nobody the role. */
  if (call->era == sim->era)
    check_leases (call);
  sim->version++;
  put (&sim->role, call->role);
  put (&sim->keys, call->keys);
  take_snapshot ();
  host_t *host = &sim->hosts[call->host];
  if (call->keys != NULL && sim->now < RANDOM_TO_MS && host->commits_left > 0
      && --host->commits_left == 0)
    sim_kill_host (host, RESTART_MS);
}

void
sim_store_execute (const sim_event_t *call, store_reply_t *reply)
{
  reply->rows = g_array_new (FALSE, FALSE, sizeof (store_row_t));
  g_array_set_clear_func (reply->rows, clear_row);
  reply->reason = "simulated";
  if (call->commit)
    do_commit (call, reply);
  const snapshot_t *visible
      = snapshot_at (call->stale ? sim->now - STALE_READ_AGE_MS : sim->now);
  if (!call->commit && call->table == STORE_ROLE && visible->role.version > 0)
    add_row (reply->rows, "granter", &visible->role);
  if (!call->commit && call->table == STORE_KEYS && visible->keys.version > 0)
    add_row (reply->rows, "s", &visible->keys);
  for (guint i = 0; i < reply->rows->len; i++)
    g_array_index (reply->rows, store_row_t, i).version += sim->era * STORE_ERA_STEP;
  reply->version
      = sim->era * STORE_ERA_STEP + (call->commit ? sim->role.version : visible->version);
  reply->clock = sim->now;
}

static sim_event_t *
new_call (store_t *store, store_done_t done, void *owner, bool *has_response)
{
  host_t *host = (host_t *)(void *)store;
  int option = sim_choose (POINT_STORE);

  if (option == STORE_SILENT_SERIES || option == STORE_REFUSED_SERIES)
    {
      host->store_series
          = option == STORE_SILENT_SERIES ? STORE_LOST : STORE_CALL_REFUSED;
      host->store_series_until
          = sim->now
            + (option == STORE_SILENT_SERIES ? STORE_SILENT_MS : STORE_REFUSED_MS);
    }
  if (sim->now < host->store_series_until)
    option = host->store_series;
  else if (sim->now < host->store_busy_until
           && rng_below (&sim->rng, 10) < host->store_busy_share)
    option = STORE_CALL_REFUSED;
  else if (sim->now < host->store_lossy_until && rng_below (&sim->rng, 2) == 0)
    option = rng_below (&sim->rng, 2) == 0 ? STORE_RESPONSE_LOST : STORE_DELAYED;
  if (option >= STORE_RESTORED)
    sim_lose_store (option == STORE_RESTORED_LATE ? STORE_AWAY_LONG_MS : STORE_AWAY_MS,
                    option == STORE_RESTORED_KILLED
                        ? MIN (STORE_COPY_AGE_MS, sim->now - WINDOW_FROM_MS)
                        : STORE_COPY_AGE_MS,
                    option == STORE_RESTORED_PAST);
  if (option == STORE_RESTORED_KILLED)
    host->kill_at = sim->now;
  sim_event_t *call = sim_schedule (EVENT_STORE_CALL, host->index, DELAY_MS);
  if (sim->store_away)
    option = STORE_CALL_REFUSED;
  if (option == STORE_STALLED || option == STORE_STALLED_CUT)
    sim_stall_platform (option == STORE_STALLED_CUT);
  if (sim->now < sim->store_stalled_until)
    {
      bool in_time = sim->store_stalled_until + DELAY_MS < sim->now + STORE_CALL_MS;
      option = in_time ? 0 : STORE_RESPONSE_LOST;
      call->at = sim->store_stalled_until;
    }

  *has_response = option == 0 || option == STORE_STALE || option == STORE_SLOW;
  call->response_delay = option == STORE_SLOW ? STORE_SLOW_MS : DELAY_MS;
  call->stale = option == STORE_STALE;
  call->done = done;
  call->owner = owner;
  call->era = store->era;
  if (option == STORE_DELAYED)
    call->at += STORE_DELAY_MS;
  if (option == STORE_LOST || option == STORE_CALL_REFUSED)
    call->at = MSEC_NEVER;
  if (*has_response)
    return call;
  sim_event_t *failure
      = sim_schedule (EVENT_STORE_RESPONSE,
                      host->index,
                      option == STORE_CALL_REFUSED ? 2 * DELAY_MS : STORE_CALL_MS);
  failure->done = done;
  failure->owner = owner;
  failure->reply = (store_reply_t){
    .outcome = option == STORE_CALL_REFUSED ? STORE_REFUSED : STORE_UNKNOWN,
    .reason = "simulated",
    .rows = g_array_new (FALSE, FALSE, sizeof (store_row_t)),
  };
  call->done = NULL;
  return call;
}

static void
read_table (
    store_t *store, store_table_t table, text_t after, store_done_t done, void *owner)
{
  bool has_response;

  (void)after;
  new_call (store, done, owner, &has_response)->table = table;
}

static void
commit (store_t *store, const store_commit_t *commit, store_done_t done, void *owner)
{
  bool has_response;
  sim_event_t *call = new_call (store, done, owner, &has_response);

  call->commit = true;
  call->expected = commit->expected_version;
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
