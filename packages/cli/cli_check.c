#include "cli_parts.h"

#include "../config_check/config_check.h"
#include "../settings/router_settings.h"

#include <jansson.h>
#include <stdio.h>

/* Reads the configuration in FILE.  Its faults go to FINDINGS, which may be NULL. */
static status_t
read_configuration (const options_t *options,
                    const char *file,
                    directory_t *directory,
                    findings_t *findings)
{
  gchar *bytes = NULL;
  gsize len = 0;
  fault_t fault;
  status_t status;

  fault_clear (&fault);
  if (g_file_get_contents (file, &bytes, &len, NULL))
    status = options->deployment->read_directory ((text_t){ bytes, len },
                                                  directory,
                                                  findings,
                                                  &fault);
  else
    status = fault_raise (&fault, STATUS_IO, "can't be read");
  if (status != STATUS_OK && (findings == NULL || findings->list->len == 0))
    fprintf (stderr, "chicoryctl: %s: %.*s\n", file, TEXT_ARG (fault_text (&fault)));
  g_free (bytes);
  return status;
}

static status_t
read_settings (const char *file, check_host_t *host)
{
  router_settings_t settings;
  fault_t fault;
  form_t form;

  fault_clear (&fault);
  status_t status = router_settings_load (&settings, file, &form, &fault);
  form_conclude (&form, status, stderr);
  if (status != STATUS_OK)
    fprintf (stderr, "chicoryctl: %.*s\n", TEXT_ARG (fault_text (&fault)));
  *host = (check_host_t){ .memory_mb = settings.memory_mb,
                          .has_budget = true,
                          .retry_ratio = settings.bounds.retry_ratio,
                          .retry_extra = settings.bounds.retry_extra };
  return status;
}

static void
print_lines (const findings_t *findings)
{
  for (guint i = 0; i < findings->list->len; i++)
    {
      const finding_t *finding = &g_array_index (findings->list, finding_t, i);
      printf ("%s: %.*s: %.*s\n",
              finding_severity_name (finding->severity),
              TEXT_ARG (finding->place),
              TEXT_ARG (finding->why));
    }
  printf ("errors %u, warnings %u, changes %u\n",
          findings_count (findings, FINDING_ERROR),
          findings_count (findings, FINDING_WARNING),
          findings_count (findings, FINDING_CHANGE));
}

static void
print_json (const directory_t *directory, const findings_t *findings)
{
  json_t *list = json_array ();
  char version[32];

  for (guint i = 0; i < findings->list->len; i++)
    {
      const finding_t *finding = &g_array_index (findings->list, finding_t, i);
      json_t *entry = json_object ();
      json_object_set_new (entry,
                           "severity",
                           json_string (finding_severity_name (finding->severity)));
      json_object_set_new (entry,
                           "place",
                           json_stringn (finding->place.at, finding->place.len));
      json_object_set_new (entry,
                           "why",
                           json_stringn (finding->why.at, finding->why.len));
      json_array_append_new (list, entry);
    }
  g_snprintf (version, sizeof version, "%llx", (unsigned long long)directory->version);
  json_t *root = json_object ();
  json_object_set_new (root, "version", json_string (version));
  for (int severity = FINDING_SEVERITIES - 1; severity >= 0; severity--)
    {
      char *key = g_strconcat (finding_severity_name (severity), "s", NULL);
      json_object_set_new (root, key, json_integer (findings_count (findings, severity)));
      g_free (key);
    }
  json_object_set_new (root, "findings", list);
  char *text = json_dumps (root, JSON_INDENT (1));
  puts (text);
  free (text);
  json_decref (root);
}

static int
check (const options_t *options,
       const check_host_t *host,
       const directory_t *in_force,
       directory_t *directory,
       findings_t *findings)
{
  status_t status = read_configuration (options, options->file, directory, findings);

  if (status == STATUS_IO)
    return CLI_CHECK_ERRORS;
  /* Without tables, all entries would be missing. */
  if (status != STATUS_DECODE)
    {
      config_check (directory, host, findings);
      if (in_force != NULL && status == STATUS_OK)
        config_check_changes (directory, in_force, findings);
      else if (in_force != NULL)
        fputs ("chicoryctl: not compared with the version in force, as some entries "
               "can't be read\n",
               stderr);
    }
  if (options->json)
    print_json (directory, findings);
  else
    print_lines (findings);
  return findings_count (findings, FINDING_ERROR) > 0     ? CLI_CHECK_ERRORS
         : findings_count (findings, FINDING_WARNING) > 0 ? CLI_CHECK_WARNINGS
                                                          : CLI_CHECK_CLEAN;
}

int
cli_run_check (const options_t *options)
{
  check_host_t host = { 0 };
  directory_t directory, in_force;
  findings_t findings;
  int code = CLI_CHECK_ERRORS;

  if (options->file == NULL)
    return cli_report_missing ("FILE, the configuration to check");
  if (options->settings != NULL && read_settings (options->settings, &host) != STATUS_OK)
    return CLI_CHECK_ERRORS;
  directory_init (&directory);
  directory_init (&in_force);
  findings_init (&findings, options->deployment->field_names);
  if (options->against == NULL
      || read_configuration (options, options->against, &in_force, NULL) == STATUS_OK)
    code = check (options,
                  &host,
                  options->against != NULL ? &in_force : NULL,
                  &directory,
                  &findings);
  findings_finish (&findings);
  directory_finish (&in_force);
  directory_finish (&directory);
  return code;
}
