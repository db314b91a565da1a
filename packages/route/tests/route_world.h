#pragma once

#include "../route.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

/* ROUTE_WORLD: one worker's decisions under a clock that the test sets. */

/* Service 0 is keyed and fenced, service 1 takes orders; targets 0-1 and 2-3 are theirs.
 */

#define START 100000
#define KEYED 0
#define ORDERS 1
#define PATIENCE_MS 1000

typedef struct
{
  route_t route;
  table_t *table;
  config_t config;
  GArray *out;
  msec_t now;
} bench_t;

void feed (bench_t *self, route_msg_t msg);

const route_out_t *find (const bench_t *self, route_out_kind_t kind);

void tick_after (bench_t *self, msec_t span);

void lease_until (bench_t *self, msec_t until);

void set_service (bench_t *self, uint32_t i, const char *name);

void set_target (bench_t *self, uint32_t i, const char *name, const char *service);

bench_t *new_bench (void);

void free_bench (bench_t *self);

route_id_t
arrive (bench_t *self, uint32_t service, uint32_t slot, bool idempotent, bool claims);

void break_off (bench_t *self, route_id_t id, bool sent);

void answer (bench_t *self, route_id_t id, answer_kind_t kind, msec_t retry_after);

/* The jitter of a retry may be 0: it's sent at once or within SPAN. */
const route_out_t *send_within (bench_t *self, msec_t span);
