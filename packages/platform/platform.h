#pragma once

#include "../core/fault.h"
#include "../core/metrics.h"
#include "../httpc/httpc.h"

#include <jansson.h>

/*
 * PLATFORM: the client of the platform's table service and host list.
 *
 * POST /v1/read with {"rows": [NAME...], "prefix": NAME}
 *   200 {"rows": {NAME: VALUE...}}, one snapshot
 *
 * POST /v1/transact with {"if": [{"row": NAME, "is": VALUE or null}...],
 *                         "set": {NAME: VALUE or null...}}
 *   200 {}, or 409 {"rows": {NAME: VALUE...}} with the rows of the failed conditions
 *
 * GET /v1/hosts
 *   200 {"hosts": [...]}
 *
 * Not thread-safe: it runs in the event loop of the task that owns it.
 */

typedef struct
{
  status_t status;    /* OK, CONFLICT, UNAVAILABLE (no effect), UNKNOWN or DECODE */
  const json_t *body; /* with OK and CONFLICT, else NULL; valid during the callback */
  msec_t started;     /* when the call was made */
} platform_answer_t;

typedef void (*platform_done_t) (void *owner, const platform_answer_t *answer);

typedef struct
{
  httpc_pool_t pool;
  const msclock_t *clock;
  metrics_t *metrics;
  uint32_t in_flight;
} platform_t;

void platform_init (platform_t *self,
                    struct event_base *base,
                    text_t address,
                    uint16_t port,
                    const msclock_t *clock,
                    metrics_t *metrics);
void platform_finish (platform_t *self);

/* Reads the rows named in ROWS and those whose names start with PREFIX; either may be
 * NULL.  Takes ownership of ROWS. */
void platform_read (platform_t *self,
                    json_t *rows,
                    const char *prefix,
                    platform_done_t done,
                    void *owner);

/* Applies CHANGES if all CONDITIONS hold, see platform_condition.  Takes ownership of
 * both. */
void platform_transact (platform_t *self,
                        json_t *conditions,
                        json_t *changes,
                        platform_done_t done,
                        void *owner);

/* Reads the platform's list of hosts. */
void platform_read_hosts (platform_t *self, platform_done_t done, void *owner);

/* The condition {"row": ROW, "is": VALUE}; NULL: the row is absent.  Takes ownership of
 * VALUE. */
json_t *platform_condition (const char *row, json_t *value);
