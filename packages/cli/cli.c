#include "cli_parts.h"

#include "../core/version.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  const char *name, *help;
  int (*run) (const options_t *options);
} command_t;

int
cli_report_fault (const fault_t *fault)
{
  fprintf (stderr, "chicoryctl: %.*s\n", TEXT_ARG (fault_text (fault)));
  switch (fault->status)
    {
    case STATUS_CONFLICT:
      return CLI_CONFLICT;
    case STATUS_UNAVAILABLE:
    case STATUS_UNKNOWN:
      return CLI_STORE;
    case STATUS_USAGE:
      return CLI_USAGE;
    default:
      return CLI_INVALID;
    }
}

int
cli_report_missing (const char *option)
{
  fprintf (stderr, "chicoryctl: expected %s; see chicoryctl --help\n", option);
  return CLI_USAGE;
}

bool
cli_parse_address (const char *text, text_t *address, uint16_t *port)
{
  text_t rest;
  uint64_t value;

  *address = text_split (text_from_c (text), ':', &rest);
  if (address->len == 0 || !text_to_u64 (rest, &value) || value == 0 || value > 65535)
    return false;
  *port = (uint16_t)value;
  return true;
}

bool
cli_open_store (cli_store_t *store, const options_t *options)
{
  text_t address;
  uint16_t port;

  if (options->platform == NULL
      || !cli_parse_address (options->platform, &address, &port))
    return false;
  cli_store_init (store, address, port);
  return true;
}

static const command_t commands[] = {
  { "init", "print a blank questionnaire; asks for the team's name", cli_run_init },
  { "derive", "print the configuration derived from answers", cli_run_derive },
  { "diff", "show what accepting answers would change", cli_run_diff },
  { "accept", "put the configuration of answers in force", cli_run_accept },
  { "show", "print the accepted configuration and its history", cli_run_show },
  { "status", "print the state of hosts", cli_run_status },
  { "explain",
    "explain how a request or key was routed, or which answer set a value",
    cli_run_explain },
  { "replay", "replay a recorded trace and compare its decisions", cli_run_replay },
  { "check", "check a deployment's configuration before it is sent", cli_run_check },
};

static void
print_help (void **table)
{
  printf ("Usage: chicoryctl COMMAND");
  arg_print_syntax (stdout, table, "\n\nCommands:\n");
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    printf ("  %-10s %s\n", commands[i].name, commands[i].help);
  puts ("\nOptions:");
  arg_print_glossary (stdout, table, "  %-28s %s\n");
  puts ("\nExit codes: 0 done, 1 a difference or nothing found, 2 wrong command line,\n"
        "3 invalid answers, configuration or trace, 4 platform or host unreachable,\n"
        "5 another operator's configuration was accepted first.  Of check: 0 nothing\n"
        "found, 1 warnings, 2 errors or a file can't be read.");
}

static int
run_command (const char *name, const options_t *options)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, name) == 0)
      {
        if (options->file != NULL && commands[i].run != cli_run_check)
          return cli_report_missing ("no FILE after this command");
        return commands[i].run (options);
      }
  fprintf (stderr, "chicoryctl: no command %s; see chicoryctl --help\n", name);
  return CLI_USAGE;
}

static const char *
string_value (const struct arg_str *arg)
{
  return arg->count > 0 ? arg->sval[0] : NULL;
}

int
cli_run (int argc, char **argv, const deployment_ops_t *deployment)
{
  struct arg_str *command = arg_str0 (NULL, NULL, "COMMAND", "what to do");
  struct arg_str *file = arg_str0 (NULL, NULL, "FILE", "the configuration to check");
  struct arg_lit *help = arg_lit0 ("h", "help", "show this and exit");
  struct arg_lit *version = arg_lit0 (NULL, "version", "show the version and exit");
  struct arg_str *answers = arg_str0 ("a", "answers", "FILE", "the team's answers");
  struct arg_str *platform = arg_str0 ("p", "platform", "ADDRESS:PORT", "the platform");
  struct arg_str *hosts
      = arg_str0 (NULL, "hosts", "ADDRESS:PORT,...", "admin ports of hosts");
  struct arg_str *reason
      = arg_str0 ("r", "reason", "TEXT", "the reason, for the history");
  struct arg_str *author
      = arg_str0 (NULL, "author", "NAME", "the author (default: the user's name)");
  struct arg_int *base = arg_int0 (NULL,
                                   "base",
                                   "VERSION",
                                   "accept only if this version is the current one");
  struct arg_int *wait
      = arg_int0 (NULL, "wait", "SECONDS", "wait until it is in force on --hosts");
  struct arg_str *log = arg_str0 (NULL, "log", "FILE", "a host's decision log");
  struct arg_str *request
      = arg_str0 (NULL, "request", "N", "a request's number in the log");
  struct arg_str *key = arg_str0 (NULL, "key", "KEY", "a key");
  struct arg_str *value
      = arg_str0 (NULL, "value", "NAME", "a value of the configuration");
  struct arg_lit *ask = arg_lit0 (NULL, "ask", "init asks the questions interactively");
  struct arg_str *team = arg_str0 (NULL, "team", "NAME", "the team's name, for init");
  struct arg_str *trace = arg_str0 (NULL, "trace", "FILE", "a recorded trace");
  struct arg_str *out = arg_str0 ("o", "out", "FILE", "the output file of init");
  struct arg_str *against
      = arg_str0 (NULL, "against", "FILE", "the configuration in force, for check");
  struct arg_str *settings
      = arg_str0 (NULL, "settings", "FILE", "a host's settings, for check");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print the findings of check as JSON");
  struct arg_end *end = arg_end (8);
  void *table[] = { command, file,   ask,   help,    version,  answers, platform, hosts,
                    reason,  author, base,  wait,    log,      request, key,      value,
                    team,    out,    trace, against, settings, json,    end };
  int code = CLI_USAGE;
  int errors = arg_parse (argc, argv, table);
  options_t options = { .answers = string_value (answers),
                        .platform = string_value (platform),
                        .hosts = string_value (hosts),
                        .reason = string_value (reason),
                        .author = string_value (author),
                        .log = string_value (log),
                        .request = string_value (request),
                        .key = string_value (key),
                        .value = string_value (value),
                        .team = string_value (team),
                        .ask = ask->count > 0,
                        .out = string_value (out),
                        .trace = string_value (trace),
                        .file = string_value (file),
                        .against = string_value (against),
                        .settings = string_value (settings),
                        .json = json->count > 0,
                        .deployment = deployment,
                        .base_version = base->count > 0 ? base->ival[0] : -1,
                        .wait_s = wait->count > 0 ? wait->ival[0] : 0 };

  if (help->count > 0)
    {
      print_help (table);
      code = CLI_OK;
    }
  else if (version->count > 0)
    {
      puts ("chicoryctl " CHICORYWOOD_VERSION);
      code = CLI_OK;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "chicoryctl");
  else if (command->count == 0)
    code = cli_report_missing ("a command");
  else
    code = run_command (command->sval[0], &options);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
