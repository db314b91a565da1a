#pragma once

#include "../core/fault.h"
#include "cli.h"
#include "cli_store.h"

#include <stdbool.h>

/* CLI_PARTS: declarations shared by the files of the CLI.  Private to them. */

/* The options of all subcommands; NULL if absent. */
typedef struct
{
  const char *answers, *platform, *hosts, *reason, *author, *log, *request, *key,
      *service, *value, *team, *out, *trace, *file, *against, *settings;
  int base_version, wait_s;
  bool ask, json;
  const deployment_ops_t *deployment;
} options_t;

/* Prints FAULT on stderr.  Returns its exit code. */
int cli_report_fault (const fault_t *fault);

/* Prints on stderr that OPTION is missing.  Returns CLI_USAGE. */
int cli_report_missing (const char *option);

/* Parses "ADDRESS:PORT".  False on anything else.  ADDRESS points into TEXT. */
bool cli_parse_address (const char *text, text_t *address, uint16_t *port);

/* False if the options name no valid platform address. */
bool cli_open_store (cli_store_t *store, const options_t *options);

/* cli_answers.c: commands that derive and accept a configuration from answers. */
int cli_run_init (const options_t *options);
int cli_run_derive (const options_t *options);
int cli_run_diff (const options_t *options);
int cli_run_accept (const options_t *options);

/* cli_watch.c: commands that show the configuration and explain decisions. */
int cli_run_show (const options_t *options);
int cli_run_status (const options_t *options);
int cli_run_explain (const options_t *options);
int cli_run_replay (const options_t *options);

/* cli_check.c: checks a configuration of the deployment before it is sent. */
int cli_run_check (const options_t *options);
