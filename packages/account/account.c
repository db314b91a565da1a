#include "account.h"

#include "../core/limits.h"

void
account_init (account_t *self, uint64_t memory, uint64_t files)
{
  uint64_t shared
      = files > ACCOUNT_FILES_RESERVED ? files - ACCOUNT_FILES_RESERVED : files;

  *self = (account_t){ .max = memory * ACCOUNT_MEMORY_PERCENT / 100 };
  buffers_init (&self->buffers, memory);
  self->callers_max = (uint32_t)CLAMP (shared / 100 * ACCOUNT_CALLERS_PERCENT
                                           + shared % 100 * ACCOUNT_CALLERS_PERCENT / 100,
                                       1,
                                       UINT32_MAX);
}

void
account_holder_init (account_holder_t *self, account_t *account, account_holder_t *above)
{
  *self = (account_holder_t){ .account = account, .above = above };
}

void
account_holder_move (account_holder_t *self, account_holder_t *above)
{
  account_holder_t *each;

  for (each = self->above; each != NULL; each = each->above)
    {
      g_assert (each->held >= self->held);
      each->held -= self->held;
    }
  self->above = above;
  for (each = above; each != NULL; each = each->above)
    each->held += self->held;
}

void
account_charge (account_holder_t *self,
                account_kind_t kind,
                uint64_t added,
                uint64_t removed)
{
  account_t *account = self->account;

  g_assert (account->by_kind[kind] + added >= removed);
  account->by_kind[kind] += added - removed;
  account->held += added - removed;
  account->peak = MAX (account->peak, account->held);
  account->high = MAX (account->high, account->held);
  if (kind == ACCOUNT_BODY || kind == ACCOUNT_OUTPUT)
    buffers_changed (&account->buffers, added, removed);
  for (account_holder_t *each = self; each != NULL; each = each->above)
    {
      g_assert (each->held + added >= removed);
      each->held += added - removed;
    }
}

static uint64_t
part_of (const account_t *self, uint32_t percent)
{
  return self->max / 100 * percent;
}

account_step_t
account_step (const account_t *self)
{
  if (self->held >= part_of (self, ACCOUNT_ACCEPT_PERCENT))
    return ACCOUNT_ACCEPT_NONE;
  if (self->held >= part_of (self, ACCOUNT_CLOSE_PERCENT))
    return ACCOUNT_CLOSE;
  return self->held >= part_of (self, ACCOUNT_REFUSE_PERCENT) ? ACCOUNT_REFUSE
                                                              : ACCOUNT_CALM;
}

uint64_t
account_share (const account_t *self)
{
  uint64_t shared = part_of (self, ACCOUNT_SHARED_PERCENT);
  uint64_t left = shared > self->held ? shared - self->held : 0;

  return MAX (left / ACCOUNT_SHARES, ACCOUNT_SHARE_LEAST_BYTES);
}

bool
account_accepts (const account_t *self, uint32_t callers)
{
  return callers < self->callers_max && account_step (self) < ACCOUNT_ACCEPT_NONE;
}

bool
account_give_back (account_t *self, msec_t now)
{
  uint64_t freed = self->high - self->held;
  bool much = freed >= part_of (self, ACCOUNT_GIVE_BACK_PERCENT);

  if ((!much && now >= self->settled_at)
      || now - self->given_back_at < ACCOUNT_GIVE_BACK_MS)
    return false;
  if (much)
    self->settled_at = now + ACCOUNT_SETTLE_MS;
  self->given_back_at = now;
  self->high = self->held;
  return true;
}

static gint
compare_claims (gconstpointer a, gconstpointer b)
{
  const account_claim_t *first = a, *second = b;

  if (first->takes_nothing != second->takes_nothing)
    return first->takes_nothing ? -1 : 1;
  if (first->held == second->held)
    return 0;
  return first->held > second->held ? -1 : 1;
}

guint
account_choose (const account_t *self, GArray *claims)
{
  uint64_t target = part_of (self, ACCOUNT_CLOSE_TO_PERCENT);
  uint64_t left = self->held;
  guint count = 0;

  if (account_step (self) < ACCOUNT_CLOSE)
    return 0;
  g_array_sort (claims, compare_claims);
  for (; left > target && count < claims->len; count++)
    {
      const account_claim_t *claim = &g_array_index (claims, account_claim_t, count);
      if (!claim->takes_nothing && claim->held <= ACCOUNT_SHARE_LEAST_BYTES)
        break; /* those after it hold as little: others hold the rest */
      left -= MIN (claim->held, left);
    }
  return count;
}
