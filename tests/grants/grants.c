#include "../../packages/coordinator/coordinator_parts.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * GRANTS: every run of granting on a small fleet with at most K deviations.
 *
 * Two hosts with the real role, grants and keys, a store, up to three targets and one
 * service, on a clock that is set.  The calm run answers each call at once.  A deviation
 * is one call to the store that is refused, lost, done without an answer or done late;
 * one grant or release that is lost, taken without an answer or taken late; or one host
 * that is frozen or killed.  Each set of up to K deviations within the window is played
 * from the start.  A target's clock runs slow by as much as is allowed.
 *
 * Checked at each grant that a target takes: no other target holds one of its keys, and
 * its fence is above all with which others had them.  Checked at the end: each key is
 * held.
 */

#define HOSTS 2
#define TARGETS 3
#define STEP_MS 50          /* the coordinator's tick in the simulation */
#define WAY_MS 2            /* a call's way, one way */
#define WINDOW_FROM_MS 2000 /* the first grants have been taken by then */
#define WINDOW_TO_MS 7000
#define TURN_MS 3500 /* what the scenario does to the targets */
#define END_MS 24000 /* twice the longest hold after the window */
#define FREEZE_MS 3200
#define RESTART_MS 400
#define MARK_MS 250 /* between points at which hosts may be harmed */
#define STORE_LATE_MS 2000
#define ORDER_LATE_MS 4000
#define HOLD_MAX_MS 10000
#define KEY_STRIDE 4096 /* between the keys of a sample */
#define KEY_SAMPLES (KEY_LAST / KEY_STRIDE + 1)
#define POINTS_MAX 8192
#define DEVIATIONS_MAX 2

typedef enum
{
  SCENARIO_CALM,
  SCENARIO_LEAVE,  /* the first target leaves */
  SCENARIO_REBORN, /* it starts anew under its id */
  SCENARIO_JOIN,   /* a third one joins */
  SCENARIO_RESIGN, /* the granter stops */
  SCENARIOS,
} scenario_t;

typedef enum
{
  POINT_STORE,
  POINT_ORDER,
  POINT_HOST,
} point_kind_t;

/* Options of each kind of point; 0 is the calm one. */
enum
{
  STORE_LOST = 1,
  STORE_ANSWER_LOST,
  STORE_LATE,
  STORE_TURNED_AWAY,
  STORE_OPTIONS,
  ORDER_LOST = 1,
  ORDER_ANSWER_LOST,
  ORDER_LATE,
  ORDER_OPTIONS,
  HOST_FROZEN = 1,
  HOST_KILLED,
  HOST_OPTIONS,
};

static const int options_of[] = { [POINT_STORE] = STORE_OPTIONS,
                                  [POINT_ORDER] = ORDER_OPTIONS,
                                  [POINT_HOST] = HOST_OPTIONS };

typedef struct
{
  guint point;
  int option;
} deviation_t;

typedef struct
{
  uint32_t first, last;
  uint64_t fence;
  msec_t until;
} hold_t;

typedef struct
{
  bool listed;
  uint64_t born;
  bool leaving;
  GArray *holds;              /* hold_t */
  uint64_t seen[KEY_SAMPLES]; /* the highest fence that it took of a sample of keys */
} target_t;

typedef struct
{
  GString *bytes;
  uint64_t version;
} row_t;

typedef enum
{
  EVENT_STORE,        /* a call arrives at the store */
  EVENT_STORE_ANSWER, /* ... and its answer, or that there is none, at the host */
  EVENT_ORDER,
  EVENT_ORDER_ANSWER,
} event_kind_t;

typedef struct
{
  event_kind_t kind;
  msec_t at;
  guint host;
  uint64_t life;
  /* Calls to the store. */
  store_done_t done;
  store_table_t table;
  bool commit;
  uint64_t expected;
  GString *role, *keys; /* to be put; KEYS may be NULL */
  store_reply_t reply;
  /* Orders. */
  order_done_t order_done;
  key_order_t order;
  order_outcome_t outcome;
  bool counts_from_before; /* its time runs from ARRIVED */
  msec_t arrived;
  void *owner;
} sim_event_t;

