#include "directory.h"

#include <string.h>

bool
request_kind_may_repeat (request_kind_t kind)
{
  return kind == KIND_IDEMPOTENT || kind == KIND_DOWNLOAD;
}

void
directory_init (directory_t *self)
{
  *self = (directory_t){
    .routes = g_array_new (FALSE, TRUE, sizeof (route_entry_t)),
    .shares = g_array_new (FALSE, TRUE, sizeof (route_share_t)),
    .services = g_array_new (FALSE, TRUE, sizeof (service_entry_t)),
    .texts = g_string_chunk_new (4096),
  };
}

void
directory_finish (directory_t *self)
{
  g_array_unref (self->routes);
  g_array_unref (self->shares);
  g_array_unref (self->services);
  g_string_chunk_free (self->texts);
}

text_t
directory_copy_text (directory_t *self, text_t text)
{
  return (text_t){ g_string_chunk_insert_len (self->texts, text.at, (gssize)text.len),
                   text.len };
}

int
directory_find_service (const directory_t *self, text_t name)
{
  for (guint i = 0; i < self->services->len; i++)
    if (text_equal (g_array_index (self->services, service_entry_t, i).name, name))
      return (int)i;
  return -1;
}

uint32_t
directory_count_unsupported (const directory_t *self)
{
  uint32_t n = 0;

  for (guint i = 0; i < self->routes->len; i++)
    n += g_array_index (self->routes, route_entry_t, i).kind == KIND_UNSUPPORTED;
  return n;
}

static int
compare_hosts (text_t a, text_t b)
{
  int order = a.len == 0 || b.len == 0
                  ? 0
                  : g_ascii_strncasecmp (a.at, b.at, MIN (a.len, b.len));

  return order != 0 ? order : (int)a.len - (int)b.len;
}

static int
compare_routes (const void *left, const void *right)
{
  const route_entry_t *a = left, *b = right;
  int order = compare_hosts (a->host, b->host);

  return order != 0 ? order : (int)b->prefix.len - (int)a->prefix.len;
}

void
directory_sort_routes (directory_t *self)
{
  g_array_sort (self->routes, compare_routes);
}

/* The index of the first route whose host isn't below HOST. */
static guint
lower_bound_of_host (const directory_t *self, text_t host)
{
  guint low = 0, high = self->routes->len;

  while (low < high)
    {
      guint middle = (low + high) / 2;
      if (compare_hosts (g_array_index (self->routes, route_entry_t, middle).host, host)
          < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

int
directory_match_route (const directory_t *self, text_t host, text_t path)
{
  for (guint i = lower_bound_of_host (self, host); i < self->routes->len; i++)
    {
      const route_entry_t *route = &g_array_index (self->routes, route_entry_t, i);
      if (compare_hosts (route->host, host) != 0)
        break;
      if (text_has_prefix (path, route->prefix))
        return (int)i;
    }
  return -1;
}
