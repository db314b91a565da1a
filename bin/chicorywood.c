#include "../packages/control/control.h"
#include "../packages/core/log.h"
#include "../packages/core/version.h"
#include "router.h"

#include <argtable2.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

/* CHICORYWOOD: the router, one process on each entry host.  See docs/chicorywood.md. */

enum
{
  EXIT_OK = 0,
  EXIT_USAGE = 2,
  EXIT_SETTINGS = 3,
  EXIT_START = 4,
};

static const char usage_tail[]
    = "\nExit codes: 0 stopped by SIGTERM or SIGINT, 2 invalid command line,\n"
      "3 invalid settings (all errors are listed), 4 a port can't be opened.\n";

/* The usual soft limit is too low for the number of connections.  If it can't be raised,
 * the process runs with it. */
static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

static int
serve (const settings_t *settings)
{
  uint64_t incarnation = (uint64_t)(g_get_real_time () / 1000);
  control_t *control = g_new0 (control_t, 1);
  worker_t *workers = g_new0 (worker_t, settings->workers);
  pthread_t *threads = g_new0 (pthread_t, settings->workers);
  fault_t fault;

  fault_clear (&fault);
  status_t status = control_init (control, settings, incarnation, &fault);
  for (uint32_t i = 0; status == STATUS_OK && i < settings->workers; i++)
    status = worker_init (&workers[i], i, settings, incarnation, &control->inbox, &fault);
  if (status != STATUS_OK)
    {
      log_error ("start", "%.*s.", TEXT_ARG (fault_text (&fault)));
      log_flush ();
      exit (EXIT_START);
    }
  for (uint32_t i = 0; i < settings->workers; i++)
    pthread_create (&threads[i], NULL, worker_run, &workers[i]);
  log_note ("start", "Host %.*s started.", NAME_ARG (settings->host));
  log_flush ();
  control_run (control, workers, settings->workers);
  for (uint32_t i = 0; i < settings->workers; i++)
    pthread_join (threads[i], NULL);
  for (uint32_t i = 0; i < settings->workers; i++)
    worker_finish (&workers[i]);
  control_finish (control);
  g_free (threads);
  g_free (workers);
  g_free (control);
  log_note ("start", "Stopped.");
  log_flush ();
  return EXIT_OK;
}

static int
load_and_serve (const char *file)
{
  settings_t settings;
  fault_t fault;
  form_t form;

  status_t status = settings_load (&settings, file, &form, &fault);
  form_conclude (&form, status, stderr);
  if (status != STATUS_OK)
    {
      fprintf (stderr, "chicorywood: %.*s\n", TEXT_ARG (fault_text (&fault)));
      return EXIT_SETTINGS;
    }
  log_init ((log_level_t)settings.log_level);
  signal (SIGPIPE, SIG_IGN);
  raise_descriptor_limit ();
  return serve (&settings);
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "show this and exit");
  struct arg_lit *version = arg_lit0 (NULL, "version", "show the version and exit");
  struct arg_rex *command
      = arg_rex0 (NULL, NULL, "^route$", "COMMAND", 0, "route: serve on the platform");
  struct arg_file *settings
      = arg_file0 ("s", "settings", "FILE", "settings file of this host");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, version, settings, command, end };
  int exit_code = EXIT_USAGE;
  int errors = arg_parse (argc, argv, table);

  if (help->count > 0)
    {
      printf ("Usage: chicorywood");
      arg_print_syntax (stdout, table, "\n\n");
      arg_print_glossary (stdout, table, "  %-22s %s\n");
      fputs (usage_tail, stdout);
      exit_code = EXIT_OK;
    }
  else if (version->count > 0)
    {
      puts ("chicorywood " CHICORYWOOD_VERSION);
      exit_code = EXIT_OK;
    }
  else if (errors > 0 || settings->count == 0)
    {
      arg_print_errors (stderr, end, "chicorywood");
      fputs ("chicorywood: expected --settings FILE; see --help\n", stderr);
    }
  else if (command->count > 0)
    exit_code = router_main (settings->filename[0]);
  else
    exit_code = load_and_serve (settings->filename[0]);
  arg_freetable (table, G_N_ELEMENTS (table));
  return exit_code;
}
