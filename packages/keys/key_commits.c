#include "key_commits.h"

#include "key_plan.h"

static key_span_t *
span_at (const key_service_t *service, guint i)
{
  return &g_array_index (service->spans, key_span_t, i);
}

/* Asks for the commit of the runs as they are, under their new fences. */
static void
emit_commit (const keys_t *self, const key_service_t *service, GArray *out)
{
  keys_out_t commit
      = { .kind = KEYS_COMMIT, .service = service->name, .next_fence = self->next_fence };

  key_table_init (&commit.table, name_text (&service->name));
  for (guint i = 0; i < service->spans->len; i++)
    {
      const key_span_t *span = span_at (service, i);
      key_run_t run = { .first = span->first,
                        .last = span->last,
                        .fence = span->new_fence != 0 ? span->new_fence : span->fence,
                        .target = span->owner,
                        .address = span->address,
                        .born = span->born };
      g_array_append_val (commit.table.runs, run);
    }
  g_array_append_val (out, commit);
}

/* Gives free runs to targets and asks for the commit. */
void
key_commits_free (keys_t *self, key_service_t *service, GArray *out)
{
  bool any = false;

  if (service->committing)
    return;
  for (guint i = 0; i < service->spans->len; i++)
    {
      key_span_t *span = span_at (service, i);
      if (span->state != RUN_FREE)
        continue;
      const target_entry_t *next = key_plan_find (self, &span->next);
      if (!key_plan_usable (next, service))
        {
          if (!key_plan_owner (self, service, &span->next))
            return; /* no target is left */
          next = key_plan_find (self, &span->next);
        }
      span->state = RUN_COMMITTING;
      span->owner_before = span->owner;
      span->fence_before = span->fence;
      span->born_before = span->born;
      span->owner = span->next;
      span->born = next->born;
      span->address = next->address;
      span->fence = self->next_fence++;
      span->warm = false;
      any = true;
    }
  if (!any)
    return;
  service->committing = true;
  emit_commit (self, service, out);
}

/* Asks for the commit of new fences for the owners as they are. */
void
key_commits_fences (keys_t *self, key_service_t *service, GArray *out)
{
  if (service->committing || !service->wants_fences)
    return;
  service->wants_fences = false;
  service->committing = true;
  for (guint i = 0; i < service->spans->len; i++)
    if (span_at (service, i)->inherited_until != 0)
      span_at (service, i)->new_fence = self->next_fence++;
  emit_commit (self, service, out);
}

void
key_commits_done (key_service_t *service)
{
  service->committing = false;
  for (guint i = 0; i < service->spans->len; i++)
    {
      key_span_t *span = span_at (service, i);
      if (span->new_fence != 0)
        {
          /* Answers to calls under the old fence say nothing any more. */
          span->fence = span->new_fence;
          span->new_fence = 0;
          span->calling = false;
          span->call_after = 0;
        }
      if (span->state != RUN_COMMITTING)
        continue;
      span->state = RUN_HELD;
      span->inherited_until = 0;
      span->call_after = 0;
      span->held_until = 0;
      span->doubt_until = 0;
      span->last_hold = 0;
    }
}

/* Gives runs that were released back to their owners, as the store still says; what their
 * owners can't take stays free for the next commit. */
void
key_commits_refused (keys_t *self, key_service_t *service)
{
  service->committing = false;
  for (guint i = 0; i < service->spans->len; i++)
    {
      key_span_t *span = span_at (service, i);
      service->wants_fences |= span->new_fence != 0;
      span->new_fence = 0;
      if (span->state != RUN_COMMITTING)
        continue;
      const target_entry_t *before = key_plan_find (self, &span->owner_before);
      if (!span->released || !key_plan_usable (before, service)
          || before->born != span->born_before)
        {
          span->state = RUN_FREE;
          span->next.len = 0;
          continue;
        }
      span->state = RUN_HELD;
      span->owner = span->owner_before;
      span->address = before->address;
      span->fence = span->fence_before;
      span->born = span->born_before;
      span->call_after = 0;
    }
}
