#pragma once

#include "../coordinator/deployment.h"

/*
 * CLI: chicoryctl, the operators' command-line tool.
 *
 * Subcommands are entries of a table of functions.  See docs/chicoryctl.md.
 */

enum
{
  CLI_OK = 0,
  CLI_DIFFERENCE = 1, /* diff or replay found a difference, or explain found no match */
  CLI_USAGE = 2,
  CLI_INVALID = 3,  /* invalid answers, configuration or trace, or an unusable file */
  CLI_STORE = 4,    /* the platform or a host is unreachable, or the outcome is unknown */
  CLI_CONFLICT = 5, /* another operator's configuration was accepted first */
};

/* Of check. */
enum
{
  CLI_CHECK_CLEAN = 0,
  CLI_CHECK_WARNINGS = 1,
  CLI_CHECK_ERRORS = 2, /* or a file can't be read */
};

/* Runs ARGV and returns the exit code.  DEPLOYMENT reads configurations for check. */
int cli_run (int argc, char **argv, const deployment_ops_t *deployment);