typedef struct
{
  store_t store; /* first: a store call knows its host by it */
  guint index;
  coordinator_t coordinator;
  bool up;
  uint64_t life;
  msec_t frozen_until, starts_at;
} host_t;

typedef struct
{
  scenario_t scenario;
  const deviation_t *deviations;
  guint n_deviations;
  msec_t now;
  guint acting; /* the host whose code runs */
  guint next_point;
  point_kind_t kinds[POINTS_MAX]; /* of the points that this run came to */
  host_t hosts[HOSTS];
  target_t targets[TARGETS];
  row_t role, keys;
  uint64_t version;
  GPtrArray *events;            /* sim_event_t */
  uint64_t fences[KEY_SAMPLES]; /* the highest that any target took */
  guint fence_owners[KEY_SAMPLES];
  bool tell;       /* print what happens */
  char fault[256]; /* empty: none */
} sim_t;

static sim_t *sim; /* the run under way, which the coordinator's callbacks come back to */
static name_t service;

static void
found (const char *what, guint target, uint32_t key)
{
  if (sim->fault[0] == 0)
    g_snprintf (sim->fault,
                sizeof sim->fault,
                "%s: target %u, key %u, at %lld ms",
                what,
                target,
                key,
                (long long)sim->now);
}

/* The option that this run takes at the next point. */
static int
choose (point_kind_t kind)
{
  guint point;

  if (sim->now < WINDOW_FROM_MS || sim->now >= WINDOW_TO_MS
      || sim->next_point == POINTS_MAX)
    return 0;
  point = sim->next_point++;
  sim->kinds[point] = kind;
  for (guint i = 0; i < sim->n_deviations; i++)
    if (sim->deviations[i].point == point)
      return sim->deviations[i].option;
  return 0;
}

static sim_event_t *
schedule (event_kind_t kind, guint host, msec_t after)
{
  sim_event_t *event = g_new0 (sim_event_t, 1);

  event->kind = kind;
  event->at = sim->now + after;
  event->host = host;
  event->life = sim->hosts[host].life;
  g_ptr_array_add (sim->events, event);
  return event;
}

static void
free_event (sim_event_t *event)
{
  if (event->role != NULL)
    g_string_free (event->role, TRUE);
  if (event->keys != NULL)
    g_string_free (event->keys, TRUE);
  if (event->reply.rows != NULL)
    g_array_unref (event->reply.rows);
  g_free (event);
}

/* The store. */

static void
clear_row (void *item)
{
  g_string_free (((store_row_t *)item)->key, TRUE);
  g_string_free (((store_row_t *)item)->value, TRUE);
}

static void
add_row (GArray *rows, const char *key, const row_t *row)
{
  store_row_t copy = { .key = g_string_new (key), .version = row->version };

  copy.value = g_string_new_len (row->bytes->str, (gssize)row->bytes->len);
  g_array_append_val (rows, copy);
}

static void
put (row_t *row, const GString *bytes)
{
  if (bytes == NULL)
    return;
  g_string_truncate (row->bytes, 0);
  g_string_append_len (row->bytes, bytes->str, (gssize)bytes->len);
  row->version = sim->version;
}

static void
execute (const sim_event_t *call, store_reply_t *reply)
{
  reply->rows = g_array_new (FALSE, FALSE, sizeof (store_row_t));
  g_array_set_clear_func (reply->rows, clear_row);
  reply->why = "played";
  if (call->commit && call->expected != sim->role.version)
    reply->outcome = STORE_CONFLICT;
  else if (call->commit)
    {
      sim->version++;
      put (&sim->role, call->role);
      put (&sim->keys, call->keys);
    }
  else if (call->table == STORE_ROLE && sim->role.version > 0)
    add_row (reply->rows, "granter", &sim->role);
  else if (call->table == STORE_KEYS && sim->keys.version > 0)
    add_row (reply->rows, "s", &sim->keys);
  reply->version = call->commit ? sim->role.version : sim->version;
  reply->clock = sim->now;
}

