#include "cli_parts.h"

#include "../config/answers.h"
#include "../config/config_json.h"
#include "../trace/trace.h"
#include "decision_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
print_history (const json_t *rows)
{
  const char *row;
  json_t *value;

  json_object_foreach ((json_t *)rows, row, value)
    {
      const json_t *head = json_object_get (value, "head");
      printf ("version %" JSON_INTEGER_FORMAT " by %s at %" JSON_INTEGER_FORMAT ": %s\n",
              json_integer_value (json_object_get (head, "version")),
              json_string_value (json_object_get (head, "author")),
              json_integer_value (json_object_get (head, "time")),
              json_string_value (json_object_get (head, "reason")));
    }
}

int
cli_run_show (const options_t *options)
{
  cli_store_config_t config;
  const json_t *rows;
  cli_store_t store;
  fault_t fault;

  if (!cli_open_store (&store, options))
    return cli_report_missing ("--platform ADDRESS:PORT");
  status_t status = cli_store_read_config (&store, &config, &fault);
  if (status == STATUS_OK && config.text != NULL)
    puts (config.text);
  cli_store_config_clear (&config);
  if (status == STATUS_OK && cli_store_read_history (&store, &rows, &fault) == STATUS_OK)
    print_history (rows);
  cli_store_finish (&store);
  return status == STATUS_OK ? CLI_OK : cli_report_fault (&fault);
}

static int
show_host (cli_store_t *store, const char *host)
{
  text_t address;
  uint16_t port;
  json_t *body;
  fault_t fault;

  if (!cli_parse_address (host, &address, &port))
    return cli_report_missing ("--hosts ADDRESS:PORT,...");
  if (cli_store_get_json (store, address, port, "/status", &body, &fault) != STATUS_OK)
    return cli_report_fault (&fault);
  char *dump = json_dumps (body, JSON_INDENT (1));
  puts (dump);
  free (dump);
  json_decref (body);
  return CLI_OK;
}

int
cli_run_status (const options_t *options)
{
  int code = CLI_OK;
  cli_store_t store;

  if (options->hosts == NULL)
    return cli_report_missing ("--hosts ADDRESS:PORT,...");
  cli_store_init (&store, TEXT ("127.0.0.1"), 1);
  gchar **hosts = g_strsplit (options->hosts, ",", -1);
  for (guint i = 0; hosts[i] != NULL; i++)
    code = MAX (code, show_host (&store, hosts[i]));
  g_strfreev (hosts);
  cli_store_finish (&store);
  return code;
}

int
cli_run_explain (const options_t *options)
{
  if (options->value != NULL)
    {
      const char *source = answers_source (text_from_c (options->value));
      printf ("%s: %s\n", options->value, source != NULL ? source : "no such value");
      return source != NULL ? CLI_OK : CLI_DIFFERENCE;
    }
  if (options->log == NULL || (options->request == NULL && options->key == NULL))
    return cli_report_missing (
        "--value NAME, or --log FILE with --request N or --key KEY");
  return decision_log_explain (options->log, options->request, options->key);
}

int
cli_run_replay (const options_t *options)
{
  trace_result_t result;
  fault_t fault;

  if (options->trace == NULL)
    return cli_report_missing ("--trace FILE");
  if (trace_replay (options->trace, &result, &fault) != STATUS_OK)
    return cli_report_fault (&fault);
  printf ("%" G_GUINT64_FORMAT " inputs, %" G_GUINT64_FORMAT " outputs\n",
          result.inputs,
          result.outputs);
  if (result.first_difference == 0)
    return CLI_OK;
  printf ("outputs differ first at line %" G_GUINT64_FORMAT "\n",
          result.first_difference);
  return CLI_DIFFERENCE;
}
