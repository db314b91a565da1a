#include "../grant.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <string.h>

#define START 100000
#define TARGET_CLOCK 555000

typedef struct
{
  grant_t *grant;
  table_t *table;
  config_t config;
  GArray *out;
} fixture_t;

static void
handle (fixture_t *self, grant_msg_t msg, msec_t now)
{
  g_array_set_size (self->out, 0);
  grant_handle (self->grant, &msg, now, self->out);
}

static const grant_out_t *
find_call (const fixture_t *self)
{
  for (guint i = 0; i < self->out->len; i++)
    if (g_array_index (self->out, grant_out_t, i).kind == GRANT_SEND)
      return &g_array_index (self->out, grant_out_t, i);
  return NULL;
}

static void
answer (fixture_t *self, bool ok, uint64_t incarnation, msec_t now)
{
  handle (self,
          (grant_msg_t){ .kind = GRANT_ANSWER,
                         .ok = ok,
                         .clock = TARGET_CLOCK + now - START,
                         .incarnation = incarnation,
                         .version = 1 },
          now);
}

static fixture_t *
new_fixture (void)
{
  fixture_t *self = g_new0 (fixture_t, 1);
  name_t host;

  name_set (&host, TEXT ("a"));
  self->grant = g_new0 (grant_t, 1);
  self->table = g_new0 (table_t, 1);
  self->out = g_array_new (FALSE, FALSE, sizeof (grant_out_t));
  table_init (self->table);
  self->table->version = 1;
  self->table->n_targets = 1;
  name_set (&self->table->targets[0].name, TEXT ("x"));
  name_set (&self->table->targets[0].service, TEXT ("s"));
  self->table->targets[0].state = TARGET_LIVE;
  self->config.n_services = 1;
  name_set (&self->config.services[0].name, TEXT ("s"));
  self->config.services[0].keyed = true;
  self->config.services[0].checks_fences = true;
  grant_init (self->grant, &host);
  handle (self,
          (grant_msg_t){ .kind = GRANT_LEASE, .version = 1, .until = START + 10000 },
          START);
  handle (self,
          (grant_msg_t){ .kind = GRANT_TABLE,
                         .table = self->table,
                         .config = &self->config,
                         .holder = true },
          START);
  return self;
}

static void
free_fixture (fixture_t *self)
{
  g_array_unref (self->out);
  g_free (self->grant);
  g_free (self->table);
  g_free (self);
}

static void
test_first_call_only_reads_the_clock (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  assert_int_equal (find_call (f)->until, 0);
  answer (f, true, 7, START + 2);
  assert_int_equal (find_call (f)->until, TARGET_CLOCK + 2 + GRANT_MS);
  assert_int_equal (find_call (f)->incarnation, 7);
  free_fixture (f);
}

static void
test_no_grant_without_a_lease (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  handle (f, (grant_msg_t){ .kind = GRANT_LEASE, .version = 1, .until = 0 }, START + 1);
  answer (f, true, 7, START + 2);
  assert_int_equal (find_call (f)->until, 0);
  free_fixture (f);
}

/* After a failure the clock has to be read again: the target may have restarted, and the
 * known value may be from an earlier incarnation. */
static void
test_failure_discards_the_clock (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  answer (f, true, 7, START + 2);
  answer (f, false, 0, START + 400);
  assert_int_equal (find_call (f)->until, 0);
  free_fixture (f);
}

static void
test_one_call_in_flight_per_target (void **state)
{
  fixture_t *f = new_fixture ();

  (void)state;
  handle (f, (grant_msg_t){ .kind = GRANT_TICK }, START + 5000);
  assert_null (find_call (f));
  free_fixture (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_first_call_only_reads_the_clock),
    cmocka_unit_test (test_no_grant_without_a_lease),
    cmocka_unit_test (test_failure_discards_the_clock),
    cmocka_unit_test (test_one_call_in_flight_per_target),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
