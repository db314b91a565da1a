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

/* The one thing that tasks share: lines of all tasks go to one descriptor. */
static struct
{
  pthread_mutex_t lock; /* not GLib's, whose order ThreadSanitizer does not see */
  int fd;
  char bytes[EVENTLOG_BUFFER_BYTES];
  size_t len;
  uint64_t lost;
  uint64_t lost_told;
  int64_t second;
  uint32_t routine;
  uint32_t left_out;
} log_state = { .lock = PTHREAD_MUTEX_INITIALIZER, .fd = -1 };

static void
append (const char *line, size_t len)
{
  if (log_state.len + len > sizeof log_state.bytes)
    {
      log_state.lost++;
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

  append (line, (size_t)len);
}

/* Whether a routine line still fits in this second's share. */
static bool
take_routine (const struct timespec *wall)
{
  if (log_state.second != wall->tv_sec)
    {
      if (log_state.left_out > 0)
        append_count (wall, "left_out", log_state.left_out);
      log_state.second = wall->tv_sec;
      log_state.routine = 0;
      log_state.left_out = 0;
    }
  if (log_state.routine < EVENTLOG_ROUTINE_PER_S)
    {
      log_state.routine++;
      return true;
    }
  log_state.left_out++;
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
  bool wanted = class != EVENT_ROUTINE || take_routine (&wall);
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
      if (log_state.lost > log_state.lost_told
          && log_state.len < sizeof log_state.bytes / 2)
        {
          append_count (&wall, "lost", log_state.lost - log_state.lost_told);
          log_state.lost_told = log_state.lost;
        }
      append (line, (size_t)len);
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
        break; /* the reader stands still; what doesn't fit later is counted as lost */
      memmove (log_state.bytes, log_state.bytes + n, log_state.len - (size_t)n);
      log_state.len -= (size_t)n;
    }
  pthread_mutex_unlock (&log_state.lock);
}

uint64_t
eventlog_lost (void)
{
  pthread_mutex_lock (&log_state.lock);
  uint64_t lost = log_state.lost;
  pthread_mutex_unlock (&log_state.lock);
  return lost;
}
