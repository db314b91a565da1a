#include "../link_pack.h"
#include "../../core/limits.h"
#include "../../core/rng.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <string.h>

/* LINES lines of a configuration, each of them different. */
static GString *
make_row (unsigned lines)
{
  GString *row = g_string_new (NULL);
  rng_t rng;

  rng_init (&rng, 7);
  for (unsigned i = 0; i < lines; i++)
    g_string_append_printf (row,
                            "[\"r%08llx\",\"t.example\",\"/%08llx/\",\"mutating\"],",
                            (unsigned long long)rng_below (&rng, UINT32_MAX),
                            (unsigned long long)rng_below (&rng, UINT32_MAX));
  return row;
}

static text_t
text_of (const GString *string)
{
  return (text_t){ string->str, string->len };
}

static status_t
unpack (const GByteArray *packed, size_t len, text_t base, GString *out)
{
  fault_t fault;

  return link_unpack ((text_t){ (const char *)packed->data, len }, base, out, &fault);
}

static void
test_row_is_unpacked_with_its_base (void **state)
{
  GString *base = make_row (1400), *row = make_row (2800), *out = g_string_new ("x");
  GByteArray *whole = g_byte_array_new (), *patch = g_byte_array_new ();

  (void)state;
  link_pack (text_of (row), TEXT_NONE, whole);
  link_pack (text_of (row), text_of (base), patch);
  assert_true (whole->len < row->len);
  assert_true (patch->len < whole->len * 2 / 3);
  assert_int_equal (unpack (whole, whole->len, TEXT_NONE, out), STATUS_OK);
  assert_true (g_string_equal (out, row));
  assert_int_equal (unpack (patch, patch->len, text_of (base), out), STATUS_OK);
  assert_true (g_string_equal (out, row));
  g_byte_array_unref (whole);
  g_byte_array_unref (patch);
  g_string_free (base, TRUE);
  g_string_free (row, TRUE);
  g_string_free (out, TRUE);
}

static void
test_patch_of_another_base_is_rejected (void **state)
{
  GString *base = make_row (1400), *row = make_row (1500), *out = g_string_new (NULL);
  GByteArray *patch = g_byte_array_new ();

  (void)state;
  link_pack (text_of (row), text_of (base), patch);
  base->str[base->len / 2] ^= 1;
  assert_int_equal (unpack (patch, patch->len, text_of (base), out), STATUS_DECODE);
  assert_int_equal (unpack (patch, patch->len, TEXT_NONE, out), STATUS_DECODE);
  g_byte_array_unref (patch);
  g_string_free (base, TRUE);
  g_string_free (row, TRUE);
  g_string_free (out, TRUE);
}

static void
test_malformed_rows_are_rejected (void **state)
{
  static const char bomb[LINK_ROW_MAX_BYTES];
  GString *row = make_row (50), *out = g_string_new (NULL);
  GByteArray *packed = g_byte_array_new ();

  (void)state;
  link_pack (text_of (row), TEXT_NONE, packed);
  for (size_t len = 0; len < packed->len; len++)
    assert_int_equal (unpack (packed, len, TEXT_NONE, out), STATUS_DECODE);
  for (guint at = 0; at < packed->len; at++)
    {
      packed->data[at] ^= 0x55;
      if (unpack (packed, packed->len, TEXT_NONE, out) == STATUS_OK)
        assert_true (g_string_equal (out, row)); /* bits without a meaning */
      packed->data[at] ^= 0x55;
    }
  g_byte_array_set_size (packed, 0);
  link_pack ((text_t){ bomb, sizeof bomb }, TEXT_NONE, packed);
  assert_int_equal (unpack (packed, packed->len, TEXT_NONE, out), STATUS_OK);
  /* The size that the frame states is one byte above the limit. */
  guint8 *size = memmem (packed->data, 16, "\0\0\x40\0", 4);
  assert_non_null (size);
  size[0]++;
  assert_int_equal (unpack (packed, packed->len, TEXT_NONE, out), STATUS_DECODE);
  g_byte_array_unref (packed);
  g_string_free (row, TRUE);
  g_string_free (out, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_row_is_unpacked_with_its_base),
    cmocka_unit_test (test_patch_of_another_base_is_rejected),
    cmocka_unit_test (test_malformed_rows_are_rejected),
  };

  return cmocka_run_group_tests_name ("link-pack", tests, NULL, NULL);
}
