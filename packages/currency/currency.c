#include "currency.h"

#include "../core/limits.h"

static void
emit (GArray *out, currency_out_kind_t kind, msec_t since)
{
  currency_out_t action = { kind, since };

  g_array_append_val (out, action);
}

/* Whether the copy is known to be outdated and the newer version can still be had. */
static bool
is_outdated (const currency_t *self, const currency_msg_t *state, msec_t now)
{
  return self->behind_since != MSEC_NEVER
         && now - self->behind_since >= CURRENCY_PATIENCE_MS
         && now - state->complete_at >= self->limit
         && now - state->heard_at < CURRENCY_SOURCE_MS;
}

/* Whether the process did not run, and nothing has confirmed the copy since. */
static bool
is_unsure (const currency_t *self, const currency_msg_t *state, msec_t now)
{
  return self->stalled_until != MSEC_NEVER
         && now - self->stalled_until < CURRENCY_UNSURE_MS
         && now - state->complete_at >= self->limit;
}

static void
review_age (currency_t *self, const currency_msg_t *state, msec_t now, GArray *out)
{
  bool unconfirmed
      = state->complete_at != MSEC_NEVER && now - state->complete_at >= self->limit;

  if (unconfirmed != self->unconfirmed)
    emit (out, unconfirmed ? CURRENCY_UNCONFIRMED : CURRENCY_CONFIRMED, 0);
  self->unconfirmed = unconfirmed;
}

/* The copy lacks the newest version, of which the host learned at SINCE. */
static void
await (currency_t *self, msec_t since)
{
  self->awaited = self->newest;
  self->behind_since = since;
  self->requeried = false;
}

static void
review (currency_t *self, const currency_msg_t *state, msec_t now, GArray *out)
{
  if (state->version >= self->newest)
    self->behind_since = MSEC_NEVER;
  else if (self->behind_since == MSEC_NEVER || state->version >= self->awaited)
    await (self, self->newest_at);
  if (self->stalled_until != MSEC_NEVER && state->complete_at != MSEC_NEVER
      && state->complete_at >= self->stalled_until)
    self->stalled_until = MSEC_NEVER;
  if (self->behind_since != MSEC_NEVER && now - self->behind_since >= FEED_LAG_MS)
    emit (out, CURRENCY_QUERY, 0);
  if (self->behind_since != MSEC_NEVER && !self->requeried
      && now - self->behind_since >= FEED_HUNG_MS)
    {
      self->requeried = true;
      emit (out, CURRENCY_REQUERY, self->behind_since);
    }
  if (self->stalled_until != MSEC_NEVER && now - self->stalled_until < CURRENCY_UNSURE_MS)
    emit (out, CURRENCY_REQUERY, self->stalled_until);
  bool reject = state->complete_at != MSEC_NEVER
                && (is_outdated (self, state, now) || is_unsure (self, state, now));
  if (reject != self->rejecting)
    emit (out, reject ? CURRENCY_REJECT : CURRENCY_SERVE, 0);
  self->rejecting = reject;
  review_age (self, state, now, out);
}

void
currency_handle (currency_t *self, const currency_msg_t *msg, msec_t now, GArray *out)
{
  switch (msg->kind)
    {
    case CURRENCY_NEWER:
      if (msg->version <= self->newest)
        break;
      self->newest = msg->version;
      self->newest_at = now;
      break;
    case CURRENCY_STALLED:
      self->stalled_until = now;
      break;
    case CURRENCY_REVIEW:
      review (self, msg, now, out);
      break;
    }
}

void
currency_set_limit (currency_t *self, msec_t limit)
{
  self->limit = limit;
}

void
currency_init (currency_t *self, msec_t limit)
{
  *self = (currency_t){ .limit = limit,
                        .behind_since = MSEC_NEVER,
                        .stalled_until = MSEC_NEVER };
}
