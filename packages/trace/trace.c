#include "trace.h"

#include "../lease/lease_json.h"
#include "../place/place_json.h"

#include <stdlib.h>

static void
write_line (trace_t *self, json_t *object)
{
  json_dumpf (object, self->file, JSON_COMPACT | JSON_SORT_KEYS);
  fputc ('\n', self->file);
  json_decref (object);
}

static status_t
open_trace (trace_t *self, const char *path, json_t *header, fault_t *fault)
{
  self->file = fopen (path, "w");
  if (self->file == NULL)
    {
      json_decref (header);
      return fault_raise (fault, STATUS_IO, "trace file %s can't be written", path);
    }
  write_line (self, header);
  return STATUS_OK;
}

static json_t *
new_header (const char *module, const host_id_t *id, msec_t start)
{
  return json_pack ("{s:s,s:o,s:I,s:I,s:i}",
                    "part",
                    module,
                    "host",
                    json_stringn (id->name.at, id->name.len),
                    "incarnation",
                    (json_int_t)id->incarnation,
                    "start",
                    (json_int_t)start,
                    "slots",
                    SLOT_COUNT);
}

static void
write_input (trace_t *self, json_t *msg, msec_t now)
{
  write_line (self, json_pack ("{s:I,s:o}", "at", (json_int_t)now, "in", msg));
}

static void
write_output (trace_t *self, json_t *effect)
{
  write_line (self, json_pack ("{s:o}", "out", effect));
}

status_t
trace_open_lease (
    trace_t *self, const char *path, const host_id_t *host, msec_t start, fault_t *fault)
{
  return open_trace (self, path, new_header ("lease", host, start), fault);
}

status_t
trace_open_place (
    trace_t *self, const char *path, const host_t *host, msec_t start, fault_t *fault)
{
  host_id_t id = host_id (host);
  json_t *header = new_header ("place", &id, start);

  json_object_set_new (header,
                       "address",
                       json_stringn (host->address.at, host->address.len));
  json_object_set_new (header,
                       "data_centre",
                       json_stringn (host->data_centre.at, host->data_centre.len));
  json_object_set_new (header, "peer_port", json_integer (host->peer_port));
  return open_trace (self, path, header, fault);
}

void
trace_finish (trace_t *self)
{
  if (self->file != NULL)
    fclose (self->file);
  self->file = NULL;
}

void
trace_record_lease (
    trace_t *self, const lease_msg_t *msg, msec_t now, const GArray *out, guint from)
{
  if (self->file == NULL)
    return;
  write_input (self, lease_msg_to_json (msg), now);
  for (guint i = from; i < out->len; i++)
    write_output (self, lease_out_to_json (&g_array_index (out, lease_out_t, i)));
}

void
trace_record_place (
    trace_t *self, const place_msg_t *msg, msec_t now, const GArray *out, guint from)
{
  if (self->file == NULL)
    return;
  write_input (self, place_msg_to_json (msg), now);
  for (guint i = from; i < out->len; i++)
    write_output (self, place_out_to_json (&g_array_index (out, place_out_t, i)));
}
