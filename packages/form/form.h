#pragma once

#include "toml_doc.h"

#include <stdio.h>

/*
 * FORM: decodes a TOML file into a plain struct, driven by a table of its fields.
 *
 * All faults of a file are collected, each with its line, its field and the
 * expected value, so that the user can correct them in one pass.
 */

typedef enum
{
  FORM_NAME,    /* name_t */
  FORM_UINT,    /* uint32_t, from lo to hi */
  FORM_REAL,    /* double, from lo to hi; integers are accepted too */
  FORM_BOOL,    /* bool */
  FORM_CHOICE,  /* uint32_t, the index of the word in choices */
  FORM_CHOICES, /* uint32_t, bit N is set if the list has word N of choices */
} form_kind_t;

typedef struct
{
  const char *key;
  form_kind_t kind;
  size_t offset;
  bool required;
  uint32_t lo, hi;
  const char *const *choices; /* NULL-terminated */
  const char *expected;       /* description for error messages */
} form_field_t;

typedef enum
{
  FORM_MISSING,
  FORM_UNKNOWN,
  FORM_WRONG_KIND,
  FORM_OUT_OF_RANGE,
  FORM_CONTRADICTION,
  FORM_RISK, /* accepted only if the file acknowledges the risk by name */
} form_problem_t;

typedef struct
{
  form_problem_t problem;
  int line;
  char *field;
  char *expected;
} form_fault_t;

typedef struct
{
  const char *file;
  GArray *faults; /* form_fault_t */
} form_t;

void form_init (form_t *self, const char *file);
void form_finish (form_t *self);

void form_add_fault (form_t *self,
                     form_problem_t problem,
                     int line,
                     const char *field,
                     const char *expected);

/*
 * Fills RECORD from the values of TABLE in DOC.  Absent fields keep their value in
 * RECORD.  Returns the number of values that DOC has in TABLE.
 */
size_t form_fill (form_t *self,
                  const toml_doc_t *doc,
                  const char *table,
                  const form_field_t *fields,
                  size_t n_fields,
                  void *record);

/* The same, but keys that FIELDS doesn't list are ignored. */
size_t form_fill_known (form_t *self,
                        const toml_doc_t *doc,
                        const char *table,
                        const form_field_t *fields,
                        size_t n_fields,
                        void *record);

/* Adds a fault for each value of DOC whose table is neither in TABLES, which is
 * NULL-terminated, nor an element of an array in it. */
void form_check_tables (form_t *self, const toml_doc_t *doc, const char *const *tables);

/* The line number of KEY in TABLE, counted from 1; 0 if it is absent. */
int form_line (const toml_doc_t *doc, const char *table, const char *key);

/* Whether DOC has a value in TABLE. */
bool form_has_table (const toml_doc_t *doc, const char *table);

bool form_ok (const form_t *self);

/* Writes a line for each fault to FILE. */
void form_print (const form_t *self, FILE *file);

/* STATUS_SETTINGS if the file had faults. */
status_t form_status (const form_t *self, fault_t *fault);

/* Prints the faults to FILE if STATUS, the result of a load, is STATUS_SETTINGS.
 * Finishes the form. */
void form_conclude (form_t *self, status_t status, FILE *file);
