#include "../rate.h"
#include "../../core/limits.h"
#include "../../core/rng.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <math.h>

#define START 100000

/* Asks every STEP ms from FROM to TO.  Returns how many requests were admitted. */
static unsigned
admitted (rate_limit_t *limit, uint32_t hosts, msec_t from, msec_t to, msec_t step)
{
  unsigned n = 0;

  for (msec_t now = from; now < to; now += step)
    n += rate_limit_admit (limit, hosts, now);
  return n;
}

static void
test_target_without_a_limit_admits_everything (void **state)
{
  rate_limit_t limit;
  rate_report_t report;

  (void)state;
  rate_limit_init (&limit, 0);
  assert_int_equal (admitted (&limit, 8, START, START + 1000, 1), 1000);
  rate_limit_state (&limit, false, 0, START);
  assert_false (rate_limit_report (&limit, START, &report));
}

static void
test_host_without_a_share_takes_an_equal_part (void **state)
{
  rate_limit_t limit;

  (void)state;
  rate_limit_init (&limit, 0);
  for (msec_t now = START; now < START + 20000; now += 1000)
    {
      rate_limit_state (&limit, true, 40, now);
      unsigned n = admitted (&limit, 8, now, now + 1000, 10);
      if (now >= START + RATE_WINDOW_MS)
        assert_in_range (n, 4, 6);
    }
}

static void
test_limit_ends_when_the_target_no_longer_states_it (void **state)
{
  const rate_share_t share = { .limit = 5, .share = 0.1 };
  rate_limit_t limit;
  rate_report_t report;

  (void)state;
  rate_limit_init (&limit, 0);
  rate_limit_state (&limit, true, 5, START);
  rate_limit_set_share (&limit, &share, START + 100);
  rate_limit_grant (&limit, &(rate_grant_t){ .rights = 5 }, START + 100, START + 150);
  assert_int_equal (admitted (&limit, 8, START + 150, START + 1100, 10), 5);
  rate_limit_state (&limit, false, 0, START + 1200);
  rate_limit_set_share (&limit, &share, START + 1300); /* sent before that was known */
  assert_int_equal (admitted (&limit, 8, START + 1300, START + 1400, 1), 100);
  assert_true (rate_limit_report (&limit, START + 1400, &report));
  assert_true (report.stated && !report.limited);
}

/* The limit is known from other hosts alone. */
static void
test_limit_ends_when_the_list_no_longer_has_it (void **state)
{
  const rate_share_t share = { .limit = 5, .share = 0.1 };
  rate_limit_t limit;

  (void)state;
  rate_limit_init (&limit, 0);
  rate_limit_set_share (&limit, &share, START);
  assert_true (admitted (&limit, 8, START, START + 100, 1) < 15);
  rate_limit_set_share (&limit, NULL, START + 500);
  assert_int_equal (admitted (&limit, 8, START + 500, START + 600, 1), 100);
  rate_limit_set_share (&limit, &share, START + 1000);
  admitted (&limit, 8, START + 1000, START + 1010, 1);
  assert_int_equal (
      admitted (&limit, 8, START + 1000 + RATE_KEEP_MS, START + 1100 + RATE_KEEP_MS, 1),
      100);
}

/* The list is sent without the target once; the host's own statement is 1 s old. */
static void
test_own_statement_outlives_the_list_briefly (void **state)
{
  rate_limit_t limit;

  (void)state;
  rate_limit_init (&limit, 0);
  rate_limit_state (&limit, true, 5, START);
  rate_limit_set_share (&limit, NULL, START + 1000);
  assert_true (admitted (&limit, 8, START + 1000, START + 1100, 1) < 100);
  assert_int_equal (
      admitted (&limit, 8, START + RATE_STATEMENT_MS, START + RATE_STATEMENT_MS + 100, 1),
      100);
}

static void
give (rate_limit_t *limit, uint32_t rights, msec_t reported_at, msec_t now)
{
  const rate_share_t share = { .limit = 5, .share = 1 };
  const rate_grant_t grant = { .rights = rights };

  rate_limit_set_share (limit, &share, now);
  rate_limit_grant (limit, &grant, reported_at, now);
}

