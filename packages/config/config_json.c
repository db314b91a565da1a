#include "config_json.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

typedef enum
{
  MEMBER_NAME,
  MEMBER_UINT,
  MEMBER_BOOL,
  MEMBER_FIELD,
} member_kind_t;

typedef struct
{
  const char *key;
  member_kind_t kind;
  size_t offset;
} member_t;

#define MEMBER(type, member, kind)                                                       \
  {                                                                                      \
#member, kind, offsetof(type, member)                                                \
  }

static const member_t config_members[] = {
  MEMBER (config_t, team, MEMBER_NAME),
  MEMBER (config_t, weight_imbalance, MEMBER_UINT),
  MEMBER (config_t, weight_churn, MEMBER_UINT),
  MEMBER (config_t, weight_unserved, MEMBER_UINT),
  MEMBER (config_t, tolerated_hosts, MEMBER_UINT),
};

static const member_t service_members[] = {
  MEMBER (service_t, name, MEMBER_NAME),
  MEMBER (service_t, prefix, MEMBER_NAME),
  MEMBER (service_t, keyed, MEMBER_BOOL),
  MEMBER (service_t, keyed_index, MEMBER_UINT),
  MEMBER (service_t, key, MEMBER_FIELD),
  MEMBER (service_t, idempotent, MEMBER_UINT),
  MEMBER (service_t, order_id, MEMBER_FIELD),
  MEMBER (service_t, refuses_repeats, MEMBER_BOOL),
  MEMBER (service_t, checks_fences, MEMBER_BOOL),
  MEMBER (service_t, not_run_status, MEMBER_UINT),
  MEMBER (service_t, deadline_ms, MEMBER_UINT),
  MEMBER (service_t, slots, MEMBER_UINT),
  MEMBER (service_t, connections, MEMBER_UINT),
  MEMBER (service_t, cold_start_ms, MEMBER_UINT),
  MEMBER (service_t, drain_ms, MEMBER_UINT),
  MEMBER (service_t, worth, MEMBER_UINT),
};

static json_t *
field_to_json (const request_field_t *field)
{
  switch (field->kind)
    {
    case REQUEST_FIELD_NONE:
      break;
    case REQUEST_FIELD_PATH:
      return json_sprintf ("path:%u", field->segment);
    case REQUEST_FIELD_QUERY:
      return json_sprintf ("query:%.*s", NAME_ARG (field->name));
    case REQUEST_FIELD_HEADER:
      return json_sprintf ("header:%.*s", NAME_ARG (field->name));
    }
  return json_string ("none");
}

static json_t *
member_to_json (const member_t *member, const char *data)
{
  const name_t *name = (const name_t *)data;

  switch (member->kind)
    {
    case MEMBER_NAME:
      return json_stringn (name->at, name->len);
    case MEMBER_UINT:
      return json_integer (*(const uint32_t *)data);
    case MEMBER_BOOL:
      return json_boolean (*(const bool *)data);
    case MEMBER_FIELD:
      return field_to_json ((const request_field_t *)data);
    }
  return NULL;
}

static json_t *
members_to_json (const member_t *members, size_t n, const void *record)
{
  json_t *object = json_object ();

  for (size_t i = 0; i < n; i++)
    json_object_set_new (
        object,
        members[i].key,
        member_to_json (&members[i], (const char *)record + members[i].offset));
  return object;
}

static bool
member_from_json (const member_t *member, const json_t *value, char *data)
{
  text_t text = { json_string_value (value), json_string_length (value) };

  switch (member->kind)
    {
    case MEMBER_NAME:
      return json_is_string (value) && name_set ((name_t *)data, text);
    case MEMBER_UINT:
      if (!json_is_integer (value) || json_integer_value (value) < 0
          || json_integer_value (value) > UINT32_MAX)
        return false;
      *(uint32_t *)data = (uint32_t)json_integer_value (value);
      return true;
    case MEMBER_BOOL:
      *(bool *)data = json_is_true (value);
      return json_is_boolean (value);
    case MEMBER_FIELD:
      return json_is_string (value)
             && request_field_parse ((request_field_t *)data, text);
    }
  return false;
}

static status_t
members_from_json (
    const member_t *members, size_t n, const json_t *object, void *record, fault_t *fault)
{
  for (size_t i = 0; i < n; i++)
    {
      const json_t *value = json_object_get (object, members[i].key);
      if (!member_from_json (&members[i], value, (char *)record + members[i].offset))
        return fault_raise (fault,
                            STATUS_DECODE,
                            "configuration: %s is missing or invalid",
                            members[i].key);
    }
  return STATUS_OK;
}

static status_t
services_from_json (config_t *self, const json_t *list, fault_t *fault)
{
  size_t n = json_array_size (list);

  if (n == 0 || n > SERVICE_MAX)
    return fault_raise (fault,
                        STATUS_DECODE,
                        "configuration: invalid number of services: %zu",
                        n);
  self->n_services = (uint32_t)n;
  for (size_t i = 0; i < n; i++)
    {
      status_t status = members_from_json (service_members,
                                           G_N_ELEMENTS (service_members),
                                           json_array_get (list, i),
                                           &self->services[i],
                                           fault);
      if (status != STATUS_OK)
        return status;
      if (self->services[i].keyed_index >= KEYED_MAX)
        return fault_raise (fault,
                            STATUS_DECODE,
                            "configuration: keyed_index is too large");
    }
  return STATUS_OK;
}

char *
config_to_json (const config_t *self)
{
  json_t *root = members_to_json (config_members, G_N_ELEMENTS (config_members), self);
  json_t *list = json_array ();

  for (uint32_t i = 0; i < self->n_services; i++)
    json_array_append_new (list,
                           members_to_json (service_members,
                                            G_N_ELEMENTS (service_members),
                                            &self->services[i]));
  json_object_set_new (root, "services", list);
  char *dump = json_dumps (root, JSON_SORT_KEYS | JSON_INDENT (1));
  char *copy = g_strdup (dump);
  free (dump);
  json_decref (root);
  return copy;
}

status_t
config_from_json (config_t *self, text_t text, fault_t *fault)
{
  json_error_t error;
  json_t *root = json_loadb (text.at, text.len, JSON_REJECT_DUPLICATES, &error);

  memset (self, 0, sizeof *self);
  if (root == NULL)
    return fault_raise (fault,
                        STATUS_DECODE,
                        "configuration: line %d: %s",
                        error.line,
                        error.text);
  status_t status = members_from_json (config_members,
                                       G_N_ELEMENTS (config_members),
                                       root,
                                       self,
                                       fault);
  if (status == STATUS_OK)
    status = services_from_json (self, json_object_get (root, "services"), fault);
  json_decref (root);
  return status;
}

void
config_checksum (text_t text, char checksum[CONFIG_CHECKSUM_BYTES])
{
  g_snprintf (checksum,
              CONFIG_CHECKSUM_BYTES,
              "%016" G_GINT64_MODIFIER "x",
              text_hash (text));
}

bool
config_checksum_matches (text_t text, const char *checksum)
{
  char expected[CONFIG_CHECKSUM_BYTES];

  config_checksum (text, expected);
  return g_strcmp0 (expected, checksum) == 0;
}
