#pragma once

#include "../dispatch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

/* DISPATCH_FIXTURE: fixture that drives one dispatch_t with a clock set by the test. */

#define START_MS 100000
#define TIMEOUT_MS 3000
#define OBJECTIVE_MS 500

typedef struct
{
  dispatch_t dispatch;
  GArray *out;
  GArray *targets;
  msec_t now;
} fixture_t;

directory_t *make_directory (uint64_t version);

void handle_msg (fixture_t *self, const dispatch_msg_t *msg);

void list_targets (fixture_t *self);

void add_target (fixture_t *self, text_t id, text_t service);

void assign_keys (fixture_t *self, text_t target, uint64_t version);

void begin (fixture_t *self);

void end (fixture_t *self);

void arrive (fixture_t *self, dispatch_request_t *request, text_t path);

/* A request without a key, identified by FINGERPRINT. */
void arrive_with_fingerprint (fixture_t *self,
                              dispatch_request_t *request,
                              text_t path,
                              uint64_t fingerprint);

void answer (fixture_t *self,
             dispatch_request_t *request,
             dispatch_answer_t kind,
             unsigned status);

void fail_send (fixture_t *self, dispatch_request_t *request, bool sent);

void fire_timer (fixture_t *self, dispatch_request_t *request, msec_t at);

const dispatch_out_t *find_out (const fixture_t *self, dispatch_out_kind_t kind);

void assert_ended (const fixture_t *self,
                   dispatch_outcome_t outcome,
                   dispatch_reason_t reason);

text_t sent_to (const fixture_t *self);
