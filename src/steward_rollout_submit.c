#include "steward_rollout_submit.h"
#include "steward_cluster.h"
#include "steward_rollout.h"
#include "steward_submit.h"
#include "steward_table.h"
#include "util_counter.h"
#include "util_log.h"
#include <stdlib.h>

#define QUOTED_SIZE 512

/* The commit is confirmed, so the document counts as read from the table. */
static void
apply_document (Steward *s, const StewardSubmitResult *result)
{
  Config *config;

  if (steward_document_put (&s->document, result->number, result->text))
    {
      config = steward_document_config (&s->document);
      if (config != NULL)
        steward_brakes_apply_config (&s->brakes, config);
      config_unref (config);
      steward_cluster_apply (s);
    }
  steward_table_accept_soon (s->table, result->number);
}

static void
log_outcome (const StewardSubmitResult *result,
             const char *model,
             RolloutStep step,
             const char *reason)
{
  char quoted[QUOTED_SIZE], error[2 * STATUS_MESSAGE_MAX];

  if (result->outcome == STEWARD_SUBMIT_DURABLE)
    log_msg (MSG_STEWARD_ROLLOUT_STEP, "model=\"%s\" step=\"%s\" config=\"%lld\" reason=\"%s\"",
             model, rollout_step_name (step), (long long)result->number,
             log_quote (reason, quoted, sizeof quoted));
  else
    log_msg (MSG_STEWARD_ROLLOUT_NO_STEP,
             "model=\"%s\" step=\"%s\" outcome=\"%d\" head=\"%lld\" error=\"%s\"", model,
             rollout_step_name (step), (int)result->outcome, (long long)result->head,
             log_quote (result->st.message, error, sizeof error));
}

/*
 * The lease is checked before the submission, which reads the head row first, and the transaction
 * itself checks the duty's row. The second check covers a process that is paused in between: its
 * transaction would arrive after a successor's steps, but finds the row changed.
 */
bool
rollout_submit (Steward *s,
                StewardDuty *duty,
                const Config *config,
                const ConfigRollout *rollout,
                RolloutStep step,
                const char *reason)
{
  TxnOp condition = steward_duty_condition (duty);
  StewardSubmission submission = { .operator_name = STEWARD_ROLLOUT_OPERATOR,
                                   .reason = reason,
                                   .base = config->number,
                                   .known_number = config->number,
                                   .known_text = config->text,
                                   .condition = &condition };
  StewardSubmitResult result;
  char *patch;
  bool durable;

  if (!steward_duty_may_order (duty))
    return false;
  patch = rollout_step_patch (config, rollout, step);
  submission.change = patch;
  steward_submit (s->platform, &submission, &result);
  durable = result.outcome == STEWARD_SUBMIT_DURABLE;
  log_outcome (&result, config->models[rollout->model].name, step, reason);
  if (durable)
    {
      counter_add (COUNTER_STEWARD_ROLLOUT_STEPS, 1);
      apply_document (s, &result);
    }
  steward_submit_clear (&result);
  free (patch);
  return durable;
}
