#include "../../core/rng.h"
#include "../peer_codec.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <string.h>

#define MUTATIONS 200000

static peer_msg_t
make_message (void)
{
  peer_msg_t msg = { .kind = PEER_LOADS,
                     .version = 77,
                     .config_version = 3,
                     .seq = UINT64_MAX,
                     .vote = true,
                     .age = -1,
                     .keyed_index = 1,
                     .other_load = 12,
                     .n_loads = 2,
                     .loads = { { 5, 100 }, { 9, 50 } } };

  name_set (&msg.from.name, TEXT ("host-1"));
  name_set (&msg.from.address, TEXT ("127.0.0.1"));
  name_set (&msg.from.data_centre, TEXT ("dc-1"));
  msg.from.peer_port = 7301;
  msg.from.incarnation = 123456789;
  return msg;
}

static void
test_round_trip (void **state)
{
  peer_msg_t msg = make_message (), decoded;
  msgpack_sbuffer buffer;
  fault_t fault;

  (void)state;
  msgpack_sbuffer_init (&buffer);
  peer_encode (&msg, &buffer);
  assert_true (buffer.size <= PEER_MESSAGE_MAX_BYTES);
  assert_int_equal (peer_decode (&decoded, buffer.data, buffer.size, &fault), STATUS_OK);
  assert_memory_equal (&msg, &decoded, sizeof msg);
  msgpack_sbuffer_destroy (&buffer);
}

static void
test_largest_message_fits_the_limit (void **state)
{
  peer_msg_t msg = make_message ();
  msgpack_sbuffer buffer;
  char long_name[NAME_MAX_BYTES];

  (void)state;
  memset (long_name, 'x', sizeof long_name);
  name_set (&msg.from.name, (text_t){ long_name, sizeof long_name });
  name_set (&msg.from.data_centre, (text_t){ long_name, sizeof long_name });
  msg.n_loads = PEER_LOADS_MAX;
  for (uint32_t i = 0; i < PEER_LOADS_MAX; i++)
    msg.loads[i] = (peer_load_t){ (uint16_t)(SLOT_COUNT - 1), UINT32_MAX };
  msgpack_sbuffer_init (&buffer);
  peer_encode (&msg, &buffer);
  assert_true (buffer.size <= PEER_MESSAGE_MAX_BYTES);
  msgpack_sbuffer_destroy (&buffer);
}

static void
test_truncated_messages_are_rejected (void **state)
{
  peer_msg_t msg = make_message (), decoded;
  msgpack_sbuffer buffer;
  fault_t fault;

  (void)state;
  msgpack_sbuffer_init (&buffer);
  peer_encode (&msg, &buffer);
  for (size_t len = 0; len < buffer.size; len++)
    assert_int_equal (peer_decode (&decoded, buffer.data, len, &fault), STATUS_DECODE);
  msgpack_sbuffer_destroy (&buffer);
}

/* An array and a map whose headers claim 2^31 - 1 items.  Both crashed an earlier
 * decoder; see is_scalar in peer_codec.c. */
static void
test_oversized_containers_are_rejected (void **state)
{
  static const char *const inputs[] = { "\xdd\x7f\xff\xff\xff", "\xdf\x7f\xff\xff\xff" };
  peer_msg_t decoded;
  fault_t fault;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (inputs); i++)
    assert_int_equal (peer_decode (&decoded, inputs[i], strlen (inputs[i]), &fault),
                      STATUS_DECODE);
}

/* A corrupted message is rejected, or its fields are within their limits. */
static void
test_corrupted_messages_stay_within_limits (void **state)
{
  peer_msg_t msg = make_message (), decoded;
  msgpack_sbuffer buffer;
  char bytes[PEER_MESSAGE_MAX_BYTES];
  fault_t fault;
  rng_t rng;

  (void)state;
  rng_init (&rng, 4);
  msgpack_sbuffer_init (&buffer);
  peer_encode (&msg, &buffer);
  for (int i = 0; i < MUTATIONS; i++)
    {
      memcpy (bytes, buffer.data, buffer.size);
      for (uint64_t k = rng_below (&rng, 4) + 1; k > 0; k--)
        bytes[rng_below (&rng, buffer.size)] = (char)rng_next (&rng);
      if (peer_decode (&decoded, bytes, buffer.size, &fault) != STATUS_OK)
        continue;
      assert_true (decoded.kind < PEER_KIND_COUNT);
      assert_true (decoded.n_loads <= PEER_LOADS_MAX);
      assert_true (decoded.keyed_index < KEYED_MAX);
      for (uint32_t s = 0; s < decoded.n_loads; s++)
        assert_true (decoded.loads[s].slot < SLOT_COUNT);
    }
  msgpack_sbuffer_destroy (&buffer);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_round_trip),
    cmocka_unit_test (test_largest_message_fits_the_limit),
    cmocka_unit_test (test_truncated_messages_are_rejected),
    cmocka_unit_test (test_oversized_containers_are_rejected),
    cmocka_unit_test (test_corrupted_messages_stay_within_limits),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
