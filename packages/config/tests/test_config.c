#include "../answers.h"
#include "../config_json.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <glib/gstdio.h>
#include <string.h>

static const char valid_answers[]
    = "team = \"Team\"\n[weights]\nimbalance = 1\nchurn = 2\nunserved = 3\n"
      "[tolerate]\nhosts = 1\n"
      "[[service]]\nname = \"catalogue\"\npath = \"/catalogue/\"\nkey = \"path:2\"\n"
      "idempotent = [\"GET\", \"HEAD\"]\norder_id = \"none\"\nrefuses_repeats = false\n"
      "checks_fences = true\ndeadline_ms = 1000\nslots = 3\nconnections = 10\n"
      "cold_start_ms = 0\ndrain_ms = 0\n";

static status_t
load (const char *text, answers_t *answers, form_t *form)
{
  char *file = NULL;
  fault_t fault;
  int fd = g_file_open_tmp ("answers-XXXXXX", &file, NULL);

  assert_true (fd >= 0);
  close (fd);
  assert_true (g_file_set_contents (file, text, -1, NULL));
  status_t status = answers_load (answers, file, form, &fault);
  g_unlink (file);
  g_free (file);
  return status;
}

static char *
replaced (const char *from, const char *to)
{
  gchar **parts = g_strsplit (valid_answers, from, 2);
  char *text = g_strjoin (to, parts[0], parts[1], NULL);

  assert_non_null (parts[1]);
  g_strfreev (parts);
  return text;
}

/* Loads the valid answers with FROM replaced by TO and expects one fault, PROBLEM. */
static void
expect_fault (const char *from, const char *to, form_problem_t problem)
{
  char *text = replaced (from, to);
  answers_t answers;
  form_t form;

  assert_int_equal (load (text, &answers, &form), STATUS_ANSWERS);
  assert_int_equal (form.faults->len, 1);
  assert_int_equal (g_array_index (form.faults, form_fault_t, 0).problem, problem);
  form_finish (&form);
  g_free (text);
}

static void
test_derived_configuration_is_deterministic (void **state)
{
  answers_t answers;
  config_t config;
  form_t form;

  (void)state;
  assert_int_equal (load (valid_answers, &answers, &form), STATUS_OK);
  form_finish (&form);
  answers_derive (&answers, &config);
  char *first = config_to_json (&config);
  answers_derive (&answers, &config);
  char *second = config_to_json (&config);
  assert_string_equal (first, second);
  g_free (first);
  g_free (second);
}

static void
test_each_fault_has_its_kind (void **state)
{
  (void)state;
  expect_fault ("slots = 3\n", "", FORM_MISSING);
  expect_fault ("slots = 3", "slots = 0", FORM_OUT_OF_RANGE);
  expect_fault ("slots = 3", "slots = \"3\"", FORM_WRONG_KIND);
  expect_fault ("slots = 3", "slots = 3\nslotz = 3", FORM_UNKNOWN);
  expect_fault ("path:2", "path:none", FORM_OUT_OF_RANGE);
  expect_fault ("\"GET\", \"HEAD\"", "\"GET\", \"POST\"", FORM_RISK);
  expect_fault ("checks_fences = true", "checks_fences = false", FORM_RISK);
  expect_fault ("refuses_repeats = false", "refuses_repeats = true", FORM_CONTRADICTION);
  expect_fault ("connections = 10", "connections = 2", FORM_CONTRADICTION);
}

static void
test_all_faults_are_reported_together (void **state)
{
  answers_t answers;
  form_t form;

  (void)state;
  assert_int_equal (load ("teem = 3\n[wheights]\nx = 1\n", &answers, &form),
                    STATUS_ANSWERS);
  assert_true (form.faults->len >= 6);
  form_finish (&form);
}

static void
test_invalid_toml_is_reported (void **state)
{
  answers_t answers;
  form_t form;

  (void)state;
  assert_int_equal (load ("team = ", &answers, &form), STATUS_DECODE);
  form_finish (&form);
}

static void
test_json_round_trip (void **state)
{
  answers_t answers;
  config_t config, decoded;
  fault_t fault;
  form_t form;

  (void)state;
  load (valid_answers, &answers, &form);
  form_finish (&form);
  answers_derive (&answers, &config);
  char *text = config_to_json (&config);
  assert_int_equal (config_from_json (&decoded, text_from_c (text), &fault), STATUS_OK);
  assert_memory_equal (&config, &decoded, sizeof config);
  g_free (text);
}

/* Every truncation is rejected, and no change of a single byte crashes the decoder. */
static void
test_malformed_json_is_rejected (void **state)
{
  answers_t answers;
  config_t config, decoded;
  fault_t fault;
  form_t form;

  (void)state;
  load (valid_answers, &answers, &form);
  form_finish (&form);
  answers_derive (&answers, &config);
  char *text = config_to_json (&config);
  size_t len = strlen (text);
  for (size_t i = 0; i < len; i++)
    assert_int_equal (config_from_json (&decoded, (text_t){ text, i }, &fault),
                      STATUS_DECODE);
  for (size_t i = 0; i < len; i++)
    {
      char original = text[i];
      text[i] = (char)(original ^ 0x15);
      config_from_json (&decoded, (text_t){ text, len }, &fault);
      text[i] = original;
    }
  g_free (text);
}

static void
test_checksum_detects_manual_edits (void **state)
{
  char checksum[CONFIG_CHECKSUM_BYTES];

  (void)state;
  config_checksum (TEXT ("{\"slots\": 3}"), checksum);
  assert_true (config_checksum_matches (TEXT ("{\"slots\": 3}"), checksum));
  assert_false (config_checksum_matches (TEXT ("{\"slots\": 4}"), checksum));
  assert_false (config_checksum_matches (TEXT ("{\"slots\": 3}"), NULL));
}

static void
test_longest_prefix_is_selected (void **state)
{
  config_t config = { .n_services = 2 };

  (void)state;
  name_set (&config.services[0].prefix, TEXT ("/a/"));
  name_set (&config.services[1].prefix, TEXT ("/a/b/"));
  assert_int_equal (config_find_service (&config, TEXT ("/a/x")), 0);
  assert_int_equal (config_find_service (&config, TEXT ("/a/b/x")), 1);
  assert_int_equal (config_find_service (&config, TEXT ("/c")), -1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_derived_configuration_is_deterministic),
    cmocka_unit_test (test_each_fault_has_its_kind),
    cmocka_unit_test (test_all_faults_are_reported_together),
    cmocka_unit_test (test_invalid_toml_is_reported),
    cmocka_unit_test (test_json_round_trip),
    cmocka_unit_test (test_malformed_json_is_rejected),
    cmocka_unit_test (test_checksum_detects_manual_edits),
    cmocka_unit_test (test_longest_prefix_is_selected),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
