#include "gate_bill.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_log.h"

void
gate_bill_keep_answer (GateRequest *r)
{
  if (!r->claimed || r->kept_overflow)
    return;
  if (r->kept.len + r->out.len > CLAIM_ANSWER_MAX)
    {
      r->kept_overflow = true;
      buffer_free (&r->kept);
      return;
    }
  buffer_add (&r->kept, r->out.data != NULL ? r->out.data : "", r->out.len);
}

static void
count_outcome (BillOutcome outcome)
{
  static const CounterId counters[] = {
    [BILL_ANSWERED] = COUNTER_GATE_BILLED_ANSWERED,
    [BILL_CANCELLED] = COUNTER_GATE_BILLED_CANCELLED,
    [BILL_CUT] = COUNTER_GATE_BILLED_CUT,
    [BILL_UNKNOWN] = COUNTER_GATE_BILLED_UNKNOWN,
  };

  counter_add (counters[outcome], 1);
}

static void
log_outcome (const GateRequest *r)
{
  const BillRecord *bill = &r->bill;
  const BillAttempt *last
      = bill->attempt_count > 0 ? &bill->attempts[bill->attempt_count - 1] : NULL;

  log_msg (
      MSG_GATE_BILLED,
      "request=\"%s\" team=\"%s\" outcome=\"%s\" version=\"%s\" server=\"%s\" attempts=\"%zu\" "
      "tokens=\"%lld\" ms=\"%lld\" config=\"%lld\"",
      r->id, bill->team, bill_outcome_name (bill->outcome), last != NULL ? last->version : "",
      last != NULL ? last->server : "", bill->attempt_count,
      last != NULL ? (long long)(last->prompt_tokens + last->completion_tokens) : 0,
      (long long)(clock_boot_ms () - r->begun_ms), (long long)bill->config);
}

void
gate_bill_commit (GateRequest *r, BillOutcome outcome)
{
  ClaimSettlement settlement = {
    .claim = &r->claim,
    .http_status = r->http_status,
    .content_type = r->answer_type,
  };
  bool settled = r->claimed && outcome == BILL_ANSWERED;

  INVARIANT (!r->billed, "request=\"%s\"", r->id);
  r->billed = true;
  r->bill.outcome = outcome;
  if (!r->kept_overflow)
    {
      settlement.answer = r->kept.data;
      settlement.answer_len = r->kept.len;
    }
  if (bill_commit (r->gate->bill, &r->bill, settled ? &settlement : NULL) == BILL_AT_SPOOL)
    counter_add (COUNTER_GATE_BILLED_IN_SPOOL, 1);
  count_outcome (outcome);
  log_outcome (r);
}

void
gate_bill_refused (GateRequest *r)
{
  bool ran = r->may_have_run || r->bill.attempt_count > 0;

  if (r->claimed && !ran)
    {
      INVARIANT (r->refusal.state == REQUEST_NOT_RUN, "request=\"%s\"", r->id);
      claim_releaser_add (r->gate->releaser, &r->claim);
    }
  if (ran && !r->billed)
    {
      /* The caller got no answer, so the stages that ran before the failed one are free too. */
      for (size_t i = 0; i < r->bill.attempt_count; i++)
        r->bill.attempts[i].cost = 0;
      r->refusal.state = REQUEST_UNKNOWN;
      gate_bill_commit (r,
                        r->refusal.reason == REFUSAL_CALLER_LEFT ? BILL_CANCELLED : BILL_UNKNOWN);
    }
}
