#include "log.h"

#include <stdio.h>
#include <time.h>

#define LOG_BLOCK_BYTES (64 * 1024)
#define LOG_LINE_MAX_BYTES 1024

/* Set by log_init before any task starts, read-only afterwards. */
static log_level_t log_level = LOG_NOTES;

static const struct
{
  GLogLevelFlags flag;
  const char *name;
} levels[] = {
  [LOG_ERRORS] = { G_LOG_LEVEL_CRITICAL, "error" },
  [LOG_WARNINGS] = { G_LOG_LEVEL_WARNING, "warning" },
  [LOG_NOTES] = { G_LOG_LEVEL_MESSAGE, "note" },
  [LOG_DECISIONS] = { G_LOG_LEVEL_INFO, "decision" },
};

static const char *
level_name (GLogLevelFlags flags)
{
  for (size_t i = 0; i < G_N_ELEMENTS (levels); i++)
    if (flags & levels[i].flag)
      return levels[i].name;
  return "note";
}

static GLogWriterOutput
write_line (GLogLevelFlags flags, const GLogField *fields, gsize n, gpointer data)
{
  const char *domain = "glib";
  const char *message = "";
  struct timespec wall;

  (void)data;
  for (gsize i = 0; i < n; i++)
    {
      if (g_strcmp0 (fields[i].key, "MESSAGE") == 0)
        message = fields[i].value;
      else if (g_strcmp0 (fields[i].key, "GLIB_DOMAIN") == 0)
        domain = fields[i].value;
    }
  clock_gettime (CLOCK_REALTIME, &wall);
  fprintf (stderr,
           "%lld.%03ld %s %s: %s\n",
           (long long)wall.tv_sec,
           wall.tv_nsec / 1000000,
           level_name (flags),
           domain,
           message);
  if (flags & (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING | G_LOG_LEVEL_ERROR))
    fflush (stderr);
  return G_LOG_WRITER_HANDLED;
}

void
log_init (log_level_t level)
{
  log_level = level;
  setvbuf (stderr, NULL, _IOFBF, LOG_BLOCK_BYTES);
  g_log_set_writer_func (write_line, NULL, NULL);
}

void
log_flush (void)
{
  fflush (stderr);
}

gboolean
log_decisions_enabled (void)
{
  return log_level >= LOG_DECISIONS;
}

void
log_line (const char *prefix, log_level_t level, const char *format, ...)
{
  char line[LOG_LINE_MAX_BYTES];
  va_list args;

  if (level > log_level)
    return;
  va_start (args, format);
  g_vsnprintf (line, sizeof line, format, args);
  va_end (args);
  const GLogField fields[] = { { "MESSAGE", line, -1 }, { "GLIB_DOMAIN", prefix, -1 } };
  g_log_structured_array (levels[level].flag, fields, G_N_ELEMENTS (fields));
}
