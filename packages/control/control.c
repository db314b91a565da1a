#include "control.h"

#include "../core/log.h"
#include "control_parts.h"

#include <signal.h>
#include <string.h>

#define INBOX_MAX 65536 /* messages */
#define TICK_MS 50

msec_t
control_now (const control_t *self)
{
  return msclock_now (&self->clock);
}

static void
copy_worker_msg (const worker_msg_t *from, worker_msg_t *to)
{
  *to = *from;
  if (from->config != NULL)
    to->config = g_memdup2 (from->config, sizeof *from->config);
  if (from->table != NULL)
    to->table = g_memdup2 (from->table, sizeof *from->table);
}

static void
post_worker (control_t *self, uint32_t i, const worker_msg_t *msg)
{
  worker_msg_t *copy = g_new (worker_msg_t, 1);

  copy_worker_msg (msg, copy);
  if (mailbox_post (&self->workers[i].inbox, copy))
    return;
  metrics_add (&self->metrics, COUNT_MAILBOX_FULL, 1);
  worker_msg_free (copy);
}

void
control_post_workers (control_t *self, const worker_msg_t *msg)
{
  for (uint32_t i = 0; i < self->n_workers; i++)
    post_worker (self, i, msg);
}

const host_t *
control_find_host (const control_t *self, const name_t *name)
{
  for (uint32_t i = 0; i < self->n_known_hosts; i++)
    if (name_equal (&self->known_hosts[i].name, name))
      return &self->known_hosts[i];
  return NULL;
}

void
control_record_host (control_t *self, const host_t *host)
{
  host_t *entry = (host_t *)control_find_host (self, &host->name);

  if (entry == NULL && self->n_known_hosts < HOST_MAX)
    entry = &self->known_hosts[self->n_known_hosts++];
  if (entry != NULL && entry->incarnation <= host->incarnation)
    *entry = *host;
}

/* Lease logic. */

static void
execute_lease_effect (control_t *self, const lease_out_t *effect)
{
  worker_msg_t extended
      = { .kind = WORKER_LEASE, .version = effect->version, .until = effect->until };
  worker_msg_t revoked = { .kind = WORKER_REVOKE_LEASE };
  grant_msg_t grant
      = { .kind = GRANT_LEASE, .version = effect->version, .until = effect->until };

  switch (effect->kind)
    {
    case LEASE_POLL:
      store_poll (self);
      break;
    case LEASE_FETCH_TABLE:
      store_fetch_table (self);
      break;
    case LEASE_SEND_QUERY:
    case LEASE_SEND_REPLY:
      control_send_lease (self, effect);
      break;
    case LEASE_EXTENDED:
      control_post_workers (self, &extended);
      control_handle_grant (self, &grant);
      break;
    case LEASE_REVOKE:
      log_warning ("lease",
                   "The clock jumped: closed idle connections and revoked the lease.");
      grant.until = 0;
      control_post_workers (self, &revoked);
      control_handle_grant (self, &grant);
      break;
    }
}

void
control_handle_lease (control_t *self, const lease_msg_t *msg)
{
  guint from = self->lease_out->len;

  msec_t now = control_now (self);

  lease_handle (&self->lease, msg, now, self->lease_out);
  trace_record_lease (&self->lease_trace, msg, now, self->lease_out, from);
  for (guint i = from; i < self->lease_out->len; i++)
    {
      lease_out_t effect = g_array_index (self->lease_out, lease_out_t, i);
      execute_lease_effect (self, &effect);
    }
  g_array_set_size (self->lease_out, from);
}

/* Placement logic. */

static const char *
target_name (const control_t *self, int target, char *text)
{
  if (target == INDEX_NONE)
    return "none";
  g_snprintf (text,
              NAME_MAX_BYTES + 1,
              "%.*s",
              NAME_ARG (self->place.candidate.targets[target].name));
  return text;
}

static void
log_move (control_t *self, const place_out_t *effect)
{
  char from[NAME_MAX_BYTES + 1], to[NAME_MAX_BYTES + 1];

  metrics_add (&self->metrics, COUNT_SLOT_MOVES, effect->reason == MOVE_REASON_SETTLED);
  log_decision ("place",
                "Slot %u/%u from %s to %s in version %" G_GUINT64_FORMAT
                ", epoch %" G_GUINT64_FORMAT ": %s.",
                effect->keyed,
                effect->slot,
                target_name (self, effect->from, from),
                target_name (self, effect->to, to),
                self->place.candidate.version,
                self->place.epoch,
                move_reason_name (effect->reason));
}

static void
pass_table_to_grant (control_t *self)
{
  grant_msg_t msg = { .kind = GRANT_TABLE,
                      .table = &self->table,
                      .config = &self->config,
                      .holder = place_is_holder (&self->place) };

  control_handle_grant (self, &msg);
}

