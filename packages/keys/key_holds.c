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
  self->any_until = MAX (self->any_until, until - KEYS_STALL_MS);
}

void
key_holds_unknown_owner (key_holds_t *self, msec_t until)
{
  self->unknown_until = MAX (self->unknown_until, until);
}

msec_t
key_holds_unknown_end (const key_holds_t *self)
{
  return self->unknown_until;
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
  const msec_t expiry = now + key_holds_worst_case (hold);

  key_holds_answered (self, hold, now); /* it may have been read in time */
  self->late_until = MAX (self->late_until, expiry);
  if (delivered)
    self->unread_until = MAX (self->unread_until, expiry + KEYS_STALL_MS);
}

void
key_holds_foreign (key_holds_t *self)
{
  self->foreign = true;
}

void
key_holds_released (key_holds_t *self)
{
  self->any_until = 0;
}

void
key_holds_new_fence (key_holds_t *self)
{
  if (self->late_until > 0)
    self->inherited_until = MAX (self->inherited_until, self->late_until + KEYS_STALL_MS);
  self->late_until = self->unread_until = 0;
  self->fenced_off = false;
}

void
key_holds_fenced_off (key_holds_t *self, msec_t longest_hold, msec_t now)
{
  const msec_t expiry = now + key_holds_worst_case (longest_hold);

  self->any_until = MAX (self->any_until, MIN (self->inherited_until, expiry));
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
  const bool read = deaf || self->foreign;
  msec_t inherited_until = self->fenced_off ? 0 : self->inherited_until;
  msec_t late_until = MAX (self->late_until, deaf ? 0 : self->unread_until);
  msec_t until = MAX (late_until, inherited_until - (read ? KEYS_STALL_MS : 0));

  return released ? until : MAX (self->any_until, until);
}
