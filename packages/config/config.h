#pragma once

#include "../core/fault.h"
#include "../core/msclock.h"
#include "../core/text.h"

/*
 * CONFIG: the configuration, derived from the answers to the questionnaire.
 *
 * A plain struct without pointers, passed between tasks by copy.
 */

typedef enum
{
  METHOD_GET,
  METHOD_HEAD,
  METHOD_POST,
  METHOD_PUT,
  METHOD_DELETE,
  METHOD_PATCH,
  METHOD_OTHER,
} method_t;

#define METHOD_BIT(method) (1u << (method))

/* The part of a request that holds a key or an order id. */
typedef enum
{
  REQUEST_FIELD_NONE,
  REQUEST_FIELD_PATH,   /* a path segment, counted from 1 */
  REQUEST_FIELD_QUERY,  /* a query parameter */
  REQUEST_FIELD_HEADER, /* a header */
} request_field_kind_t;

typedef struct
{
  request_field_kind_t kind;
  uint32_t segment;
  name_t name;
} request_field_t;

typedef struct
{
  name_t name;
  name_t prefix;        /* of the path, e.g. "/catalogue/" */
  bool keyed;           /* each key is owned by one target */
  uint32_t keyed_index; /* index among the keyed services, if keyed */
  request_field_t key;
  uint32_t idempotent; /* METHOD_BIT of each idempotent method */
  request_field_t order_id;
  bool refuses_repeats;    /* the service itself rejects a repeated order id */
  bool checks_fences;      /* the service rejects requests with a stale fencing token */
  uint32_t not_run_status; /* HTTP status that means "not executed"; 0 if none */
  uint32_t deadline_ms;
  uint32_t slots;
  uint32_t connections;
  uint32_t cold_start_ms;
  uint32_t drain_ms;
  uint32_t worth; /* of an answered request, for load shedding and unserved time */
} service_t;

typedef struct
{
  uint64_t version; /* 0: no configuration accepted yet */
  name_t team;
  uint32_t weight_imbalance;
  uint32_t weight_churn;
  uint32_t weight_unserved;
  uint32_t tolerated_hosts;
  uint32_t n_services;
  service_t services[SERVICE_MAX];
} config_t;

/* Parses "none", "path:N" with N from 1 to 16, "query:NAME" or "header:NAME".  False
 * on anything else. */
bool request_field_parse (request_field_t *self, text_t text);

/* The index of the service with the longest prefix of PATH, or -1. */
int config_find_service (const config_t *self, text_t path);

/* The service named NAME, or NULL. */
const service_t *config_find_by_name (const config_t *self, const name_t *name);
