#include "router.h"

#include "../packages/coordinator/coordinator.h"
#include "../packages/core/eventlog.h"
#include "../packages/core/version.h"
#include "../platform/platform.h"

#include <event2/thread.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum
{
  EXIT_OK = 0,
  EXIT_SETTINGS = 3,
  EXIT_START = 4,
};

static int
serve (const router_settings_t *settings, const char *file)
{
  coordinator_t *coordinator = g_new0 (coordinator_t, 1);
  proxy_t *proxy = g_new0 (proxy_t, 1);
  pthread_t proxy_thread;
  fault_t fault;

  fault_clear (&fault);
  status_t status
      = coordinator_init (coordinator, settings, file, &platform_deployment, &fault);
  if (status == STATUS_OK)
    status = proxy_init (proxy, settings, &platform_dialect, &coordinator->inbox, &fault);
  if (status != STATUS_OK)
    {
      fprintf (stderr, "chicorywood: %.*s\n", TEXT_ARG (fault_text (&fault)));
      g_free (proxy);
      g_free (coordinator);
      return EXIT_START;
    }
  coordinator_attach (
      coordinator,
      platform_store_open (coordinator->base, name_text (&settings->store)),
      proxy);
  eventlog_write (EVENT_STATE,
                  "process",
                  "started",
                  "version=%s host=%.*s data_centre=%.*s callers=%.*s store=%.*s",
                  CHICORYWOOD_VERSION,
                  NAME_ARG (settings->host),
                  NAME_ARG (settings->data_centre),
                  NAME_ARG (settings->callers),
                  NAME_ARG (settings->store));
  pthread_create (&proxy_thread, NULL, proxy_run, proxy);
  coordinator_run (coordinator);
  pthread_join (proxy_thread, NULL);
  proxy_finish (proxy);
  coordinator_finish (coordinator);
  g_free (proxy);
  g_free (coordinator);
  eventlog_write (EVENT_STATE, "process", "stopped", "reason=signal");
  eventlog_flush ();
  return EXIT_OK;
}

static void
end_process (int number)
{
  (void)number;
  _exit (EXIT_OK);
}

int
router_main (const char *settings_file)
{
  router_settings_t settings;
  fault_t fault;
  form_t form;

  /* GLib keeps freed blocks of its own otherwise, which hold pages that could be given
   * back.  Read at its first block. */
  setenv ("G_SLICE", "always-malloc", 0);
  /* Before the coordinator installs its handlers and after it has removed them, nothing
   * is being served. */
  signal (SIGTERM, end_process);
  signal (SIGINT, end_process);
  signal (SIGHUP, SIG_IGN);
  fault_clear (&fault);
  status_t status = router_settings_load (&settings, settings_file, &form, &fault);
  form_conclude (&form, status, stderr);
  if (status != STATUS_OK)
    {
      fprintf (stderr, "chicorywood: %.*s\n", TEXT_ARG (fault_text (&fault)));
      return EXIT_SETTINGS;
    }
  signal (SIGPIPE, SIG_IGN);
  evthread_use_pthreads ();
  eventlog_open (STDOUT_FILENO);
  return serve (&settings, settings_file);
}
