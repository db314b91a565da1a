#include "control_parts.h"

#include <string.h>

static peer_msg_t
new_msg (const control_t *self, peer_kind_t kind)
{
  return (peer_msg_t){ .kind = kind,
                       .from = self->host,
                       .version = self->acked_version,
                       .config_version = self->config.version,
                       .leaving = self->drained,
                       .age = -1 };
}

static void
send_to (control_t *self, const name_t *name, const peer_msg_t *msg)
{
  const host_t *host = control_find_host (self, name);

  if (host != NULL && !name_equal (name, &self->host.name))
    peer_send (&self->peer, name_text (&host->address), host->peer_port, msg);
}

static void
send_to_all (control_t *self, const peer_msg_t *msg)
{
  for (uint32_t i = 0; i < self->n_known_hosts; i++)
    send_to (self, &self->known_hosts[i].name, msg);
}

void
control_send_hello (control_t *self)
{
  peer_msg_t msg = new_msg (self, PEER_HELLO);

  if (!place_is_holder (&self->place))
    send_to (self, &self->holder, &msg);
}

void
control_request_hellos (control_t *self)
{
  peer_msg_t msg = new_msg (self, PEER_HELLO_REQUEST);

  msg.version = self->place.table.version;
  send_to_all (self, &msg);
}

void
control_announce_commit (control_t *self, uint64_t version)
{
  peer_msg_t msg = new_msg (self, PEER_COMMITTED);

  msg.version = version;
  send_to_all (self, &msg);
}

void
control_send_lease (control_t *self, const lease_out_t *effect)
{
  peer_msg_t msg
      = new_msg (self,
                 effect->kind == LEASE_SEND_QUERY ? PEER_LEASE_QUERY : PEER_LEASE_REPLY);

  msg.version = effect->version;
  msg.seq = effect->seq;
  msg.vote = effect->vote;
  msg.age = effect->kind == LEASE_SEND_REPLY ? effect->age : -1;
  send_to (self, &effect->to.name, &msg);
}

void
control_broadcast_suspect (control_t *self, const suspect_out_t *suspect)
{
  peer_msg_t msg = new_msg (self, PEER_SUSPECT);

  msg.fingerprint = suspect->fingerprint;
  msg.target = suspect->target;
  msg.cleared = suspect->cleared;
  send_to_all (self, &msg);
}

/* Moves the load of the slot with the most requests from LOADS to MSG. */
static void
move_heaviest (uint32_t *loads, peer_msg_t *msg)
{
  uint32_t heaviest = 0;

  for (uint32_t s = 1; s < SLOT_COUNT; s++)
    if (loads[s] > loads[heaviest])
      heaviest = s;
  msg->loads[msg->n_loads++] = (peer_load_t){ (uint16_t)heaviest, loads[heaviest] };
  loads[heaviest] = 0;
}

static void
send_slot_loads (control_t *self, uint32_t keyed)
{
  peer_msg_t msg = new_msg (self, PEER_LOADS);

  msg.keyed_index = keyed;
  for (uint32_t i = 0; i < PEER_LOADS_MAX; i++)
    move_heaviest (self->own_loads[keyed], &msg);
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    msg.other_load += self->own_loads[keyed][s];
  send_to (self, &self->holder, &msg);
}

static void
add_own_loads (control_t *self)
{
  for (uint32_t k = 0; k < KEYED_MAX; k++)
    for (uint32_t s = 0; s < SLOT_COUNT; s++)
      self->interval_loads[k][s] += self->own_loads[k][s];
}

void
control_report_loads (control_t *self)
{
  if (place_is_holder (&self->place))
    add_own_loads (self);
  else
    for (uint32_t i = 0; i < self->config.n_services; i++)
      if (self->config.services[i].keyed)
        send_slot_loads (self, self->config.services[i].keyed_index);
  memset (self->own_loads, 0, sizeof self->own_loads);
}

static void
handle_hello (control_t *self, const peer_msg_t *msg)
{
  place_msg_t hello = { .kind = PLACE_HELLO,
                        .host = msg->from,
                        .version = msg->version,
                        .leaving = msg->leaving };

  control_handle_place (self, &hello);
}

static void
handle_loads (control_t *self, const peer_msg_t *msg)
{
  uint32_t *interval_loads = self->interval_loads[msg->keyed_index];

  for (uint32_t i = 0; i < msg->n_loads; i++)
    interval_loads[msg->loads[i].slot] += msg->loads[i].load;
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    interval_loads[s] += msg->other_load / SLOT_COUNT;
}

static void
handle_lease (control_t *self, const peer_msg_t *msg)
{
  bool is_query = msg->kind == PEER_LEASE_QUERY;
  lease_msg_t lease = { .kind = is_query ? LEASE_QUERY_RECEIVED : LEASE_REPLY_RECEIVED,
                        .version = msg->version,
                        .from = host_id (&msg->from),
                        .seq = is_query || msg->kind == PEER_LEASE_REPLY ? msg->seq : 0,
                        .vote = msg->vote,
                        .age = msg->age };

  control_handle_lease (self, &lease);
}

static void
reply_hello (control_t *self, const peer_msg_t *msg)
{
  peer_msg_t hello = new_msg (self, PEER_HELLO);

  send_to (self, &msg->from.name, &hello);
}

void
control_receive (void *owner, const peer_msg_t *msg)
{
  control_t *self = owner;
  const worker_msg_t suspect
      = { .kind = WORKER_SUSPECT,
          .suspect = { msg->fingerprint, msg->target, msg->cleared } };

  control_record_host (self, &msg->from);
  switch (msg->kind)
    {
    case PEER_HELLO:
      handle_hello (self, msg);
      break;
    case PEER_HELLO_REQUEST:
      reply_hello (self, msg);
      handle_lease (self, msg);
      break;
    case PEER_LEASE_QUERY:
    case PEER_LEASE_REPLY:
    case PEER_COMMITTED:
      handle_lease (self, msg);
      break;
    case PEER_SUSPECT:
      control_post_workers (self, &suspect);
      break;
    case PEER_LOADS:
      handle_loads (self, msg);
      break;
    case PEER_KIND_COUNT:
      break;
    }
}
