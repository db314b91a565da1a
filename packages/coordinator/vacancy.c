#include "vacancy.h"

#include "../core/limits.h"

msec_t
vacancy_note (vacancy_t *self, uint64_t version, msec_t now)
{
  if (!self->watched || self->version != version)
    *self = (vacancy_t){ .version = version, .since = now, .watched = true };
  return now - self->since - ROLE_LEASE_MS;
}