static void
test_rights_end_after_the_report_that_they_answer (void **state)
{
  rate_limit_t limit;

  (void)state;
  rate_limit_init (&limit, 0);
  give (&limit, 5, START, START + 900);
  assert_true (rate_limit_admit (&limit, 8, START + RATE_RIGHT_MS - 1));
  assert_false (rate_limit_admit (&limit, 8, START + RATE_RIGHT_MS));
  give (&limit, 5, START + 100, START + 100 + RATE_RIGHT_MS); /* too late */
  assert_false (rate_limit_admit (&limit, 8, START + 100 + RATE_RIGHT_MS));
}

static void
test_reply_counts_once_and_in_order (void **state)
{
  rate_limit_t limit;
  rate_report_t report = { 0 };

  (void)state;
  rate_limit_init (&limit, 0);
  give (&limit, 2, START + 200, START + 300);
  give (&limit, 2, START + 200, START + 310);
  give (&limit, 2, START, START + 320);
  assert_true (rate_limit_report (&limit, START + 400, &report));
  assert_int_equal (report.held, 2);
  assert_int_equal (report.accepted, START + 200);
  assert_int_equal (admitted (&limit, 8, START + 400, START + 410, 1), 2);
}

static void
test_waiting_request_gets_the_right_before_a_new_one (void **state)
{
  rate_limit_t limit;
  rate_report_t report = { 0 };

  (void)state;
  rate_limit_init (&limit, 0);
  give (&limit, 0, START, START + 50);
  assert_false (rate_limit_admit (&limit, 8, START + 60));
  assert_true (rate_limit_wait (&limit, START + 60));
  assert_true (rate_limit_report (&limit, START + 200, &report));
  assert_int_equal (report.waiting, 1);
  give (&limit, 1, START + 200, START + 250);
  assert_false (rate_limit_admit (&limit, 8, START + 250));
  assert_true (rate_limit_take (&limit, START + 250));
  assert_false (rate_limit_take (&limit, START + 251));
}

/* A request that is admitted but not sent still has its right. */
static void
test_right_of_an_unsent_request_counts_as_held (void **state)
{
  rate_limit_t limit;
  rate_report_t report = { 0 };

  (void)state;
  rate_limit_init (&limit, 0);
  give (&limit, 1, START, START + 50);
  assert_true (rate_limit_admit (&limit, 8, START + 60));
  rate_limit_hold (&limit);
  assert_true (rate_limit_report (&limit, START + 200, &report));
  assert_int_equal (report.held, 1);
  rate_limit_put_back (&limit);
  assert_true (rate_limit_admit (&limit, 8, START + 210));
  rate_limit_hold (&limit);
  rate_limit_sent (&limit);
  assert_true (rate_limit_report (&limit, START + 400, &report));
  assert_int_equal (report.held, 0);
}

static void
test_unused_rights_are_returned (void **state)
{
  rate_limit_t limit;
  rate_report_t report = { 0 };

  (void)state;
  rate_limit_init (&limit, 0);
  give (&limit, 2, START, START + 50);
  give (&limit, 0, START + 900, START + 950);
  assert_true (rate_limit_report (&limit, START + 50 + RATE_UNUSED_MS, &report));
  assert_int_equal (report.returned, 2);
  assert_int_equal (report.held, 0);
  assert_false (rate_limit_admit (&limit, 8, START + 60 + RATE_UNUSED_MS));
}

/* HOST reports, with REPORT's fields; returns the rights that it gets. */
static uint32_t
report_to (rate_fleet_t *fleet, text_t host, rate_report_t report, msec_t now)
{
  GArray *reports = g_array_new (FALSE, FALSE, sizeof (rate_report_t));
  GArray *grants = g_array_new (FALSE, FALSE, sizeof (rate_grant_t));
  uint32_t rights = 0;
  name_t id;

  name_set (&id, host);
  name_set (&report.target, TEXT ("t"));
  report.stated = report.limited = true;
  report.limit = 5;
  g_array_append_val (reports, report);
  rate_fleet_report (fleet, &id, reports, now, now, grants);
  for (guint i = 0; i < grants->len; i++)
    rights += g_array_index (grants, rate_grant_t, i).rights;
  g_array_unref (reports);
  g_array_unref (grants);
  return rights;
}

