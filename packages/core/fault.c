#include "fault.h"

#include <stdio.h>

void
fault_clear (fault_t *self)
{
  self->status = STATUS_OK;
  self->len = 0;
}

status_t
fault_raise (fault_t *self, status_t status, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  int len = vsnprintf (self->message, sizeof self->message, format, args);
  va_end (args);
  self->status = status;
  self->len = len < 0 ? 0 : MIN ((size_t)len, sizeof self->message - 1);
  return status;
}

text_t
fault_text (const fault_t *self)
{
  return (text_t){ self->message, self->len };
}

const char *
status_name (status_t status)
{
  static const char *const names[] = {
    [STATUS_OK] = "ok",
    [STATUS_USAGE] = "usage",
    [STATUS_SETTINGS] = "settings",
    [STATUS_ANSWERS] = "answers",
    [STATUS_CONFIG] = "config",
    [STATUS_DECODE] = "decode",
    [STATUS_IO] = "io",
    [STATUS_UNAVAILABLE] = "unavailable",
    [STATUS_UNKNOWN] = "unknown",
    [STATUS_CONFLICT] = "conflict",
    [STATUS_FULL] = "full",
  };
  return names[status];
}
