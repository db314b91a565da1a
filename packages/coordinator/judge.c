#include "coordinator_parts.h"

#include "../config_check/config_check.h"
#include "../core/eventlog.h"

static void
log_finding (const finding_t *finding)
{
  char *place = text_dup_c (finding->place), *why = text_dup_c (finding->why);
  char *quoted_place = g_strescape (place, NULL), *quoted_why = g_strescape (why, NULL);

  eventlog_write (EVENT_STATE,
                  "configuration",
                  "finding",
                  "severity=%s place=\"%s\" why=\"%s\"",
                  finding_severity_name (finding->severity),
                  quoted_place,
                  quoted_why);
  g_free (quoted_why);
  g_free (quoted_place);
  g_free (why);
  g_free (place);
}

void
judge_configuration (const coordinator_t *self, const directory_t *directory)
{
  const router_settings_t *settings = self->settings;
  const check_host_t host = { .memory_mb = settings->memory_mb,
                              .has_budget = true,
                              .retry_ratio = settings->bounds.retry_ratio,
                              .retry_extra = settings->bounds.retry_extra };
  findings_t findings;

  findings_init (&findings, self->deployment->field_names);
  config_check (directory, &host, &findings);
  for (guint i = 0; i < MIN (findings.list->len, JUDGE_FINDINGS_MAX); i++)
    log_finding (&g_array_index (findings.list, finding_t, i));
  if (findings.list->len > JUDGE_FINDINGS_MAX)
    eventlog_write (EVENT_STATE,
                    "configuration",
                    "findings_left_out",
                    "version=%llx count=%u",
                    (unsigned long long)directory->version,
                    findings.list->len - JUDGE_FINDINGS_MAX);
  findings_finish (&findings);
}
