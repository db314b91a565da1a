#pragma once

#include "text.h"

#include <jansson.h>

/* JSON: conversion of strings and numbers from and to jansson values. */

/* Returns a view of the string VALUE, valid as long as VALUE; empty if it is not
 * a string. */
text_t json_text (const json_t *value);
json_t *json_from_name (const name_t *name);

/* Copies the string under KEY.  False if there is none or it exceeds NAME_MAX_BYTES. */
bool json_get_name (const json_t *object, const char *key, name_t *name);

/* Reads the integer under KEY.  False if there is none or it is not within 0 to MAX. */
bool json_get_u64 (const json_t *object, const char *key, uint64_t max, uint64_t *value);

/* Returns the integer under KEY; 0 if there is none or it is negative. */
uint64_t json_number (const json_t *object, const char *key);