static void
execute_place_effect (control_t *self, const place_out_t *effect)
{
  switch (effect->kind)
    {
    case PLACE_TAKE_OVER:
      store_take_over (self, effect->epoch);
      break;
    case PLACE_BEAT:
      store_write_beat (self, effect->epoch, effect->beat, false);
      break;
    case PLACE_SETTLE:
      store_write_settled (self, effect->epoch, effect->version);
      break;
    case PLACE_RESIGN:
      store_write_beat (self, effect->epoch, 0, true);
      break;
    case PLACE_QUERY_HOSTS:
      control_request_hellos (self);
      break;
    case PLACE_LOAD:
      store_load_table (self);
      break;
    case PLACE_COMMIT:
      store_commit_table (self, effect->table);
      break;
    case PLACE_LOG_MOVE:
      log_move (self, effect);
      break;
    case PLACE_ROLE_CHANGED:
      log_note ("place",
                effect->holder ? "Acquired the placement role."
                               : "Gave up the placement role.");
      pass_table_to_grant (self);
      break;
    }
}

static void
handle_place_once (control_t *self, const place_msg_t *msg)
{
  guint from = self->place_out->len;

  msec_t now = control_now (self);

  place_handle (&self->place, msg, now, self->place_out);
  trace_record_place (&self->place_trace, msg, now, self->place_out, from);
  for (guint i = from; i < self->place_out->len; i++)
    {
      place_out_t effect = g_array_index (self->place_out, place_out_t, i);
      execute_place_effect (self, &effect);
    }
  g_array_set_size (self->place_out, from);
}

void
control_handle_place (control_t *self, const place_msg_t *msg)
{
  const place_msg_t tick = { .kind = PLACE_TICK };
  bool may_complete_step = msg->kind == PLACE_HELLO || msg->kind == PLACE_TARGET_REPORT;

  handle_place_once (self, msg);
  if (may_complete_step && place_awaits_reports (&self->place))
    handle_place_once (self, &tick);
}

/* Grant logic. */

static void
execute_grant_effect (control_t *self, const grant_out_t *effect)
{
  place_msg_t msg = { .kind = PLACE_TARGET_REPORT,
                      .target = effect->target,
                      .ok = effect->ok,
                      .version = effect->version };

  if (effect->kind == GRANT_SEND)
    probe_send (self, effect);
  else if (place_is_holder (&self->place))
    control_handle_place (self, &msg);
}

void
control_handle_grant (control_t *self, const grant_msg_t *msg)
{
  guint from = self->grant_out->len;

  grant_handle (&self->grant, msg, control_now (self), self->grant_out);
  for (guint i = from; i < self->grant_out->len; i++)
    {
      grant_out_t effect = g_array_index (self->grant_out, grant_out_t, i);
      execute_grant_effect (self, &effect);
    }
  g_array_set_size (self->grant_out, from);
}

/* Configuration and table. */

void
control_apply_config (control_t *self, const config_t *config)
{
  worker_msg_t msg = { .kind = WORKER_CONFIG, .config = &self->config };
  place_msg_t place = { .kind = PLACE_CONFIG, .config = &self->config };

  if (config->version <= self->config.version)
    return;
  self->config = *config;
  log_note ("config",
            "Configuration version %" G_GUINT64_FORMAT " took effect.",
            config->version);
  control_post_workers (self, &msg);
  control_handle_place (self, &place);
  pass_table_to_grant (self);
}

void
control_apply_table (control_t *self, const table_t *table, msec_t started)
{
  worker_msg_t msg = { .kind = WORKER_TABLE, .table = &self->table };
  lease_msg_t lease = { .kind = LEASE_TABLE,
                        .version = table->version,
                        .table = &self->table,
                        .started = started };

  if (table->version <= self->table.version)
    return;
  self->table = *table;
  for (uint32_t i = 0; i < table->n_hosts; i++)
    control_record_host (self, &table->hosts[i]);
  control_post_workers (self, &msg);
  control_handle_lease (self, &lease);
  pass_table_to_grant (self);
}

/* Reports to the holder the highest version that all workers have in force. */
static void
acknowledge_version (control_t *self)
{
  uint64_t lowest = UINT64_MAX;

  for (uint32_t i = 0; i < self->n_workers; i++)
    lowest = MIN (lowest, self->worker_versions[i]);
  if (lowest <= self->acked_version)
    return;
  self->acked_version = lowest;
  control_send_hello (self);
  place_msg_t own_hello = { .kind = PLACE_HELLO, .host = self->host, .version = lowest };
  control_handle_place (self, &own_hello);
}

/* Messages from the workers. */

static void
add_loads (control_t *self, uint32_t (*loads)[SLOT_COUNT])
{
  for (uint32_t k = 0; k < KEYED_MAX; k++)
    for (uint32_t s = 0; s < SLOT_COUNT; s++)
      self->own_loads[k][s] += loads[k][s];
}

