#pragma once

#include "../form/form.h"
#include "config.h"

/*
 * ANSWERS: a team's answers to the questionnaire, read from a TOML file.
 *
 * Each question is a field of answers_t or service_answers_t.  answers_load reads
 * and checks them; answers_derive turns them into the configuration.
 */

typedef struct
{
  name_t name;
  name_t path;
  name_t key;          /* "none", "path:N", "query:NAME", "header:NAME" */
  uint32_t idempotent; /* METHOD_BIT of each idempotent method */
  name_t order_id;
  bool refuses_repeats;
  bool checks_fences;
  uint32_t not_run_status;
  uint32_t deadline_ms;
  uint32_t slots;
  uint32_t connections;
  uint32_t cold_start_ms;
  uint32_t drain_ms;
  uint32_t worth;
  uint32_t risks; /* RISK_BIT of each acknowledged risk */
} service_answers_t;

typedef enum
{
  RISK_IDEMPOTENT_WRITE, /* POST or PATCH is declared idempotent */
  RISK_UNFENCED_OWNER,   /* a keyed service doesn't check fencing tokens */
} risk_t;

#define RISK_BIT(risk) (1u << (risk))

typedef struct
{
  name_t team;
  uint32_t weight_imbalance;
  uint32_t weight_churn;
  uint32_t weight_unserved;
  uint32_t tolerated_hosts;
  uint32_t n_services;
  service_answers_t services[SERVICE_MAX];
} answers_t;

/*
 * Reads and checks FILE.  Initializes FORM and leaves all faults in it; the caller
 * prints and finishes it.  STATUS_IO if FILE can't be read, STATUS_DECODE if it
 * isn't TOML, STATUS_ANSWERS if FORM has faults.
 */
status_t answers_load (answers_t *self, const char *file, form_t *form, fault_t *fault);

/* Writes a blank questionnaire for TEAM to FILE, as TOML without values. */
void answers_print_blank (FILE *file, text_t team);

/*
 * Asks the questions on PROMPT, reads one answer per line from IN and writes them
 * to OUT as TOML.  An empty line omits the answer; an empty service name ends the
 * list of services.  False if IN ends before that.
 */
bool answers_ask (FILE *in, FILE *prompt, FILE *out, text_t team);

/* Derives the configuration.  Deterministic: equal answers give equal configurations. */
void answers_derive (const answers_t *self, config_t *config);

/* The answer that determines the configuration field named VALUE, for the explain
 * command; NULL if there is no such field. */
const char *answers_source (text_t value);
