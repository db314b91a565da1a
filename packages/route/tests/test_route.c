#include "route_world.h"

#include <string.h>

static void
test_key_goes_to_its_owner (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  route_id_t id = arrive (b, KEYED, 5, true, false);
  const route_out_t *send = find (b, ROUTE_SEND);
  assert_int_equal (send->target, 1);
  assert_int_equal (send->epoch, 1);
  answer (b, id, ANSWER_WHOLE, 0);
  assert_non_null (find (b, ROUTE_DELIVER));
  assert_int_equal (b->route.n_requests, 0);
  free_bench (b);
}

static void
test_no_lease_no_send (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  b->now += LEASE_MS;
  arrive (b, KEYED, 5, true, false);
  assert_null (find (b, ROUTE_SEND));
  lease_until (b, b->now + LEASE_MS);
  assert_non_null (find (b, ROUTE_SEND));
  free_bench (b);
}

static void
test_no_lease_till_the_deadline_is_not_run (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  b->now += LEASE_MS;
  arrive (b, KEYED, 5, true, false);
  tick_after (b, PATIENCE_MS);
  assert_int_equal (find (b, ROUTE_REFUSE)->fate, FATE_NOT_RUN);
  assert_int_equal (find (b, ROUTE_REFUSE)->why, WHY_NO_LEASE);
  free_bench (b);
}

static void
test_withdrawn_slot_waits_and_goes_on (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  b->table->version = 2;
  b->table->slots[0][5].next = 0;
  feed (b, (route_msg_t){ .kind = ROUTE_TABLE, .table = b->table });
  assert_int_equal (find (b, ROUTE_ACK)->version, 2);
  lease_until (b, b->now + LEASE_MS);
  arrive (b, KEYED, 5, true, false);
  assert_null (find (b, ROUTE_SEND));
  b->table->version = 3;
  b->table->slots[0][5] = (slot_t){ 0, NOBODY, 3 };
  feed (b, (route_msg_t){ .kind = ROUTE_TABLE, .table = b->table });
  lease_until (b, b->now + LEASE_MS);
  assert_int_equal (find (b, ROUTE_SEND)->target, 0);
  assert_int_equal (find (b, ROUTE_SEND)->epoch, 3);
  free_bench (b);
}

/* A target that can't tell old from new must be done before the version is acknowledged.
 */
static void
test_unfenced_version_waits_for_old_requests (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  b->config.version = 2;
  b->config.services[KEYED].checks_fences = false;
  feed (b, (route_msg_t){ .kind = ROUTE_CONFIG, .config = &b->config });
  route_id_t id = arrive (b, KEYED, 5, true, false);
  b->table->version = 2;
  b->table->slots[0][5].next = 0;
  feed (b, (route_msg_t){ .kind = ROUTE_TABLE, .table = b->table });
  assert_null (find (b, ROUTE_ACK));
  answer (b, id, ANSWER_WHOLE, 0);
  assert_int_equal (find (b, ROUTE_ACK)->version, 2);
  free_bench (b);
}

static void
test_order_is_claimed_first (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  route_id_t id = arrive (b, ORDERS, 0, false, true);
  assert_non_null (find (b, ROUTE_CLAIM));
  assert_null (find (b, ROUTE_SEND));
  feed (b, (route_msg_t){ .kind = ROUTE_CLAIMED, .id = id, .claim = CLAIM_GRANTED });
  assert_non_null (find (b, ROUTE_SEND));
  free_bench (b);
}

static void
test_repeated_order_is_unknown_or_replayed (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  route_id_t id = arrive (b, ORDERS, 0, false, true);
  feed (b, (route_msg_t){ .kind = ROUTE_CLAIMED, .id = id, .claim = CLAIM_REPEATED });
  assert_int_equal (find (b, ROUTE_REFUSE)->fate, FATE_UNKNOWN);
  id = arrive (b, ORDERS, 0, false, true);
  feed (b, (route_msg_t){ .kind = ROUTE_CLAIMED, .id = id, .claim = CLAIM_STORED });
  assert_non_null (find (b, ROUTE_REPLAY));
  assert_int_equal (b->route.n_requests, 0);
  free_bench (b);
}

static void
test_store_down_order_is_not_run (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  arrive (b, ORDERS, 0, false, true);
  tick_after (b, PATIENCE_MS);
  assert_int_equal (find (b, ROUTE_REFUSE)->fate, FATE_NOT_RUN);
  assert_int_equal (find (b, ROUTE_REFUSE)->why, WHY_CLAIMING);
  free_bench (b);
}