static rate_share_t
plan_one (rate_fleet_t *fleet, msec_t now)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (rate_share_t));
  rate_share_t share;

  assert_true (rate_fleet_plan (fleet, now, list));
  assert_int_equal (list->len, 1);
  share = g_array_index (list, rate_share_t, 0);
  g_array_unref (list);
  return share;
}

static void
test_demand_of_all_hosts_counts (void **state)
{
  rate_fleet_t fleet;

  (void)state;
  rate_fleet_init (&fleet);
  report_to (&fleet, TEXT ("a"), (rate_report_t){ .wanted = 15 }, START);
  report_to (&fleet, TEXT ("b"), (rate_report_t){ .wanted = 30 }, START);
  rate_share_t share = plan_one (&fleet, START + 10);
  assert_true (fabs (share.wanted - 45) < 0.01);
  assert_true (share.share <= 1.2 * 5 / 45);
  rate_fleet_finish (&fleet);
}

/* A granter that has been one for as long as rights last may give all at once. */
static void
test_new_granter_has_no_rights_to_give (void **state)
{
  const rate_report_t asks = { .wanted = 100, .waiting = 100 };
  const uint32_t ceiling = 5 * RATE_CEILING_MS / 1000 + RATE_CEILING_REQUESTS;
  rate_fleet_t fleet;

  (void)state;
  rate_fleet_init (&fleet);
  for (int round = 0; round < 2; round++)
    {
      msec_t now = START + round * 10000;
      GArray *none = g_array_new (FALSE, FALSE, sizeof (rate_report_t));
      name_t host;
      name_set (&host, TEXT ("b"));
      assert_int_equal (report_to (&fleet, TEXT ("a"), asks, now), 0);
      rate_fleet_clear (&fleet);
      rate_fleet_report (&fleet, &host, none, now + 1, now + 1, none);
      assert_int_equal (report_to (&fleet, TEXT ("a"), asks, now + 1 + RATE_REPORT_MS),
                        ceiling);
      rate_fleet_clear (&fleet);
      g_array_unref (none);
    }
  rate_fleet_finish (&fleet);
}

/* Host a asks for much, says nothing of what it got, and falls silent. */
static void
test_rights_of_a_silent_host_are_not_given_again (void **state)
{
  const uint32_t ceiling = 5 * RATE_CEILING_MS / 1000 + RATE_CEILING_REQUESTS;
  const rate_report_t asks = { .wanted = 100, .waiting = 100 };
  rate_fleet_t fleet;
  uint32_t given = 0;

  (void)state;
  rate_fleet_init (&fleet);
  for (msec_t at = 0; at <= 4000; at += 400)
    {
      given += report_to (&fleet, TEXT ("a"), asks, START + at);
      plan_one (&fleet, START + at + 1);
    }
  assert_int_equal (given, ceiling);
  for (msec_t at = 4200; at < 4000 + RATE_RIGHT_MS; at += 200)
    {
      assert_int_equal (report_to (&fleet, TEXT ("b"), asks, START + at), 0);
      plan_one (&fleet, START + at + 1);
    }
  plan_one (&fleet, START + 4000 + RATE_REPORT_MS + 1);
  report_to (&fleet, TEXT ("b"), asks, START + 4000 + RATE_REPORT_MS + 10);
  assert_true (report_to (&fleet, TEXT ("b"), asks, START + 4000 + RATE_REPORT_MS + 400)
               > 0);
  rate_fleet_finish (&fleet);
}

/* A whole fleet: hosts with unequal load that come and go, and a granter that changes. */

#define HOSTS_MAX 90
#define DELAY_MS 100       /* of the granter's list */
#define REPORT_DELAY_MS 50 /* of reports and their replies */