static void
on_worker_msg (void *owner, void *message)
{
  control_t *self = owner;
  worker_out_t *msg = message;
  claim_msg_t claim = { .kind = CLAIM_MSG_OP, .op = msg->op };
  worker_msg_t suspect = { .kind = WORKER_SUSPECT, .suspect = msg->suspect };

  switch (msg->kind)
    {
    case WORKER_OUT_CLAIM:
      control_handle_claim (self, &claim);
      break;
    case WORKER_OUT_ACK:
      self->worker_versions[msg->worker] = msg->version;
      acknowledge_version (self);
      break;
    case WORKER_OUT_SUSPECT:
      control_post_workers (self, &suspect);
      control_broadcast_suspect (self, &msg->suspect);
      break;
    case WORKER_OUT_LOADS:
      add_loads (self, msg->loads);
      break;
    case WORKER_OUT_METRICS:
      self->worker_metrics[msg->worker] = *msg->metrics;
      break;
    case WORKER_OUT_IDLE:
      self->worker_idle[msg->worker] = true;
      break;
    }
  worker_out_free (msg);
}

static void
init_decision_logic (control_t *self, msec_t now)
{
  host_id_t id = host_id (&self->host);

  lease_init (&self->lease, &lease_policy_majority, &id, now);
  place_init (&self->place, &place_policy_majority, &self->host, now);
  grant_init (&self->grant, &self->host.name);
  claim_init (&self->claim);
  table_init (&self->table);
  self->lease_out = g_array_new (FALSE, FALSE, sizeof (lease_out_t));
  self->place_out = g_array_new (FALSE, FALSE, sizeof (place_out_t));
  self->grant_out = g_array_new (FALSE, FALSE, sizeof (grant_out_t));
  self->claim_out = g_array_new (FALSE, FALSE, sizeof (claim_out_t));
}

static status_t
open_traces (control_t *self, msec_t now, fault_t *fault)
{
  const name_t *folder = &self->settings->trace_folder;
  host_id_t id = host_id (&self->host);

  if (folder->len == 0)
    return STATUS_OK;
  char *lease = g_strdup_printf ("%.*s/lease.trace", NAME_ARG (*folder));
  char *place = g_strdup_printf ("%.*s/place.trace", NAME_ARG (*folder));
  status_t status = trace_open_lease (&self->lease_trace, lease, &id, now, fault);
  if (status == STATUS_OK)
    status = trace_open_place (&self->place_trace, place, &self->host, now, fault);
  g_free (lease);
  g_free (place);
  return status;
}

static void
init_events (control_t *self)
{
  const struct timeval tick = { .tv_usec = TICK_MS * 1000 };

  self->tick = event_new (self->base, -1, EV_PERSIST, control_on_tick, self);
  event_add (self->tick, &tick);
  self->claim_timer = evtimer_new (self->base, control_on_claim_timer, self);
  self->on_term = evsignal_new (self->base, SIGTERM, control_on_signal, self);
  self->on_int = evsignal_new (self->base, SIGINT, control_on_signal, self);
  event_add (self->on_term, NULL);
  event_add (self->on_int, NULL);
}

status_t
control_init (control_t *self,
              const settings_t *settings,
              uint64_t incarnation,
              fault_t *fault)
{
  memset (self, 0, sizeof *self);
  self->settings = settings;
  self->host = (host_t){ .name = settings->host,
                         .address = settings->address,
                         .data_centre = settings->data_centre,
                         .peer_port = settings->peer_port,
                         .incarnation = incarnation };
  msclock_init_real (&self->clock);
  metrics_init (&self->metrics);
  self->base = event_base_new ();
  msec_t now = control_now (self);
  init_decision_logic (self, now);
  init_events (self);
  platform_init (&self->platform,
                 self->base,
                 name_text (&settings->platform_address),
                 (uint16_t)settings->platform_port,
                 &self->clock,
                 &self->metrics);
  if (open_traces (self, now, fault) != STATUS_OK)
    return fault->status;
  if (!mailbox_init (&self->inbox,
                     self->base,
                     INBOX_MAX,
                     on_worker_msg,
                     worker_out_free,
                     self))
    return fault_raise (fault, STATUS_IO, "can't create an eventfd for the control task");
  if (!peer_init (&self->peer,
                  self->base,
                  name_text (&settings->address),
                  settings->peer_port,
                  &self->metrics,
                  control_receive,
                  self))
    return fault_raise (fault,
                        STATUS_IO,
                        "can't listen on %.*s:%u",
                        NAME_ARG (settings->address),
                        settings->peer_port);
  return admin_init (self, fault);
}

void
control_run (control_t *self, worker_t *workers, uint32_t n_workers)
{
  self->workers = workers;
  self->n_workers = n_workers;
  event_base_dispatch (self->base);
}

void
control_finish (control_t *self)
{
  if (self->admin != NULL)
    evhttp_free (self->admin);
  probe_finish (self);
  peer_finish (&self->peer);
  platform_finish (&self->platform);
  mailbox_finish (&self->inbox);
  event_free (self->tick);
  event_free (self->claim_timer);
  event_free (self->on_term);
  event_free (self->on_int);
  event_base_free (self->base);
  g_array_unref (self->lease_out);
  g_array_unref (self->place_out);
  g_array_unref (self->grant_out);
  g_array_unref (self->claim_out);
  trace_finish (&self->lease_trace);
  trace_finish (&self->place_trace);
  lease_finish (&self->lease);
  place_finish (&self->place);
  grant_finish (&self->grant);
  claim_finish (&self->claim);
}
