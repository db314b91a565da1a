#include "form.h"

#include <string.h>

static const char *const problem_names[] = {
  [FORM_MISSING] = "missing",
  [FORM_UNKNOWN] = "unknown",
  [FORM_WRONG_KIND] = "wrong kind of value",
  [FORM_OUT_OF_RANGE] = "out of range",
  [FORM_CONTRADICTION] = "contradiction",
  [FORM_RISK] = "risk not acknowledged",
};

static void
clear_fault (void *item)
{
  form_fault_t *fault = item;

  g_free (fault->field);
  g_free (fault->expected);
}

static void
add_field_fault (form_t *self,
                 form_problem_t problem,
                 const char *table,
                 int line,
                 const char *key,
                 const char *expected)
{
  char *field = table[0] == 0 ? g_strdup (key) : g_strdup_printf ("%s.%s", table, key);

  form_add_fault (self, problem, line, field, expected);
  g_free (field);
}

static int
find_choice (const char *const *choices, text_t word)
{
  for (int i = 0; choices[i] != NULL; i++)
    if (text_equal (text_from_c (choices[i]), word))
      return i;
  return -1;
}

/* Returns FORM_MISSING on success, as parse_value does. */
static form_problem_t
parse_choices (const form_field_t *field, text_t list, uint32_t *bits)
{
  *bits = 0;
  while (list.len > 0)
    {
      text_t word = text_split (list, '\n', &list);
      int i = find_choice (field->choices, word);
      if (i < 0)
        return FORM_OUT_OF_RANGE;
      *bits |= 1u << i;
    }
  return FORM_MISSING;
}

/* Stores VALUE in RECORD.  Returns FORM_MISSING on success: a value that is present
 * can't have that problem. */
static form_problem_t
parse_value (const form_field_t *field, const toml_value_t *value, void *record)
{
  static const toml_kind_t expected_kinds[] = {
    [FORM_NAME] = TOML_STRING,   [FORM_UINT] = TOML_INTEGER,
    [FORM_REAL] = TOML_REAL,     [FORM_BOOL] = TOML_BOOLEAN,
    [FORM_CHOICE] = TOML_STRING, [FORM_CHOICES] = TOML_STRINGS,
  };
  char *dest = (char *)record + field->offset;
  text_t text = { value->string, value->string_len };

  bool integer_as_real = field->kind == FORM_REAL && value->kind == TOML_INTEGER;
  if (value->kind != expected_kinds[field->kind] && !integer_as_real)
    return FORM_WRONG_KIND;
  switch (field->kind)
    {
    case FORM_NAME:
      if (text.len == 0 || !name_set ((name_t *)dest, text))
        return FORM_OUT_OF_RANGE;
      break;
    case FORM_UINT:
      if (value->integer < field->lo || value->integer > field->hi)
        return FORM_OUT_OF_RANGE;
      *(uint32_t *)dest = (uint32_t)value->integer;
      break;
    case FORM_REAL:
      if (value->real < field->lo || value->real > field->hi)
        return FORM_OUT_OF_RANGE;
      *(double *)dest = value->real;
      break;
    case FORM_BOOL:
      *(bool *)dest = value->integer != 0;
      break;
    case FORM_CHOICE:
      {
        int i = find_choice (field->choices, text);
        if (i < 0)
          return FORM_OUT_OF_RANGE;
        *(uint32_t *)dest = (uint32_t)i;
        break;
      }
    case FORM_CHOICES:
      return parse_choices (field, text, (uint32_t *)dest);
    }
  return FORM_MISSING;
}

static const form_field_t *
find_field (const form_field_t *fields, size_t n, const char *key)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (fields[i].key, key) == 0)
      return &fields[i];
  return NULL;
}

void
form_init (form_t *self, const char *file)
{
  self->file = file;
  self->faults = g_array_new (FALSE, FALSE, sizeof (form_fault_t));
  g_array_set_clear_func (self->faults, clear_fault);
}

