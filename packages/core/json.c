#include "json.h"

text_t
json_text (const json_t *value)
{
  return (text_t){ json_string_value (value), json_string_length (value) };
}

json_t *
json_from_name (const name_t *name)
{
  return json_stringn (name->at, name->len);
}

bool
json_get_name (const json_t *object, const char *key, name_t *name)
{
  const json_t *value = json_object_get (object, key);

  return json_is_string (value) && name_set (name, json_text (value));
}

bool
json_get_u64 (const json_t *object, const char *key, uint64_t max, uint64_t *value)
{
  const json_t *item = json_object_get (object, key);

  if (!json_is_integer (item) || json_integer_value (item) < 0)
    return false;
  *value = (uint64_t)json_integer_value (item);
  return *value <= max;
}

uint64_t
json_number (const json_t *object, const char *key)
{
  uint64_t value = 0;

  return json_get_u64 (object, key, INT64_MAX, &value) ? value : 0;
}
