#include "coordinator_parts.h"

#include "../core/eventlog.h"

/* A grant or release that was sent and not yet answered. */
typedef struct
{
  coordinator_t *coordinator;
  keys_out_t action;
  target_incarnation_t target;
  uint64_t tenure; /* the role's acquired_version when it was sent */
  msec_t started;
  msec_t written; /* 0: it wasn't, as far as is known */
} pending_command_t;

static void
free_pool (void *item)
{
  httpc_pool_finish (item);
  g_free (item);
}

static httpc_pool_t *
target_pool (coordinator_t *self, const name_t *address)
{
  char *key = text_dup_c (name_text (address));
  httpc_pool_t *pool;

  if (self->target_pools == NULL)
    self->target_pools
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_pool);
  pool = g_hash_table_lookup (self->target_pools, key);
  if (pool == NULL)
    {
      text_t port_text;
      text_t host = text_split (name_text (address), ':', &port_text);
      uint64_t port = 0;
      text_to_u64 (port_text, &port);
      pool = g_new0 (httpc_pool_t, 1);
      httpc_pool_init (pool, self->base, host, (uint16_t)port, COMMAND_CALL_MS);
      httpc_pool_set_call_limit (pool, COMMAND_LIMIT_MS);
      g_hash_table_insert (self->target_pools, g_strdup (key), pool);
    }
  g_free (key);
  return pool;
}

static void
log_command (const pending_command_t *command,
             const command_result_t *result,
             const char *event,
             msec_t now)
{
  const keys_out_t *action = &command->action;

  eventlog_write (
      EVENT_STATE,
      "keys",
      event,
      "service=%.*s target=%.*s address=%.*s born=%llu first=%u last=%u "
      "fence=%llu tenure=%llu hold_ms=%lld release=%d written_after_ms=%lld "
      "delivered=%d refused=%d after_ms=%lld",
      NAME_ARG (action->service),
      NAME_ARG (action->target),
      NAME_ARG (action->address),
      (unsigned long long)action->started_at,
      action->first,
      action->last,
      (unsigned long long)action->fence,
      (unsigned long long)command->tenure,
      (long long)action->hold,
      action->kind == KEYS_RELEASE,
      (long long)(command->written > 0 ? command->written - command->started : -1),
      result->delivered,
      result->refused,
      (long long)(now - command->started));
}

/* A response to a command stated it: this host's requests are bound by it as well. */
static void
note_leaving (coordinator_t *self, const target_incarnation_t *target)
{
  proxy_msg_t *msg = g_new0 (proxy_msg_t, 1);

  msg->kind = PROXY_LEAVING;
  msg->leaving = *target;
  discovery_post (self, msg);
  discovery_note_leaving (self, target, &self->settings->host);
}

static void
on_command_done (void *owner, const command_result_t *result)
{
  pending_command_t *command = owner;
  coordinator_t *self = command->coordinator;
  const command_outcome_t outcome = result->outcome;
  const target_incarnation_t target = command->target;
  bool release = command->action.kind == KEYS_RELEASE;
  keys_msg_t msg = { .service = command->action.service,
                     .call = command->action.call,
                     .release = release,
                     .sent = result->sent,
                     .answered = result->answered,
                     .delivered = result->delivered,
                     .refused = result->refused,
                     .shared = result->shared };

  switch (outcome)
    {
    case COMMAND_ACCEPTED:
      msg.kind = release ? KEYS_RELEASED : KEYS_GRANTED;
      if (!name_set (&msg.handover, result->handover))
        msg.handover.len = 0;
      break;
    case COMMAND_SUPERSEDED:
      msg.kind = KEYS_SUPERSEDED;
      break;
    case COMMAND_WRONG_TARGET:
      msg.kind = KEYS_OWNER_GONE;
      break;
    case COMMAND_FAILED:
      msg.kind = KEYS_CALL_FAILED;
      break;
    }
  if (outcome != COMMAND_ACCEPTED || release || command->action.first_grant)
    log_command (command,
                 result,
                 outcome == COMMAND_ACCEPTED       ? (release ? "released" : "granted")
                 : outcome == COMMAND_SUPERSEDED   ? "superseded"
                 : outcome == COMMAND_WRONG_TARGET ? "target_replaced"
                 : result->sent                    ? "command_unanswered"
                                                   : "command_not_sent",
                 msclock_now (&self->clock));
  g_free (command);
  grants_handle (self, &msg);
  if (result->leaving)
    note_leaving (self, &target);
}

