#include "../packages/cli/cli.h"
#include "../platform/platform.h"

/* CHICORYCTL: the operators' command-line tool.  See docs/chicoryctl.md. */

int
main (int argc, char **argv)
{
  return cli_run (argc, argv, &platform_deployment);
}
