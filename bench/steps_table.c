#include "steps.h"
#include "util_assert.h"

StepsOp *
steps_table_free_op (StepsSite *site)
{
  for (size_t i = 0; i < STEPS_OPS; i++)
    if (!site->ops[i].used)
      return &site->ops[i];
  return NULL;
}

static bool
reaches_table (const StepsSite *site, unsigned slot)
{
  return site->conditions.table_up
         && site->conditions.table_reachable[site->conditions.partition[slot]];
}

void
steps_table_send (StepsSite *site, unsigned slot, StepsOp *op)
{
  unsigned long delay = (unsigned long)site->conditions.delay_max + 1;
  bool unreachable = !reaches_table (site, slot);

  op->used = true;
  op->slot = slot;
  op->incarnation = cluster_state_incarnation (site->vms[slot].state);
  op->sent_at = steps_clock (site, slot);
  op->arrives_at = site->now + (int64_t)steps_random (site, delay);
  op->answered_at = op->arrives_at + (int64_t)steps_random (site, delay);
  op->lost = unreachable || steps_random (site, 1000) < site->conditions.op_loss;
  op->answer_lost = op->lost || steps_random (site, 1000) < site->conditions.op_loss;
  op->arrived = false;
  op->committed = false;
  site->vms[slot].op_in_flight = true;
}

static void
accept_number (StepsSite *site, int64_t number)
{
  for (int64_t n = site->table.accepted + 1; n <= number; n++)
    site->accepted_at[n] = site->now;
  INVARIANT (number > site->table.accepted && number <= site->table.head, "number=\"%lld\"",
             (long long)number);
  site->table.accepted = number;
  site->table.head_version++;
  site->counts.acceptances++;
}

static void
commit (StepsSite *site, StepsOp *op)
{
  switch (op->kind)
    {
    case STEPS_READ:
      op->rows = site->table;
      return;
    case STEPS_SUBMIT:
      op->number = ++site->table.head;
      site->table.head_version++;
      site->counts.patches++;
      INVARIANT (op->number + 1 < STEPS_NUMBERS_MAX, "number=\"%lld\"", (long long)op->number);
      return;
    case STEPS_ACCEPT:
      accept_number (site, op->number);
      return;
    case STEPS_VIEW:
      INVARIANT (op->rows.view.number == site->table.view.number + 1, "number=\"%lld\"",
                 (long long)op->rows.view.number);
      site->table.view = op->rows.view;
      site->table.view_version++;
      site->counts.views++;
      site->counts.established += op->rows.view.established;
    }
}

static void
arrive (StepsSite *site, StepsOp *op)
{
  bool head_same = op->rows.head_version == site->table.head_version;
  bool view_same = op->rows.view_version == site->table.view_version;

  op->arrived = true;
  if (op->lost)
    return;
  op->committed = op->kind == STEPS_READ || (op->kind == STEPS_SUBMIT && head_same)
                  || (op->kind != STEPS_SUBMIT && head_same && view_same);
  if (op->committed)
    commit (site, op);
}

void
steps_table_step (StepsSite *site)
{
  for (size_t i = 0; i < STEPS_OPS; i++)
    {
      StepsOp *op = &site->ops[i];
      if (op->used && !op->arrived && op->arrives_at <= site->now)
        arrive (site, op);
      if (!op->used || !op->arrived || op->answered_at > site->now)
        continue;
      op->used = false;
      steps_steward_op_done (site, op);
    }
}
