#include "config.h"

#include <string.h>

bool
request_field_parse (request_field_t *self, text_t text)
{
  text_t rest;
  text_t kind = text_split (text, ':', &rest);
  uint64_t segment;

  memset (self, 0, sizeof *self);
  if (text_equal (text, TEXT ("none")))
    return true;
  if (text_equal (kind, TEXT ("path")))
    {
      self->kind = REQUEST_FIELD_PATH;
      if (!text_to_u64 (rest, &segment) || segment < 1 || segment > 16)
        return false;
      self->segment = (uint32_t)segment;
      return true;
    }
  if (text_equal (kind, TEXT ("query")))
    self->kind = REQUEST_FIELD_QUERY;
  else if (text_equal (kind, TEXT ("header")))
    self->kind = REQUEST_FIELD_HEADER;
  else
    return false;
  return rest.len > 0 && name_set (&self->name, rest);
}

int
config_find_service (const config_t *self, text_t path)
{
  int best = -1;

  for (uint32_t i = 0; i < self->n_services; i++)
    {
      const name_t *prefix = &self->services[i].prefix;
      if (!text_has_prefix (path, name_text (prefix)))
        continue;
      if (best < 0 || prefix->len > self->services[best].prefix.len)
        best = (int)i;
    }
  return best;
}

const service_t *
config_find_by_name (const config_t *self, const name_t *name)
{
  for (uint32_t i = 0; i < self->n_services; i++)
    if (name_equal (&self->services[i].name, name))
      return &self->services[i];
  return NULL;
}
