#include "place.h"

#include "members.h"
#include "plan.h"
#include "settle.h"

#include <string.h>

const place_policy_t place_policy_stop = { "stop", LEASE_MS, false };
const place_policy_t place_policy_long = { "long", LEASE_EXTEND_MAX_MS, false };
const place_policy_t place_policy_majority = { "majority", LEASE_MS, true };

static void
emit (GArray *out, place_out_t effect)
{
  g_array_append_val (out, effect);
}

static void
enter_phase (place_t *self, place_phase_t phase, msec_t now)
{
  self->phase = phase;
  self->phase_since = now;
}

static void
step_down (place_t *self, msec_t now, GArray *out)
{
  bool was_holder = place_is_holder (self);

  enter_phase (self, PLACE_STANDBY, now);
  self->beat_changed_at = now;
  if (was_holder)
    emit (out, (place_out_t){ .kind = PLACE_ROLE_CHANGED, .holder = false });
}

static bool
plan_services (place_t *self, msec_t now, GArray *out)
{
  bool balance = now >= self->next_balance_at;
  bool changed = false;

  for (uint32_t i = 0; i < self->config.n_services; i++)
    {
      const service_t *service = &self->config.services[i];
      if (!service->keyed)
        continue;
      changed |= plan_repairs (self, service->keyed_index, &service->name, out);
      if (balance)
        changed |= plan_balance (self, service->keyed_index, &service->name, out);
    }
  if (balance)
    self->next_balance_at = now + PLACE_BALANCE_MS;
  return changed;
}

static void
commit_candidate (place_t *self, msec_t now, GArray *out)
{
  members_save_witnesses (self);
  self->candidate.holder_epoch = self->epoch;
  enter_phase (self, PLACE_COMMITTING, now);
  emit (out,
        (place_out_t){ .kind = PLACE_COMMIT,
                       .epoch = self->epoch,
                       .table = &self->candidate });
}

static void
start_candidate (place_t *self)
{
  self->candidate = self->table;
  self->candidate.version++;
}

static void
update_table (place_t *self, msec_t now, GArray *out)
{
  bool changed;

  start_candidate (self);
  changed = settle_finish_moves (self, now, out);
  /* The settling of each version may have to wait for a lost host, so moves in progress
   * go before host changes. */
  if (!self->has_withdrawals)
    changed |= members_update_hosts (self, now);
  changed |= members_update_targets (self, now);
  changed |= plan_services (self, now, out);
  if (changed)
    commit_candidate (self, now, out);
}

static void
start_settling (place_t *self, msec_t now)
{
  self->committed_version = self->candidate.version;
  self->committed_at = now;
  self->extension_blocked_at = 0;
  settle_save_previous (self);
  self->table = self->candidate;
  settle_record_withdrawals (self);
  self->retry_at = now + PLACE_QUERY_MS;
  enter_phase (self, PLACE_SETTLING, now);
}

static void
request_load (place_t *self, msec_t now, GArray *out)
{
  enter_phase (self, PLACE_LOADING, now);
  emit (out, (place_out_t){ .kind = PLACE_LOAD });
}

static void
send_beat (place_t *self, msec_t now, GArray *out)
{
  if (now - self->beat_written_at < PLACE_BEAT_MS)
    return;
  self->beat_written_at = now;
  self->beat++;
  emit (out,
        (place_out_t){ .kind = PLACE_BEAT, .epoch = self->epoch, .beat = self->beat });
}

static void
take_over_if_beat_timed_out (place_t *self, msec_t now, GArray *out)
{
  if (!self->rows_fresh || self->leaving || now < self->retry_at)
    return;
  /* After a pause of this process, the next poll restarts the beat timeout, so that the
   * holder isn't deposed because of beats that this host could not see. */
  if (now - self->rows_read_at > CLOCK_GAP_MS)
    return;
  if (self->epoch > 0 && now - self->beat_changed_at < PLACE_BEAT_TIMEOUT_MS)
    return;
  enter_phase (self, PLACE_TAKING_OVER, now);
  emit (out, (place_out_t){ .kind = PLACE_TAKE_OVER, .epoch = self->epoch + 1 });
}

