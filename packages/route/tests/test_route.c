#include "route_fixture.h"

#include <string.h>

static void
test_key_is_sent_to_its_owner (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  route_id_t id = arrive (f, KEYED, 5, true, false);
  const route_out_t *send = find (f, ROUTE_SEND);
  assert_int_equal (send->target, 1);
  assert_int_equal (send->epoch, 1);
  answer (f, id, ANSWER_COMPLETE, 0);
  assert_non_null (find (f, ROUTE_DELIVER));
  assert_int_equal (f->route.n_requests, 0);
  free_fixture (f);
}

static void
test_no_send_without_lease (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  f->now += LEASE_MS;
  arrive (f, KEYED, 5, true, false);
  assert_null (find (f, ROUTE_SEND));
  lease_until (f, f->now + LEASE_MS);
  assert_non_null (find (f, ROUTE_SEND));
  free_fixture (f);
}

static void
test_no_lease_until_deadline_is_not_run (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  f->now += LEASE_MS;
  arrive (f, KEYED, 5, true, false);
  tick_after (f, TIMEOUT_MS);
  assert_int_equal (find (f, ROUTE_REFUSE)->outcome, ROUTE_OUTCOME_NOT_RUN);
  assert_int_equal (find (f, ROUTE_REFUSE)->reason, ROUTE_REASON_NO_LEASE);
  free_fixture (f);
}

static void
test_withdrawn_slot_waits_for_new_owner (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  f->table->version = 2;
  f->table->slots[0][5].next = 0;
  handle (f, (route_msg_t){ .kind = ROUTE_TABLE, .table = f->table });
  assert_int_equal (find (f, ROUTE_ACK)->version, 2);
  lease_until (f, f->now + LEASE_MS);
  arrive (f, KEYED, 5, true, false);
  assert_null (find (f, ROUTE_SEND));
  f->table->version = 3;
  f->table->slots[0][5] = (slot_t){ 0, INDEX_NONE, 3 };
  handle (f, (route_msg_t){ .kind = ROUTE_TABLE, .table = f->table });
  lease_until (f, f->now + LEASE_MS);
  assert_int_equal (find (f, ROUTE_SEND)->target, 0);
  assert_int_equal (find (f, ROUTE_SEND)->epoch, 3);
  free_fixture (f);
}

/* A target without fencing would also run requests sent under the old table, so the new
 * version is acknowledged only once they have ended. */
static void
test_unfenced_ack_waits_for_requests_to_former_owner (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  f->config.version = 2;
  f->config.services[KEYED].checks_fences = false;
  handle (f, (route_msg_t){ .kind = ROUTE_CONFIG, .config = &f->config });
  route_id_t id = arrive (f, KEYED, 5, true, false);
  f->table->version = 2;
  f->table->slots[0][5].next = 0;
  handle (f, (route_msg_t){ .kind = ROUTE_TABLE, .table = f->table });
  assert_null (find (f, ROUTE_ACK));
  answer (f, id, ANSWER_COMPLETE, 0);
  assert_int_equal (find (f, ROUTE_ACK)->version, 2);
  free_fixture (f);
}

static void
test_order_is_claimed_first (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  route_id_t id = arrive (f, ORDERS, 0, false, true);
  assert_non_null (find (f, ROUTE_CLAIM));
  assert_null (find (f, ROUTE_SEND));
  handle (f,
          (route_msg_t){ .kind = ROUTE_CLAIMED, .id = id, .claim = ROUTE_CLAIM_GRANTED });
  assert_non_null (find (f, ROUTE_SEND));
  free_fixture (f);
}

static void
test_repeated_order_is_unknown_or_replayed (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  route_id_t id = arrive (f, ORDERS, 0, false, true);
  handle (
      f,
      (route_msg_t){ .kind = ROUTE_CLAIMED, .id = id, .claim = ROUTE_CLAIM_REPEATED });
  assert_int_equal (find (f, ROUTE_REFUSE)->outcome, ROUTE_OUTCOME_UNKNOWN);
  id = arrive (f, ORDERS, 0, false, true);
  handle (f,
          (route_msg_t){ .kind = ROUTE_CLAIMED, .id = id, .claim = ROUTE_CLAIM_STORED });
  assert_non_null (find (f, ROUTE_REPLAY));
  assert_int_equal (f->route.n_requests, 0);
  free_fixture (f);
}

static void
test_order_not_claimed_in_time_is_not_run (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  arrive (f, ORDERS, 0, false, true);
  tick_after (f, TIMEOUT_MS);
  assert_int_equal (find (f, ROUTE_REFUSE)->outcome, ROUTE_OUTCOME_NOT_RUN);
  assert_int_equal (find (f, ROUTE_REFUSE)->reason, ROUTE_REASON_CLAIM_LATE);
  free_fixture (f);
}