typedef struct
{
  rate_limit_t limit;
  bool up;
  msec_t phase;   /* of its reports */
  msec_t told_at; /* of its first response that stated the limit; MSEC_NEVER */
  double weight;
  double calm_weight; /* before an adversary changed it */
  bool frozen;        /* does nothing at all */
  bool cut_off;       /* serves callers, but no message arrives or leaves */
  GArray *waits;      /* msec_t: until when each waiting request waits */
} sim_host_t;

/* A report of a host, or the reply to it. */
typedef struct
{
  guint host;
  bool is_reply;
  msec_t at; /* of its arrival */
  msec_t reported_at;
  rate_report_t report;
  rate_grant_t grant;
} sim_message_t;

typedef struct
{
  sim_host_t hosts[HOSTS_MAX];
  guint n;
  double limit;
  rate_fleet_t fleet;
  GArray *list; /* rate_share_t: on its way, arrives at list_at */
  msec_t list_at;
  GArray *messages; /* sim_message_t */
  rng_t rng;
  GArray *arrivals; /* msec_t: at the target */
  GArray *counted;  /* of these, the ones from hosts that it had told before */
} sim_t;

static double
draw (sim_t *self)
{
  return (double)rng_below (&self->rng, 1000000) / 1000000;
}

static double
total_weight (const sim_t *self)
{
  double sum = 0;

  for (guint i = 0; i < self->n; i++)
    sum += self->hosts[i].up ? self->hosts[i].weight : 0;
  return sum;
}

static void
start_host (sim_t *self, guint i)
{
  self->hosts[i].up = true;
  self->hosts[i].told_at = MSEC_NEVER;
  g_array_set_size (self->hosts[i].waits, 0);
  rate_limit_init (&self->hosts[i].limit, draw (self));
}

static void
sim_begin (sim_t *self, guint n, double limit, uint64_t seed)
{
  *self = (sim_t){ .n = n,
                   .limit = limit,
                   .list = g_array_new (FALSE, FALSE, sizeof (rate_share_t)),
                   .list_at = MSEC_NEVER,
                   .messages = g_array_new (FALSE, FALSE, sizeof (sim_message_t)),
                   .arrivals = g_array_new (FALSE, FALSE, sizeof (msec_t)),
                   .counted = g_array_new (FALSE, FALSE, sizeof (msec_t)) };
  rng_init (&self->rng, seed);
  rate_fleet_init (&self->fleet);
  for (guint i = 0; i < n; i++)
    {
      self->hosts[i].waits = g_array_new (FALSE, FALSE, sizeof (msec_t));
      start_host (self, i);
      self->hosts[i].weight = 0.2 + 2 * draw (self) * draw (self);
      self->hosts[i].calm_weight = self->hosts[i].weight;
      self->hosts[i].phase = seed % 2 == 0 ? 0 : (msec_t)i * 37; /* all may be in step */
    }
}

static void
sim_end (sim_t *self)
{
  rate_fleet_finish (&self->fleet);
  for (guint i = 0; i < self->n; i++)
    g_array_unref (self->hosts[i].waits);
  g_array_unref (self->list);
  g_array_unref (self->messages);
  g_array_unref (self->arrivals);
  g_array_unref (self->counted);
}

static void
host_report (sim_t *self, sim_host_t *host, msec_t now)
{
  sim_message_t message = { .host = (guint)(host - self->hosts),
                            .at = now + REPORT_DELAY_MS,
                            .reported_at = now };

  name_set (&message.report.target, TEXT ("t"));
  if (rate_limit_report (&host->limit, now, &message.report))
    g_array_append_val (self->messages, message);
}

static void
receive_report (sim_t *self, const sim_message_t *message, msec_t now)
{
  GArray *reports = g_array_new (FALSE, FALSE, sizeof (rate_report_t));
  GArray *grants = g_array_new (FALSE, FALSE, sizeof (rate_grant_t));
  sim_message_t reply
      = { .host = message->host, .is_reply = true, .at = now + REPORT_DELAY_MS };
  char name[16];
  name_t id;

  g_snprintf (name, sizeof name, "h%u", message->host);
  name_set (&id, text_from_c (name));
  g_array_append_val (reports, message->report);
  rate_fleet_report (&self->fleet, &id, reports, message->reported_at, now, grants);
  reply.reported_at = message->reported_at;
  for (guint i = 0; i < grants->len; i++)
    {
      reply.grant = g_array_index (grants, rate_grant_t, i);
      g_array_append_val (self->messages, reply);
    }
  g_array_unref (reports);
  g_array_unref (grants);
}

