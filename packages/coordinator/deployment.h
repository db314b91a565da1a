#pragma once

#include "../config_check/findings.h"
#include "../core/fault.h"
#include "../directory/directory.h"
#include "../httpc/httpc.h"

/*
 * DEPLOYMENT: the interface to a platform: parses its configuration and target
 * entries, and sends grants and releases of keys to its targets.
 */

typedef enum
{
  COMMAND_ACCEPTED,
  COMMAND_SUPERSEDED,   /* the target has seen a higher fence */
  COMMAND_WRONG_TARGET, /* another target has the address: the owner no longer runs */
  COMMAND_FAILED,       /* no answer, or an unexpected status */
} command_outcome_t;

/* Grants keys FIRST to LAST, both included, to a target, or takes them back. */
typedef struct
{
  bool release;
  bool proof; /* only an answer that can belong to no other call counts */
  name_t target;
  uint32_t first, last;
  uint64_t fence;
  msec_t hold;     /* of a grant: its duration in ms, from its arrival */
  name_t handover; /* of a grant: what the last owner returned; may be empty */
  /* Whether it may still be sent; asked with the owner of its result right before its
   * first byte is.  NULL: always. */
  bool (*may_send) (void *owner);
} key_command_t;

typedef struct
{
  command_outcome_t outcome;
  bool sent;       /* at least one byte may have been sent */
  bool delivered;  /* without an answer: the target's host may have taken all bytes */
  bool refused;    /* the target's host answered that nobody listens at the address */
  bool answered;   /* by an unexpected status */
  bool shared;     /* the answer may be one to an earlier call, repeated by the target */
  bool leaving;    /* the target states that it leaves */
  text_t handover; /* of a release; may be empty */
} command_result_t;

typedef void (*command_done_t) (void *owner, const command_result_t *result);

typedef struct
{
  /* The key of the row that holds the newest configuration. */
  text_t configuration_key;

  /* The operator's names of a configuration's fields, by finding_field_t. */
  const text_t *field_names;

  /* FAULT is the first that was found; without FINDINGS, reading ends there.  Otherwise
   * it goes on with all that can be read, and FINDINGS, which may be NULL, gets each. */
  status_t (*read_directory) (text_t bytes,
                              directory_t *directory,
                              findings_t *findings,
                              fault_t *fault);

  /* Whether the row of KEY in the configuration's table asks for a data centre to be
   * emptied.  NULL: none does. */
  bool (*read_evacuation) (text_t key, name_t *data_centre);

  /* The key of that row, to be freed. */
  GString *(*write_evacuation) (const name_t *data_centre);

  /* STATUS_DECODE if the row does not describe a usable target. */
  status_t (*read_target) (text_t id,
                           text_t bytes,
                           target_entry_t *target,
                           fault_t *fault);

  void (*send_command) (httpc_pool_t *target,
                        const key_command_t *command,
                        command_done_t done,
                        void *owner,
                        msec_t now);
} deployment_ops_t;
