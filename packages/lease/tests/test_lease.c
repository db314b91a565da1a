#include "../lease.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <string.h>

/* Hosts a, b and c are all witnesses; the lease under test is that of a. */

#define START 100000

typedef struct
{
  lease_t lease;
  table_t table;
  GArray *out;
} fixture_t;

static host_id_t
id_of (const char *name, uint64_t incarnation)
{
  host_id_t id = { .incarnation = incarnation };

  name_set (&id.name, text_from_c (name));
  return id;
}

static void
add_host (table_t *table, const char *name)
{
  host_t *host = &table->hosts[table->n_hosts++];

  name_set (&host->name, text_from_c (name));
  host->incarnation = 1;
  host->witness = true;
}

static void
handle (fixture_t *self, lease_msg_t msg, msec_t now)
{
  g_array_set_size (self->out, 0);
  lease_handle (&self->lease, &msg, now, self->out);
}

static void
load_table (fixture_t *self, uint64_t version, msec_t now)
{
  self->table.version = version;
  handle (self,
          (lease_msg_t){ .kind = LEASE_TABLE,
                         .version = version,
                         .table = &self->table,
                         .started = now },
          now);
}

static const lease_out_t *
find_effect (const fixture_t *self, lease_out_kind_t kind)
{
  for (guint i = 0; i < self->out->len; i++)
    if (g_array_index (self->out, lease_out_t, i).kind == kind)
      return &g_array_index (self->out, lease_out_t, i);
  return NULL;
}

static fixture_t *
new_fixture (const lease_policy_t *policy, uint64_t incarnation)
{
  fixture_t *self = g_new0 (fixture_t, 1);
  host_id_t id = id_of ("a", incarnation);

  lease_init (&self->lease, policy, &id, START);
  self->out = g_array_new (FALSE, FALSE, sizeof (lease_out_t));
  add_host (&self->table, "a");
  add_host (&self->table, "b");
  add_host (&self->table, "c");
  return self;
}

static void
free_fixture (fixture_t *self)
{
  g_array_unref (self->out);
  g_free (self);
}

static void
test_lease_runs_from_the_start_of_the_read (void **state)
{
  fixture_t *f = new_fixture (&lease_policy_majority, 1);

  (void)state;
  load_table (f, 5, START);
  handle (f,
          (lease_msg_t){ .kind = LEASE_READ,
                         .ok = true,
                         .started = START + 100,
                         .version = 5 },
          START + 600);
  assert_true (lease_covers (&f->lease, 5, START + 100 + LEASE_MS - 1));
  assert_false (lease_covers (&f->lease, 5, START + 100 + LEASE_MS));
  assert_false (lease_covers (&f->lease, 4, START + 200));
  free_fixture (f);
}

static void
test_host_outside_the_table_has_no_lease (void **state)
{
  fixture_t *f = new_fixture (&lease_policy_majority, 2);

  (void)state;
  load_table (f, 5, START);
  assert_false (lease_covers (&f->lease, 5, START + 1));
  free_fixture (f);
}

static void
test_higher_version_is_fetched_and_does_not_extend (void **state)
{
  fixture_t *f = new_fixture (&lease_policy_majority, 1);

  (void)state;
  load_table (f, 5, START);
  handle (f,
          (lease_msg_t){ .kind = LEASE_READ,
                         .ok = true,
                         .started = START + 100,
                         .version = 6 },
          START + 101);
  assert_non_null (find_effect (f, LEASE_FETCH_TABLE));
  assert_false (lease_covers (&f->lease, 5, START + LEASE_MS));
  free_fixture (f);
}

static void
test_older_table_is_ignored (void **state)
{
  fixture_t *f = new_fixture (&lease_policy_majority, 1);

  (void)state;
  load_table (f, 5, START);
  load_table (f, 4, START + 10);
  assert_int_equal (f->lease.version, 5);
  free_fixture (f);
}

static void
reply_with_vote (
    fixture_t *f, const char *from, uint64_t version, uint64_t seq, msec_t now)
{
  handle (f,
          (lease_msg_t){ .kind = LEASE_REPLY_RECEIVED,
                         .from = id_of (from, 1),
                         .version = version,
                         .seq = seq,
                         .vote = true,
                         .age = -1 },
          now);
}

/* Ticks without a read of the store until a query is sent; returns its number. */
static uint64_t
wait_for_query (fixture_t *f, msec_t *now)
{
  const lease_out_t *query = NULL;

  for (int i = 0; i < 40 && query == NULL; i++)
    {
      *now += 50;
      handle (f, (lease_msg_t){ .kind = LEASE_TICK }, *now);
      query = find_effect (f, LEASE_SEND_QUERY);
    }
  assert_non_null (query);
  return query->seq;
}

static void
test_majority_extends_from_the_start_of_the_query (void **state)
{
  fixture_t *f = new_fixture (&lease_policy_majority, 1);
  msec_t now = START;

  (void)state;
  load_table (f, 5, START);
  uint64_t seq = wait_for_query (f, &now);
  reply_with_vote (f, "b", 5, seq, now + 90);
  assert_true (lease_covers (&f->lease, 5, now + LEASE_MS - 1));
  assert_false (lease_covers (&f->lease, 5, now + LEASE_MS));
  free_fixture (f);
}