static void
count_arrival (sim_t *self, sim_host_t *host, bool states_limit, msec_t now)
{
  g_array_append_val (self->arrivals, now);
  if (host->told_at != MSEC_NEVER && now - host->told_at >= 500)
    g_array_append_val (self->counted, now);
  if (host->told_at == MSEC_NEVER)
    host->told_at = now;
  rate_limit_state (&host->limit, states_limit, self->limit, now);
}

/* Sends what waits, oldest first, as far as there are rights; ends what waited too long.
 */
static void
serve_waits (sim_t *self, sim_host_t *host, bool states_limit, msec_t now)
{
  while (host->waits->len > 0)
    {
      if (rate_limit_take (&host->limit, now))
        count_arrival (self, host, states_limit, now);
      else if (now >= g_array_index (host->waits, msec_t, 0))
        rate_limit_leave (&host->limit);
      else
        return;
      g_array_remove_index (host->waits, 0);
    }
}

/* A frozen host gets its messages when it runs again; one that is cut off loses them. */
static void
receive_messages (sim_t *self, msec_t now)
{
  for (guint i = 0; i < self->messages->len;)
    {
      sim_message_t message = g_array_index (self->messages, sim_message_t, i);
      sim_host_t *host = &self->hosts[message.host];
      if (message.at > now || (message.is_reply && host->frozen))
        {
          i++;
          continue;
        }
      g_array_remove_index (self->messages, i);
      if (!message.is_reply)
        receive_report (self, &message, now);
      else if (host->up && !host->cut_off)
        rate_limit_grant (&host->limit, &message.grant, message.reported_at, now);
    }
}

static void
receive_list (sim_t *self, msec_t now)
{
  if (now < self->list_at)
    return;
  self->list_at = MSEC_NEVER;
  for (guint i = 0; i < self->n; i++)
    if (self->hosts[i].up && !self->hosts[i].frozen && !self->hosts[i].cut_off)
      rate_limit_set_share (
          &self->hosts[i].limit,
          self->list->len > 0 ? &g_array_index (self->list, rate_share_t, 0) : NULL,
          now);
}

/* One millisecond in which callers make WANTED requests per second for the target. */
static void
sim_step (sim_t *self, double wanted, bool states_limit, msec_t now)
{
  double total = total_weight (self);

  for (guint i = 0; i < self->n; i++)
    {
      sim_host_t *host = &self->hosts[i];
      if (!host->up || host->frozen)
        continue;
      serve_waits (self, host, states_limit, now);
      if (draw (self) < wanted / 1000 * host->weight / total)
        {
          msec_t until = now + RATE_WAIT_MS;
          if (rate_limit_admit (&host->limit, self->n, now))
            count_arrival (self, host, states_limit, now);
          else if (rate_limit_wait (&host->limit, now))
            g_array_append_val (host->waits, until);
        }
      if (!host->cut_off && (now + host->phase) % PROXY_LIMITED_REPORT_MS == 0)
        host_report (self, host, now);
    }
  receive_list (self, now);
  receive_messages (self, now);
  GArray *list = g_array_new (FALSE, FALSE, sizeof (rate_share_t));
  if (rate_fleet_plan (&self->fleet, now, list))
    {
      g_array_set_size (self->list, 0);
      g_array_append_vals (self->list, list->data, list->len);
      self->list_at = now + DELAY_MS;
    }
  g_array_unref (list);
}

static guint
count_between (const GArray *times, msec_t from, msec_t to)
{
  guint n = 0;

  for (guint i = 0; i < times->len; i++)
    {
      msec_t at = g_array_index (times, msec_t, i);
      n += at >= from && at < to;
    }
  return n;
}

