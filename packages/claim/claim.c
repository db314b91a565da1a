#include "claim.h"

#define CLAIM_RETRY_MS 50

static void
add_result (GArray *out,
            const claim_op_t *op,
            claim_outcome_t outcome,
            const stored_answer_t *stored)
{
  claim_out_t result = { .kind = CLAIM_OUT_RESULT,
                         .ticket = op->ticket,
                         .service = op->service,
                         .order_id = op->order_id,
                         .outcome = outcome,
                         .stored = stored };

  g_array_append_val (out, result);
}

static void
clear_op (claim_op_t *op)
{
  g_free (op->answer);
  op->answer = NULL;
}

static void
clear_ops (GArray *ops)
{
  for (guint i = 0; i < ops->len; i++)
    clear_op (&g_array_index (ops, claim_op_t, i));
  g_array_set_size (ops, 0);
}

/* A transaction can hold only one operation per row. */
static bool
is_row_in_group (const claim_t *self, const claim_op_t *op)
{
  for (guint i = 0; i < self->group->len; i++)
    {
      const claim_op_t *other = &g_array_index (self->group, claim_op_t, i);
      if (name_equal (&other->order_id, &op->order_id)
          && name_equal (&other->service, &op->service))
        return true;
    }
  return false;
}

static void
start_group (claim_t *self, msec_t now, GArray *out)
{
  guint n_kept = 0;

  for (guint i = 0; i < self->waiting->len; i++)
    {
      claim_op_t op = g_array_index (self->waiting, claim_op_t, i);
      if (self->group->len < CLAIM_GROUP_MAX && !is_row_in_group (self, &op))
        g_array_append_val (self->group, op);
      else
        g_array_index (self->waiting, claim_op_t, n_kept++) = op;
    }
  g_array_set_size (self->waiting, n_kept);
  self->window_start = now;
  self->writing = true;
  claim_out_t transact = { .kind = CLAIM_OUT_TRANSACT, .group = self->group };
  g_array_append_val (out, transact);
}

static void
start_if_due (claim_t *self, msec_t now, GArray *out)
{
  if (self->writing || self->waiting->len == 0 || now < self->retry_at)
    return;
  if (self->waiting->len >= CLAIM_GROUP_MAX || now - self->window_start >= CLAIM_GROUP_MS)
    start_group (self, now, out);
}

static void
complete_group (claim_t *self, GArray *out)
{
  for (guint i = 0; i < self->group->len; i++)
    {
      const claim_op_t *op = &g_array_index (self->group, claim_op_t, i);
      if (op->kind == CLAIM_OP_ACQUIRE)
        add_result (out, op, CLAIM_OUTCOME_GRANTED, NULL);
    }
  clear_ops (self->group);
}

static void
resolve_conflict (const claim_op_t *op,
                  claim_row_t row,
                  const stored_answer_t *stored,
                  GArray *out)
{
  if (row == CLAIM_ROW_OWN)
    add_result (out, op, CLAIM_OUTCOME_GRANTED, NULL);
  else if (row == CLAIM_ROW_DONE)
    add_result (out, op, CLAIM_OUTCOME_STORED, stored);
  else
    add_result (out, op, CLAIM_OUTCOME_REPEATED, NULL);
}

/* Ends the operations that conflicted; the others go into the next group. */
static void
handle_conflicts (claim_t *self, const claim_msg_t *msg, GArray *out)
{
  for (guint i = 0; i < self->group->len; i++)
    {
      claim_op_t *op = &g_array_index (self->group, claim_op_t, i);
      if (msg->rows[i] == CLAIM_ROW_MATCHED)
        {
          g_array_prepend_val (self->waiting, *op);
          continue;
        }
      if (op->kind == CLAIM_OP_ACQUIRE)
        resolve_conflict (op, msg->rows[i], &msg->stored[i], out);
      clear_op (op);
    }
  g_array_set_size (self->group, 0);
}

static void
handle_write_result (claim_t *self, const claim_msg_t *msg, msec_t now, GArray *out)
{
  self->writing = false;
  self->retry_at = now;
  switch (msg->write)
    {
    case CLAIM_WRITE_OK:
      complete_group (self, out);
      break;
    case CLAIM_WRITE_CONFLICT:
      handle_conflicts (self, msg, out);
      break;
    case CLAIM_WRITE_FAILED:
      g_array_prepend_vals (self->waiting, self->group->data, self->group->len);
      g_array_set_size (self->group, 0);
      self->retry_at = now + CLAIM_RETRY_MS;
      break;
    }
}

void
claim_init (claim_t *self)
{
  *self = (claim_t){ .waiting = g_array_new (FALSE, FALSE, sizeof (claim_op_t)),
                     .group = g_array_new (FALSE, FALSE, sizeof (claim_op_t)) };
}

void
claim_handle (claim_t *self, const claim_msg_t *msg, msec_t now, GArray *out)
{
  switch (msg->kind)
    {
    case CLAIM_MSG_OP:
      if (self->waiting->len == 0)
        self->window_start = now;
      g_array_append_val (self->waiting, msg->op);
      break;
    case CLAIM_MSG_TICK:
      break;
    case CLAIM_MSG_WRITE_RESULT:
      handle_write_result (self, msg, now, out);
      break;
    }
  start_if_due (self, now, out);
}

void
claim_finish (claim_t *self)
{
  clear_ops (self->waiting);
  clear_ops (self->group);
  g_array_unref (self->waiting);
  g_array_unref (self->group);
}

msec_t
claim_next_due (const claim_t *self)
{
  if (self->writing || self->waiting->len == 0)
    return MSEC_NEVER;
  return MAX (self->window_start + CLAIM_GROUP_MS, self->retry_at);
}
