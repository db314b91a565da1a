#include "cli_parts.h"

#include "../config/answers.h"
#include "../config/config_json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WAIT_POLL_US (100 * 1000)

static int
load_answers (const options_t *options, config_t *config)
{
  answers_t *answers = g_new (answers_t, 1);
  fault_t fault;
  form_t form;

  status_t status = answers_load (answers, options->answers, &form, &fault);
  if (status == STATUS_OK)
    answers_derive (answers, config);
  form_print (&form, stderr);
  form_finish (&form);
  g_free (answers);
  return status == STATUS_OK ? CLI_OK : cli_report_fault (&fault);
}

/* Compares two texts line by line and prints the lines that differ. */
static bool
print_differences (const char *before, const char *after)
{
  gchar **a = g_strsplit (before, "\n", -1);
  gchar **b = g_strsplit (after, "\n", -1);
  bool differs = false;
  guint i = 0;

  for (; a[i] != NULL && b[i] != NULL; i++)
    if (strcmp (a[i], b[i]) != 0)
      {
        printf ("-%s\n+%s\n", a[i], b[i]);
        differs = true;
      }
  for (guint j = i; a[j] != NULL; j++, differs = true)
    printf ("-%s\n", a[j]);
  for (guint j = i; b[j] != NULL; j++, differs = true)
    printf ("+%s\n", b[j]);
  g_strfreev (a);
  g_strfreev (b);
  return differs;
}

static int
ask_team (char *team, size_t size)
{
  fputs ("Team name: ", stderr);
  if (fgets (team, (int)size, stdin) == NULL)
    return cli_report_missing ("a team's name");
  g_strstrip (team);
  return CLI_OK;
}

int
cli_run_init (const options_t *options)
{
  char team[NAME_MAX_BYTES + 1] = "";
  FILE *out = stdout;

  if (options->team != NULL)
    g_strlcpy (team, options->team, sizeof team);
  else if (ask_team (team, sizeof team) != CLI_OK)
    return CLI_USAGE;
  if (options->out != NULL && access (options->out, F_OK) == 0)
    {
      fprintf (stderr, "chicoryctl: %s already exists\n", options->out);
      return CLI_INVALID;
    }
  if (options->out != NULL && (out = fopen (options->out, "w")) == NULL)
    {
      fprintf (stderr, "chicoryctl: %s can't be written\n", options->out);
      return CLI_INVALID;
    }
  bool complete = true;
  if (options->ask)
    complete = answers_ask (stdin, stderr, out, text_from_c (team));
  else
    answers_print_blank (out, text_from_c (team));
  if (out != stdout)
    fclose (out);
  return complete ? CLI_OK : cli_report_missing ("an answer to each question");
}

int
cli_run_derive (const options_t *options)
{
  config_t config;

  if (options->answers == NULL)
    return cli_report_missing ("--answers FILE");
  int code = load_answers (options, &config);
  if (code != CLI_OK)
    return code;
  char *text = config_to_json (&config);
  puts (text);
  g_free (text);
  return CLI_OK;
}

static int
load_base_and_derive (cli_store_t *store,
                      const options_t *options,
                      cli_store_config_t *base,
                      char **derived)
{
  config_t config;
  fault_t fault;
  int code = load_answers (options, &config);

  if (code != CLI_OK)
    return code;
  status_t status = cli_store_read_config (store, base, &fault);
  if (status != STATUS_OK && status != STATUS_CONFIG)
    return cli_report_fault (&fault);
  if (status == STATUS_CONFIG)
    cli_report_fault (&fault);
  *derived = config_to_json (&config);
  return CLI_OK;
}

int
cli_run_diff (const options_t *options)
{
  cli_store_config_t base = { 0 };
  char *derived = NULL;
  cli_store_t store;

  if (options->answers == NULL || !cli_open_store (&store, options))
    return cli_report_missing ("--answers FILE and --platform ADDRESS:PORT");
  int code = load_base_and_derive (&store, options, &base, &derived);
  if (code == CLI_OK)
    code = print_differences (base.text != NULL ? base.text : "", derived)
               ? CLI_DIFFERENCE
               : CLI_OK;
  cli_store_config_clear (&base);
  g_free (derived);
  cli_store_finish (&store);
  return code;
}

