#pragma once

#include "../route.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

/* ROUTE_FIXTURE: test fixture of a route_t with a clock that the test sets.
 *
 * Service KEYED is keyed and fenced, with targets 0 and 1; service ORDERS takes orders,
 * with targets 2 and 3.
 */

#define START_MS 100000
#define KEYED 0
#define ORDERS 1
#define TIMEOUT_MS 1000

typedef struct
{
  route_t route;
  table_t *table;
  config_t config;
  GArray *out;
  msec_t now;
} fixture_t;

void handle (fixture_t *self, route_msg_t msg);

const route_out_t *find (const fixture_t *self, route_out_kind_t kind);

void tick_after (fixture_t *self, msec_t delay);

void lease_until (fixture_t *self, msec_t until);

void set_service (fixture_t *self, uint32_t i, const char *name);

void set_target (fixture_t *self, uint32_t i, const char *name, const char *service);

fixture_t *new_fixture (void);

void free_fixture (fixture_t *self);

route_id_t
arrive (fixture_t *self, uint32_t service, uint32_t slot, bool idempotent, bool claims);

void fail_attempt (fixture_t *self, route_id_t id, bool sent);

void answer (fixture_t *self, route_id_t id, answer_kind_t kind, msec_t retry_after);

/* Returns the ROUTE_SEND of a retry, which comes at once if the random delay was 0, or
 * else within DELAY; NULL if there is none. */
const route_out_t *send_within (fixture_t *self, msec_t delay);