static sim_event_t *
new_call (store_t *store, store_done_t done, void *owner, bool *answered)
{
  const host_t *host = (const host_t *)(void *)store;
  int option = choose (POINT_STORE);
  sim_event_t *call = schedule (EVENT_STORE, host->index, WAY_MS);

  *answered = option == 0;
  call->done = done;
  call->owner = owner;
  if (option == STORE_LATE)
    call->at += STORE_LATE_MS;
  if (option == STORE_LOST || option == STORE_TURNED_AWAY)
    call->at = MSEC_NEVER;
  if (*answered)
    return call;
  sim_event_t *silence
      = schedule (EVENT_STORE_ANSWER,
                  host->index,
                  option == STORE_TURNED_AWAY ? 2 * WAY_MS : STORE_CALL_MS);
  silence->done = done;
  silence->owner = owner;
  silence->reply = (store_reply_t){
    .outcome = option == STORE_TURNED_AWAY ? STORE_REFUSED : STORE_UNKNOWN,
    .why = "played",
    .rows = g_array_new (FALSE, FALSE, sizeof (store_row_t)),
  };
  call->done = NULL;
  return call;
}

static void
read_table (
    store_t *store, store_table_t table, text_t after, store_done_t done, void *owner)
{
  bool answered;

  (void)after;
  new_call (store, done, owner, &answered)->table = table;
}

static void
commit (store_t *store, const store_commit_t *commit, store_done_t done, void *owner)
{
  bool answered;
  sim_event_t *call = new_call (store, done, owner, &answered);

  call->commit = true;
  call->expected = commit->expected;
  for (size_t i = 0; i < commit->n_puts; i++)
    {
      const store_put_t *row = &commit->puts[i];
      GString *bytes = g_string_new_len (row->value.at, (gssize)row->value.len);
      if (row->table == STORE_ROLE)
        call->role = bytes;
      else
        call->keys = bytes;
    }
}

static const store_ops_t store_ops = { .read = read_table, .commit = commit };

/* Targets. */

static guint
target_index (const name_t *id)
{
  return (guint)(id->at[0] - 'a');
}

static void
take_grant (guint index, const sim_event_t *event)
{
  target_t *target = &sim->targets[index];
  const key_order_t *order = &event->order;
  msec_t from = event->counts_from_before ? event->arrived : sim->now;
  hold_t hold
      = { order->first, order->last, order->fence, from + order->hold * 102 / 100 };

  if (hold.until <= sim->now)
    return; /* its time was over when it was carried out */
  for (guint other = 0; other < TARGETS; other++)
    for (guint i = 0; other != index && i < sim->targets[other].holds->len; i++)
      {
        const hold_t *held = &g_array_index (sim->targets[other].holds, hold_t, i);
        if (held->until > sim->now && hold.until > sim->now && held->first <= hold.last
            && hold.first <= held->last)
          found ("held by two", index, MAX (held->first, hold.first));
      }
  for (guint at = 0; at < KEY_SAMPLES; at++)
    {
      if (at * KEY_STRIDE < order->first || at * KEY_STRIDE > order->last)
        continue;
      if (sim->fences[at] >= order->fence && sim->fence_owners[at] != index)
        found ("fence not above all", index, at * KEY_STRIDE);
      sim->fences[at] = MAX (sim->fences[at], order->fence);
      sim->fence_owners[at] = index;
      target->seen[at] = MAX (target->seen[at], order->fence);
    }
  for (guint i = 0; i < target->holds->len; i++)
    if (g_array_index (target->holds, hold_t, i).first == hold.first
        && g_array_index (target->holds, hold_t, i).last == hold.last)
      g_array_remove_index (target->holds, i--);
  g_array_append_val (target->holds, hold);
}

