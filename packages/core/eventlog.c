#include "eventlog.h"

#include "limits.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* The only state shared between tasks, since all tasks write to the same descriptor. */
static struct
{
  pthread_mutex_t lock; /* not a GMutex: ThreadSanitizer can't see its ordering */
  int fd;
  char bytes[EVENTLOG_BUFFER_BYTES];
  size_t len;
  uint64_t dropped;
  uint64_t dropped_reported;
  int64_t second; /* of the wall clock, in which lines are counted */
  struct
  {
    uint32_t written;
    uint32_t suppressed;
  } counts[EVENT_STATE]; /* by class of limited lines */
} log_state = { .lock = PTHREAD_MUTEX_INITIALIZER, .fd = -1 };

/* Lines per second and class; state lines are not limited. */
static const uint32_t lines_per_second[EVENT_STATE] = {
  [EVENT_ROUTINE] = EVENTLOG_ROUTINE_PER_S,
  [EVENT_FAILURE] = EVENTLOG_FAILURES_PER_S,
};

static void
append (event_class_t class, const char *line, size_t len)
{
  size_t reserved = class == EVENT_STATE ? 0 : EVENTLOG_STATE_RESERVE_BYTES;

  if (log_state.len + len > sizeof log_state.bytes - reserved)
    {
      log_state.dropped++;
      return;
    }
  memcpy (log_state.bytes + log_state.len, line, len);
  log_state.len += len;
}

static void
append_count (const struct timespec *wall, const char *event, uint64_t n)
{
  char line[128];
  int len = snprintf (line,
                      sizeof line,
                      "ts=%lld.%03ld part=log event=%s lines=%llu\n",
                      (long long)wall->tv_sec,
                      wall->tv_nsec / 1000000,
                      event,
                      (unsigned long long)n);

  append (EVENT_STATE, line, (size_t)len);
}

/* Counts a line of a limited class.  Returns whether it is within this second's limit. */
static bool
count_line (event_class_t class, const struct timespec *wall)
{
  if (log_state.second != wall->tv_sec)
    {
      uint64_t suppressed = 0;
      for (int i = 0; i < EVENT_STATE; i++)
        suppressed += log_state.counts[i].suppressed;
      if (suppressed > 0)
        append_count (wall, "suppressed", suppressed);
      log_state.second = wall->tv_sec;
      memset (log_state.counts, 0, sizeof log_state.counts);
    }
  if (log_state.counts[class].written < lines_per_second[class])
    {
      log_state.counts[class].written++;
      return true;
    }
  log_state.counts[class].suppressed++;
  return false;
}

void
eventlog_open (int fd)
{
  int flags = fcntl (fd, F_GETFL);

  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  log_state.fd = fd;
}

void
eventlog_write (
    event_class_t class, const char *part, const char *event, const char *format, ...)
{
  char line[EVENTLOG_LINE_BYTES];
  struct timespec wall;
  va_list args;

  if (log_state.fd < 0)
    return;
  clock_gettime (CLOCK_REALTIME, &wall);
  pthread_mutex_lock (&log_state.lock);
  bool wanted = class == EVENT_STATE || count_line (class, &wall);
  if (wanted)
    {
      int len = snprintf (line,
                          sizeof line,
                          "ts=%lld.%03ld part=%s event=%s ",
                          (long long)wall.tv_sec,
                          wall.tv_nsec / 1000000,
                          part,
                          event);
      va_start (args, format);
      len += vsnprintf (line + len, sizeof line - (size_t)len, format, args);
      va_end (args);
      len = MIN (len, (int)sizeof line - 2);
      line[len++] = '\n';
      if (log_state.dropped > log_state.dropped_reported
          && log_state.len < sizeof log_state.bytes / 2)
        {
          append_count (&wall, "lost", log_state.dropped - log_state.dropped_reported);
          log_state.dropped_reported = log_state.dropped;
        }
      append (class, line, (size_t)len);
    }
  pthread_mutex_unlock (&log_state.lock);
}

void
eventlog_flush (void)
{
  pthread_mutex_lock (&log_state.lock);
  while (log_state.len > 0 && log_state.fd >= 0)
    {
      ssize_t n = write (log_state.fd, log_state.bytes, log_state.len);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        break; /* the reader is blocked: later lines that don't fit are dropped */
      memmove (log_state.bytes, log_state.bytes + n, log_state.len - (size_t)n);
      log_state.len -= (size_t)n;
    }
  pthread_mutex_unlock (&log_state.lock);
}

uint64_t
eventlog_dropped_lines (void)
{
  pthread_mutex_lock (&log_state.lock);
  uint64_t dropped = log_state.dropped;
  pthread_mutex_unlock (&log_state.lock);
  return dropped;
}
