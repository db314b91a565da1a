#pragma once

#include "../dispatch/dispatch.h"
#include "../http/http_reader.h"

/*
 * DIALECT: how a deployment says in HTTP what the proxy needs to know.
 *
 * The proxy knows no header of a deployment by name.  An implementation reads
 * a request's and an answer's facts and writes the headers of a send.
 */

typedef struct
{
  text_t id;   /* of this attempt of the caller */
  msec_t wait; /* the caller waits so long; -1: not told */
  bool has_key;
  uint32_t key;
} request_facts_t;

typedef struct
{
  text_t id;     /* of the request that it answers */
  text_t target; /* that gave the answer; empty: not told */
  bool not_run;  /* the target says that it didn't run the request */
  bool encoded;  /* the body isn't the target's plain bytes */
  load_report_t load;
  msec_t keep_alive; /* the target closes an idle connection then; -1: not told */
} answer_facts_t;

typedef struct
{
  /* The texts point into HEAD.  A malformed fact is left out. */
  void (*read_request) (const http_head_t *head, request_facts_t *facts);
  void (*read_answer) (const http_head_t *head, answer_facts_t *facts);

  /* Whether a caller's header NAME goes on to the target as it is. */
  bool (*passes) (text_t name);

  /* Whether a caller's header NAME differs between its attempts at one request. */
  bool (*is_of_attempt) (text_t name);

  /* Appends the headers of one send: the target's ID, the time it may take. */
  void (*write_send) (GString *head, text_t target, msec_t wait);

  /* Appends the header that tells a caller when to come back. */
  void (*write_retry_after) (GString *head, msec_t wait);

  /* Whether an answer with STATUS promises that the request didn't run. */
  bool (*promises_not_run) (unsigned status);

  text_t ready_path;
} dialect_ops_t;
