#include "exchange.h"

#include "../core/eventlog.h"

#include <arpa/inet.h>
#include <malloc.h>
#include <sys/resource.h>

/* Carries out what the account of memory says. */

static bool
takes_nothing (const caller_t *caller, msec_t now)
{
  return evbuffer_get_length (bufferevent_get_output (caller->bev)) > 0
         && now - caller->times.taken_at >= ACCOUNT_TAKES_NOTHING_MS;
}

static void
on_relieve (evutil_socket_t fd, short what, void *arg)
{
  proxy_t *self = arg;
  msec_t now = msclock_now (&self->clock);
  GArray *claims = g_array_new (FALSE, FALSE, sizeof (account_claim_t));
  caller_t *caller;

  (void)fd;
  (void)what;
  TAILQ_FOREACH (caller, &self->callers, link)
    {
      const account_claim_t claim
          = { caller, caller->holder.held, takes_nothing (caller, now) };
      g_array_append_val (claims, claim);
    }
  guint count = account_choose (&self->account, claims);
  for (guint i = 0; i < count; i++)
    {
      caller = g_array_index (claims, account_claim_t, i).connection;
      self->counts.closed_for_memory++;
      pressure_log_closed (caller, "memory");
      caller_free (caller);
    }
  g_array_unref (claims);
}

void
pressure_log_closed (const caller_t *caller, const char *why)
{
  struct sockaddr_in address = { 0 };
  socklen_t len = sizeof address;
  char peer[INET_ADDRSTRLEN] = "";

  getpeername (bufferevent_getfd (caller->bev), (struct sockaddr *)&address, &len);
  inet_ntop (AF_INET, &address.sin_addr, peer, sizeof peer);
  eventlog_write (EVENT_FAILURE,
                  "proxy",
                  "caller_closed",
                  "peer=%s:%u why=%s connection_held=%llu held=%llu unanswered=%u",
                  peer,
                  ntohs (address.sin_port),
                  why,
                  (unsigned long long)caller->holder.held,
                  (unsigned long long)caller->proxy->account.held,
                  caller->pipeline_len);
}

void
pressure_check (proxy_t *self)
{
  if (account_step (&self->account) >= ACCOUNT_CLOSE)
    event_active (self->relieve, 0, 0);
}

void
pressure_update_accepting (proxy_t *self)
{
  bool accepts = account_accepts (&self->account, self->caller_count);

  if (self->listener == NULL || accepts == self->accepting)
    return;
  self->accepting = accepts;
  if (accepts)
    {
      evconnlistener_enable (self->listener);
      return;
    }
  self->counts.accept_pauses++;
  eventlog_write (EVENT_FAILURE,
                  "proxy",
                  "accepting_paused",
                  "callers=%u callers_max=%u held=%llu",
                  self->caller_count,
                  self->account.callers_max,
                  (unsigned long long)self->account.held);
  evconnlistener_disable (self->listener);
}

void
pressure_accept_failed (proxy_t *self)
{
  self->counts.accept_pauses++;
  self->accepting = false;
  evconnlistener_disable (self->listener);
}

/* Closes connections that have never sent a request, so that others are accepted. */
static void
close_silent (proxy_t *self, msec_t now)
{
  caller_t *caller = TAILQ_FIRST (&self->callers);
  uint32_t before = self->caller_count;

  if (before < self->account.callers_max)
    return;
  while (caller != NULL)
    {
      caller_t *next = TAILQ_NEXT (caller, link);
      if (!caller->has_requested && caller_is_idle (caller)
          && now - caller->times.idle_since >= ACCOUNT_SILENT_MS)
        caller_free (caller);
      caller = next;
    }
  if (self->caller_count < before)
    eventlog_write (EVENT_FAILURE,
                    "proxy",
                    "silent_callers_closed",
                    "closed=%u callers_max=%u",
                    before - self->caller_count,
                    self->account.callers_max);
}

void
pressure_review (proxy_t *self, msec_t now)
{
  close_silent (self, now);
  pressure_check (self);
  pressure_update_accepting (self);
  if (account_give_back (&self->account, now))
    malloc_trim (0);
}

void
pressure_init (proxy_t *self, uint64_t memory)
{
  struct rlimit files = { 0 };

  getrlimit (RLIMIT_NOFILE, &files);
  account_init (&self->account, memory, files.rlim_cur);
  self->relieve = event_new (self->base, -1, 0, on_relieve, self);
  self->accepting = true;
}

void
pressure_finish (proxy_t *self)
{
  event_free (self->relieve);
}
