#pragma once

#include "../core/fault.h"

/*
 * TOML_DOC: a TOML file as a flat list of its values.
 *
 * Each value has the path of its table ("service[2]"), its key and its line
 * number.  A C interface to the toml++ library.
 */

typedef enum
{
  TOML_STRING,
  TOML_INTEGER,
  TOML_BOOLEAN,
  TOML_REAL,
  TOML_STRINGS,
  TOML_OTHER,
} toml_kind_t;

typedef struct
{
  char *table;
  char *key;
  toml_kind_t kind;
  int line;
  char *string; /* TOML_STRING; for TOML_STRINGS the items, each followed by a newline */
  size_t string_len;
  int64_t integer; /* TOML_INTEGER and TOML_BOOLEAN */
  double real;     /* TOML_REAL and TOML_INTEGER */
} toml_value_t;

typedef struct
{
  toml_value_t *values;
  size_t n;
  size_t capacity;
} toml_doc_t;

#ifdef __cplusplus
extern "C"
{
#endif

  /* Reads PATH.  STATUS_IO if it can't be read, STATUS_DECODE with the line if it isn't
   * TOML. */
  status_t toml_doc_init (toml_doc_t *self, const char *path, fault_t *fault);
  void toml_doc_finish (toml_doc_t *self);

#ifdef __cplusplus
}
#endif
