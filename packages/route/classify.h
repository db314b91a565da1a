#pragma once

#include "../config/config.h"

/*
 * CLASSIFY: finds a request's service, slot and order id by the current configuration.
 *
 * Decision logic without I/O.  It reads the request through request_view_t, so that
 * it doesn't depend on the front end's protocol.
 */

typedef struct
{
  method_t method;
  text_t path;
  text_t query;                                        /* without the question mark */
  text_t (*header) (const void *context, text_t name); /* empty if there is none */
  const void *context;
} request_view_t;

typedef enum
{
  CLASS_OK,
  CLASS_NO_CONFIG,
  CLASS_NO_SERVICE,
  CLASS_NO_KEY,
  CLASS_NO_ORDER_ID,
} class_result_t;

typedef struct
{
  uint32_t service;
  bool idempotent;
  bool keyed;
  uint32_t slot;
  text_t key;      /* points into the request */
  text_t order_id; /* points into the request; empty if the request needs none */
} request_class_t;

class_result_t
classify (const config_t *config, const request_view_t *view, request_class_t *result);