static void
take_release (target_t *target, const key_order_t *order)
{
  GArray *kept = g_array_new (FALSE, FALSE, sizeof (hold_t));

  for (guint i = 0; i < target->holds->len; i++)
    {
      hold_t hold = g_array_index (target->holds, hold_t, i);
      hold_t lower = hold, upper = hold;
      lower.last = MIN (hold.last, order->first - 1);
      upper.first = MAX (hold.first, order->last + 1);
      if (hold.first < order->first && lower.first <= lower.last)
        g_array_append_val (kept, lower);
      if (hold.last > order->last && upper.first <= upper.last)
        g_array_append_val (kept, upper);
    }
  g_array_unref (target->holds);
  target->holds = kept;
}

/* Whether a target has seen a higher fence on one of the keys. */
static bool
is_superseded (guint index, const key_order_t *order)
{
  for (guint at = 0; at < KEY_SAMPLES; at++)
    if (at * KEY_STRIDE >= order->first && at * KEY_STRIDE <= order->last
        && sim->targets[index].seen[at] > order->fence)
      return true;
  return false;
}

static void
tell_order (const sim_event_t *event)
{
  const key_order_t *order = &event->order;

  printf ("%5lld host %u: %s %c %u-%u fence %llu hold %lld, sent at %lld%s\n",
          (long long)sim->now,
          event->host,
          order->release ? "release" : "grant",
          order->target.at[0],
          order->first,
          order->last,
          (unsigned long long)order->fence,
          (long long)order->hold,
          (long long)event->arrived - WAY_MS,
          event->order_done == NULL ? ", not answered" : "");
}

static order_outcome_t
take_order (const sim_event_t *event)
{
  guint index = target_index (&event->order.target);
  target_t *target = &sim->targets[index];

  if (sim->tell)
    tell_order (event);

  if (event->order.release)
    {
      take_release (target, &event->order);
      return ORDER_TAKEN;
    }
  if (is_superseded (index, &event->order))
    return ORDER_SUPERSEDED;
  take_grant (index, event);
  return ORDER_TAKEN;
}

static void
give_order (httpc_pool_t *pool,
            const key_order_t *order,
            order_done_t done,
            void *owner,
            msec_t now)
{
  int option = choose (POINT_ORDER);
  sim_event_t *call = schedule (EVENT_ORDER, sim->acting, WAY_MS);
  sim_event_t *silence;

  (void)pool;
  (void)now;
  call->order = *order;
  call->arrived = call->at;
  call->order_done = done;
  call->owner = owner;
  if (option == 0)
    return;
  call->order_done = NULL;
  if (option == ORDER_LOST)
    call->at = MSEC_NEVER;
  if (option == ORDER_LATE)
    {
      call->at += ORDER_LATE_MS;
      call->counts_from_before = true;
    }
  silence = schedule (EVENT_ORDER_ANSWER, sim->acting, ORDER_CALL_MS);
  silence->order_done = done;
  silence->owner = owner;
  silence->outcome = ORDER_FAILED;
}

static const deployment_ops_t deployment = { .order = give_order };

/* Hosts. */

static void
tell_targets (host_t *host)
{
  GArray *listed = g_array_new (FALSE, TRUE, sizeof (target_entry_t));
  keys_msg_t msg = { .kind = KEYS_TARGETS, .targets = listed };

  for (guint i = 0; i < TARGETS; i++)
    {
      const target_t *target = &sim->targets[i];
      target_entry_t entry = { .service = service,
                               .born = target->born,
                               .slots = 3,
                               .leaving = target->leaving };
      char id[2] = { (char)('a' + i), 0 };
      name_set (&entry.id, text_from_c (id));
      name_set (&entry.address, TEXT ("127.0.0.1:9"));
      if (target->listed)
        g_array_append_val (listed, entry);
    }
  grants_tell (&host->coordinator, &msg);
  g_array_unref (listed);
}

