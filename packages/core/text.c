#include "text.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

text_t
text_from_c (const char *str)
{
  if (str == NULL)
    return TEXT_NONE;
  return (text_t){ str, strlen (str) };
}

bool
text_equal (text_t a, text_t b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.at, b.at, a.len) == 0);
}

bool
text_has_prefix (text_t text, text_t prefix)
{
  return text.len >= prefix.len && text_equal ((text_t){ text.at, prefix.len }, prefix);
}

text_t
text_split (text_t text, char separator, text_t *rest)
{
  const char *found = text.len == 0 ? NULL : memchr (text.at, separator, text.len);

  if (found == NULL)
    {
      *rest = TEXT_NONE;
      return text;
    }
  size_t head = (size_t)(found - text.at);
  *rest = (text_t){ found + 1, text.len - head - 1 };
  return (text_t){ text.at, head };
}

bool
text_to_u64 (text_t text, uint64_t *value)
{
  uint64_t sum = 0;

  if (text.len == 0)
    return false;
  for (size_t i = 0; i < text.len; i++)
    {
      if (text.at[i] < '0' || text.at[i] > '9')
        return false;
      uint64_t digit = (uint64_t)(text.at[i] - '0');
      if (sum > (UINT64_MAX - digit) / 10)
        return false;
      sum = sum * 10 + digit;
    }
  *value = sum;
  return true;
}

uint64_t
text_hash (text_t text)
{
  return XXH3_64bits (text.at, text.len);
}

char *
text_dup_c (text_t text)
{
  return g_strndup (text.at, text.len);
}

bool
name_set (name_t *self, text_t text)
{
  if (text.len > NAME_MAX_BYTES)
    return false;
  memset (self, 0, sizeof *self);
  if (text.len > 0)
    memcpy (self->at, text.at, text.len);
  self->len = (uint8_t)text.len;
  return true;
}

text_t
name_text (const name_t *self)
{
  return (text_t){ self->at, self->len };
}

bool
name_equal (const name_t *a, const name_t *b)
{
  return text_equal (name_text (a), name_text (b));
}
