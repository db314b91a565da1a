#pragma once

#include "limits.h"

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * TEXT: length-counted strings.
 *
 * text_t is a view of bytes owned elsewhere, without a terminating zero.
 * name_t holds up to NAME_MAX_BYTES bytes inline and can be copied by
 * assignment.
 */

typedef struct
{
  const char *at;
  size_t len;
} text_t;

typedef struct
{
  uint8_t len;
  char at[NAME_MAX_BYTES];
} name_t;

#define TEXT(literal) ((text_t){ (literal), sizeof (literal) - 1 })
#define TEXT_NONE ((text_t){ NULL, 0 })

/* Arguments for a "%.*s" conversion. */
#define TEXT_ARG(t) (int)(t).len, (t).at
#define NAME_ARG(n) (int)(n).len, (n).at

/* Returns a view of a zero-terminated string; empty if STR is NULL. */
text_t text_from_c (const char *str);

bool text_equal (text_t a, text_t b);
bool text_has_prefix (text_t text, text_t prefix);

/* Splits TEXT at the first SEPARATOR: returns what precedes it and stores what follows in
 * *REST.  Without a SEPARATOR returns TEXT, and *REST is empty. */
text_t text_split (text_t text, char separator, text_t *rest);

/* Parses all of TEXT as an unsigned decimal number.  False if it isn't one or overflows.
 */
bool text_to_u64 (text_t text, uint64_t *value);

/* XXH3 hash, 64 bits. */
uint64_t text_hash (text_t text);

/* Returns a zero-terminated copy, to be freed with g_free. */
char *text_dup_c (text_t text);

/* Copies TEXT.  False if it is longer than NAME_MAX_BYTES; SELF is then unchanged. */
bool name_set (name_t *self, text_t text);
text_t name_text (const name_t *self);
bool name_equal (const name_t *a, const name_t *b);
