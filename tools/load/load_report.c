#include "load.h"

#include <math.h>

static double
percentile_ms (const load_stream_t *stream, double share)
{
  uint64_t rank = (uint64_t)ceil (share * (double)stream->complete);
  uint64_t seen = 0;

  for (uint64_t b = 0; b < LOAD_BUCKETS; b++)
    {
      seen += stream->buckets[b];
      if (seen >= rank && seen > 0)
        return (double)(b + 1) * LOAD_BUCKET_US / 1000;
    }
  return 0;
}

static uint64_t
unserved_ms (const load_stream_t *stream)
{
  uint64_t n = 0;

  for (unsigned i = 0; i < LOAD_WINDOWS_MAX; i++)
    n += stream->windows[i].started > 0 && stream->windows[i].complete == 0;
  return n * LOAD_WINDOW_MS;
}

static double
imbalance (const load_stream_t *stream)
{
  GHashTableIter iter;
  gpointer target, n;
  double sum = 0, highest = 0;

  g_hash_table_iter_init (&iter, stream->responses_by_target);
  while (g_hash_table_iter_next (&iter, &target, &n))
    {
      sum += GPOINTER_TO_UINT (n);
      highest = MAX (highest, GPOINTER_TO_UINT (n));
    }
  return sum > 0 ? highest * g_hash_table_size (stream->responses_by_target) / sum : 0;
}

static json_t *
refusals (const load_stream_t *s)
{
  json_t *list = json_array ();

  for (unsigned i = 0; i < s->n_refusals; i++)
    json_array_append_new (list, json_string (s->refusals[i]));
  return list;
}

json_t *
load_report (const load_t *self)
{
  json_t *list = json_array ();

  for (unsigned i = 0; i < self->n_streams; i++)
    {
      const load_stream_t *s = &self->streams[i];
      json_t *row = json_pack ("{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}",
                               "service",
                               s->prefix,
                               "sent",
                               (json_int_t)s->sent,
                               "whole",
                               (json_int_t)s->complete,
                               "not_run",
                               (json_int_t)s->not_run,
                               "unknown",
                               (json_int_t)s->unknown,
                               "refused",
                               (json_int_t)s->refused,
                               "lost",
                               (json_int_t)s->lost,
                               "wrong",
                               (json_int_t)s->wrong,
                               "repeats",
                               (json_int_t)s->repeats,
                               "open",
                               (json_int_t)s->open);
      json_object_set_new (row,
                           "failures",
                           json_pack ("{s:I,s:I,s:I,s:I}",
                                      "unreachable",
                                      (json_int_t)s->failures[HTTPC_UNREACHABLE],
                                      "lost",
                                      (json_int_t)s->failures[HTTPC_CONNECTION_LOST],
                                      "cut",
                                      (json_int_t)s->failures[HTTPC_TRUNCATED],
                                      "silent",
                                      (json_int_t)s->failures[HTTPC_TIMED_OUT]));
      json_object_set_new (row, "refusals", refusals (s));
      json_object_set_new (row, "p50_ms", json_real (percentile_ms (s, 0.5)));
      json_object_set_new (row, "p99_ms", json_real (percentile_ms (s, 0.99)));
      json_object_set_new (row, "p999_ms", json_real (percentile_ms (s, 0.999)));
      json_object_set_new (row, "worst_ms", json_real ((double)s->slowest_us / 1000));
      json_object_set_new (row,
                           "unserved_ms",
                           json_integer ((json_int_t)unserved_ms (s)));
      json_object_set_new (row, "imbalance", json_real (imbalance (s)));
      json_array_append_new (list, row);
    }
  return list;
}
