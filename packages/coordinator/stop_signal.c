#include "stop_signal.h"

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

static const int stop_signals[] = { SIGTERM, SIGINT };

/* The handler reaches no other state. */
static int wake_fd = -1;
static atomic_int noted_signal;
static _Atomic int64_t noted_at;

static struct event *wake;
static stop_signal_t notify;
static void *notified;

static void
note_signal (int number)
{
  const uint64_t one = 1;
  const int saved_errno = errno;
  struct timespec now;
  int none = 0;

  clock_gettime (CLOCK_MONOTONIC, &now);
  const int64_t at = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
  int64_t unset = 0;
  if (atomic_compare_exchange_strong (&noted_at, &unset, at))
    atomic_compare_exchange_strong (&noted_signal, &none, number);
  if (write (wake_fd, &one, sizeof one) < 0)
    (void)0; /* it is full: the task has been woken */
  errno = saved_errno;
}

static void
on_wake (evutil_socket_t fd, short what, void *arg)
{
  uint64_t count;

  (void)what;
  (void)arg;
  if (read (fd, &count, sizeof count) > 0)
    notify (notified, atomic_load (&noted_signal), atomic_load (&noted_at));
}

bool
stop_signal_init (struct event_base *base, stop_signal_t done, void *owner)
{
  struct sigaction action = { .sa_handler = note_signal, .sa_flags = SA_RESTART };

  g_assert (wake_fd < 0);
  wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (wake_fd < 0)
    return false;
  atomic_store (&noted_at, 0);
  atomic_store (&noted_signal, 0);
  notify = done;
  notified = owner;
  wake = event_new (base, wake_fd, EV_READ | EV_PERSIST, on_wake, NULL);
  event_add (wake, NULL);
  sigemptyset (&action.sa_mask);
  for (size_t i = 0; i < G_N_ELEMENTS (stop_signals); i++)
    sigaction (stop_signals[i], &action, NULL);
  return true;
}

void
stop_signal_finish (void)
{
  struct sigaction action = { .sa_handler = SIG_IGN };

  sigemptyset (&action.sa_mask);
  for (size_t i = 0; i < G_N_ELEMENTS (stop_signals); i++)
    sigaction (stop_signals[i], &action, NULL);
  event_free (wake);
  close (wake_fd);
  wake_fd = -1;
}
