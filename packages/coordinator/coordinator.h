#pragma once

#include "../keys/key_rows.h"
#include "../currency/currency.h"
#include "../evacuation/evacuation.h"
#include "../keys/keys.h"
#include "../pace/pace.h"
#include "../proxy/proxy.h"
#include "../suspect/reports.h"
#include "departed.h"
#include "deployment.h"
#include "feed.h"
#include "outbox.h"
#include "relay.h"
#include "vacancy.h"
#include "../link/link.h"

/*
 * COORDINATOR: the task that keeps a host up to date with the deployment.
 *
 * Watches the configuration, the targets and the key owners in the store and
 * passes changes to the proxy.  On the one host that holds the granter's role it
 * also assigns keys to targets and renews their grants.
 */

/* A target as last read from the store. */
typedef struct
{
  target_entry_t entry;
  bool parsed;         /* an entry was parsed successfully */
  bool seen;           /* during the current full read */
  bool stated_leaving; /* this process of it stated, to any host, that it leaves */
  uint64_t row_version;
  msec_t cold_until; /* as its row states */
  bool stated_cold;  /* its row does */
  msec_t expires_at; /* when a target without a row is dropped; MSEC_NEVER: it has one */
} known_target_t;

/* The bytes of a configuration; version 0: none. */
typedef struct
{
  uint64_t version; /* of the row */
  GString *bytes;
  msec_t since; /* when this host got it */
} configuration_row_t;

typedef enum
{
  ROLE_NOT_HELD,
  ROLE_ACQUIRING,
  ROLE_HELD,
} role_state_t;

typedef struct coordinator coordinator_t;

/* A call that writes the role row.  Without an answer it may be performed later, if the
 * row hasn't changed by then. */
typedef struct
{
  coordinator_t *coordinator;
  bool in_flight;
  uint64_t sequence; /* of the row that it writes */
  msec_t started;
} role_attempt_t;

/* A read of the owners' rows that follow a key. */
typedef struct
{
  coordinator_t *coordinator;
  bool in_flight;
  name_t after; /* as much of the key as a service's name may have */
} owners_read_t;

/* A write of the role row, optionally together with a table of key owners; repeated until
 * its outcome is known. */
typedef struct
{
  bool in_progress;
  bool reading_back; /* its outcome is unknown: the row is being read */
  bool has_table;
  key_table_t table;
  role_row_t row;          /* of the newest attempt */
  uint64_t first_sequence; /* of the first attempt; 0: none yet */
  bool unanswered;         /* an attempt got no answer: it may still be performed */
  msec_t started;          /* the newest attempt */
} role_write_t;

typedef struct
{
  role_state_t state;
  role_row_t row;   /* as last read or written */
  uint64_t version; /* of the row; 0: no such row */
  uint64_t era;     /* of the store, as of the last step */
  vacancy_t vacancy;
  msec_t lease_end; /* no grant is sent from then on; this host's clock */
  msec_t next_write;
  msec_t next_table_write; /* not before this, after the store refused a table */
  msec_t next_check;
  bool check_failed;            /* the last check: the store did not answer it */
  uint64_t gave_way_at_version; /* of the row at which the role was left to others */
  bool checking;
  msec_t store_clock;              /* the store's clock in its last reply */
  msec_t store_clock_requested_at; /* when the call for that reply was started */
  msec_t reads_started;            /* the oldest read of the row without a reply */
  uint32_t reads_in_flight;
  msec_t predecessor_grants_end; /* latest end of a predecessor's grants; this host's
                                    clock */
  uint64_t acquired_version;     /* of the row when this host acquired the role */
  bool tables_lost;              /* the store may have lost tables that nobody has
                                    written again */
  bool awaits_tables;            /* the owners of some service are being read */
  bool needs_tables;             /* reading the owners from the store failed */
  msec_t next_tables_read;       /* when that read is retried */
  owners_read_t reads[ROLE_READS_MAX];
  role_write_t write;
  role_attempt_t attempts[ROLE_ATTEMPTS_MAX];
  uint64_t last_sequence; /* of all attempts of this process */
  GQueue pending_tables;  /* key_table_t waiting to be committed */
} role_t;

