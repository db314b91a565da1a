#include "coordinator_parts.h"

#include "../core/eventlog.h"

void
rates_apply (coordinator_t *self, GArray *shares)
{
  proxy_msg_t *msg = g_new0 (proxy_msg_t, 1);

  msg->kind = PROXY_SHARES;
  msg->shares = shares;
  discovery_post (self, msg);
}

void
rates_grant (coordinator_t *self, GArray *grants, msec_t reported_at)
{
  proxy_msg_t *msg = g_new0 (proxy_msg_t, 1);

  msg->kind = PROXY_GRANTS;
  msg->grants = grants;
  msg->rates_at = reported_at;
  discovery_post (self, msg);
}

static void
log_shares (const GArray *shares)
{
  double limit = 0, wanted = 0, may_wait = 0;

  for (guint i = 0; i < shares->len; i++)
    {
      const rate_share_t *share = &g_array_index (shares, rate_share_t, i);
      limit += share->limit;
      wanted += share->wanted;
      may_wait += share->wanted * share->share;
    }
  eventlog_write (EVENT_STATE,
                  "rate",
                  "shares",
                  "targets=%u limit=%.1f wanted=%.1f may_wait=%.1f",
                  shares->len,
                  limit,
                  wanted,
                  may_wait);
}

void
rates_step (coordinator_t *self, msec_t now)
{
  link_shares_t shares = { g_array_new (FALSE, FALSE, sizeof (rate_share_t)) };
  keys_msg_t limits = { .kind = KEYS_RATE_LIMITS, .shares = shares.shares };

  if (!rate_fleet_plan (&self->rates, now, shares.shares))
    {
      g_array_unref (shares.shares);
      return;
    }
  log_shares (shares.shares);
  GByteArray *body = link_encode_shares (&shares);
  peers_broadcast (self, body);
  g_byte_array_unref (body);
  grants_handle (self, &limits);
  rates_apply (self, shares.shares);
}
