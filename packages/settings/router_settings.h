#pragma once

#include "../core/text.h"
#include "../form/form.h"

#include <netinet/in.h>

/*
 * ROUTER_SETTINGS: the start-up settings of one router process.
 *
 * Unknown fields and tables are ignored, so that this version still starts with
 * the settings file of a newer deployment.
 */

/* Limits that the router guarantees to callers and targets. */
typedef struct
{
  uint32_t drain_ms;      /* after this a leaving target gets no new requests */
  uint32_t apply_ms;      /* after this a configuration is in force on all hosts */
  uint32_t evacuation_ms; /* after this a data centre that is emptied gets no requests; 0:
                             data centres aren't emptied */
  double grace_s;         /* from SIGTERM to SIGKILL */
  uint32_t hold_max_ms;   /* the longest grant that a target accepts */
  double retry_ratio;     /* retries allowed per request, over all hosts */
  uint32_t retry_window_s; /* the period over which requests and retries are counted */
  uint32_t retry_extra;    /* retries allowed beyond the ratio, over all hosts */
  /* A cold target gets at most its service's rate times the first plus the second in one
   * second, from all hosts. */
  double warmup_overage;
  double warmup_slack;
} router_bounds_t;

typedef struct
{
  name_t host;
  name_t data_centre;
  name_t callers;     /* address:port */
  name_t ready;       /* address:port */
  name_t peers;       /* address:port, for other hosts */
  name_t metrics;     /* address:port; empty: metrics aren't served */
  name_t store;       /* address:port */
  double link_mbps;   /* capacity of the host's network link, megabits/s */
  uint32_t memory_mb; /* that the process may use, MiB */
  struct sockaddr_in callers_address;
  struct sockaddr_in ready_address;
  struct sockaddr_in peers_address;
  struct sockaddr_in store_address;
  struct sockaddr_in metrics_address;
  router_bounds_t bounds;
} router_settings_t;

/*
 * Reads FILE.  All its faults are left in FORM, which the caller prints and
 * finishes.  STATUS_IO or STATUS_DECODE if the file can't be read as TOML,
 * STATUS_SETTINGS if FORM has faults.
 */
status_t router_settings_load (router_settings_t *self,
                               const char *file,
                               form_t *form,
                               fault_t *fault);

/* Reads "a.b.c.d:port".  False on anything else. */
bool router_settings_parse_endpoint (text_t text, struct sockaddr_in *address);
