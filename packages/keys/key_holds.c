#include "key_holds.h"

#include <glib.h>

msec_t
key_holds_worst_case (msec_t hold)
{
  return hold * (100 + KEYS_SLOW_CLOCK_PERCENT) / 100 + KEYS_MARGIN_MS;
}

void
key_holds_inherit (key_holds_t *self, msec_t until)
{
  self->inherited_until = MAX (self->inherited_until, until);
}

void
key_holds_sent (key_holds_t *self, msec_t hold, msec_t now)
{
  self->any_until = MAX (self->any_until, now + key_holds_worst_case (hold));
}

void
key_holds_answered (key_holds_t *self, msec_t hold, msec_t now)
{
  key_holds_sent (self, hold, now);
}

void
key_holds_unanswered (key_holds_t *self, msec_t hold, bool delivered, msec_t now)
{
  const msec_t read = now + (delivered ? KEYS_STALL_MS : 0);

  key_holds_answered (self, hold, now); /* it may have been read in time */
  self->late_until = MAX (self->late_until, read + key_holds_worst_case (hold));
}

void
key_holds_stalled (key_holds_t *self)
{
  self->stalled = true;
}

void
key_holds_absent (key_holds_t *self)
{
  self->absent = true;
}

void
key_holds_released (key_holds_t *self)
{
  self->any_until = 0;
}

void
key_holds_new_fence (key_holds_t *self)
{
  /* Less of inherited_until counts if no call was taken, as key_holds_end has it. */
  msec_t until = self->late_until + (self->stalled ? 0 : KEYS_STALL_MS);

  if (self->late_until > 0)
    self->inherited_until = MAX (self->inherited_until, until);
  self->late_until = 0;
  self->fenced_off = false;
}

void
key_holds_fenced_off (key_holds_t *self)
{
  self->fenced_off = true;
}

void
key_holds_not_fenced_off (key_holds_t *self)
{
  self->fenced_off = false;
}

bool
key_holds_inherited (const key_holds_t *self, msec_t now)
{
  return !self->fenced_off && now < self->inherited_until;
}

msec_t
key_holds_end (const key_holds_t *self, bool released, bool deaf)
{
  const bool reads_late = !deaf && (self->stalled || !self->absent);
  const msec_t unread = reads_late ? 0 : KEYS_STALL_MS;
  msec_t inherited_until = self->fenced_off ? 0 : self->inherited_until - unread;
  msec_t late_until = self->late_until - (deaf ? KEYS_STALL_MS : 0);
  msec_t unread_until = MAX (late_until, inherited_until);

  return released ? unread_until : MAX (self->any_until, unread_until);
}
