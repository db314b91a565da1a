#include "trace.h"

#include "../core/json.h"
#include "../lease/lease_json.h"
#include "../place/place_json.h"

#include <stdlib.h>
#include <string.h>

/* A module of decision logic whose traces can be replayed. */
typedef struct
{
  const char *name;
  void *(*create) (const json_t *header);
  /* Passes MSG to the module and appends its outputs to OUTPUTS.  False if MSG is
   * malformed. */
  bool (*handle) (void *module, const json_t *msg, msec_t now, json_t *outputs);
  void (*destroy) (void *module);
} module_ops_t;

typedef struct
{
  lease_t lease;
  table_t table;
  GArray *out;
} lease_module_t;

typedef struct
{
  place_t place;
  place_msg_storage_t storage;
  GArray *out;
} place_module_t;

static json_int_t
get_int (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static void *
create_lease (const json_t *header)
{
  lease_module_t *module = g_new0 (lease_module_t, 1);
  host_id_t id = { .incarnation = (uint64_t)get_int (header, "incarnation") };

  json_get_name (header, "host", &id.name);
  lease_init (&module->lease, &lease_policy_majority, &id, get_int (header, "start"));
  module->out = g_array_new (FALSE, FALSE, sizeof (lease_out_t));
  return module;
}

static bool
handle_lease (void *context, const json_t *object, msec_t now, json_t *outputs)
{
  lease_module_t *module = context;
  lease_msg_t msg;

  if (!lease_msg_from_json (&msg, &module->table, object))
    return false;
  g_array_set_size (module->out, 0);
  lease_handle (&module->lease, &msg, now, module->out);
  for (guint i = 0; i < module->out->len; i++)
    json_array_append_new (
        outputs,
        lease_out_to_json (&g_array_index (module->out, lease_out_t, i)));
  return true;
}

static void
destroy_lease (void *context)
{
  lease_module_t *module = context;

  g_array_unref (module->out);
  g_free (module);
}

static void *
create_place (const json_t *header)
{
  place_module_t *module = g_new0 (place_module_t, 1);
  host_t host = { .incarnation = (uint64_t)get_int (header, "incarnation"),
                  .peer_port = (uint32_t)get_int (header, "peer_port") };

  json_get_name (header, "host", &host.name);
  json_get_name (header, "address", &host.address);
  json_get_name (header, "data_centre", &host.data_centre);
  place_init (&module->place, &place_policy_majority, &host, get_int (header, "start"));
  module->out = g_array_new (FALSE, FALSE, sizeof (place_out_t));
  return module;
}

static bool
handle_place (void *context, const json_t *object, msec_t now, json_t *outputs)
{
  place_module_t *module = context;
  place_msg_t msg;

  if (!place_msg_from_json (&msg, &module->storage, object))
    return false;
  g_array_set_size (module->out, 0);
  place_handle (&module->place, &msg, now, module->out);
  for (guint i = 0; i < module->out->len; i++)
    json_array_append_new (
        outputs,
        place_out_to_json (&g_array_index (module->out, place_out_t, i)));
  return true;
}

static void
destroy_place (void *context)
{
  place_module_t *module = context;

  g_array_unref (module->out);
  g_free (module);
}

static const module_ops_t modules[] = {
  { "lease", create_lease, handle_lease, destroy_lease },
  { "place", create_place, handle_place, destroy_place },
};

typedef struct
{
  FILE *file;
  const char *path;
  uint64_t line;
  json_t *object; /* the current line, or NULL at the end of the file */
} reader_t;

static status_t
read_line (reader_t *self, fault_t *fault)
{
  json_error_t error;
  char *text = NULL;
  size_t capacity = 0;
  ssize_t len = getline (&text, &capacity, self->file);

  json_decref (self->object);
  self->object = NULL;
  if (len >= 0)
    {
      self->line++;
      self->object = json_loadb (text, (size_t)len, 0, &error);
    }
  free (text);
  if (len >= 0 && !json_is_object (self->object))
    return fault_raise (fault,
                        STATUS_DECODE,
                        "%s:%" G_GUINT64_FORMAT ": no JSON object",
                        self->path,
                        self->line);
  return STATUS_OK;
}

static const module_ops_t *
find_module (const json_t *header)
{
  const char *name = json_string_value (json_object_get (header, "part"));

  if (get_int (header, "slots") != SLOT_COUNT)
    return NULL;
  for (size_t i = 0; i < G_N_ELEMENTS (modules); i++)
    if (g_strcmp0 (modules[i].name, name) == 0)
      return &modules[i];
  return NULL;
}

static void
record_difference (trace_result_t *result, uint64_t line)
{
  if (result->first_difference == 0)
    result->first_difference = line;
}

/* Compares the output lines that follow an input with the module's outputs. */
static status_t
compare_outputs (reader_t *reader,
                 const json_t *outputs,
                 trace_result_t *result,
                 fault_t *fault)
{
  size_t n = 0;
  status_t status;

  while ((status = read_line (reader, fault)) == STATUS_OK && reader->object != NULL)
    {
      const json_t *recorded = json_object_get (reader->object, "out");
      if (recorded == NULL)
        break;
      if (!json_equal (recorded, json_array_get (outputs, n)))
        record_difference (result, reader->line);
      n++;
    }
  if (n != json_array_size (outputs))
    record_difference (result, reader->line);
  result->outputs += n;
  return status;
}

static status_t
replay_inputs (reader_t *reader,
               const module_ops_t *ops,
               void *module,
               trace_result_t *result,
               fault_t *fault)
{
  status_t status = read_line (reader, fault);

  while (status == STATUS_OK && reader->object != NULL)
    {
      json_t *outputs = json_array ();
      json_t *object = json_incref (reader->object);
      bool valid = ops->handle (module,
                                json_object_get (object, "in"),
                                get_int (object, "at"),
                                outputs);
      if (valid)
        status = compare_outputs (reader, outputs, result, fault);
      else
        status = fault_raise (fault,
                              STATUS_DECODE,
                              "%s:%" G_GUINT64_FORMAT ": malformed input message",
                              reader->path,
                              reader->line);
      result->inputs++;
      json_decref (object);
      json_decref (outputs);
    }
  return status;
}

static status_t
replay_file (reader_t *reader, trace_result_t *result, fault_t *fault)
{
  status_t status = read_line (reader, fault);

  if (status != STATUS_OK)
    return status;
  const module_ops_t *ops = find_module (reader->object);
  if (ops == NULL)
    return fault_raise (fault,
                        STATUS_DECODE,
                        "%s:1: unknown module, or wrong number of slots",
                        reader->path);
  void *module = ops->create (reader->object);
  status = replay_inputs (reader, ops, module, result, fault);
  ops->destroy (module);
  return status;
}

status_t
trace_replay (const char *path, trace_result_t *result, fault_t *fault)
{
  reader_t reader = { .path = path, .file = fopen (path, "r") };

  memset (result, 0, sizeof *result);
  if (reader.file == NULL)
    return fault_raise (fault, STATUS_IO, "trace file %s can't be read", path);
  status_t status = replay_file (&reader, result, fault);
  json_decref (reader.object);
  fclose (reader.file);
  return status;
}
