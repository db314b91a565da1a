#include "coordinator_parts.h"

#include "../core/eventlog.h"

/* Tells the proxy whether requests are to be rejected, when that changes. */
static void
update_outdated (coordinator_t *self)
{
  bool outdated
      = self->configuration_currency.rejecting || self->targets_currency.rejecting;

  if (outdated == self->outdated)
    return;
  self->outdated = outdated;
  proxy_msg_t *msg = g_new0 (proxy_msg_t, 1);
  msg->kind = PROXY_CURRENCY;
  msg->outdated = outdated;
  discovery_post (self, msg);
}

/* Who tells this host of changes besides the store. */
static const char *
granter_state (const coordinator_t *self)
{
  if (self->role.state == ROLE_HELD)
    return "self";
  if (self->granter.len == 0)
    return "none";
  return peers_granter_is_live (self) ? "heard" : "silent";
}

static void
log_currency (const coordinator_t *self,
              const feed_t *feed,
              const currency_t *currency,
              const char *event)
{
  msec_t now = msclock_now (&self->clock);

  eventlog_write (EVENT_STATE,
                  "currency",
                  event,
                  "feed=%s version=%llu newest=%llu age_ms=%lld behind_ms=%lld "
                  "call_ms=%lld granter=%s",
                  feed->name,
                  (unsigned long long)MAX (feed->newest_change, feed->version),
                  (unsigned long long)currency->newest,
                  (long long)feed_age (feed),
                  currency->behind_since == MSEC_NEVER
                      ? -1LL
                      : (long long)(now - currency->behind_since),
                  (long long)feed_call_duration (feed),
                  granter_state (self));
}

static void
perform_currency (coordinator_t *self,
                  feed_t *feed,
                  const currency_t *currency,
                  const currency_out_t *out)
{
  switch (out->kind)
    {
    case CURRENCY_QUERY:
      feed_resume (feed);
      break;
    case CURRENCY_REQUERY:
      feed_requery (feed, out->since);
      break;
    case CURRENCY_REJECT:
      log_currency (self, feed, currency, "rejecting");
      break;
    case CURRENCY_SERVE:
      log_currency (self, feed, currency, "serving");
      break;
    case CURRENCY_UNCONFIRMED:
      self->unconfirmed++;
      log_currency (self, feed, currency, "unconfirmed");
      break;
    case CURRENCY_CONFIRMED:
      log_currency (self, feed, currency, "confirmed");
      break;
    }
}

static void
handle_currency (coordinator_t *self,
                 feed_t *feed,
                 currency_t *currency,
                 const currency_msg_t *msg)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (currency_out_t));

  currency_handle (currency, msg, msclock_now (feed->clock), out);
  feed->behind_since = currency->behind_since;
  for (guint i = 0; i < out->len; i++)
    perform_currency (self, feed, currency, &g_array_index (out, currency_out_t, i));
  g_array_unref (out);
}

static void
review_table (coordinator_t *self, feed_t *feed, currency_t *currency)
{
  const currency_msg_t review = { .kind = CURRENCY_REVIEW,
                                  .version = MAX (feed->newest_change, feed->version),
                                  .complete_at = feed->confirmed_at,
                                  .heard_at = self->outage.answered_at };

  handle_currency (self, feed, currency, &review);
}

void
outdated_review (coordinator_t *self)
{
  review_table (self, &self->configuration, &self->configuration_currency);
  review_table (self, &self->targets, &self->targets_currency);
  update_outdated (self);
}

void
outdated_note_stall (coordinator_t *self)
{
  const currency_msg_t stalled = { .kind = CURRENCY_STALLED };

  handle_currency (self, &self->configuration, &self->configuration_currency, &stalled);
  handle_currency (self, &self->targets, &self->targets_currency, &stalled);
  outdated_review (self);
}

void
outdated_note_newer (coordinator_t *self,
                     feed_t *feed,
                     currency_t *currency,
                     uint64_t version)
{
  const currency_msg_t newer = { .kind = CURRENCY_NEWER, .version = version };

  if (version <= MAX (currency->newest, MAX (feed->newest_change, feed->version)))
    return;
  eventlog_write (EVENT_STATE,
                  "store",
                  "behind",
                  "feed=%s version=%llu newest=%llu age_ms=%lld call_ms=%lld",
                  feed->name,
                  (unsigned long long)feed->version,
                  (unsigned long long)version,
                  (long long)feed_age (feed),
                  (long long)feed_call_duration (feed));
  handle_currency (self, feed, currency, &newer);
  /* A call that waits for changes after a version of an earlier era may wait for long. */
  if (store_version_era (version) > store_version_era (feed->version))
    feed_requery (feed, msclock_now (feed->clock));
}