static void
test_not_run_claim_is_released (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  route_id_t id = arrive (b, ORDERS, 0, false, true);
  feed (b, (route_msg_t){ .kind = ROUTE_CLAIMED, .id = id, .claim = CLAIM_GRANTED });
  answer (b, id, ANSWER_NOT_RUN, 10 * PATIENCE_MS);
  assert_int_equal (find (b, ROUTE_REFUSE)->fate, FATE_NOT_RUN);
  assert_non_null (find (b, ROUTE_RELEASE));
  free_bench (b);
}

static void
test_unknown_claim_is_kept (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  route_id_t id = arrive (b, ORDERS, 0, false, true);
  feed (b, (route_msg_t){ .kind = ROUTE_CLAIMED, .id = id, .claim = CLAIM_GRANTED });
  tick_after (b, PATIENCE_MS);
  assert_non_null (find (b, ROUTE_CANCEL));
  assert_int_equal (find (b, ROUTE_REFUSE)->fate, FATE_UNKNOWN);
  assert_null (find (b, ROUTE_RELEASE));
  free_bench (b);
}

static void
test_leaving_target_gets_no_work (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  b->table->version = 2;
  b->table->targets[2].state = TARGET_LEAVING;
  feed (b, (route_msg_t){ .kind = ROUTE_TABLE, .table = b->table });
  for (int i = 0; i < 3; i++)
    {
      arrive (b, ORDERS, 0, true, false);
      assert_int_equal (find (b, ROUTE_SEND)->target, 3);
    }
  free_bench (b);
}

static void
test_full_targets_queue_and_drain (void **state)
{
  bench_t *b = new_bench ();
  route_id_t first = arrive (b, KEYED, 5, true, false);

  (void)state;
  arrive (b, KEYED, 5, true, false);
  arrive (b, KEYED, 5, true, false);
  arrive (b, KEYED, 5, true, false);
  assert_null (find (b, ROUTE_SEND));
  answer (b, first, ANSWER_WHOLE, 0);
  assert_non_null (find (b, ROUTE_SEND));
  free_bench (b);
}

static void
test_caller_gone_cancels (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  route_id_t id = arrive (b, KEYED, 5, true, false);
  feed (b, (route_msg_t){ .kind = ROUTE_GONE, .id = id });
  assert_non_null (find (b, ROUTE_CANCEL));
  assert_int_equal (b->route.n_requests, 0);
  assert_int_equal (b->route.targets[1].limit.in_flight, 0);
  free_bench (b);
}

static void
test_late_messages_of_ended_requests_are_dropped (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  route_id_t id = arrive (b, KEYED, 5, true, false);
  answer (b, id, ANSWER_WHOLE, 0);
  answer (b, id, ANSWER_WHOLE, 0);
  assert_null (find (b, ROUTE_DELIVER));
  break_off (b, id, true);
  assert_null (find (b, ROUTE_REFUSE));
  free_bench (b);
}

static void
test_full_table_is_an_answer (void **state)
{
  bench_t *b = new_bench ();

  (void)state;
  for (uint32_t i = 0; i < QUEUE_MAX; i++)
    assert_int_not_equal (arrive (b, ORDERS, 0, true, false), ROUTE_ID_NONE);
  assert_int_equal (arrive (b, ORDERS, 0, true, false), ROUTE_ID_NONE);
  assert_int_equal (find (b, ROUTE_REFUSE)->why, WHY_FULL);
  free_bench (b);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_key_goes_to_its_owner),
    cmocka_unit_test (test_no_lease_no_send),
    cmocka_unit_test (test_no_lease_till_the_deadline_is_not_run),
    cmocka_unit_test (test_withdrawn_slot_waits_and_goes_on),
    cmocka_unit_test (test_unfenced_version_waits_for_old_requests),
    cmocka_unit_test (test_order_is_claimed_first),
    cmocka_unit_test (test_repeated_order_is_unknown_or_replayed),
    cmocka_unit_test (test_store_down_order_is_not_run),
    cmocka_unit_test (test_not_run_claim_is_released),
    cmocka_unit_test (test_unknown_claim_is_kept),
    cmocka_unit_test (test_leaving_target_gets_no_work),
    cmocka_unit_test (test_full_targets_queue_and_drain),
    cmocka_unit_test (test_caller_gone_cancels),
    cmocka_unit_test (test_late_messages_of_ended_requests_are_dropped),
    cmocka_unit_test (test_full_table_is_an_answer),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