static bool
host_has_version (cli_store_t *store,
                  const char *host,
                  uint64_t version,
                  uint64_t *host_version)
{
  text_t address;
  uint16_t port;
  json_t *body;
  fault_t fault;

  *host_version = 0;
  if (!cli_parse_address (host, &address, &port)
      || cli_store_get_json (store, address, port, "/status", &body, &fault) != STATUS_OK)
    return false;
  *host_version = (uint64_t)json_integer_value (json_object_get (body, "config_version"));
  json_decref (body);
  return *host_version >= version;
}

static int
wait_in_force (cli_store_t *store, const options_t *options, uint64_t version)
{
  gchar **hosts = g_strsplit (options->hosts != NULL ? options->hosts : "", ",", -1);
  guint n_hosts = g_strv_length (hosts);
  guint n_updated = 0, n_printed = n_hosts + 1;
  gint64 deadline = g_get_monotonic_time () + (gint64)options->wait_s * G_USEC_PER_SEC;
  uint64_t host_version;

  while (n_updated < n_hosts && g_get_monotonic_time () < deadline)
    {
      n_updated = 0;
      for (guint i = 0; i < n_hosts; i++)
        n_updated += host_has_version (store, hosts[i], version, &host_version);
      if (n_updated != n_printed)
        printf ("version %" G_GUINT64_FORMAT " in force on %u of %u hosts\n",
                version,
                n_updated,
                n_hosts);
      n_printed = n_updated;
      if (n_updated < n_hosts)
        g_usleep (WAIT_POLL_US);
    }
  g_strfreev (hosts);
  return n_updated == n_hosts ? CLI_OK : CLI_STORE;
}

static int
accept_config (cli_store_t *store,
               const options_t *options,
               const cli_store_config_t *base,
               const char *text)
{
  const char *author = options->author != NULL ? options->author : g_get_user_name ();
  cli_store_config_t accepted;
  fault_t fault;

  status_t status = cli_store_accept (store,
                                      base,
                                      text_from_c (text),
                                      author,
                                      options->reason,
                                      &fault);
  if (status == STATUS_CONFLICT)
    {
      puts ("Differences from the accepted configuration:");
      if (cli_store_read_config (store, &accepted, &fault) == STATUS_OK
          && accepted.text != NULL)
        print_differences (accepted.text, text);
      cli_store_config_clear (&accepted);
      fault_raise (&fault, STATUS_CONFLICT, "another configuration was accepted first");
    }
  if (status != STATUS_OK)
    return cli_report_fault (&fault);
  printf ("version %" G_GUINT64_FORMAT " is accepted\n", base->version + 1);
  if (options->wait_s > 0)
    return wait_in_force (store, options, base->version + 1);
  return CLI_OK;
}

int
cli_run_accept (const options_t *options)
{
  cli_store_config_t base = { 0 };
  char *derived = NULL;
  cli_store_t store;

  if (options->answers == NULL || options->reason == NULL
      || !cli_open_store (&store, options))
    return cli_report_missing (
        "--answers FILE, --reason TEXT and --platform ADDRESS:PORT");
  int code = load_base_and_derive (&store, options, &base, &derived);
  if (code == CLI_OK && options->base_version >= 0
      && base.version != (uint64_t)options->base_version)
    {
      fprintf (stderr,
               "chicoryctl: version %" G_GUINT64_FORMAT
               " is accepted, not %d; see diff\n",
               base.version,
               options->base_version);
      code = CLI_CONFLICT;
    }
  if (code == CLI_OK)
    code = accept_config (&store, options, &base, derived);
  cli_store_config_clear (&base);
  g_free (derived);
  cli_store_finish (&store);
  return code;
}