/* The announcement of the version, or an acknowledgement of it, may have been lost. */
static void
query_hosts_if_due (place_t *self, msec_t now, GArray *out)
{
  if (now < self->retry_at)
    return;
  self->retry_at = now + PLACE_QUERY_MS;
  emit (out, (place_out_t){ .kind = PLACE_QUERY_HOSTS });
}

static void
handle_tick (place_t *self, msec_t now, GArray *out)
{
  if (place_is_holder (self))
    send_beat (self, now, out);
  switch (self->phase)
    {
    case PLACE_STANDBY:
      take_over_if_beat_timed_out (self, now, out);
      break;
    case PLACE_DISCOVERING:
      if (now - self->phase_since >= PLACE_QUERY_MS)
        request_load (self, now, out);
      break;
    case PLACE_LOAD_FAILED:
      if (now - self->phase_since >= PLACE_RETRY_MS)
        request_load (self, now, out);
      break;
    case PLACE_SETTLING:
      if (!settle_leases_ended (self, now))
        {
          query_hosts_if_due (self, now, out);
          break;
        }
      settle_start_grant_wait (self, now);
      self->settled_version = self->committed_version;
      self->table.settled_version = self->committed_version;
      emit (out,
            (place_out_t){ .kind = PLACE_SETTLE,
                           .epoch = self->epoch,
                           .version = self->committed_version });
      self->previous_hosts_complete = true;
      enter_phase (self, PLACE_SETTLED, now);
      update_table (self, now, out);
      break;
    case PLACE_SETTLED:
      update_table (self, now, out);
      break;
    case PLACE_TAKING_OVER:
    case PLACE_LOADING:
    case PLACE_COMMITTING:
      break;
    }
}

static bool
is_deposed (const place_t *self, const place_msg_t *msg)
{
  if (self->phase == PLACE_TAKING_OVER)
    return msg->epoch > self->epoch + 1;
  if (msg->epoch > self->epoch)
    return true;
  return msg->epoch == self->epoch && !name_equal (&msg->holder, &self->self_host.name);
}

static void
handle_holder_read (place_t *self, const place_msg_t *msg, msec_t now, GArray *out)
{
  if (!msg->ok)
    {
      /* Beats can't be seen while the store is unreachable: restart the beat timeout. */
      self->beat_changed_at = now;
      return;
    }
  if (now - self->rows_read_at > CLOCK_GAP_MS)
    self->beat_changed_at = now;
  self->rows_read_at = now;
  self->rows_fresh = true;
  if (place_is_holder (self) || self->phase == PLACE_TAKING_OVER)
    {
      if (is_deposed (self, msg))
        {
          self->epoch = msg->epoch;
          step_down (self, now, out);
        }
      return;
    }
  if (msg->epoch != self->epoch || msg->beat != self->beat)
    self->beat_changed_at = now;
  if (msg->leaving)
    self->beat_changed_at = now - PLACE_BEAT_TIMEOUT_MS;
  self->epoch = msg->epoch;
  self->beat = msg->beat;
}

static void
handle_take_over_done (place_t *self, const place_msg_t *msg, msec_t now, GArray *out)
{
  if (self->phase != PLACE_TAKING_OVER)
    return;
  if (!msg->ok)
    {
      /* Another host may have written the rows: read them again first. */
      self->rows_fresh = false;
      self->retry_at = now + PLACE_RETRY_MS;
      step_down (self, now, out);
      return;
    }
  self->epoch++;
  self->taken_over_at = now;
  memset (self->withdrawals, 0, sizeof self->withdrawals);
  self->settled_version = 0;
  self->previous_hosts_complete = false;
  self->beat_written_at = 0;
  for (uint32_t i = 0; i < TARGET_MAX; i++)
    self->targets[i] = (place_target_t){ .unlisted_since = now, .healthy_since = now };
  enter_phase (self, PLACE_DISCOVERING, now);
  emit (out, (place_out_t){ .kind = PLACE_ROLE_CHANGED, .holder = true });
  emit (out, (place_out_t){ .kind = PLACE_QUERY_HOSTS });
}