static void
start_host (host_t *host, const router_settings_t *settings)
{
  coordinator_t *self = &host->coordinator;
  keys_msg_t services = { .kind = KEYS_SERVICES };
  store_t *store = &host->store;

  host->up = true;
  host->life++;
  store->ops = &store_ops;
  *self = (coordinator_t){ .settings = settings,
                           .deployment = &deployment,
                           .base = event_base_new (),
                           .store = store,
                           .life = host->life,
                           .has_directory = true,
                           .hosts = HOSTS,
                           .out = g_array_new (FALSE, TRUE, sizeof (keys_out_t)) };
  msclock_init_settable (&self->clock, sim->now);
  rng_init (&self->rng, host->index);
  keys_init (&self->keys, HOLD_MAX_MS);
  news_init (self);
  g_queue_init (&self->role.tables);
  self->role.next_look = sim->now + host->index * 100;
  self->reporters = g_hash_table_new (g_str_hash, g_str_equal);
  self->configuration.retry = evtimer_new (self->base, NULL, NULL);
  self->targets.retry = evtimer_new (self->base, NULL, NULL);
  self->owners.retry = evtimer_new (self->base, NULL, NULL);
  self->configuration.after = g_string_new (NULL);
  self->targets.after = g_string_new (NULL);
  self->owners.after = g_string_new (NULL);
  self->targets.watching = self->owners.watching = true;
  g_array_append_val (self->keyed, service);
  services.names = self->keyed;
  sim->acting = host->index;
  grants_tell (self, &services);
  tell_targets (host);
}

static void
stop_host (host_t *host)
{
  coordinator_t *self = &host->coordinator;
  key_table_t *table;

  if (!host->up)
    return;
  host->up = false;
  if (self->role.write.has_table)
    key_table_finish (&self->role.write.table);
  while ((table = g_queue_pop_head (&self->role.tables)) != NULL)
    {
      key_table_finish (table);
      g_free (table);
    }
  grants_finish (self);
  owners_finish (self);
  news_finish (self);
  keys_finish (&self->keys);
  g_array_unref (self->out);
  g_hash_table_unref (self->reporters);
  event_base_free (self->base);
}

static void
step_host (host_t *host)
{
  coordinator_t *self = &host->coordinator;
  keys_msg_t tick = { .kind = KEYS_TICK };

  if (!host->up || sim->now < host->frozen_until)
    return;
  sim->acting = host->index;
  msclock_set (&self->clock, sim->now);
  role_step (self, sim->now);
  if (self->role.state != ROLE_HELD)
    return;
  grants_tell (self, &tick);
  role_step (self, sim->now);
}

static void
harm_host (host_t *host)
{
  int option = choose (POINT_HOST);

  if (option == HOST_FROZEN)
    host->frozen_until = sim->now + FREEZE_MS;
  if (option != HOST_KILLED)
    return;
  stop_host (host);
  host->starts_at = sim->now + RESTART_MS;
}

static void
turn (void)
{
  target_t *first = &sim->targets[0];

  switch (sim->scenario)
    {
    case SCENARIO_LEAVE:
      first->leaving = true;
      break;
    case SCENARIO_REBORN:
      first->born++;
      g_array_set_size (first->holds, 0);
      memset (first->seen, 0, sizeof first->seen);
      break;
    case SCENARIO_JOIN:
      sim->targets[2].listed = true;
      break;
    case SCENARIO_RESIGN:
      for (guint i = 0; i < HOSTS; i++)
        if (sim->hosts[i].up && sim->hosts[i].coordinator.role.state == ROLE_HELD)
          {
            coordinator_t *self = &sim->hosts[i].coordinator;
            keys_msg_t resign = { .kind = KEYS_RESIGN };
            sim->acting = i;
            msclock_set (&self->clock, sim->now);
            grants_tell (self, &resign);
            self->stopping = true;
            role_resign (self, sim->now);
          }
      break;
    case SCENARIO_CALM:
    case SCENARIOS:
      break;
    }
  for (guint i = 0; i < HOSTS; i++)
    if (sim->hosts[i].up)
      {
        sim->acting = i;
        tell_targets (&sim->hosts[i]);
      }
}

/* Events. */

