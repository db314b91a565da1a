#pragma once

#include "../core/text.h"
#include "../form/form.h"

/*
 * SETTINGS: the start-up settings of one process: its host's name and data centre, its
 * address and ports, the platform's address, the number of workers and the log level.
 */

typedef struct
{
  name_t host;
  name_t data_centre;
  name_t address;
  uint32_t caller_port;
  uint32_t admin_port;
  uint32_t peer_port;
  name_t platform_address;
  uint32_t platform_port;
  uint32_t workers;
  uint32_t log_level;
  name_t trace_folder; /* empty: no traces are recorded */
} settings_t;

/*
 * Reads FILE.  All its faults are left in FORM, which the caller prints and
 * finishes.  STATUS_IO or STATUS_DECODE if the file can't be read as TOML,
 * STATUS_SETTINGS if FORM has faults.
 */
status_t settings_load (settings_t *self, const char *file, form_t *form, fault_t *fault);
