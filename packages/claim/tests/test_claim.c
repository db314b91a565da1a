#include "../claim.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <string.h>

typedef struct
{
  claim_t claim;
  GArray *out;
  msec_t now;
} fixture_t;

static void
handle (fixture_t *self, claim_msg_t msg)
{
  g_array_set_size (self->out, 0);
  claim_handle (&self->claim, &msg, self->now, self->out);
}

static void
submit (fixture_t *self, claim_op_kind_t kind, ticket_t ticket, const char *order)
{
  claim_msg_t msg = { .kind = CLAIM_MSG_OP, .op = { .kind = kind, .ticket = ticket } };

  name_set (&msg.op.service, TEXT ("orders"));
  name_set (&msg.op.order_id, text_from_c (order));
  if (kind == CLAIM_OP_COMPLETE)
    msg.op.answer = g_new0 (stored_answer_t, 1);
  handle (self, msg);
}

static void
tick_after (fixture_t *self, msec_t delay)
{
  self->now += delay;
  handle (self, (claim_msg_t){ .kind = CLAIM_MSG_TICK });
}

static const claim_out_t *
find_effect (const fixture_t *self, claim_out_kind_t kind)
{
  for (guint i = 0; i < self->out->len; i++)
    if (g_array_index (self->out, claim_out_t, i).kind == kind)
      return &g_array_index (self->out, claim_out_t, i);
  return NULL;
}

static fixture_t *
new_fixture (void)
{
  fixture_t *self = g_new0 (fixture_t, 1);

  claim_init (&self->claim);
  self->out = g_array_new (FALSE, FALSE, sizeof (claim_out_t));
  self->now = 1000;
  return self;
}

static void
free_fixture (fixture_t *self)
{
  claim_finish (&self->claim);
  g_array_unref (self->out);
  g_free (self);
}

static void
finish_write (fixture_t *self, claim_write_t write, const claim_row_t *rows)
{
  static const stored_answer_t none[CLAIM_GROUP_MAX];

  handle (self,
          (claim_msg_t){ .kind = CLAIM_MSG_WRITE_RESULT,
                         .write = write,
                         .rows = rows,
                         .stored = none });
}

static void
test_claims_are_grouped_in_one_transaction (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  submit (f, CLAIM_OP_ACQUIRE, 1, "one");
  submit (f, CLAIM_OP_ACQUIRE, 2, "two");
  assert_null (find_effect (f, CLAIM_OUT_TRANSACT));
  tick_after (f, CLAIM_GROUP_MS);
  assert_int_equal (find_effect (f, CLAIM_OUT_TRANSACT)->group->len, 2);
  finish_write (f, CLAIM_WRITE_OK, NULL);
  assert_int_equal (f->out->len, 2);
  assert_int_equal (find_effect (f, CLAIM_OUT_RESULT)->outcome, CLAIM_OUTCOME_GRANTED);
  free_fixture (f);
}

static void
test_conflict_leaves_other_operations_pending (void **state)
{
  static const claim_row_t rows[] = { CLAIM_ROW_OTHER, CLAIM_ROW_MATCHED };
  fixture_t *f = new_fixture ();

  (void)state;
  submit (f, CLAIM_OP_ACQUIRE, 1, "one");
  submit (f, CLAIM_OP_ACQUIRE, 2, "two");
  tick_after (f, CLAIM_GROUP_MS);
  finish_write (f, CLAIM_WRITE_CONFLICT, rows);
  assert_int_equal (find_effect (f, CLAIM_OUT_RESULT)->ticket, 1);
  assert_int_equal (find_effect (f, CLAIM_OUT_RESULT)->outcome, CLAIM_OUTCOME_REPEATED);
  tick_after (f, CLAIM_GROUP_MS);
  assert_int_equal (find_effect (f, CLAIM_OUT_TRANSACT)->group->len, 1);
  free_fixture (f);
}

static void
test_retry_after_unknown_write_accepts_own_claim (void **state)
{
  static const claim_row_t rows[] = { CLAIM_ROW_OWN };
  fixture_t *f = new_fixture ();

  (void)state;
  submit (f, CLAIM_OP_ACQUIRE, 1, "one");
  tick_after (f, CLAIM_GROUP_MS);
  finish_write (f, CLAIM_WRITE_FAILED, NULL);
  assert_null (find_effect (f, CLAIM_OUT_RESULT));
  tick_after (f, 100);
  assert_non_null (find_effect (f, CLAIM_OUT_TRANSACT));
  finish_write (f, CLAIM_WRITE_CONFLICT, rows);
  assert_int_equal (find_effect (f, CLAIM_OUT_RESULT)->outcome, CLAIM_OUTCOME_GRANTED);
  free_fixture (f);
}

static void
test_completed_order_returns_stored_answer (void **state)
{
  static const claim_row_t rows[] = { CLAIM_ROW_DONE };
  fixture_t *f = new_fixture ();

  (void)state;
  submit (f, CLAIM_OP_ACQUIRE, 1, "one");
  tick_after (f, CLAIM_GROUP_MS);
  finish_write (f, CLAIM_WRITE_CONFLICT, rows);
  assert_int_equal (find_effect (f, CLAIM_OUT_RESULT)->outcome, CLAIM_OUTCOME_STORED);
  free_fixture (f);
}

static void
test_group_has_one_operation_per_row_in_order (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  submit (f, CLAIM_OP_ACQUIRE, 1, "one");
  submit (f, CLAIM_OP_RELEASE, 1, "one");
  tick_after (f, CLAIM_GROUP_MS);
  const GArray *group = find_effect (f, CLAIM_OUT_TRANSACT)->group;
  assert_int_equal (group->len, 1);
  assert_int_equal (g_array_index (group, claim_op_t, 0).kind, CLAIM_OP_ACQUIRE);
  finish_write (f, CLAIM_WRITE_OK, NULL);
  tick_after (f, CLAIM_GROUP_MS);
  group = find_effect (f, CLAIM_OUT_TRANSACT)->group;
  assert_int_equal (g_array_index (group, claim_op_t, 0).kind, CLAIM_OP_RELEASE);
  free_fixture (f);
}

static void
test_answer_write_is_retried_until_committed (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  submit (f, CLAIM_OP_COMPLETE, 1, "one");
  for (int i = 0; i < 5; i++)
    {
      tick_after (f, 100);
      assert_non_null (find_effect (f, CLAIM_OUT_TRANSACT));
      finish_write (f, CLAIM_WRITE_FAILED, NULL);
    }
  tick_after (f, 100);
  finish_write (f, CLAIM_WRITE_OK, NULL);
  assert_int_equal (claim_next_due (&f->claim), MSEC_NEVER);
  free_fixture (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_claims_are_grouped_in_one_transaction),
    cmocka_unit_test (test_conflict_leaves_other_operations_pending),
    cmocka_unit_test (test_retry_after_unknown_write_accepts_own_claim),
    cmocka_unit_test (test_completed_order_returns_stored_answer),
    cmocka_unit_test (test_group_has_one_operation_per_row_in_order),
    cmocka_unit_test (test_answer_write_is_retried_until_committed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
