#pragma once

#include "dispatch.h"

/* DISPATCH_PARTS: accessors shared by the files of dispatch; private to them. */

static inline dispatch_service_t *
service_at (const dispatch_t *self, uint32_t i)
{
  return g_ptr_array_index (self->services, i);
}

static inline dispatch_target_t *
target_at (const dispatch_t *self, uint32_t i)
{
  return g_ptr_array_index (self->targets, i);
}
