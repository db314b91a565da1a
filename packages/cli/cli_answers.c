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
  return status == STATUS_OK ? CLI_FINE : cli_complain (&fault);
}

/* Prints the lines in which two texts differ, by a plain line-by-line walk. */
static bool
print_difference (const char *before, const char *after)
{
  gchar **a = g_strsplit (before, "\n", -1);
  gchar **b = g_strsplit (after, "\n", -1);
  bool differ = false;
  guint i = 0;

  for (; a[i] != NULL && b[i] != NULL; i++)
    if (strcmp (a[i], b[i]) != 0)
      {
        printf ("-%s\n+%s\n", a[i], b[i]);
        differ = true;
      }
  for (guint j = i; a[j] != NULL; j++, differ = true)
    printf ("-%s\n", a[j]);
  for (guint j = i; b[j] != NULL; j++, differ = true)
    printf ("+%s\n", b[j]);
  g_strfreev (a);
  g_strfreev (b);
  return differ;
}

static int
ask_team (char *team, size_t size)
{
  fputs ("Team name: ", stderr);
  if (fgets (team, (int)size, stdin) == NULL)
    return cli_need ("a team's name");
  g_strstrip (team);
  return CLI_FINE;
}

int
cli_run_init (const options_t *options)
{
  char team[NAME_MAX_BYTES + 1] = "";
  FILE *out = stdout;

  if (options->team != NULL)
    g_strlcpy (team, options->team, sizeof team);
  else if (ask_team (team, sizeof team) != CLI_FINE)
    return CLI_USAGE;
  if (options->out != NULL && access (options->out, F_OK) == 0)
    {
      fprintf (stderr, "chicoryctl: %s is there already\n", options->out);
      return CLI_WRONG;
    }
  if (options->out != NULL && (out = fopen (options->out, "w")) == NULL)
    {
      fprintf (stderr, "chicoryctl: %s can't be written\n", options->out);
      return CLI_WRONG;
    }
  bool complete = true;
  if (options->ask)
    complete = answers_ask (stdin, stderr, out, text_from_c (team));
  else
    answers_print_blank (out, text_from_c (team));
  if (out != stdout)
    fclose (out);
  return complete ? CLI_FINE : cli_need ("an answer to each question");
}

int
cli_run_derive (const options_t *options)
{
  config_t config;

  if (options->answers == NULL)
    return cli_need ("--answers FILE");
  int code = load_answers (options, &config);
  if (code != CLI_FINE)
    return code;
  char *text = config_to_json (&config);
  puts (text);
  g_free (text);
  return CLI_FINE;
}

static int
diff_with (store_t *store, const options_t *options, store_config_t *base, char **derived)
{
  config_t config;
  fault_t fault;
  int code = load_answers (options, &config);

  if (code != CLI_FINE)
    return code;
  status_t status = store_read_config (store, base, &fault);
  if (status != STATUS_OK && status != STATUS_CONFIG)
    return cli_complain (&fault);
  if (status == STATUS_CONFIG)
    cli_complain (&fault);
  *derived = config_to_json (&config);
  return CLI_FINE;
}

int
cli_run_diff (const options_t *options)
{
  store_config_t base = { 0 };
  char *derived = NULL;
  store_t store;

  if (options->answers == NULL || !cli_open_store (&store, options))
    return cli_need ("--answers FILE and --platform ADDRESS:PORT");
  int code = diff_with (&store, options, &base, &derived);
  if (code == CLI_FINE)
    code = print_difference (base.text != NULL ? base.text : "", derived) ? CLI_DIFFERENT
                                                                          : CLI_FINE;
  store_config_clear (&base);
  g_free (derived);
  store_finish (&store);
  return code;
}

static bool
host_has_version (store_t *store, const char *host, uint64_t version, uint64_t *has)
{
  text_t address;
  uint16_t port;
  json_t *body;
  fault_t fault;

  *has = 0;
  if (!cli_split_address (host, &address, &port)
      || store_get (store, address, port, "/status", &body, &fault) != STATUS_OK)
    return false;
  *has = (uint64_t)json_integer_value (json_object_get (body, "config_version"));
  json_decref (body);
  return *has >= version;
}

static int
wait_in_force (store_t *store, const options_t *options, uint64_t version)
{
  gchar **hosts = g_strsplit (options->hosts != NULL ? options->hosts : "", ",", -1);
  guint n = g_strv_length (hosts);
  guint done = 0, shown = n + 1;
  gint64 end = g_get_monotonic_time () + (gint64)options->wait * G_USEC_PER_SEC;
  uint64_t has;

  while (done < n && g_get_monotonic_time () < end)
    {
      done = 0;
      for (guint i = 0; i < n; i++)
        done += host_has_version (store, hosts[i], version, &has);
      if (done != shown)
        printf ("version %" G_GUINT64_FORMAT " in force on %u of %u hosts\n",
                version,
                done,
                n);
      shown = done;
      if (done < n)
        g_usleep (WAIT_POLL_US);
    }
  g_strfreev (hosts);
  return done == n ? CLI_FINE : CLI_STORE;
}

static int
accept_text (store_t *store,
             const options_t *options,
             const store_config_t *base,
             const char *text)
{
  const char *author = options->author != NULL ? options->author : g_get_user_name ();
  store_config_t won;
  fault_t fault;

  status_t status
      = store_accept (store, base, text_from_c (text), author, options->reason, &fault);
  if (status == STATUS_CONFLICT)
    {
      puts ("The difference from what won:");
      if (store_read_config (store, &won, &fault) == STATUS_OK && won.text != NULL)
        print_difference (won.text, text);
      store_config_clear (&won);
      fault_raise (&fault, STATUS_CONFLICT, "another configuration was accepted first");
    }
  if (status != STATUS_OK)
    return cli_complain (&fault);
  printf ("version %" G_GUINT64_FORMAT " is accepted\n", base->version + 1);
  if (options->wait > 0)
    return wait_in_force (store, options, base->version + 1);
  return CLI_FINE;
}

int
cli_run_accept (const options_t *options)
{
  store_config_t base = { 0 };
  char *derived = NULL;
  store_t store;

  if (options->answers == NULL || options->reason == NULL
      || !cli_open_store (&store, options))
    return cli_need ("--answers FILE, --reason TEXT and --platform ADDRESS:PORT");
  int code = diff_with (&store, options, &base, &derived);
  if (code == CLI_FINE && options->version >= 0
      && base.version != (uint64_t)options->version)
    {
      fprintf (stderr,
               "chicoryctl: version %" G_GUINT64_FORMAT
               " is accepted, not %d; see diff\n",
               base.version,
               options->version);
      code = CLI_CONFLICT;
    }
  if (code == CLI_FINE)
    code = accept_text (&store, options, &base, derived);
  store_config_clear (&base);
  g_free (derived);
  store_finish (&store);
  return code;
}