static void
handle_load_done (place_t *self, const place_msg_t *msg, msec_t now, GArray *out)
{
  if (self->phase != PLACE_LOADING)
    return;
  if (!msg->ok)
    {
      enter_phase (self, PLACE_LOAD_FAILED, now);
      return;
    }
  if (msg->table->holder_epoch > self->epoch)
    {
      step_down (self, now, out);
      return;
    }
  self->table = *msg->table;
  self->previous_hosts_complete = self->table.version == 0;
  start_candidate (self);
  members_update_hosts (self, now);
  commit_candidate (self, now, out);
}

static void
handle_commit_done (place_t *self, const place_msg_t *msg, msec_t now, GArray *out)
{
  if (self->phase != PLACE_COMMITTING)
    return;
  if (msg->ok)
    {
      start_settling (self, now);
      return;
    }
  /* The write may have been committed all the same: read the stored table back. */
  if (msg->conflict)
    enter_phase (self, PLACE_LOAD_FAILED, now);
  else
    request_load (self, now, out);
}

static void
handle_leave (place_t *self, msec_t now, GArray *out)
{
  self->leaving = true;
  if (place_is_holder (self))
    emit (out, (place_out_t){ .kind = PLACE_RESIGN, .epoch = self->epoch });
  step_down (self, now, out);
}

void
place_init (place_t *self, const place_policy_t *policy, const host_t *host, msec_t now)
{
  memset (self, 0, sizeof *self);
  self->policy = policy;
  self->self_host = *host;
  self->beat_changed_at = now;
  table_init (&self->table);
  self->hosts[0] = (place_host_t){ .host = *host, .heard_at = now };
  self->n_hosts = 1;
}

void
place_handle (place_t *self, const place_msg_t *msg, msec_t now, GArray *out)
{
  switch (msg->kind)
    {
    case PLACE_TICK:
      handle_tick (self, now, out);
      break;
    case PLACE_CONFIG:
      self->config = *msg->config;
      break;
    case PLACE_HOLDER_READ:
      handle_holder_read (self, msg, now, out);
      break;
    case PLACE_TAKE_OVER_DONE:
      handle_take_over_done (self, msg, now, out);
      break;
    case PLACE_COMMIT_DONE:
      handle_commit_done (self, msg, now, out);
      break;
    case PLACE_LOAD_DONE:
      handle_load_done (self, msg, now, out);
      break;
    case PLACE_TARGET_LIST:
      g_assert (msg->n <= TARGET_MAX);
      self->n_listed = msg->n;
      memcpy (self->listed, msg->targets, msg->n * sizeof *self->listed);
      break;
    case PLACE_HELLO:
      members_handle_hello (self, msg, now);
      break;
    case PLACE_TARGET_REPORT:
      g_assert (msg->target >= 0 && msg->target < TARGET_MAX);
      members_handle_report (self, msg, now);
      break;
    case PLACE_SLOT_LOADS:
      g_assert (msg->keyed < KEYED_MAX);
      memcpy (self->loads[msg->keyed], msg->loads, sizeof self->loads[msg->keyed]);
      break;
    case PLACE_LEAVE:
      handle_leave (self, now, out);
      break;
    }
}

void
place_finish (place_t *self)
{
  self->phase = PLACE_STANDBY;
}

bool
place_is_holder (const place_t *self)
{
  return self->phase != PLACE_STANDBY && self->phase != PLACE_TAKING_OVER;
}

bool
place_awaits_reports (const place_t *self)
{
  return self->phase == PLACE_SETTLING
         || (self->phase == PLACE_SETTLED && self->has_withdrawals);
}

const char *
move_reason_name (move_reason_t reason)
{
  static const char *const names[] = {
    [MOVE_REASON_UNOWNED] = "unowned", [MOVE_REASON_LEAVING] = "leaving",
    [MOVE_REASON_LOST] = "lost",       [MOVE_REASON_BALANCE] = "balance",
    [MOVE_REASON_SETTLED] = "settled",
  };
  return names[reason];
}