static void
handle (sim_event_t *event)
{
  host_t *host = &sim->hosts[event->host];
  bool heard = host->up && host->life == event->life;

  switch (event->kind)
    {
    case EVENT_STORE:
      {
        store_reply_t reply = { 0 };
        execute (event, &reply);
        if (event->done == NULL)
          {
            g_array_unref (reply.rows);
            break;
          }
        sim_event_t *answer = schedule (EVENT_STORE_ANSWER, event->host, WAY_MS);
        answer->life = event->life;
        answer->done = event->done;
        answer->owner = event->owner;
        answer->reply = reply;
        break;
      }
    case EVENT_ORDER:
      {
        order_outcome_t outcome = take_order (event);
        if (event->order_done == NULL)
          break;
        sim_event_t *answer = schedule (EVENT_ORDER_ANSWER, event->host, WAY_MS);
        answer->life = event->life;
        answer->order_done = event->order_done;
        answer->owner = event->owner;
        answer->outcome = outcome;
        break;
      }
    case EVENT_STORE_ANSWER:
    case EVENT_ORDER_ANSWER:
      if (!heard)
        break;
      sim->acting = event->host;
      msclock_set (&host->coordinator.clock, sim->now);
      if (event->kind == EVENT_STORE_ANSWER)
        event->done (event->owner, &event->reply);
      else
        event->order_done (event->owner, event->outcome, true, TEXT ("warm"));
      break;
    }
}

/* Handles what is due, in the order of its time; a frozen host hears nothing. */
static void
handle_due (void)
{
  for (;;)
    {
      sim_event_t *next = NULL;
      for (guint i = 0; i < sim->events->len; i++)
        {
          sim_event_t *event = g_ptr_array_index (sim->events, i);
          bool answer
              = event->kind == EVENT_STORE_ANSWER || event->kind == EVENT_ORDER_ANSWER;
          if (event->at <= sim->now && (next == NULL || event->at < next->at)
              && !(answer && sim->now < sim->hosts[event->host].frozen_until))
            next = event;
        }
      if (next == NULL)
        return;
      g_ptr_array_remove (sim->events, next);
      handle (next);
      free_event (next);
    }
}

static bool
is_held (uint32_t key)
{
  for (guint i = 0; i < TARGETS; i++)
    for (guint j = 0; j < sim->targets[i].holds->len; j++)
      {
        const hold_t *hold = &g_array_index (sim->targets[i].holds, hold_t, j);
        if (hold->first <= key && key <= hold->last && hold->until > sim->now)
          return true;
      }
  return false;
}

static void
play (sim_t *self, const router_settings_t *settings)
{
  bool turned = false;

  sim = self;
  self->now = 1000;
  self->events = g_ptr_array_new ();
  self->role.bytes = g_string_new (NULL);
  self->keys.bytes = g_string_new (NULL);
  for (guint i = 0; i < TARGETS; i++)
    self->targets[i] = (target_t){ .listed = i < 2,
                                   .born = 1,
                                   .holds = g_array_new (FALSE, TRUE, sizeof (hold_t)) };
  for (guint i = 0; i < HOSTS; i++)
    {
      self->hosts[i].index = i;
      start_host (&self->hosts[i], &settings[i]);
    }
  while (self->now < END_MS && self->fault[0] == 0)
    {
      self->now += WAY_MS;
      handle_due ();
      if (!turned && self->now >= TURN_MS)
        {
          turned = true;
          turn ();
        }
      for (guint i = 0; i < HOSTS; i++)
        {
          host_t *host = &self->hosts[i];
          if (self->now % MARK_MS == 0)
            harm_host (host);
          if (!host->up && self->now >= host->starts_at)
            start_host (host, &settings[i]);
          if (self->now % STEP_MS == 0)
            step_host (host);
        }
    }
  for (uint32_t key = 0; key <= KEY_LAST; key += 4095)
    if (!is_held (key))
      found ("held by none at the end", TARGETS, key);
  for (guint i = 0; i < HOSTS; i++)
    stop_host (&self->hosts[i]);
  for (guint i = 0; i < self->events->len; i++)
    free_event (g_ptr_array_index (self->events, i));
  g_ptr_array_unref (self->events);
  for (guint i = 0; i < TARGETS; i++)
    g_array_unref (self->targets[i].holds);
  g_string_free (self->role.bytes, TRUE);
  g_string_free (self->keys.bytes, TRUE);
}

