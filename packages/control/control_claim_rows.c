#include "control_parts.h"

#include "../core/json.h"

#include <string.h>

#define ROW_ORDER "order/"

static char *
order_row_name (const claim_op_t *op)
{
  return g_strdup_printf (ROW_ORDER "%.*s/%.*s",
                          NAME_ARG (op->service),
                          NAME_ARG (op->order_id));
}

static json_t *
claim_value (const control_t *self, const claim_op_t *op)
{
  char *claimant = g_strdup_printf ("%.*s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
                                    NAME_ARG (self->host.name),
                                    self->host.incarnation,
                                    op->ticket);
  json_t *value = json_pack ("{s:s}", "claimed", claimant);

  g_free (claimant);
  return value;
}

static json_t *
answer_value (const stored_answer_t *answer)
{
  return json_pack ("{s:i,s:o,s:o}",
                    "status",
                    answer->status,
                    "type",
                    json_stringn (answer->type.at, answer->type.len),
                    "body",
                    json_stringn (answer->body, answer->len));
}

static void
add_operation (const control_t *self,
               const claim_op_t *op,
               json_t *conditions,
               json_t *writes)
{
  char *row = order_row_name (op);
  bool inserts = op->kind == CLAIM_OP_ACQUIRE;

  json_array_append_new (
      conditions,
      platform_condition (row, inserts ? NULL : claim_value (self, op)));
  if (inserts)
    json_object_set_new (writes, row, claim_value (self, op));
  else if (op->kind == CLAIM_OP_COMPLETE && op->answer->status != 0)
    json_object_set_new (writes, row, answer_value (op->answer));
  else if (op->kind == CLAIM_OP_RELEASE)
    json_object_set_new (writes, row, json_null ());
  g_free (row);
}

static void
parse_stored_answer (const json_t *value, stored_answer_t *stored)
{
  const json_t *body = json_object_get (value, "body");
  size_t len = json_string_length (body);

  stored->status = (int)json_number (value, "status");
  json_get_name (value, "type", &stored->type);
  stored->len = (uint16_t)MIN (len, STORED_ANSWER_MAX_BYTES);
  if (stored->len > 0)
    memcpy (stored->body, json_string_value (body), stored->len);
}

static claim_row_t
classify_claim_row (const control_t *self,
                    const claim_op_t *op,
                    const json_t *rows,
                    stored_answer_t *stored)
{
  char *row = order_row_name (op);
  json_t *own = claim_value (self, op);
  const json_t *value = json_object_get (rows, row);
  claim_row_t result = CLAIM_ROW_OTHER;

  if (value == NULL)
    result = CLAIM_ROW_MATCHED;
  else if (json_is_null (value))
    result = CLAIM_ROW_ABSENT;
  else if (json_equal (own, value))
    result = CLAIM_ROW_OWN;
  else if (json_object_get (value, "status") != NULL)
    {
      result = CLAIM_ROW_DONE;
      parse_stored_answer (value, stored);
    }
  json_decref (own);
  g_free (row);
  return result;
}

static void
report_conflicts (control_t *self, const platform_answer_t *answer)
{
  const json_t *rows = json_object_get (answer->body, "rows");
  guint n = self->claim.group->len;
  claim_row_t *row_states = g_new0 (claim_row_t, n);
  stored_answer_t *stored = g_new0 (stored_answer_t, n);
  claim_msg_t msg = { .kind = CLAIM_MSG_WRITE_RESULT,
                      .write = CLAIM_WRITE_CONFLICT,
                      .rows = row_states,
                      .stored = stored };

  for (guint i = 0; i < n; i++)
    row_states[i] = classify_claim_row (self,
                                        &g_array_index (self->claim.group, claim_op_t, i),
                                        rows,
                                        &stored[i]);
  control_handle_claim (self, &msg);
  g_free (row_states);
  g_free (stored);
}

static void
on_claims_written (void *owner, const platform_answer_t *answer)
{
  control_t *self = owner;
  claim_msg_t msg
      = { .kind = CLAIM_MSG_WRITE_RESULT,
          .write = answer->status == STATUS_OK ? CLAIM_WRITE_OK : CLAIM_WRITE_FAILED };

  if (answer->status == STATUS_CONFLICT)
    report_conflicts (self, answer);
  else
    control_handle_claim (self, &msg);
}

void
store_write_claims (control_t *self, const GArray *group)
{
  json_t *conditions = json_array ();
  json_t *writes = json_object ();

  for (guint i = 0; i < group->len; i++)
    add_operation (self, &g_array_index (group, claim_op_t, i), conditions, writes);
  platform_transact (&self->platform, conditions, writes, on_claims_written, self);
}