void
form_finish (form_t *self)
{
  g_array_unref (self->faults);
}

void
form_add_fault (form_t *self,
                form_problem_t problem,
                int line,
                const char *field,
                const char *expected)
{
  form_fault_t fault = { problem, line, g_strdup (field), g_strdup (expected) };

  g_array_append_val (self->faults, fault);
}

static size_t
fill (form_t *self,
      const toml_doc_t *doc,
      const char *table,
      const form_field_t *fields,
      size_t n_fields,
      void *record,
      bool unknown_is_fault)
{
  size_t n_values = 0;

  for (size_t i = 0; i < doc->n; i++)
    {
      const toml_value_t *value = &doc->values[i];
      if (strcmp (value->table, table) != 0)
        continue;
      const form_field_t *field = find_field (fields, n_fields, value->key);
      n_values++;
      if (field == NULL && !unknown_is_fault)
        continue;
      if (field == NULL)
        {
          add_field_fault (self,
                           FORM_UNKNOWN,
                           table,
                           value->line,
                           value->key,
                           "no field of this name");
          continue;
        }
      form_problem_t problem = parse_value (field, value, record);
      if (problem != FORM_MISSING)
        add_field_fault (self, problem, table, value->line, value->key, field->expected);
    }
  for (size_t i = 0; i < n_fields; i++)
    if (fields[i].required && form_line (doc, table, fields[i].key) == 0)
      add_field_fault (self, FORM_MISSING, table, 0, fields[i].key, fields[i].expected);
  return n_values;
}

size_t
form_fill (form_t *self,
           const toml_doc_t *doc,
           const char *table,
           const form_field_t *fields,
           size_t n_fields,
           void *record)
{
  return fill (self, doc, table, fields, n_fields, record, true);
}

size_t
form_fill_known (form_t *self,
                 const toml_doc_t *doc,
                 const char *table,
                 const form_field_t *fields,
                 size_t n_fields,
                 void *record)
{
  return fill (self, doc, table, fields, n_fields, record, false);
}

void
form_check_tables (form_t *self, const toml_doc_t *doc, const char *const *tables)
{
  for (size_t i = 0; i < doc->n; i++)
    {
      text_t rest;
      text_t head = text_split (text_from_c (doc->values[i].table), '[', &rest);
      if (find_choice (tables, head) < 0)
        add_field_fault (self,
                         FORM_UNKNOWN,
                         doc->values[i].table,
                         doc->values[i].line,
                         doc->values[i].key,
                         "no table of this name");
    }
}

int
form_line (const toml_doc_t *doc, const char *table, const char *key)
{
  for (size_t i = 0; i < doc->n; i++)
    if (strcmp (doc->values[i].table, table) == 0
        && strcmp (doc->values[i].key, key) == 0)
      return doc->values[i].line;
  return 0;
}

bool
form_has_table (const toml_doc_t *doc, const char *table)
{
  for (size_t i = 0; i < doc->n; i++)
    if (strcmp (doc->values[i].table, table) == 0)
      return true;
  return false;
}

bool
form_ok (const form_t *self)
{
  return self->faults->len == 0;
}

void
form_print (const form_t *self, FILE *file)
{
  for (guint i = 0; i < self->faults->len; i++)
    {
      const form_fault_t *fault = &g_array_index (self->faults, form_fault_t, i);
      fprintf (file,
               "%s:%d: %s: %s; expected %s\n",
               self->file,
               fault->line,
               fault->field,
               problem_names[fault->problem],
               fault->expected);
    }
}

status_t
form_status (const form_t *self, fault_t *fault)
{
  if (form_ok (self))
    return STATUS_OK;
  return fault_raise (fault,
                      STATUS_SETTINGS,
                      "%s has %u faults",
                      self->file,
                      self->faults->len);
}

void
form_conclude (form_t *self, status_t status, FILE *file)
{
  if (status == STATUS_SETTINGS)
    form_print (self, file);
  form_finish (self);
}