static void
test_vote_for_an_earlier_query_is_ignored (void **state)
{
  fixture_t *f = new_fixture (&lease_policy_majority, 1);
  msec_t now = START;

  (void)state;
  load_table (f, 5, START);
  uint64_t old = wait_for_query (f, &now);
  wait_for_query (f, &now);
  reply_with_vote (f, "b", 5, old, now + 1);
  assert_false (lease_covers (&f->lease, 5, START + LEASE_MS));
  free_fixture (f);
}

static void
test_vote_of_another_incarnation_is_ignored (void **state)
{
  fixture_t *f = new_fixture (&lease_policy_majority, 1);
  msec_t now = START;

  (void)state;
  load_table (f, 5, START);
  uint64_t seq = wait_for_query (f, &now);
  handle (f,
          (lease_msg_t){ .kind = LEASE_REPLY_RECEIVED,
                         .from = id_of ("b", 2),
                         .version = 5,
                         .seq = seq,
                         .vote = true,
                         .age = -1 },
          now);
  assert_false (lease_covers (&f->lease, 5, START + LEASE_MS));
  free_fixture (f);
}

static void
test_policy_stop_sends_no_queries (void **state)
{
  fixture_t *f = new_fixture (&lease_policy_stop, 1);

  (void)state;
  load_table (f, 5, START);
  for (msec_t now = START; now < START + 2000; now += 50)
    {
      handle (f, (lease_msg_t){ .kind = LEASE_TICK }, now);
      assert_null (find_effect (f, LEASE_SEND_QUERY));
    }
  free_fixture (f);
}

static void
test_witness_votes_only_for_its_version (void **state)
{
  fixture_t *f = new_fixture (&lease_policy_majority, 1);

  (void)state;
  load_table (f, 5, START);
  handle (f,
          (lease_msg_t){ .kind = LEASE_QUERY_RECEIVED,
                         .from = id_of ("b", 1),
                         .version = 4,
                         .seq = 9 },
          START + 1);
  assert_false (find_effect (f, LEASE_SEND_REPLY)->vote);
  assert_int_equal (find_effect (f, LEASE_SEND_REPLY)->age, -1);
  handle (f,
          (lease_msg_t){ .kind = LEASE_QUERY_RECEIVED,
                         .from = id_of ("b", 1),
                         .version = 5,
                         .seq = 10 },
          START + 1);
  assert_true (find_effect (f, LEASE_SEND_REPLY)->vote);
  assert_int_equal (find_effect (f, LEASE_SEND_REPLY)->seq, 10);
  free_fixture (f);
}

static void
test_no_vote_before_reading_the_store (void **state)
{
  fixture_t *f = new_fixture (&lease_policy_majority, 1);

  (void)state;
  handle (f,
          (lease_msg_t){ .kind = LEASE_QUERY_RECEIVED,
                         .from = id_of ("b", 1),
                         .version = 0,
                         .seq = 9 },
          START + 1);
  assert_false (find_effect (f, LEASE_SEND_REPLY)->vote);
  free_fixture (f);
}

static void
test_read_of_another_host_counts_from_its_start (void **state)
{
  fixture_t *f = new_fixture (&lease_policy_majority, 1);
  msec_t now = START;

  (void)state;
  load_table (f, 5, START);
  uint64_t seq = wait_for_query (f, &now);
  handle (f,
          (lease_msg_t){ .kind = LEASE_REPLY_RECEIVED,
                         .from = id_of ("b", 1),
                         .version = 5,
                         .seq = seq,
                         .age = 100 },
          now + 50);
  assert_true (lease_covers (&f->lease, 5, now - 100 + LEASE_MS - 1));
  assert_false (lease_covers (&f->lease, 5, now - 100 + LEASE_MS));
  free_fixture (f);
}

static void
test_clock_jump_revokes_the_lease (void **state)
{
  fixture_t *f = new_fixture (&lease_policy_long, 1);

  (void)state;
  load_table (f, 5, START);
  handle (f, (lease_msg_t){ .kind = LEASE_TICK }, START + 50);
  handle (f, (lease_msg_t){ .kind = LEASE_TICK }, START + 51 + CLOCK_GAP_MS);
  assert_non_null (find_effect (f, LEASE_REVOKE));
  assert_false (lease_covers (&f->lease, 5, START + 52 + CLOCK_GAP_MS));
  free_fixture (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lease_runs_from_the_start_of_the_read),
    cmocka_unit_test (test_host_outside_the_table_has_no_lease),
    cmocka_unit_test (test_higher_version_is_fetched_and_does_not_extend),
    cmocka_unit_test (test_older_table_is_ignored),
    cmocka_unit_test (test_majority_extends_from_the_start_of_the_query),
    cmocka_unit_test (test_vote_for_an_earlier_query_is_ignored),
    cmocka_unit_test (test_vote_of_another_incarnation_is_ignored),
    cmocka_unit_test (test_policy_stop_sends_no_queries),
    cmocka_unit_test (test_witness_votes_only_for_its_version),
    cmocka_unit_test (test_no_vote_before_reading_the_store),
    cmocka_unit_test (test_read_of_another_host_counts_from_its_start),
    cmocka_unit_test (test_clock_jump_revokes_the_lease),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