static void
test_claim_is_released_if_not_run (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  route_id_t id = arrive (f, ORDERS, 0, false, true);
  handle (f,
          (route_msg_t){ .kind = ROUTE_CLAIMED, .id = id, .claim = ROUTE_CLAIM_GRANTED });
  answer (f, id, ANSWER_NOT_RUN, 10 * TIMEOUT_MS);
  assert_int_equal (find (f, ROUTE_REFUSE)->outcome, ROUTE_OUTCOME_NOT_RUN);
  assert_non_null (find (f, ROUTE_RELEASE));
  free_fixture (f);
}

static void
test_claim_is_kept_if_outcome_is_unknown (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  route_id_t id = arrive (f, ORDERS, 0, false, true);
  handle (f,
          (route_msg_t){ .kind = ROUTE_CLAIMED, .id = id, .claim = ROUTE_CLAIM_GRANTED });
  tick_after (f, TIMEOUT_MS);
  assert_non_null (find (f, ROUTE_CANCEL));
  assert_int_equal (find (f, ROUTE_REFUSE)->outcome, ROUTE_OUTCOME_UNKNOWN);
  assert_null (find (f, ROUTE_RELEASE));
  free_fixture (f);
}

static void
test_leaving_target_gets_no_new_requests (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  f->table->version = 2;
  f->table->targets[2].state = TARGET_LEAVING;
  handle (f, (route_msg_t){ .kind = ROUTE_TABLE, .table = f->table });
  for (int i = 0; i < 3; i++)
    {
      arrive (f, ORDERS, 0, true, false);
      assert_int_equal (find (f, ROUTE_SEND)->target, 3);
    }
  free_fixture (f);
}

static void
test_request_waits_while_targets_are_full (void **state)
{
  fixture_t *f = new_fixture ();
  route_id_t first = arrive (f, KEYED, 5, true, false);

  (void)state;
  arrive (f, KEYED, 5, true, false);
  arrive (f, KEYED, 5, true, false);
  arrive (f, KEYED, 5, true, false);
  assert_null (find (f, ROUTE_SEND));
  answer (f, first, ANSWER_COMPLETE, 0);
  assert_non_null (find (f, ROUTE_SEND));
  free_fixture (f);
}

static void
test_abandoned_request_is_cancelled (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  route_id_t id = arrive (f, KEYED, 5, true, false);
  handle (f, (route_msg_t){ .kind = ROUTE_ABANDONED, .id = id });
  assert_non_null (find (f, ROUTE_CANCEL));
  assert_int_equal (f->route.n_requests, 0);
  assert_int_equal (f->route.targets[1].limit.in_flight, 0);
  free_fixture (f);
}

static void
test_late_messages_of_ended_requests_are_ignored (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  route_id_t id = arrive (f, KEYED, 5, true, false);
  answer (f, id, ANSWER_COMPLETE, 0);
  answer (f, id, ANSWER_COMPLETE, 0);
  assert_null (find (f, ROUTE_DELIVER));
  fail_attempt (f, id, true);
  assert_null (find (f, ROUTE_REFUSE));
  free_fixture (f);
}

static void
test_full_request_table_refuses (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  for (uint32_t i = 0; i < REQUEST_MAX; i++)
    assert_int_not_equal (arrive (f, ORDERS, 0, true, false), ROUTE_ID_NONE);
  assert_int_equal (arrive (f, ORDERS, 0, true, false), ROUTE_ID_NONE);
  assert_int_equal (find (f, ROUTE_REFUSE)->reason, ROUTE_REASON_FULL);
  free_fixture (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_key_is_sent_to_its_owner),
    cmocka_unit_test (test_no_send_without_lease),
    cmocka_unit_test (test_no_lease_until_deadline_is_not_run),
    cmocka_unit_test (test_withdrawn_slot_waits_for_new_owner),
    cmocka_unit_test (test_unfenced_ack_waits_for_requests_to_former_owner),
    cmocka_unit_test (test_order_is_claimed_first),
    cmocka_unit_test (test_repeated_order_is_unknown_or_replayed),
    cmocka_unit_test (test_order_not_claimed_in_time_is_not_run),
    cmocka_unit_test (test_claim_is_released_if_not_run),
    cmocka_unit_test (test_claim_is_kept_if_outcome_is_unknown),
    cmocka_unit_test (test_leaving_target_gets_no_new_requests),
    cmocka_unit_test (test_request_waits_while_targets_are_full),
    cmocka_unit_test (test_abandoned_request_is_cancelled),
    cmocka_unit_test (test_late_messages_of_ended_requests_are_ignored),
    cmocka_unit_test (test_full_request_table_refuses),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
