/* Relays the events of a streamed answer after the first ones, and handles callers that leave. */
#include "gate_bill.h"
#include "gate_learn.h"
#include "gate_run.h"
#include "util_counter.h"
#include <string.h>

static void cancel (GateRequest *r);
static void cut (GateRequest *r, const Status *st);

/* The closing events are relayed only after the usage record is durable, so that a caller never has
   a complete answer that is not billed. All other events have already been relayed. */
static void
finish (GateRequest *r)
{
  gate_bill_keep_answer (r);
  gate_attempt_bill (r, true);
  gate_bill_commit (r, BILL_ANSWERED);
  gate_learn_answer (r);
  gate_attempt_end (r, SERVER_SUCCEEDED);
  r->phase = RELAY_CLOSING;
}

static void
cut (GateRequest *r, const Status *st)
{
  refusal_set (&r->refusal, REFUSAL_BACKEND_FAILED, REQUEST_UNKNOWN, st->step, "%s", st->message);
  gate_learn_error (r);
  gate_attempt_bill (r, true);
  gate_bill_commit (r, BILL_CUT);
  gate_attempt_end (r, SERVER_FAILED);
  gate_request_raise_retry_after (r);
  buffer_add_string (&r->out, "event: error\ndata: ");
  refusal_json (&r->refusal, &r->out);
  buffer_add_string (&r->out, "\n\n");
  counter_add (COUNTER_GATE_CUT, 1);
  r->phase = RELAY_FAILING;
}

static void
cancel (GateRequest *r)
{
  gate_attempt_bill (r, true);
  gate_bill_commit (r, BILL_CANCELLED);
  gate_attempt_end (r, SERVER_NEUTRAL);
  counter_add (COUNTER_GATE_CANCELLED, 1);
}

bool
gate_run_next (GateRequest *r)
{
  Status st = { 0 };

  buffer_clear (&r->out);
  r->sent = 0;
  switch (gate_attempt_next (r, &r->out, &st))
    {
    case STREAM_CHUNK:
      gate_bill_keep_answer (r);
      break;
    case STREAM_END:
      finish (r);
      break;
    case STREAM_CUT:
      cut (r, &st);
      break;
    case STREAM_CALLER_LEFT:
      cancel (r);
      return false;
    }
  return true;
}

/* The caller of a claimed request has left. The engine's answer is read to its end and stored with
   the claim, since the request must not run a second time. */
static void
run_to_end (GateRequest *r)
{
  while (r->phase == RELAY_OPEN && r->attempt != NULL)
    {
      if (!gate_run_next (r))
        return;
    }
}

void
gate_run_abandon (GateRequest *r)
{
  if (r->attempt == NULL)
    return;
  if (r->billed)
    {
      gate_attempt_end (r, SERVER_SUCCEEDED);
      return;
    }
  if (r->claimed)
    run_to_end (r);
  else
    cancel (r);
}
