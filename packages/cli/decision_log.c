#include "decision_log.h"

#include "../table/table.h"
#include "cli.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int
print_matching (FILE *in, const char *const *patterns)
{
  char *line = NULL;
  size_t capacity = 0;
  int found = 0;

  while (getline (&line, &capacity, in) >= 0)
    for (int i = 0; patterns[i] != NULL; i++)
      if (strstr (line, patterns[i]) != NULL)
        {
          fputs (line, stdout);
          found++;
          break;
        }
  free (line);
  return found;
}

int
decision_log_explain (const char *file, const char *request, const char *key)
{
  const char *patterns[3] = { NULL };
  char move_pattern[64], send_pattern[64], request_pattern[64];
  FILE *in = fopen (file, "r");

  if (in == NULL)
    {
      fprintf (stderr, "chicoryctl: %s can't be read\n", file);
      return CLI_INVALID;
    }
  if (request != NULL)
    {
      g_snprintf (request_pattern, sizeof request_pattern, "Request %s ", request);
      patterns[0] = request_pattern;
    }
  else
    {
      uint32_t slot = table_slot (text_from_c (key));
      printf ("key %s is in slot %u\n", key, slot);
      g_snprintf (send_pattern, sizeof send_pattern, ": slot %u,", slot);
      g_snprintf (move_pattern, sizeof move_pattern, "/%u from ", slot);
      patterns[0] = send_pattern;
      patterns[1] = move_pattern;
    }
  int found = print_matching (in, patterns);
  fclose (in);
  return found > 0 ? CLI_OK : CLI_DIFFERENCE;
}
