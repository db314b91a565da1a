#include "../../packages/core/mailbox.h"

#include <pthread.h>
#include <stdio.h>

/* MAILBOX: microseconds to pass a message from task to task, measured with one message
 * that two tasks pass back and forth. */

#define ROUNDS 200000

typedef struct
{
  struct event_base *base;
  mailbox_t mailbox;
  mailbox_t *peer_mailbox;
  int remaining;
} bench_task_t;

static void
on_message (void *owner, void *message)
{
  bench_task_t *self = owner;

  self->remaining--;
  if (self->remaining > 0 || self->peer_mailbox != NULL)
    mailbox_post (self->peer_mailbox, message);
  if (self->remaining <= 0)
    event_base_loopbreak (self->base);
}

static void *
run (void *arg)
{
  event_base_dispatch (((bench_task_t *)arg)->base);
  return NULL;
}

int
main (void)
{
  bench_task_t tasks[2] = { 0 };
  pthread_t thread;

  for (int i = 0; i < 2; i++)
    {
      tasks[i].base = event_base_new ();
      tasks[i].remaining = ROUNDS;
      tasks[i].peer_mailbox = &tasks[1 - i].mailbox;
      if (!mailbox_init (&tasks[i].mailbox,
                         tasks[i].base,
                         10,
                         on_message,
                         g_free,
                         &tasks[i]))
        return 1;
    }
  gint64 started_at = g_get_monotonic_time ();
  pthread_create (&thread, NULL, run, &tasks[1]);
  mailbox_post (&tasks[1].mailbox, g_new0 (int, 1));
  run (&tasks[0]);
  pthread_join (thread, NULL);
  double elapsed_us = (double)(g_get_monotonic_time () - started_at);
  printf ("%.2f\n", elapsed_us / (2.0 * ROUNDS));
  return 0;
}
