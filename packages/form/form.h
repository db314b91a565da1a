#pragma once

#include "toml_doc.h"

#include <stdio.h>

/*
 * FORM: fills a plain struct from a TOML file by a table of its fields.
 *
 * All faults of a file are collected, each with its line, its field and what
 * is expected, so that a reader mends them in one go.
 */

typedef enum
{
  FORM_NAME,    /* name_t */
  FORM_UINT,    /* uint32_t, from lo to hi */
  FORM_REAL,    /* double, from lo to hi; whole numbers are taken too */
  FORM_BOOL,    /* bool */
  FORM_CHOICE,  /* uint32_t, the index of the word in choices */
  FORM_CHOICES, /* uint32_t, a bit for each word given */
} form_kind_t;

typedef struct
{
  const char *key;
  form_kind_t kind;
  size_t offset;
  bool required;
  uint32_t lo, hi;
  const char *const *choices; /* ends in NULL */
  const char *expected;       /* for people */
} form_field_t;

typedef enum
{
  FORM_MISSING,
  FORM_UNKNOWN,
  FORM_WRONG_KIND,
  FORM_OUT_OF_RANGE,
  FORM_CONTRADICTION,
  FORM_RISK, /* allowed once acknowledged by name */
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
 * Fills RECORD from the values of TABLE in DOC.  Fields that are absent keep
 * what RECORD held.  Returns how many of the document's values it took.
 */
size_t form_fill (form_t *self,
                  const toml_doc_t *doc,
                  const char *table,
                  const form_field_t *fields,
                  size_t n_fields,
                  void *record);

/* The same, but a value of a key that FIELDS doesn't list is passed over. */
size_t form_fill_known (form_t *self,
                        const toml_doc_t *doc,
                        const char *table,
                        const form_field_t *fields,
                        size_t n_fields,
                        void *record);

/* Reports each value of DOC whose table is none of TABLES, nor an item of one. */
void form_check_tables (form_t *self, const toml_doc_t *doc, const char *const *tables);

/* The line of KEY in TABLE, 0 if it is absent. */
int form_line (const toml_doc_t *doc, const char *table, const char *key);

/* Whether DOC has a value in TABLE. */
bool form_has_table (const toml_doc_t *doc, const char *table);

bool form_ok (const form_t *self);

/* Writes a line for each fault to FILE. */
void form_print (const form_t *self, FILE *file);

/* STATUS_SETTINGS if the file had faults. */
status_t form_status (const form_t *self, fault_t *fault);

/* Prints the faults of a load that ended with STATUS, and finishes the form. */
void form_conclude (form_t *self, status_t status, FILE *file);