/* Grants only in the tenure in which they were decided: no later one covers them. */
static bool
may_send_grant (void *owner)
{
  pending_command_t *command = owner;
  const coordinator_t *self = command->coordinator;

  command->written = msclock_now (&self->clock);
  return command->written < self->role.lease_end
         && command->tenure == self->role.acquired_version;
}

static void
send_command (coordinator_t *self, const keys_out_t *action)
{
  pending_command_t *command = g_new (pending_command_t, 1);
  msec_t now = msclock_now (&self->clock);
  httpc_pool_t *pool = target_pool (self, &action->address);
  key_command_t call = { .release = action->kind == KEYS_RELEASE,
                         .proof = action->proof,
                         .target = action->target,
                         .first = action->first,
                         .last = action->last,
                         .fence = action->fence,
                         .hold = action->hold,
                         .handover = action->handover,
                         .may_send = action->kind == KEYS_GRANT ? may_send_grant : NULL };
  const command_result_t not_sent = { .outcome = COMMAND_FAILED };

  *command = (pending_command_t){ self,
                                  *action,
                                  discovery_find_target (self, &action->target),
                                  self->role.acquired_version,
                                  now,
                                  0 };
  /* The role may have ended since the decision; no grant may be sent after that. */
  if (call.may_send != NULL && !call.may_send (command))
    {
      on_command_done (command, &not_sent);
      return;
    }
  /* A grant that was taken for answered must not arrive after the release. */
  if (call.release)
    httpc_pool_reset_idle (pool);
  self->deployment->send_command (pool,
                                  &call,
                                  on_command_done,
                                  command,
                                  g_get_monotonic_time () / 1000);
}

static void
log_range (const coordinator_t *self, const keys_out_t *out)
{
  bool freed = out->kind == KEYS_FREED;

  eventlog_write (EVENT_STATE,
                  "keys",
                  freed ? "freed" : "grant_in_flight",
                  "service=%.*s target=%.*s address=%.*s born=%llu first=%u last=%u "
                  "fence=%llu tenure=%llu why=%s remaining_ms=%lld unanswered_ms=%lld "
                  "inherited_ms=%lld fenced_off=%d",
                  NAME_ARG (out->service),
                  NAME_ARG (out->target),
                  NAME_ARG (out->address),
                  (unsigned long long)out->started_at,
                  out->first,
                  out->last,
                  (unsigned long long)out->fence,
                  (unsigned long long)self->role.acquired_version,
                  freed ? out->reason : "unanswered",
                  (long long)out->remaining,
                  (long long)out->unanswered,
                  (long long)out->inherited,
                  out->fenced_off);
}

static void
log_table (const keys_out_t *out)
{
  eventlog_write (EVENT_STATE,
                  "keys",
                  "assigned",
                  "service=%.*s runs=%u next_fence=%llu",
                  NAME_ARG (out->service),
                  out->table.ranges->len,
                  (unsigned long long)out->next_fence);
}

void
grants_handle (coordinator_t *self, const keys_msg_t *msg)
{
  guint from = self->key_actions->len;

  keys_handle (&self->keys, msg, msclock_now (&self->clock), self->key_actions);
  if (from > 0)
    return; /* called from within the loop below, which also processes these */
  for (guint i = 0; i < self->key_actions->len; i++)
    {
      keys_out_t out = g_array_index (self->key_actions, keys_out_t, i);
      switch (out.kind)
        {
        case KEYS_GRANT:
        case KEYS_RELEASE:
          send_command (self, &out);
          break;
        case KEYS_COMMIT:
          log_table (&out);
          role_queue_table (self, &out.table);
          break;
        case KEYS_UNANSWERED:
        case KEYS_FREED:
          log_range (self, &out);
          break;
        }
    }
  g_array_set_size (self->key_actions, 0);
}

void
grants_finish (coordinator_t *self)
{
  if (self->target_pools != NULL)
    g_hash_table_unref (self->target_pools);
}
