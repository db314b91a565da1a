#include "grant.h"

#include <string.h>

static uint64_t
combine_hashes (const name_t *host, const name_t *target)
{
  return text_hash (name_text (host)) * 31
         + text_hash (name_text (target)) * 0x9e3779b97f4a7c15u;
}

static uint64_t
mix_bits (uint64_t z)
{
  z = (z ^ (z >> 31)) * 0x94d049bb133111ebu;
  return z ^ (z >> 29);
}

/* Rendezvous hashing: the GRANT_RENEWERS hosts that rank highest renew the target. */
static bool
is_renewer (const grant_t *self, const table_t *table, const target_t *target)
{
  uint64_t own_rank = mix_bits (combine_hashes (&self->host, &target->name));
  uint32_t higher_ranked = 0;

  for (uint32_t i = 0; i < table->n_hosts; i++)
    higher_ranked
        += mix_bits (combine_hashes (&table->hosts[i].name, &target->name)) > own_rank;
  return higher_ranked < GRANT_RENEWERS;
}

static void
update_target (grant_t *self, uint32_t i, const grant_msg_t *msg, msec_t now)
{
  const target_t *source = &msg->table->targets[i];
  grant_target_t *entry = &self->targets[i];
  const service_t *service = config_find_by_name (msg->config, &source->service);

  if (!target_same_instance (&entry->target, source))
    *entry = (grant_target_t){ .target = *source, .next_call_at = now };
  entry->keyed = service != NULL && service->keyed;
  entry->fenced = service != NULL && service->checks_fences;
  entry->called_here
      = source->state != TARGET_FREE && service != NULL
        && (msg->holder || (entry->fenced && is_renewer (self, msg->table, source)));
  if (entry->called_here)
    entry->next_call_at = now;
}

static void
handle_table (grant_t *self, const grant_msg_t *msg, msec_t now)
{
  for (uint32_t i = 0; i < msg->table->n_targets; i++)
    update_target (self, i, msg, now);
  self->n_targets = msg->table->n_targets;
  self->version = msg->table->version;
}

static void
send_call (grant_t *self, uint32_t i, msec_t now, GArray *out)
{
  grant_target_t *target = &self->targets[i];
  bool has_lease = self->lease_version == self->version && now < self->lease_until;
  bool with_grant = target->fenced && target->clock_known && has_lease;
  grant_out_t call = { .kind = GRANT_SEND,
                       .target = (int)i,
                       .version = self->version,
                       .until = with_grant ? target->clock + GRANT_MS : 0,
                       .incarnation = target->incarnation,
                       .fenced = target->fenced };

  target->in_flight = true;
  target->next_call_at = now + (target->keyed ? GRANT_RENEW_MS : PROBE_UNKEYED_MS);
  g_array_append_val (out, call);
}

static void
send_due_calls (grant_t *self, msec_t now, GArray *out)
{
  for (uint32_t i = 0; i < self->n_targets; i++)
    {
      const grant_target_t *target = &self->targets[i];
      if (target->called_here && !target->in_flight && now >= target->next_call_at)
        send_call (self, i, now, out);
    }
}

static void
handle_answer (grant_t *self, const grant_msg_t *msg, msec_t now, GArray *out)
{
  grant_target_t *target = &self->targets[msg->target];
  bool is_first = msg->ok && !target->clock_known;
  grant_out_t report = { .kind = GRANT_REPORT,
                         .target = msg->target,
                         .version = msg->ok ? msg->version : 0,
                         .ok = msg->ok };

  target->in_flight = false;
  target->clock_known = msg->ok;
  target->clock = msg->clock;
  target->incarnation = msg->incarnation;
  /* The first answer only gives the target's clock; the grant itself is sent at once. */
  if (is_first && target->fenced)
    target->next_call_at = now;
  /* The target still runs requests on slots that it has to give up. */
  else if (msg->ok && target->fenced && msg->version < self->version)
    target->next_call_at = MIN (target->next_call_at, now + GRANT_RETRY_MS);
  g_array_append_val (out, report);
}

void
grant_init (grant_t *self, const name_t *host)
{
  memset (self, 0, sizeof *self);
  self->host = *host;
}

void
grant_handle (grant_t *self, const grant_msg_t *msg, msec_t now, GArray *out)
{
  switch (msg->kind)
    {
    case GRANT_TICK:
      break;
    case GRANT_TABLE:
      handle_table (self, msg, now);
      break;
    case GRANT_LEASE:
      self->lease_version = msg->version;
      self->lease_until = msg->until;
      break;
    case GRANT_ANSWER:
      g_assert (msg->target >= 0 && (uint32_t)msg->target < self->n_targets);
      handle_answer (self, msg, now, out);
      break;
    }
  send_due_calls (self, now, out);
}

void
grant_finish (grant_t *self)
{
  self->n_targets = 0;
}
