#include "msclock.h"

#include <glib.h>
#include <time.h>

static msec_t
real_now (const msclock_t *self)
{
  (void)self;
  return g_get_monotonic_time () / 1000;
}

static msec_t
boot_now (const msclock_t *self)
{
  struct timespec now;

  (void)self;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (msec_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static msec_t
settable_now (const msclock_t *self)
{
  return self->now;
}

static const msclock_ops_t real_ops = { real_now };
static const msclock_ops_t boot_ops = { boot_now };
static const msclock_ops_t settable_ops = { settable_now };

void
msclock_init_real (msclock_t *self)
{
  *self = (msclock_t){ .ops = &real_ops };
}

void
msclock_init_boot (msclock_t *self)
{
  *self = (msclock_t){ .ops = &boot_ops };
}

void
msclock_init_settable (msclock_t *self, msec_t start)
{
  *self = (msclock_t){ .ops = &settable_ops, .now = start };
}

void
msclock_set (msclock_t *self, msec_t now)
{
  g_assert (self->ops == &settable_ops);
  g_assert (now >= self->now);
  self->now = now;
}

msec_t
msclock_now (const msclock_t *self)
{
  return self->ops->now (self);
}
