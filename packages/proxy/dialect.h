#pragma once

#include "../dispatch/dispatch.h"
#include "../http/http_reader.h"

/*
 * DIALECT: the mapping between a deployment's HTTP headers and the proxy's data.
 *
 * The proxy itself uses no deployment-specific header.  An implementation parses those of
 * requests and responses and writes those of a request to a target.
 */

typedef struct
{
  text_t id;      /* of this attempt of the caller */
  msec_t timeout; /* the caller's timeout in milliseconds; -1: none given */
  bool has_key;
  uint32_t key;
} request_facts_t;

typedef struct
{
  text_t id;            /* of the request that it answers */
  text_t target;        /* the responding target's id; empty: none given */
  bool not_run;         /* the target reports that it did not run the request */
  bool content_encoded; /* the body has a Content-Encoding other than identity */
  load_report_t load;
  bool rate_limited;       /* the target states RATE_LIMIT */
  double rate_limit;       /* requests per second that it takes from all hosts */
  bool leaving;            /* the target states that it leaves */
  pause_statement_t pause; /* for how long it wants no requests; if it rejects this one */
  msec_t idle_timeout;     /* the target's idle timeout in milliseconds; -1: none given */
} response_facts_t;

typedef struct
{
  /* Parse a head.  The texts of FACTS point into HEAD.  Malformed values are left out. */
  void (*read_request) (const http_head_t *head, request_facts_t *facts);
  void (*read_response) (const http_head_t *head, response_facts_t *facts);

  /* Whether a caller's header NAME is forwarded to the target unchanged. */
  bool (*is_forwarded) (text_t name);

  /* Whether a caller's header NAME differs between its attempts at the same request. */
  bool (*varies_by_attempt) (text_t name);

  /* Appends the headers of one attempt: the target's id, and the time left in
   * milliseconds. */
  void (*write_attempt_headers) (GString *head, text_t target, msec_t wait);

  /* Appends the header that tells a caller to retry after WAIT milliseconds. */
  void (*write_retry_after) (GString *head, msec_t wait);

  /* Whether STATUS guarantees to a caller that the request did not run. */
  bool (*guarantees_not_run) (unsigned status);

  text_t ready_path; /* path of the readiness check */
} dialect_ops_t;
