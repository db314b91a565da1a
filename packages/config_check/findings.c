#include "findings.h"

void
findings_init (findings_t *self, const text_t *field_names)
{
  *self = (findings_t){ .field_names = field_names,
                        .list = g_array_new (FALSE, FALSE, sizeof (finding_t)),
                        .texts = g_string_chunk_new (1024) };
}

void
findings_finish (findings_t *self)
{
  g_array_unref (self->list);
  g_string_chunk_free (self->texts);
}

static text_t
keep (findings_t *self, const GString *text)
{
  return (text_t){ g_string_chunk_insert_len (self->texts, text->str, (gssize)text->len),
                   text->len };
}

void
findings_add (findings_t *self,
              finding_severity_t severity,
              const char *entry,
              text_t name,
              finding_field_t field,
              const char *format,
              ...)
{
  finding_t finding = { .severity = severity };
  text_t field_name = self->field_names[field];
  GString *text = g_string_new (entry);
  va_list args;

  if (name.len > 0)
    g_string_append_printf (text, " %.*s", TEXT_ARG (name));
  if (field_name.len > 0)
    g_string_append_printf (text, " %.*s", TEXT_ARG (field_name));
  finding.place = keep (self, text);
  va_start (args, format);
  g_string_vprintf (text, format, args);
  va_end (args);
  finding.why = keep (self, text);
  g_array_append_val (self->list, finding);
  g_string_free (text, TRUE);
}

uint32_t
findings_count (const findings_t *self, finding_severity_t severity)
{
  uint32_t n = 0;

  for (guint i = 0; i < self->list->len; i++)
    n += g_array_index (self->list, finding_t, i).severity == severity;
  return n;
}

const char *
finding_severity_name (finding_severity_t severity)
{
  static const char *const names[FINDING_SEVERITIES] = { [FINDING_CHANGE] = "change",
                                                         [FINDING_WARNING] = "warning",
                                                         [FINDING_ERROR] = "error" };

  return names[severity];
}
