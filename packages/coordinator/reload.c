#include "coordinator_parts.h"

#include "../core/eventlog.h"

#include <sys/stat.h>

/* Whether the file changed since the last check.  Its modification time is compared at
 * full resolution, which is enough to tell two changes apart. */
static bool
has_changed (coordinator_t *self)
{
  struct stat now;

  if (stat (self->settings_file, &now) != 0)
    return false; /* the file is being replaced; the next check finds it */
  bool changed = now.st_mtim.tv_sec != self->settings_mtime.tv_sec
                 || now.st_mtim.tv_nsec != self->settings_mtime.tv_nsec;
  self->settings_mtime = now.st_mtim;
  return changed;
}

/* Compares settings that take effect only after a restart. */
static bool
same_startup_settings (const router_settings_t *a, const router_settings_t *b)
{
  return name_equal (&a->callers, &b->callers) && name_equal (&a->ready, &b->ready)
         && name_equal (&a->peers, &b->peers) && name_equal (&a->store, &b->store)
         && name_equal (&a->host, &b->host)
         && name_equal (&a->data_centre, &b->data_centre);
}

void
reload_settings (coordinator_t *self)
{
  router_settings_t fresh;
  fault_t fault;
  form_t form;
  proxy_msg_t *msg;

  fault_clear (&fault);
  status_t status = router_settings_load (&fresh, self->settings_file, &form, &fault);
  for (guint i = 0; status == STATUS_SETTINGS && i < form.faults->len; i++)
    {
      const form_fault_t *at = &g_array_index (form.faults, form_fault_t, i);
      eventlog_write (EVENT_STATE,
                      "process",
                      "settings_fault",
                      "line=%d field=%s expected=\"%s\"",
                      at->line,
                      at->field,
                      at->expected);
    }
  form_finish (&form);
  eventlog_write (EVENT_STATE,
                  "process",
                  status == STATUS_OK ? "reloaded" : "reload_rejected",
                  "file=%s restart_needed=%d why=\"%.*s\"",
                  self->settings_file,
                  status == STATUS_OK && !same_startup_settings (&fresh, self->settings),
                  TEXT_ARG (fault_text (&fault)));
  if (status != STATUS_OK)
    return;
  keys_set_hold_max (&self->keys, fresh.bounds.hold_max_ms);
  discovery_set_drain (self, fresh.bounds.drain_ms);
  emptied_set_time (self, fresh.bounds.evacuation_ms);
  discovery_set_apply_time (self, fresh.bounds.apply_ms);
  msg = g_new0 (proxy_msg_t, 1);
  msg->kind = PROXY_BOUNDS;
  msg->bounds = fresh.bounds;
  discovery_post (self, msg);
}

void
reload_step (coordinator_t *self, msec_t now)
{
  if (now < self->next_settings_check)
    return;
  self->next_settings_check = now + SETTINGS_CHECK_MS;
  if (has_changed (self))
    reload_settings (self);
}

void
reload_init (coordinator_t *self)
{
  has_changed (self);
}
