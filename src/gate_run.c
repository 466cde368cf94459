#include "gate_run.h"
#include "choose_cascade.h"
#include "gate_bill.h"
#include "gate_learn.h"
#include "gate_prepare.h"
#include "gate_session.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_counter.h"
#include <stdio.h>
#include <string.h>

#define COLLECTED_ANSWER_MAX (16UL * 1024 * 1024) /* bytes of a service's or a collected answer */
#define READ_SIZE            4096                 /* bytes */

/** Result of one stage of a plan. */
typedef enum
{
  STAGE_STREAMING, /**< the first events are in r->out */
  STAGE_COMPLETE,  /**< the complete answer was collected */
  STAGE_FAILED,
  STAGE_CALLER_LEFT
} StageResult;

static StageResult run_stage (GateRequest *r, unsigned version, bool collect);
static RunResult run_chat (GateRequest *r);
static RunResult run_service (GateRequest *r);

/* Reads an engine's answer up to its first event, or to its end if it is collected. If the deadline
   passes while an answer is collected, it is cut, unless the request has a claim and so must run to
   its end. */
static StreamResult
read_answer (GateRequest *r, bool collect, Status *st)
{
  GateAnswer *answer = &r->attempt->stream.answer;
  StreamResult result;

  answer->keep_content = collect || r->sampled;
  answer->content_optional = !collect;
  answer->content_max = collect ? COLLECTED_ANSWER_MAX : SAMPLE_TEXT_MAX;
  while ((result = gate_attempt_next (r, &r->out, st)) == STREAM_CHUNK && collect)
    {
      if (!r->stream)
        buffer_clear (&r->out);
      if (gate_request_past_deadline (r)
          || !gate_request_hold_answer (r, answer->content.len + r->out.len, st))
        return STREAM_CUT;
    }
  return result;
}

/* The answer was cut and could not be resumed; the caller has received nothing of it. True if the
   request may be tried at another server, that is, if it is idempotent and its deadline has not
   passed. */
static bool
end_cut_attempt (GateRequest *r, const Status *st)
{
  bool past_deadline = gate_request_past_deadline (r);

  r->may_have_run = true;
  if (!past_deadline)
    {
      r->lost_answers++;
      gate_learn_error (r);
    }
  gate_attempt_bill (r, false);
  gate_attempt_end (r, past_deadline ? SERVER_NEUTRAL : SERVER_FAILED);
  buffer_clear (&r->out);
  if (past_deadline)
    {
      refusal_set (&r->refusal, REASON_DEADLINE_PAST, REQUEST_UNKNOWN, "attempt.read", NULL);
      return false;
    }
  refusal_set (&r->refusal,
               st->code == STATUS_FULL ? REFUSAL_ANSWER_TOO_LARGE : REFUSAL_BACKEND_FAILED,
               REQUEST_UNKNOWN, st->step, "%s", st->message);
  return r->idempotent;
}

static StageResult
run_stage (GateRequest *r, unsigned version, bool collect)
{
  while (gate_attempt_begin (r, (int)version))
    {
      Status st = { 0 };
      switch (read_answer (r, collect, &st))
        {
        case STREAM_CHUNK:
          return STAGE_STREAMING;
        case STREAM_END:
          return STAGE_COMPLETE;
        case STREAM_CALLER_LEFT:
          return STAGE_CALLER_LEFT;
        case STREAM_CUT:
          if (!end_cut_attempt (r, &st))
            return STAGE_FAILED;
        }
    }
  return STAGE_FAILED;
}

/* True if the collected answer meets the quality target. Without a rating it does not: the caller
   then gets the answer of a later stage. */
static bool
meets_target (GateRequest *r)
{
  const Config *config = r->snapshot->config;
  const GateAnswer *answer = &r->attempt->stream.answer;
  double score = 0;

  if (!gate_rating_rate (r->gate, config->classes[r->plan.class_index].name, r->body.data,
                         answer->content.data, &score))
    return false;
  gate_learn_rating (r, score);
  return cascade_passes (&r->plan, score);
}

static RunResult
answer_complete (GateRequest *r)
{
  char model[BILL_NAME_MAX];

  config_label (r->snapshot->config, (unsigned)r->attempt->version, model);
  if (!r->stream)
    {
      buffer_clear (&r->out);
      answer_json (&r->attempt->stream.answer, r->id, model, &r->out);
    }
  r->http_status = 200;
  snprintf (r->answer_type, sizeof (r->answer_type), "%s",
            r->stream ? "text/event-stream" : "application/json");
  gate_bill_keep_answer (r);
  gate_attempt_bill (r, true);
  gate_bill_commit (r, BILL_ANSWERED);
  gate_learn_answer (r);
  return RUN_COMPLETE;
}