/* The users' bound: in any 4 s, from 3 s after the limit was first stated, the requests
 * from hosts that had passed on such a response half a second before. */
static void
assert_limit_is_kept (const sim_t *self, msec_t from, msec_t to)
{
  guint most = (guint)(1.5 * self->limit * 4 + 5);

  for (msec_t at = from; at + 4000 <= to; at += 50)
    assert_true (count_between (self->counted, at, at + 4000) <= most);
}

/* What the granter may have given out before, and what it issues in 4 s. */
static void
assert_rights_bound_the_sends (const sim_t *self, msec_t from, msec_t to)
{
  double ceiling = self->limit * RATE_CEILING_MS / 1000 + RATE_CEILING_REQUESTS;

  for (msec_t at = from; at + 4000 <= to; at += 50)
    assert_true (count_between (self->counted, at, at + 4000)
                 <= ceiling + 4 * self->limit);
}

typedef struct
{
  guint hosts;
  double limit, wanted;
} fleet_case_t;

static const fleet_case_t cases[] = {
  { 1, 5, 12 },  { 8, 5, 12 },   { 12, 6, 9 },    { 8, 20, 200 },
  { 90, 5, 12 }, { 90, 12, 60 }, { 79, 0.5, 10 }, { 90, 200, 500 },
};

static void
test_fleet_serves_up_to_the_limit (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (uint64_t seed = 1; seed <= 5; seed++)
      {
        sim_t sim;
        sim_begin (&sim, cases[i].hosts, cases[i].limit, seed);
        for (msec_t now = START; now < START + 60000; now++)
          sim_step (&sim, cases[i].wanted, true, now);
        assert_limit_is_kept (&sim, START + 3000, START + 60000);
        guint served = count_between (sim.arrivals, START + 10000, START + 60000);
        double most = cases[i].limit * 50;
        assert_true (served >= 0.9 * most - 2 * sqrt (most));
        assert_true (served <= most + 2 * sqrt (most));
        sim_end (&sim);
      }
}

/* Demand that has been steady for 2 s, after a jump from below the limit. */
static void
test_nine_tenths_of_the_limit_are_used (void **state)
{
  static const fleet_case_t fleets[]
      = { { 8, 100, 300 }, { 8, 5, 12 }, { 12, 3.5, 9 }, { 90, 2, 12 }, { 90, 12, 60 } };
  const uint64_t seeds = 10;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (fleets); i++)
    {
      guint served = 0;
      for (uint64_t seed = 1; seed <= seeds; seed++)
        {
          sim_t sim;
          sim_begin (&sim, fleets[i].hosts, fleets[i].limit, seed);
          for (msec_t now = START; now < START + 20000; now++)
            sim_step (&sim,
                      now < START + 6000 ? 0.5 * fleets[i].limit : fleets[i].wanted,
                      true,
                      now);
          served += count_between (sim.arrivals, START + 8000, START + 20000);
          sim_end (&sim);
        }
      assert_true (served >= 0.9 * fleets[i].limit * 12 * (double)seeds);
    }
}

static void
test_fleet_serves_everything_below_the_limit (void **state)
{
  sim_t sim;

  (void)state;
  sim_begin (&sim, 90, 20, 3);
  for (msec_t now = START; now < START + 5000; now++)
    sim_step (&sim, 60, true, now);
  guint before = sim.arrivals->len;
  for (msec_t now = START + 5000; now < START + 45000; now++)
    sim_step (&sim, 12, true, now);
  assert_true (sim.arrivals->len - before >= 0.93 * 12 * 40);
  sim_end (&sim);
}

/* A burst of callers; half of the hosts leave and come back; another granter takes over,
 * and one second later all hosts' shares may be from either. */
