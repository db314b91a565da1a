#include "classify.h"

#include "../table/table.h"

static text_t
path_segment (text_t path, uint32_t number)
{
  text_t rest = path;
  text_t segment = TEXT_NONE;

  if (path.len > 0 && path.at[0] == '/')
    rest = (text_t){ path.at + 1, path.len - 1 };
  for (uint32_t i = 0; i < number; i++)
    segment = text_split (rest, '/', &rest);
  return segment;
}

static text_t
query_value (text_t query, text_t name)
{
  while (query.len > 0)
    {
      text_t value;
      text_t pair = text_split (query, '&', &query);
      text_t key = text_split (pair, '=', &value);
      if (text_equal (key, name))
        return value;
    }
  return TEXT_NONE;
}

static text_t
find_field (const request_field_t *field, const request_view_t *view)
{
  switch (field->kind)
    {
    case REQUEST_FIELD_PATH:
      return path_segment (view->path, field->segment);
    case REQUEST_FIELD_QUERY:
      return query_value (view->query, name_text (&field->name));
    case REQUEST_FIELD_HEADER:
      return view->header (view->context, name_text (&field->name));
    case REQUEST_FIELD_NONE:
      break;
    }
  return TEXT_NONE;
}

class_result_t
classify (const config_t *config, const request_view_t *view, request_class_t *result)
{
  if (config->version == 0)
    return CLASS_NO_CONFIG;
  int i = config_find_service (config, view->path);
  if (i < 0)
    return CLASS_NO_SERVICE;
  const service_t *service = &config->services[i];
  *result = (request_class_t){ .service = (uint32_t)i, .keyed = service->keyed };
  result->idempotent = (service->idempotent & METHOD_BIT (view->method)) != 0;
  if (service->keyed)
    {
      result->key = find_field (&service->key, view);
      if (result->key.len == 0)
        return CLASS_NO_KEY;
      result->slot = table_slot (result->key);
    }
  if (!result->idempotent && service->order_id.kind != REQUEST_FIELD_NONE)
    {
      result->order_id = find_field (&service->order_id, view);
      if (result->order_id.len == 0 || result->order_id.len > NAME_MAX_BYTES)
        return CLASS_NO_ORDER_ID;
    }
  return CLASS_OK;
}
