#include "../../core/rng.h"
#include "../table_rows.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#define MUTATIONS 20000

static table_t *
new_sample_table (void)
{
  table_t *table = g_new (table_t, 1);

  table_init (table);
  table->version = 9;
  table->holder_epoch = 2;
  table->n_hosts = table->n_targets = 2;
  for (uint32_t i = 0; i < 2; i++)
    {
      name_set (&table->hosts[i].name, i == 0 ? TEXT ("a") : TEXT ("b"));
      name_set (&table->hosts[i].address, TEXT ("127.0.0.1"));
      name_set (&table->hosts[i].data_centre, TEXT ("d"));
      table->hosts[i].incarnation = 40 + i;
      table->hosts[i].witness = i == 0;
      name_set (&table->targets[i].name, i == 0 ? TEXT ("x") : TEXT ("y"));
      name_set (&table->targets[i].address, TEXT ("127.0.0.1"));
      name_set (&table->targets[i].service, TEXT ("s"));
      name_set (&table->targets[i].data_centre, TEXT ("d"));
      table->targets[i].state = TARGET_LIVE;
    }
  for (uint32_t s = 0; s < SLOT_COUNT; s++)
    table->slots[0][s] = (slot_t){ (int16_t)(s / 100 % 2), INDEX_NONE, s / 300 };
  table->slots[0][17].next = 1;
  return table;
}

static status_t
read_row (table_t *table, const char *row, json_t *value)
{
  fault_t fault;
  status_t status = table_from_row (table, text_from_c (row), value, &fault);

  json_decref (value);
  return status;
}

static void
test_rows_round_trip (void **state)
{
  table_t *table = new_sample_table ();
  table_t *decoded = g_new (table_t, 1);
  char row[64];

  (void)state;
  table_init (decoded);
  assert_int_equal (read_row (decoded, ROW_HEAD, table_head_to_json (table)), STATUS_OK);
  assert_int_equal (read_row (decoded, ROW_MEMBERS, table_members_to_json (table)),
                    STATUS_OK);
  for (uint32_t k = 0; k < KEYED_MAX; k++)
    for (uint32_t b = 0; b < SLOT_BLOCKS; b++)
      {
        snprintf (row, sizeof row, ROW_SLOTS "%u/%u", k, b);
        assert_int_equal (read_row (decoded, row, table_block_to_json (table, k, b)),
                          STATUS_OK);
      }
  assert_int_equal (decoded->version, 9);
  assert_int_equal (decoded->hosts[1].incarnation, 41);
  assert_true (decoded->hosts[0].witness);
  for (uint32_t k = 0; k < KEYED_MAX; k++)
    for (uint32_t s = 0; s < SLOT_COUNT; s++)
      assert_true (slot_equal (&decoded->slots[k][s], &table->slots[k][s]));
  g_free (table);
  g_free (decoded);
}

static void
test_malformed_rows_are_rejected (void **state)
{
  static const char *const bad[][2] = {
    { ROW_HEAD, "{}" },
    { ROW_HEAD, "{\"version\": -1, \"epoch\": 0}" },
    { ROW_MEMBERS, "[]" },
    { ROW_MEMBERS, "{\"hosts\": [1], \"targets\": [], \"old\": []}" },
    { ROW_SLOTS "9/0", "[]" },
    { ROW_SLOTS "0/0", "[]" },
    { ROW_SLOTS "0/0", "[[256, 9999, -1, 0]]" },
    { ROW_SLOTS "0/0", "[[257, 0, -1, 0]]" },
    { ROW_SLOTS "0/0", "[[-1, 0, -1, 0]]" },
    { ROW_SLOTS "0/x", "[[256, 0, -1, 0]]" },
  };
  table_t *table = new_sample_table ();

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    assert_int_equal (read_row (table, bad[i][0], json_loads (bad[i][1], 0, NULL)),
                      STATUS_DECODE);
  g_free (table);
}

/* A row with altered bytes is rejected, or decodes to owners within bounds. */
static void
test_mutated_rows (void **state)
{
  table_t *table = new_sample_table ();
  json_t *value = table_block_to_json (table, 0, 0);
  char *text = json_dumps (value, JSON_COMPACT);
  rng_t rng;

  (void)state;
  json_decref (value);
  rng_init (&rng, 5);
  for (int i = 0; i < MUTATIONS; i++)
    {
      size_t at = rng_below (&rng, strlen (text));
      char saved = text[at];
      text[at] = "0123456789-[],"[rng_below (&rng, 14)];
      json_t *mutated = json_loads (text, 0, NULL);
      if (mutated != NULL)
        read_row (table, ROW_SLOTS "0/0", mutated);
      text[at] = saved;
      for (uint32_t s = 0; s < SLOT_BLOCK; s++)
        assert_in_range (table->slots[0][s].owner + 1, 0, TARGET_MAX);
    }
  free (text);
  g_free (table);
}

static void
test_host_lookup_compares_the_incarnation (void **state)
{
  table_t *table = new_sample_table ();
  host_id_t id = host_id (&table->hosts[0]);

  (void)state;
  assert_true (table_has_host (table, &id));
  id.incarnation++;
  assert_false (table_has_host (table, &id));
  g_free (table);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rows_round_trip),
    cmocka_unit_test (test_malformed_rows_are_rejected),
    cmocka_unit_test (test_mutated_rows),
    cmocka_unit_test (test_host_lookup_compares_the_incarnation),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