struct coordinator
{
  const router_settings_t *settings;
  const deployment_ops_t *deployment;
  struct event_base *base;
  store_t *store;
  bool store_unreachable; /* the last call for the role row failed */
  outage_t outage;
  proxy_t *proxy;
  outbox_t outbox;
  mailbox_t inbox;             /* proxy_report_t */
  msclock_t clock;             /* includes time in system suspend */
  struct evhttp *metrics;      /* NULL: metrics are not served */
  proxy_counts_t proxy_counts; /* from the proxy's last report */
  struct event *tick, *flush, *on_hup;
  const char *settings_file;
  struct timespec settings_mtime; /* modification time when last checked */
  msec_t next_settings_check;
  msec_t last_tick;
  msec_t late_ms;       /* how late the last tick was */
  msec_t round_trip_ms; /* of the last report that the granter replied to */
  rng_t rng;
  uint64_t incarnation; /* distinguishes successive processes of this host */
  bool stopping;

  feed_t configuration, targets, owners;
  currency_t configuration_currency, targets_currency;
  evacuations_t evacuations;
  msec_t evacuation_ms;     /* within which a data centre has to be emptied; 0: none is */
  bool evacuations_changed; /* since they were last published */
  bool evacuations_ignored; /* a row was, which is logged once */
  bool outdated;            /* the proxy was told to reject requests */
  uint64_t unconfirmed;     /* times that no one confirmed a copy for long */
  uint64_t directory_version;
  uint32_t unsupported_routes; /* in that configuration */
  bool has_directory;
  /* The newest row of the configuration, applied or rejected, and the one before. */
  configuration_row_t configuration_row, previous_row;
  relay_t relayed_targets;
  msec_t next_configuration_send; /* to a host that lacks it */
  GArray *keyed_services;         /* name_t: services with key owners */
  GArray *warming_services;       /* name_t: those that state what a cold target bears */
  GHashTable *targets_by_id;      /* id to known_target_t */
  departed_t departed;            /* targets that left and are not listed any more */
  GHashTable *rejected_keys;      /* ids of invalid entries, each logged once */
  bool targets_changed;
  msec_t relay_max_age; /* the oldest knowledge of a table that this host goes by */

  rate_fleet_t rates;
  pace_fleet_t paces;
  keys_t keys;
  GArray *key_actions; /* keys_out_t */
  role_t role;
  GHashTable *target_pools; /* address to httpc_pool_t */

  GPtrArray *key_tables; /* key_table_t, the newest one of each service */
  link_t link;
  name_t granter;                /* link address of the granter; empty: unknown */
  msec_t granter_update_expires; /* the granter is considered live until then */
  msec_t table_broadcast_at;     /* when a changed table was last broadcast */
  msec_t table_requested_at;     /* when a missed table was last requested */
  reports_t suspects;            /* reported by this host */
  uint64_t updated_by;           /* incarnation of the granter of the last update */
  GHashTable *reporters;         /* host name to reporter_t */
  uint32_t host_count;           /* that share the retry budget; 0: unknown */
  msec_t hosts_known_at; /* until then some haven't reported to this granter yet */
};

/* Creates the event loop and opens the listeners.  SETTINGS_FILE is polled for changes.
 * Call coordinator_attach before coordinator_run.  STATUS_IO if an address can't be bound
 * or no eventfd is available. */
status_t coordinator_init (coordinator_t *self,
                           const router_settings_t *settings,
                           const char *settings_file,
                           const deployment_ops_t *deployment,
                           fault_t *fault);
void coordinator_attach (coordinator_t *self, store_t *store, proxy_t *proxy);

/* Runs until the proxy has drained after SIGTERM or SIGINT. */
void coordinator_run (coordinator_t *self);
void coordinator_finish (coordinator_t *self);
