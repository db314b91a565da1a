#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <string>

extern "C"
{
#include "toml_doc.h"
}

static char *
copy_string (const std::string &s)
{
  char *copy = static_cast<char *> (std::malloc (s.size () + 1));
  std::memcpy (copy, s.data (), s.size ());
  copy[s.size ()] = 0;
  return copy;
}

static toml_value_t *
add_value (toml_doc_t *self, const std::string &table, const std::string &key, int line)
{
  if (self->n == self->capacity)
    {
      self->capacity = self->capacity == 0 ? 64 : self->capacity * 2;
      self->values = static_cast<toml_value_t *> (
          std::realloc (self->values, self->capacity * sizeof *self->values));
    }
  toml_value_t *value = &self->values[self->n++];
  *value = toml_value_t{};
  value->table = copy_string (table);
  value->key = copy_string (key);
  value->kind = TOML_OTHER;
  value->line = line;
  return value;
}

static void
set_string (toml_value_t *value, toml_kind_t kind, const std::string &s)
{
  value->kind = kind;
  value->string = copy_string (s);
  value->string_len = s.size ();
}

static void
walk_table (toml_doc_t *self, const std::string &name, const toml::table &table);

static void
walk_array (toml_doc_t *self,
            const std::string &table,
            const std::string &key,
            const toml::array &array)
{
  std::string path = table.empty () ? key : table + "." + key;

  if (!array.empty () && array[0].is_table ())
    {
      for (size_t i = 0; i < array.size (); i++)
        if (const toml::table *item = array[i].as_table ())
          walk_table (self, path + "[" + std::to_string (i) + "]", *item);
      return;
    }
  toml_value_t *value
      = add_value (self, table, key, static_cast<int> (array.source ().begin.line));
  std::string joined;
  for (const auto &item : array)
    {
      const auto *s = item.as_string ();
      if (s == nullptr)
        return;
      joined += s->get () + "\n";
    }
  set_string (value, TOML_STRINGS, joined);
}

static void
walk_table (toml_doc_t *self, const std::string &name, const toml::table &table)
{
  for (const auto &[key, node] : table)
    {
      std::string k (key.str ());
      if (const toml::table *inner = node.as_table ())
        {
          walk_table (self, name.empty () ? k : name + "." + k, *inner);
          continue;
        }
      if (const toml::array *array = node.as_array ())
        {
          walk_array (self, name, k, *array);
          continue;
        }
      toml_value_t *value
          = add_value (self, name, k, static_cast<int> (node.source ().begin.line));
      if (const auto *s = node.as_string ())
        set_string (value, TOML_STRING, s->get ());
      else if (const auto *i = node.as_integer ())
        {
          value->kind = TOML_INTEGER;
          value->integer = i->get ();
          value->real = static_cast<double> (i->get ());
        }
      else if (const auto *f = node.as_floating_point ())
        {
          value->kind = TOML_REAL;
          value->real = f->get ();
        }
      else if (const auto *b = node.as_boolean ())
        {
          value->kind = TOML_BOOLEAN;
          value->integer = b->get () ? 1 : 0;
        }
    }
}

extern "C" status_t
toml_doc_init (toml_doc_t *self, const char *path, fault_t *fault)
{
  *self = toml_doc_t{};
  std::ifstream file (path);
  if (!file)
    return fault_raise (fault, STATUS_IO, "%s: can't be read", path);
  try
    {
      toml::table root = toml::parse (file, std::string (path));
      walk_table (self, "", root);
    }
  catch (const toml::parse_error &error)
    {
      return fault_raise (fault,
                          STATUS_DECODE,
                          "%s:%u: not TOML: %s",
                          path,
                          error.source ().begin.line,
                          std::string (error.description ()).c_str ());
    }
  return STATUS_OK;
}

extern "C" void
toml_doc_finish (toml_doc_t *self)
{
  for (size_t i = 0; i < self->n; i++)
    {
      std::free (self->values[i].table);
      std::free (self->values[i].key);
      std::free (self->values[i].string);
    }
  std::free (self->values);
}
