#pragma once

#include "../core/fault.h"
#include "cli.h"
#include "store.h"

#include <stdbool.h>

/* CLI_PARTS: what the command's files share.  Private to them. */

/* What all subcommands may be given; each uses what it needs. */
typedef struct
{
  const char *answers, *platform, *hosts, *reason, *author, *log, *request, *key,
      *service, *value, *team, *out, *trace;
  int version, wait;
  bool ask;
} options_t;

/* Prints FAULT.  Returns the exit code that goes with it. */
int cli_complain (const fault_t *fault);

/* Says that OPTION is missing.  Returns CLI_USAGE. */
int cli_need (const char *option);

/* Reads "ADDRESS:PORT".  False on anything else. */
bool cli_split_address (const char *text, text_t *address, uint16_t *port);

/* False if the options name no platform. */
bool cli_open_store (store_t *store, const options_t *options);

/* cli_answers.c: from a team's answers to the accepted configuration. */
int cli_run_init (const options_t *options);
int cli_run_derive (const options_t *options);
int cli_run_diff (const options_t *options);
int cli_run_accept (const options_t *options);

/* cli_watch.c: what is in force, and why things went as they did. */
int cli_run_show (const options_t *options);
int cli_run_status (const options_t *options);
int cli_run_explain (const options_t *options);
int cli_run_replay (const options_t *options);
