#include "load.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* LOAD-CALLERS: command line of the load generator in load.h; prints its report as JSON.
 */

static int
run (load_t *load, double seconds)
{
  signal (SIGPIPE, SIG_IGN);
  load_run (load, seconds);
  json_t *report = load_report (load);
  char *dump = json_dumps (report, JSON_REAL_PRECISION (6) | JSON_COMPACT);

  puts (dump);
  free (dump);
  json_decref (report);
  if (load->acked_file != NULL)
    fclose (load->acked_file);
  return 0;
}

static bool
add_all (load_t *load, const struct arg_str *hosts, const struct arg_str *streams)
{
  for (int i = 0; i < hosts->count; i++)
    if (!load_add_host (load, hosts->sval[i]))
      return false;
  for (int i = 0; i < streams->count; i++)
    if (!load_add_stream (load, streams->sval[i]))
      return false;
  return true;
}

int
main (int argc, char **argv)
{
  struct arg_str *hosts = arg_strn ("h",
                                    "host",
                                    "ADDRESS:PORT",
                                    1,
                                    LOAD_HOSTS_MAX,
                                    "caller port of a host");
  struct arg_str *streams = arg_strn ("s",
                                      "stream",
                                      "KIND:PREFIX:RATE[:N]",
                                      1,
                                      LOAD_STREAMS_MAX,
                                      "lookups (N keys), orders, or files (N bytes)");
  struct arg_dbl *seconds
      = arg_dbl1 ("t", "seconds", "N", "seconds during which requests are started");
  struct arg_int *closed
      = arg_int0 ("c",
                  "closed",
                  "N",
                  "closed loop with N callers per stream, RATE is ignored");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed of the key generator (1)");
  struct arg_str *tag = arg_str0 (NULL, "tag", "TEXT", "prefix of the order ids");
  struct arg_file *acked
      = arg_file0 (NULL, "acked", "FILE", "file to write the ids of answered orders to");
  struct arg_end *end = arg_end (8);
  void *table[] = { hosts, streams, seconds, closed, seed, tag, acked, end };
  load_t *load = g_new0 (load_t, 1);

  seed->ival[0] = 1;
  closed->ival[0] = 0;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "load-callers");
      exit (2);
    }
  load->base = event_base_new ();
  load->tag = g_strdup (tag->count > 0 ? tag->sval[0] : "order");
  load->closed_loop = (unsigned)closed->ival[0];
  rng_init (&load->rng, (uint64_t)seed->ival[0]);
  if (!add_all (load, hosts, streams))
    {
      fputs ("load-callers: invalid --host or --stream\n", stderr);
      exit (2);
    }
  if (acked->count > 0)
    load->acked_file = fopen (acked->filename[0], "w");
  int code = run (load, seconds->dval[0]);
  g_free (load);
  return code;
}
