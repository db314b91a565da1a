#pragma once

#include "config.h"

#include <jansson.h>

/* CONFIG_JSON: the JSON encoding of a configuration and its checksum. */

/* Encodes SELF as JSON with sorted keys, so that equal configurations give equal bytes.
 * Free with g_free. */
char *config_to_json (const config_t *self);

/* Decodes the output of config_to_json.  STATUS_DECODE with the name of the invalid
 * field. */
status_t config_from_json (config_t *self, text_t text, fault_t *fault);

/* Size of a checksum as a C string, with its terminator. */
#define CONFIG_CHECKSUM_BYTES 17

/* Writes the checksum of TEXT, 16 hexadecimal digits, which detects manual edits of
 * the stored configuration. */
void config_checksum (text_t text, char checksum[CONFIG_CHECKSUM_BYTES]);

/* Whether CHECKSUM, a C string or NULL, is the checksum of TEXT. */
bool config_checksum_matches (text_t text, const char *checksum);