static RunResult
answer_streamed (GateRequest *r)
{
  gate_watch_set_relayed (&r->attempt->watch);
  r->http_status = 200;
  snprintf (r->answer_type, sizeof (r->answer_type), "text/event-stream");
  gate_bill_keep_answer (r);
  return RUN_STREAM;
}

/* True if the next stage may run after one failed: the request has not run yet or is idempotent,
   and neither a passed deadline nor a missing grant forbids it. */
static bool
next_stage_may_run (const GateRequest *r)
{
  if (r->refusal.reason == REASON_DEADLINE_PAST || r->refusal.reason == REASON_NO_GRANT)
    return false;
  return r->refusal.state == REQUEST_NOT_RUN || r->idempotent;
}

static RunResult
run_chat (GateRequest *r)
{
  for (size_t i = 0; i < r->plan.count; i++)
    {
      bool last = i + 1 == r->plan.count;
      bool rated = r->plan.rated && !last;
      memset (r->excluded, 0, r->snapshot->config->server_count);
      r->stage_attempts = 0;
      r->stage_unsent = 0;
      r->retry_granted = false;
      r->rated = rated;
      switch (run_stage (r, r->plan.versions[i], rated || !r->stream))
        {
        case STAGE_STREAMING:
          return answer_streamed (r);
        case STAGE_CALLER_LEFT:
          return RUN_CALLER_LEFT;
        case STAGE_COMPLETE:
          if (!rated || meets_target (r))
            return answer_complete (r);
          gate_learn_answer (r);
          gate_attempt_bill (r, true);
          r->previous_version = r->attempt->version;
          gate_attempt_end (r, SERVER_SUCCEEDED);
          buffer_clear (&r->out);
          counter_add (COUNTER_GATE_STAGES_FAILED, 1);
          break;
        case STAGE_FAILED:
          if (last || !next_stage_may_run (r))
            return RUN_REFUSED;
        }
    }
  return RUN_REFUSED;
}

/* A plain service's answer is read completely before its usage record is written. */
static bool
read_service (GateRequest *r, Status *st)
{
  char data[READ_SIZE];
  const Buffer *peeked = &r->attempt->peeked;
  long n;

  if (peeked->len > 0)
    buffer_add (&r->out, peeked->data, peeked->len);
  while ((n = http_exchange_read (r->attempt->exchange, data, sizeof (data), st)) > 0)
    {
      if (r->out.len + (size_t)n > COLLECTED_ANSWER_MAX)
        {
          status_set (st, STATUS_FULL, "service.read", r->attempt->config_server->name,
                      "answer longer than %lu bytes", COLLECTED_ANSWER_MAX);
          return false;
        }
      if (!gate_request_hold_answer (r, r->out.len + (size_t)n, st))
        return false;
      buffer_add (&r->out, data, (size_t)n);
    }
  return n == 0;
}

static RunResult
run_service (GateRequest *r)
{
  while (gate_attempt_begin (r, -1))
    {
      GateAttempt *a = r->attempt;
      const char *type = http_exchange_header (a->exchange, "Content-Type");
      Status st = { 0 };

      r->http_status = a->http_status;
      snprintf (r->answer_type, sizeof (r->answer_type), "%s",
                type != NULL ? type : "application/octet-stream");
      if (read_service (r, &st))
        {
          gate_bill_keep_answer (r);
          gate_attempt_bill (r, true);
          gate_bill_commit (r, BILL_ANSWERED);
          return RUN_COMPLETE;
        }
      if (!end_cut_attempt (r, &st))
        break;
    }
  return RUN_REFUSED;
}

RunResult
gate_run (GateRequest *r)
{
  RunResult result = RUN_REFUSED;

  switch (gate_prepare (r))
    {
    case PREPARE_REFUSED:
      break;
    case PREPARE_ANSWERED:
      result = RUN_COMPLETE;
      break;
    case PREPARE_READY:
      result = r->kind == REQUEST_CHAT ? run_chat (r) : run_service (r);
      break;
    }
  if (result == RUN_REFUSED)
    {
      gate_request_raise_retry_after (r);
      gate_bill_refused (r);
    }
  return result;
}
