#pragma once

#include "../keys/key_rows.h"
#include "../keys/keys.h"
#include "../proxy/proxy.h"
#include "deployment.h"
#include "feed.h"
#include "../link/link.h"

/*
 * COORDINATOR: the task that keeps a host in step with the deployment.
 *
 * Follows the configuration, the targets and the owners of keys in the store
 * and tells the proxy.  On the one host that holds the granter's role it also
 * assigns keys and renews grants.
 */

/* What was read of one target. */
typedef struct
{
  target_entry_t entry;
  bool usable;    /* the entry could be read */
  bool told;      /* by the whole read that is under way */
  msec_t gone_at; /* its row is gone; it counts until then. MSEC_NEVER: it's there */
} known_target_t;

typedef enum
{
  ROLE_ELSEWHERE,
  ROLE_TAKING,
  ROLE_HELD,
} role_state_t;

/* One write of the role's row, with a table of owners or without. */
typedef struct
{
  bool under_way;
  bool reading_back; /* its outcome is unknown */
  bool has_table;
  key_table_t table;
  role_row_t row;
  msec_t started;
} role_write_t;

typedef struct
{
  role_state_t state;
  role_row_t row;   /* as last read or written */
  uint64_t version; /* of the row; 0: there is none */
  msec_t until;     /* what is held ends then, on this host's clock */
  msec_t next_write;
  msec_t next_look;
  bool looking;
  msec_t clock;          /* the store's clock in its last answer ... */
  msec_t clock_asked_at; /* ... to the call that began then */
  msec_t asked_at;
  msec_t held_until; /* no grant of a predecessor lasts longer, on this host's clock */
  uint64_t version_taken; /* of the row, when this host took the role */
  bool wants_tables;      /* what the store holds of owners couldn't be read yet ... */
  msec_t next_tables;     /* ... and is asked for again then */
  role_write_t write;
  GQueue tables; /* key_table_t to commit */
} role_t;

typedef struct
{
  const router_settings_t *settings;
  const deployment_ops_t *deployment;
  struct event_base *base;
  store_t *store;
  bool store_away;      /* the last call about the role got no answer */
  msec_t store_lost;    /* ... and that was last found out, monotonic */
  msec_t role_regained; /* the first one after such a call did, monotonic */
  proxy_t *proxy;
  mailbox_t inbox;        /* proxy_report_t */
  msclock_t clock;        /* counts while the machine is suspended */
  struct evhttp *metrics; /* NULL: not served */
  proxy_counts_t counts;  /* the proxy's last */
  struct event *tick, *flush, *on_term, *on_int, *on_hup;
  const char *settings_file;
  struct timespec settings_seen; /* the file's time when it was read */
  msec_t settings_look;
  rng_t rng;
  uint64_t life;
  bool stopping;

  feed_t configuration, targets, owners;
  uint64_t directory_version;
  bool has_directory;
  GString *configuration_bytes; /* of the newest row, in force or rejected */
  GArray *keyed;                /* name_t: services whose keys have owners */
  GHashTable *known;            /* id to known_target_t */
  GHashTable *bad_keys;         /* ids of entries that can't be read, told once */
  bool targets_changed;

  keys_t keys;
  GArray *out; /* keys_out_t */
  role_t role;
  GHashTable *pools; /* address to httpc_pool_t */

  GPtrArray *tables; /* key_table_t, the newest known of each service */
  link_t link;
  name_t granter;        /* the link's address of the granter; empty: not known */
  msec_t news_until;     /* its news count until then */
  msec_t table_told;     /* the last change of owners was spread */
  msec_t table_asked;    /* the last missing one was asked for */
  GHashTable *reporters; /* host's name to reporter_t */
  uint32_t hosts;        /* that share the budget of repeats; 0: not known */
} coordinator_t;

/* Opens the loop.  SETTINGS_FILE is looked at for changes.  The store and the proxy come
 * by coordinator_attach. */
status_t coordinator_init (coordinator_t *self,
                           const router_settings_t *settings,
                           const char *settings_file,
                           const deployment_ops_t *deployment,
                           fault_t *fault);
void coordinator_attach (coordinator_t *self, store_t *store, proxy_t *proxy);

/* Runs until the proxy has drained after SIGTERM or SIGINT. */
void coordinator_run (coordinator_t *self);
void coordinator_finish (coordinator_t *self);