static void
test_limit_is_kept_while_hosts_come_and_go (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (uint64_t seed = 11; seed <= 15; seed++)
      {
        sim_t sim;
        sim_begin (&sim, cases[i].hosts, cases[i].limit, seed);
        for (msec_t now = START; now < START + 40000; now++)
          {
            msec_t at = now - START;
            if (at == 18000)
              for (guint k = 1; k < sim.n; k += 2)
                sim.hosts[k].up = false;
            if (at == 24000)
              for (guint k = 1; k < sim.n; k += 2)
                start_host (&sim, k);
            if (at == 30000)
              {
                rate_fleet_clear (&sim.fleet);
                sim.fleet.next_plan = now + 1200;
              }
            sim_step (&sim,
                      cases[i].wanted * (at >= 10000 && at < 15000 ? 3 : 1),
                      true,
                      now);
          }
        assert_limit_is_kept (&sim, START + 3000, START + 40000);
        sim_end (&sim);
      }
}

/* From below the limit to four times as much, as when hot keys move to the target. */
static void
test_limit_is_kept_when_the_demand_jumps (void **state)
{
  static const fleet_case_t jumps[]
      = { { 8, 5, 0 }, { 12, 6, 0 }, { 12, 8.9, 0 }, { 90, 12, 0 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (jumps); i++)
    for (uint64_t seed = 1; seed <= 20; seed++)
      {
        sim_t sim;
        sim_begin (&sim, jumps[i].hosts, jumps[i].limit, seed);
        for (msec_t now = START; now < START + 24000; now++)
          {
            msec_t at = now - START;
            bool high = (at >= 8000 && at < 12000) || at >= 18000;
            sim_step (&sim, jumps[i].limit * (high ? 4 : 0.7), true, now);
          }
        assert_limit_is_kept (&sim, START + 3000, START + 24000);
        sim_end (&sim);
      }
}

/* Where the requests of a jump arrive.  CALM is the demand before it, in requests per
 * second; SET sets the weights of the hosts and returns the demand. */
typedef struct
{
  double (*set) (sim_t *self, double calm, double factor, msec_t at);
} adversary_t;

static double
jump_on_all (sim_t *self, double calm, double factor, msec_t at)
{
  (void)self;
  (void)at;
  return calm * factor;
}

static double
jump_on_one (sim_t *self, double calm, double factor, msec_t at)
{
  (void)at;
  self->hosts[0].weight = 0;
  self->hosts[0].weight = total_weight (self) * (factor - 1);
  return calm * factor;
}

/* From host to host at the period of the reports. */
static double
jump_moving (sim_t *self, double calm, double factor, msec_t at)
{
  guint to = (guint)(at / PROXY_LIMITED_REPORT_MS) % self->n;

  for (guint i = 0; i < self->n; i++)
    self->hosts[i].weight = i == to ? 1 : 0.001;
  return calm * factor;
}

static const adversary_t adversaries[]
    = { { jump_on_all }, { jump_on_one }, { jump_moving } };
static const double jump_factors[] = { 2, 10, 100 };
static const fleet_case_t adversary_cases[]
    = { { 8, 5, 0 }, { 12, 3.5, 0 }, { 90, 2, 0 }, { 90, 12, 0 }, { 8, 100, 0 } };

/* One second of each two at 0.7 of the limit, the other at FACTOR times that; DISTURB, if
 * any, is called each millisecond. */
static void
play_adversary (const fleet_case_t *fleet,
                const adversary_t *adversary,
                double factor,
                void (*disturb) (sim_t *self, msec_t at, msec_t now),
                uint64_t seed)
{
  const double calm = 0.7 * fleet->limit;
  sim_t sim;

  sim_begin (&sim, fleet->hosts, fleet->limit, seed);
  for (msec_t now = START; now < START + 22000; now++)
    {
      msec_t at = now - START;
      double wanted = calm;
      for (guint i = 0; i < sim.n; i++)
        sim.hosts[i].weight = sim.hosts[i].calm_weight;
      if (at >= 6000 && (at < 16000 ? at % 5000 < 2500 : at % 1000 < 500))
        wanted = adversary->set (&sim, calm, factor, at);
      if (disturb != NULL)
        disturb (&sim, at, now);
      sim_step (&sim, wanted, true, now);
    }
  assert_limit_is_kept (&sim, START + 3000, START + 22000);
  if (disturb == NULL)
    assert_rights_bound_the_sends (&sim, START + 3000, START + 22000);
  sim_end (&sim);
}

static void
test_limit_is_kept_whatever_an_adversary_asks (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (adversary_cases); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (adversaries); k++)
      for (size_t f = 0; f < G_N_ELEMENTS (jump_factors); f++)
        for (uint64_t seed = 1; seed <= 2; seed++)
          play_adversary (&adversary_cases[i],
                          &adversaries[k],
                          jump_factors[f],
                          NULL,
                          seed);
}

