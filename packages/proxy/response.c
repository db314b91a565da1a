#include "target_conn.h"

#include "../core/eventlog.h"

dispatch_answer_t
response_classify (const target_conn_t *self)
{
  const dispatch_target_t *target
      = dispatch_target (&self->proxy->dispatch, self->target);
  text_t who = self->facts.target;

  if (self->status == 421 && who.len > 0
      && !text_equal (who, name_text (&target->entry.id)))
    return ANSWER_WRONG_TARGET;
  if (self->status == 421)
    return ANSWER_NOT_OWNER;
  return self->facts.not_run ? ANSWER_FULL : ANSWER_RUN;
}

void
response_log_refusal (const target_conn_t *self, dispatch_answer_t answer)
{
  static const char *const reasons[] = {
    [ANSWER_RUN] = "run",
    [ANSWER_FULL] = "full",
    [ANSWER_NOT_OWNER] = "not_owner",
    [ANSWER_WRONG_TARGET] = "wrong_target",
  };
  const exchange_t *exchange = self->exchange;
  const dispatch_target_t *target
      = dispatch_target (&self->proxy->dispatch, self->target);

  eventlog_write (
      EVENT_FAILURE,
      "proxy",
      "send_refused",
      "request=%.*s target=%.*s why=%s key=%d keys=%llu send=%u load=%u,%u,%u "
      "expected_load=%u after_ms=%lld",
      NAME_ARG (exchange->id),
      NAME_ARG (target->entry.id),
      reasons[answer],
      exchange->request.keyed ? (int)exchange->request.key : -1,
      (unsigned long long)exchange->request.key_table_version,
      exchange->request.attempts,
      self->facts.load.running,
      self->facts.load.waiting,
      self->facts.load.slots,
      exchange->request.load_at_send,
      (long long)(msclock_now (&self->proxy->clock) - exchange->request.sent_at));
}

void
response_log_odd_pause (const target_conn_t *self)
{
  const pause_statement_t *pause = &self->facts.pause;
  const dispatch_target_t *target
      = dispatch_target (&self->proxy->dispatch, self->target);

  if (pause->exception == PAUSE_AS_STATED)
    return;
  eventlog_write (EVENT_FAILURE,
                  "proxy",
                  "odd_retry_after",
                  "target=%.*s why=%s status=%u taken_as_ms=%lld",
                  NAME_ARG (target->entry.id),
                  pause_exception_name (pause->exception),
                  self->status,
                  pause->stated ? (long long)pause->duration : -1LL);
}
