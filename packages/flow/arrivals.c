#include "arrivals.h"

#include "../core/limits.h"

typedef struct
{
  uint64_t end; /* all bytes before it arrived by then */
  msec_t at;
} arrival_t;

void
arrivals_note (arrivals_t *self, size_t held, msec_t now)
{
  uint64_t end = self->taken + held;
  arrival_t *last = g_queue_peek_tail (&self->marks);

  if (end <= (last != NULL ? last->end : self->taken))
    return;
  if (last != NULL && now - last->at < ARRIVALS_MERGE_MS)
    {
      last->end = end;
      return;
    }
  arrival_t *mark = g_new (arrival_t, 1);
  *mark = (arrival_t){ end, now };
  g_queue_push_tail (&self->marks, mark);
}

void
arrivals_take (arrivals_t *self, size_t count)
{
  const arrival_t *first;

  self->taken += count;
  while ((first = g_queue_peek_head (&self->marks)) != NULL && first->end <= self->taken)
    g_free (g_queue_pop_head (&self->marks));
}

msec_t
arrivals_next (const arrivals_t *self, msec_t now)
{
  const arrival_t *first = self->marks.head != NULL ? self->marks.head->data : NULL;

  return first != NULL ? first->at : now;
}

void
arrivals_init (arrivals_t *self)
{
  *self = (arrivals_t){ 0 };
  g_queue_init (&self->marks);
}

void
arrivals_finish (arrivals_t *self)
{
  g_queue_clear_full (&self->marks, g_free);
}
