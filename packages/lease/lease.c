#include "lease.h"

#include <string.h>

#define SEQ_BITS 20

const lease_policy_t lease_policy_stop = { "stop", LEASE_MS, false };
const lease_policy_t lease_policy_long = { "long", LEASE_EXTEND_MAX_MS, false };
const lease_policy_t lease_policy_majority = { "majority", LEASE_MS, true };

static void
emit (GArray *out, lease_out_t effect)
{
  g_array_append_val (out, effect);
}

static void
extend (lease_t *self, msec_t from, GArray *out)
{
  msec_t until = from + self->policy->lease_ms;

  if (!self->in_table || until <= self->until)
    return;
  self->until = until;
  emit (
      out,
      (lease_out_t){ .kind = LEASE_EXTENDED, .version = self->version, .until = until });
}

static void
confirm (lease_t *self, msec_t started, GArray *out)
{
  self->confirmed_at = MAX (self->confirmed_at, started);
  extend (self, started, out);
}

static void
fetch_table (uint64_t version, GArray *out)
{
  emit (out, (lease_out_t){ .kind = LEASE_FETCH_TABLE, .version = version });
}

static void
poll_store (lease_t *self, msec_t now, GArray *out)
{
  self->polling = true;
  self->poll_started = now;
  emit (out, (lease_out_t){ .kind = LEASE_POLL });
}

static bool
has_majority (const lease_t *self)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < self->n_witnesses; i++)
    n += self->votes[i];
  return 2 * n > self->n_witnesses;
}

static void
extend_by_votes (lease_t *self, GArray *out)
{
  if (has_majority (self)
      && self->query_started - self->confirmed_at <= LEASE_EXTEND_MAX_MS)
    extend (self, self->query_started, out);
}

static void
query_witnesses (lease_t *self, msec_t now, GArray *out)
{
  self->seq++;
  self->query_started = now;
  memset (self->votes, 0, sizeof self->votes);
  for (uint32_t i = 0; i < self->n_witnesses; i++)
    {
      if (host_id_equal (&self->witnesses[i], &self->host))
        {
          self->votes[i] = self->is_witness && self->has_read_store;
          continue;
        }
      emit (out,
            (lease_out_t){ .kind = LEASE_SEND_QUERY,
                           .version = self->version,
                           .to = self->witnesses[i],
                           .seq = self->seq });
    }
  extend_by_votes (self, out);
}

/* Witnesses are queried before the lease expires, as soon as a poll is late or fails. */
static bool
confirmation_is_late (const lease_t *self, msec_t now)
{
  return now - self->confirmed_at > LEASE_POLL_MS + LEASE_QUERY_MS;
}

static void
handle_tick (lease_t *self, msec_t now, GArray *out)
{
  if (now - self->last_tick > CLOCK_GAP_MS)
    {
      self->until = 0;
      emit (out, (lease_out_t){ .kind = LEASE_REVOKE });
    }
  self->last_tick = now;
  if (!self->polling && now - self->poll_started >= LEASE_POLL_MS)
    poll_store (self, now, out);
  if (self->version > 0 && self->policy->queries_witnesses
      && confirmation_is_late (self, now) && now - self->last_query_at >= LEASE_QUERY_MS)
    {
      self->last_query_at = now;
      query_witnesses (self, now, out);
    }
}

static void
handle_read (lease_t *self, const lease_msg_t *msg, GArray *out)
{
  self->polling = false;
  if (!msg->ok)
    return;
  self->has_read_store = self->has_read_store || msg->version == self->version;
  if (msg->version == self->version)
    confirm (self, msg->started, out);
  else if (msg->version > self->version)
    fetch_table (msg->version, out);
}

static void
update_witnesses (lease_t *self, const table_t *table)
{
  self->n_witnesses = 0;
  self->is_witness = false;
  for (uint32_t i = 0; i < table->n_hosts && self->n_witnesses < WITNESS_MAX; i++)
    {
      if (!table->hosts[i].witness)
        continue;
      host_id_t id = host_id (&table->hosts[i]);
      self->witnesses[self->n_witnesses++] = id;
      self->is_witness = self->is_witness || host_id_equal (&id, &self->host);
    }
}

static void
handle_table (lease_t *self, const lease_msg_t *msg, GArray *out)
{
  if (msg->version <= self->version)
    return;
  self->version = msg->version;
  self->in_table = table_has_host (msg->table, &self->host);
  self->has_read_store = true;
  self->until = 0;
  self->seq++;
  memset (self->votes, 0, sizeof self->votes);
  update_witnesses (self, msg->table);
  confirm (self, msg->started, out);
}

/*
 * A witness votes only for the version that is in effect on it.  When it acknowledges a
 * higher version, that one is in effect, so it can't vote for a lower version after its
 * acknowledgement.  After a restart it doesn't vote before it has read the store itself.
 */
static void
handle_query (lease_t *self, const lease_msg_t *msg, msec_t now, GArray *out)
{
  bool same_version = msg->version == self->version;
  bool vote = same_version && self->is_witness && self->has_read_store;
  msec_t age = same_version && self->has_read_store && self->confirmed_at > 0
                   ? now - self->confirmed_at
                   : -1;

  emit (out,
        (lease_out_t){ .kind = LEASE_SEND_REPLY,
                       .version = self->version,
                       .to = msg->from,
                       .seq = msg->seq,
                       .vote = vote,
                       .age = age });
  if (msg->version > self->version)
    fetch_table (msg->version, out);
}

static void
record_vote (lease_t *self, const host_id_t *from)
{
  for (uint32_t i = 0; i < self->n_witnesses; i++)
    if (host_id_equal (&self->witnesses[i], from))
      self->votes[i] = true;
}

static void
handle_reply (lease_t *self, const lease_msg_t *msg, GArray *out)
{
  if (msg->version > self->version)
    {
      fetch_table (msg->version, out);
      return;
    }
  if (msg->version != self->version || msg->seq != self->seq)
    return;
  if (msg->age >= 0)
    confirm (self, self->query_started - msg->age, out);
  if (!msg->vote)
    return;
  record_vote (self, &msg->from);
  extend_by_votes (self, out);
}

void
lease_init (lease_t *self,
            const lease_policy_t *policy,
            const host_id_t *host,
            msec_t now)
{
  memset (self, 0, sizeof *self);
  self->policy = policy;
  self->host = *host;
  /* Replies to queries of an earlier incarnation of this host must not match. */
  self->seq = host->incarnation << SEQ_BITS;
  self->last_tick = now;
  self->poll_started = now - LEASE_POLL_MS;
}

void
lease_handle (lease_t *self, const lease_msg_t *msg, msec_t now, GArray *out)
{
  switch (msg->kind)
    {
    case LEASE_TICK:
      handle_tick (self, now, out);
      break;
    case LEASE_READ:
      handle_read (self, msg, out);
      break;
    case LEASE_TABLE:
      handle_table (self, msg, out);
      break;
    case LEASE_QUERY_RECEIVED:
      handle_query (self, msg, now, out);
      break;
    case LEASE_REPLY_RECEIVED:
      handle_reply (self, msg, out);
      break;
    }
}

void
lease_finish (lease_t *self)
{
  self->until = 0;
}

bool
lease_covers (const lease_t *self, uint64_t version, msec_t now)
{
  return version > 0 && version == self->version && now < self->until;
}
