#include "buffers.h"

#include "../core/limits.h"

#include <glib.h>

void
buffers_init (buffers_t *self, uint64_t memory)
{
  *self = (buffers_t){ .max = memory * BUFFERS_MEMORY_PERCENT / 100 };
}

void
buffers_changed (buffers_t *self, uint64_t added, uint64_t removed)
{
  g_assert (self->held + added >= removed);
  self->held += added - removed;
  self->peak = MAX (self->peak, self->held);
}

uint32_t
buffers_part (const buffers_t *self, uint32_t most)
{
  uint64_t left = self->max > self->held ? self->max - self->held : 0;

  return (uint32_t)CLAMP (left / BUFFERS_PARTS, BUFFERS_LEAST_BYTES, most);
}