/* All runs with the N deviations of PREFIX and up to LEFT more. */
typedef struct
{
  const router_settings_t *settings;
  scenario_t scenario;
  guint stride; /* of the points at which the last deviation is placed */
  uint64_t runs, faults;
} search_t;

static void
explore (search_t *self, const deviation_t *prefix, guint n, guint left)
{
  sim_t *run = g_new0 (sim_t, 1);
  deviation_t more[DEVIATIONS_MAX];

  run->scenario = self->scenario;
  run->deviations = prefix;
  run->n_deviations = n;
  play (run, self->settings);
  self->runs++;
  if (run->fault[0] != 0)
    {
      printf ("scenario %d", self->scenario);
      for (guint i = 0; i < n; i++)
        printf (" point %u option %d", prefix[i].point, prefix[i].option);
      printf (": %s\n", run->fault);
      self->faults++;
    }
  memcpy (more, prefix, n * sizeof *prefix);
  for (guint point = n > 0 ? prefix[n - 1].point + 1 : 0;
       left > 0 && run->fault[0] == 0 && point < run->next_point;
       point += left == 1 ? self->stride : 1)
    for (int option = 1; option < options_of[run->kinds[point]]; option++)
      {
        more[n] = (deviation_t){ point, option };
        explore (self, more, n + 1, left - 1);
      }
  g_free (run);
}

/* Plays one run and prints what the targets were told. */
static bool
tell_run (const search_t *search, const int *numbers, int n)
{
  sim_t *run = g_new0 (sim_t, 1);
  deviation_t deviations[DEVIATIONS_MAX];

  run->n_deviations = (guint)MIN (n / 2, DEVIATIONS_MAX);
  for (guint i = 0; i < run->n_deviations; i++)
    deviations[i] = (deviation_t){ (guint)numbers[2 * i], numbers[2 * i + 1] };
  run->scenario = search->scenario;
  run->deviations = deviations;
  run->tell = true;
  play (run, search->settings);
  printf ("%s\n", run->fault[0] != 0 ? run->fault : "no fault");
  bool faulty = run->fault[0] != 0;
  g_free (run);
  return faulty;
}

int
main (int argc, char **argv)
{
  struct arg_int *deviations
      = arg_int0 ("k", NULL, "N", "deviations a run, 2 at most (1)");
  struct arg_int *stride
      = arg_int0 (NULL, "stride", "N", "the last deviation at each Nth point (1)");
  struct arg_int *scenario = arg_int0 (NULL, "scenario", "N", "tell one run of it");
  struct arg_int *points
      = arg_intn (NULL, NULL, "POINT OPTION", 0, 2 * DEVIATIONS_MAX, "its deviations");
  struct arg_end *end = arg_end (4);
  void *table[] = { deviations, stride, scenario, points, end };
  router_settings_t settings[HOSTS] = { 0 };
  search_t search = { .settings = settings };

  deviations->ival[0] = stride->ival[0] = 1;
  if (arg_parse (argc, argv, table) > 0 || deviations->ival[0] < 0
      || deviations->ival[0] > DEVIATIONS_MAX || stride->ival[0] < 1)
    {
      arg_print_errors (stderr, end, "grants");
      arg_print_glossary (stderr, table, "  %-20s %s\n");
      return 2;
    }
  search.stride = (guint)stride->ival[0];
  name_set (&service, TEXT ("s"));
  name_set (&settings[0].host, TEXT ("h0"));
  name_set (&settings[1].host, TEXT ("h1"));
  if (scenario->count > 0)
    {
      search.scenario = (scenario_t)CLAMP (scenario->ival[0], 0, SCENARIOS - 1);
      return tell_run (&search, points->ival, points->count);
    }
  for (search.scenario = 0; search.scenario < SCENARIOS; search.scenario++)
    explore (&search,
             (const deviation_t[DEVIATIONS_MAX]){ 0 },
             0,
             (guint)deviations->ival[0]);
  printf ("%llu runs, %llu faults\n",
          (unsigned long long)search.runs,
          (unsigned long long)search.faults);
  arg_freetable (table, G_N_ELEMENTS (table));
  return search.faults > 0;
}
