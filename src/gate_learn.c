#include "gate_learn.h"
#include "choose_cascade.h"
#include "util_clock.h"

static CascadeOutcome
outcome_of (const GateRequest *r)
{
  return (CascadeOutcome){
    .config = r->snapshot->config,
    .class_index = r->plan.class_index,
    .team = r->team,
    .version = (unsigned)r->attempt->version,
    .previous = r->previous_version,
    .quality_target = r->plan.quality_target,
    .now_ms = clock_boot_ms (),
  };
}

static EvidenceKey
evidence_key (const GateRequest *r)
{
  return gate_evidence_key (r->snapshot->config, r->team, (unsigned)r->attempt->version);
}

void
gate_learn_answer (GateRequest *r)
{
  const GateAttempt *a = r->attempt;
  const GateAnswer *answer = &a->stream.answer;
  EvidenceKey key = evidence_key (r);
  CascadeOutcome outcome = outcome_of (r);
  double ms = (double)(clock_boot_us () - a->begun_us) / 1000.0;

  gate_limit_record_time (&r->gate->limit, ms);
  if (answer->chunks > 1)
    gate_server_record_token_time (a->server,
                                   (ms - a->first_token_ms) / (double)(answer->chunks - 1));
  cascade_record_run (r->gate->estimates, &outcome,
                      (double)(answer->prompt_tokens + answer_completion_tokens (answer)), ms);
  gate_evidence_add_answer (r->gate->evidence, &key, r->caller_hash,
                            a->first_token_ms > EVIDENCE_SLOW_MS);
  if (r->sampled && !r->rated && answer->content.len > 0)
    gate_sample_add (r->gate->sampler, r);
}

void
gate_learn_error (GateRequest *r)
{
  EvidenceKey key;

  if (r->attempt->version < 0)
    return;
  key = evidence_key (r);
  gate_evidence_add_error (r->gate->evidence, &key, r->caller_hash);
}

void
gate_learn_rating (GateRequest *r, double score)
{
  EvidenceKey key = evidence_key (r);
  CascadeOutcome outcome = outcome_of (r);

  cascade_record_rating (r->gate->estimates, &outcome, score);
  gate_evidence_add_rating (r->gate->evidence, &key, score);
}