/* Hosts freeze, are cut off, leave and start; another granter takes over. */
static void
disturb_fleet (sim_t *self, msec_t at, msec_t now)
{
  for (guint i = 0; i < self->n; i++)
    {
      if (i % 4 == 1)
        self->hosts[i].frozen = at >= 6800 && at < 8500;
      if (i % 4 == 2)
        self->hosts[i].cut_off = at >= 7000 && at < 11200;
      if (i % 4 == 3 && at == 11000)
        self->hosts[i].up = false;
      if (i % 4 == 3 && at == 12000)
        start_host (self, i);
    }
  if (at == 16200)
    {
      rate_fleet_clear (&self->fleet);
      self->fleet.next_plan = now + 1200;
    }
}

static void
test_limit_is_kept_whatever_an_adversary_asks_of_a_disturbed_fleet (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (adversary_cases); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (adversaries); k++)
      for (size_t f = 0; f < G_N_ELEMENTS (jump_factors); f++)
        for (uint64_t seed = 31; seed <= 32; seed++)
          play_adversary (&adversary_cases[i],
                          &adversaries[k],
                          jump_factors[f],
                          disturb_fleet,
                          seed);
}

static void
test_fleet_is_unlimited_again_when_the_target_recovers (void **state)
{
  sim_t sim;

  (void)state;
  sim_begin (&sim, 90, 5, 21);
  for (msec_t now = START; now < START + 10000; now++)
    sim_step (&sim, 40, true, now);
  for (msec_t now = START + 10000; now < START + 20000; now++)
    sim_step (&sim, 40, false, now);
  assert_true (count_between (sim.arrivals, START + 14000, START + 20000)
               >= 0.85 * 40 * 6);
  sim_end (&sim);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_target_without_a_limit_admits_everything),
    cmocka_unit_test (test_host_without_a_share_takes_an_equal_part),
    cmocka_unit_test (test_limit_ends_when_the_target_no_longer_states_it),
    cmocka_unit_test (test_limit_ends_when_the_list_no_longer_has_it),
    cmocka_unit_test (test_own_statement_outlives_the_list_briefly),
    cmocka_unit_test (test_rights_end_after_the_report_that_they_answer),
    cmocka_unit_test (test_reply_counts_once_and_in_order),
    cmocka_unit_test (test_waiting_request_gets_the_right_before_a_new_one),
    cmocka_unit_test (test_right_of_an_unsent_request_counts_as_held),
    cmocka_unit_test (test_unused_rights_are_returned),
    cmocka_unit_test (test_demand_of_all_hosts_counts),
    cmocka_unit_test (test_new_granter_has_no_rights_to_give),
    cmocka_unit_test (test_rights_of_a_silent_host_are_not_given_again),
    cmocka_unit_test (test_fleet_serves_up_to_the_limit),
    cmocka_unit_test (test_nine_tenths_of_the_limit_are_used),
    cmocka_unit_test (test_fleet_serves_everything_below_the_limit),
    cmocka_unit_test (test_limit_is_kept_while_hosts_come_and_go),
    cmocka_unit_test (test_limit_is_kept_when_the_demand_jumps),
    cmocka_unit_test (test_limit_is_kept_whatever_an_adversary_asks),
    cmocka_unit_test (test_limit_is_kept_whatever_an_adversary_asks_of_a_disturbed_fleet),
    cmocka_unit_test (test_fleet_is_unlimited_again_when_the_target_recovers),
  };

  return cmocka_run_group_tests_name ("rate", tests, NULL, NULL);
}
