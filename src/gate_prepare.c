#include "gate_prepare.h"
#include "choose_cascade.h"
#include "gate_session.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLER_HASH_SEED 2
#define BODY_HASH_SEED   3

static bool admit (GateRequest *r);
static bool plan_service (GateRequest *r);
static bool plan_chat (GateRequest *r);
static PrepareResult take_claim (GateRequest *r);
static void start_bill (GateRequest *r);

static bool
refuse (GateRequest *r, int reason, const char *step)
{
  refusal_set (&r->refusal, reason, REQUEST_NOT_RUN, step, NULL);
  return false;
}

int
gate_admission (Gate *gate)
{
  if (__atomic_load_n (&gate->stopping, __ATOMIC_ACQUIRE))
    return REASON_STOPPING;
  if (!gate_grant_valid (gate))
    return REASON_NO_GRANT;
  if (!bill_has_room (gate->bill))
    return REASON_SPOOL_FULL;
  return REASON_NONE;
}

static bool
admit (GateRequest *r)
{
  Gate *gate = r->gate;
  int reason;

  r->counted_in_flight = true;
  if (__atomic_add_fetch (&gate->in_flight, 1, __ATOMIC_ACQ_REL) > gate->settings.streams_max)
    return refuse (r, REASON_OVERLOAD, "request.admit");
  /* Checked after the request was counted in in_flight: either a graceful stop sees the count and
     waits, or the check sees the stop. */
  reason = gate_admission (gate);
  if (reason != REASON_NONE)
    return refuse (r, reason, "request.admit");
  return true;
}

static bool
plan_service (GateRequest *r)
{
  const Config *config = r->snapshot->config;

  r->service = config_find_service (config, r->asked);
  if (r->service < 0)
    return refuse (r, REFUSAL_NO_ROUTE, "request.plan");
  if (!gate_request_team (r)->services[r->service])
    return refuse (r, REASON_NOT_ALLOWED, "request.plan");
  r->idempotent = config->services[r->service].idempotent;
  if (r->idempotency != IDEMPOTENCY_DEFAULT)
    r->idempotent = r->idempotency == IDEMPOTENCY_YES;
  return true;
}

static bool
choose_versions (GateRequest *r)
{
  ChooseRequest choose = {
    .config = r->snapshot->config,
    .team = r->team,
    .model = r->asked,
    .session_version = r->session_version[0] != '\0' ? r->session_version : NULL,
    .caller = r->caller_hash,
    .idempotency = r->idempotency,
    .braked = r->snapshot->braked,
    .now_ms = clock_boot_ms (),
    .deadline_ms = r->deadline_ms,
  };
  CascadeQuery query = {
    .request = &choose,
    .estimates = r->gate->estimates,
    .settings = &cascade_settings_default,
    .rating_available = gate_rating_available (&r->gate->rating),
    .rating_ms = gate_rating_ms (&r->gate->rating),
    .random = id_random_u64 (),
  };
  Reason reason = cascade_policy_default.plan (&query, &r->plan);

  r->idempotent = r->plan.idempotent;
  return reason == REASON_NONE || refuse (r, reason, "request.plan");
}

/* Binds a new caller-named session to the plan's last version: the row must be written before
   anything is sent, when it is not known yet which stage of a cascade will meet the target. */
static bool
start_named_session (GateRequest *r)
{
  unsigned version = r->plan.versions[r->plan.count - 1];

  return gate_session_bind (r, version) && choose_versions (r);
}

/* True if a version of the plan is being rolled out. All answers of such a plan are rated: a
   roll-out may start with 1% of the callers, and if only a tenth of their answers were rated, a bad
   version would stay in use ten times as long. */
static bool
plan_has_rollout (const GateRequest *r)
{
  const Config *config = r->snapshot->config;

  for (size_t i = 0; i < config->rollout_count; i++)
    {
      const ConfigRollout *rollout = &config->rollouts[i];
      if (rollout->state != ROLLOUT_RUNNING)
        continue;
      for (size_t j = 0; j < r->plan.count; j++)
        if (r->plan.versions[j] == rollout->to)
          return true;
    }
  return false;
}

static bool
plan_chat (GateRequest *r)
{
  const Config *config = r->snapshot->config;
  int class_index = config_find_class (config, r->asked);

  if (r->deadline_ms == 0 && class_index >= 0 && config->classes[class_index].deadline_ms > 0)
    r->deadline_ms = r->begun_ms + config->classes[class_index].deadline_ms;
  r->caller_hash
      = id_hash_string (r->caller, id_hash_string (gate_request_team (r)->name, CALLER_HASH_SEED));
  r->sampled = gate_sample_draw (r->gate->sampler);
  if (!gate_session_read (r) || !choose_versions (r))
    return false;
  if (plan_has_rollout (r))
    r->sampled = true;
  if (!r->session_named || r->session_version[0] != '\0')
    return true;
  return start_named_session (r);
}

static uint64_t
body_hash (const GateRequest *r)
{
  uint64_t seed = id_hash_string (r->path, BODY_HASH_SEED) ^ id_hash_string (r->method, r->kind);

  return id_hash (r->body.data != NULL ? r->body.data : "", r->body.len, seed);
}

static void
start_bill (GateRequest *r)
{
  BillRecord *bill = &r->bill;
  const char *team = gate_request_team (r)->name;
  char key[REQUEST_KEY_MAX + 1 + 20];

  /* A caller's retry is billed as the same request only if its body is the same. Otherwise one
     idempotency key would cover the cost of many requests. */
  key[0] = '\0';
  if (r->key[0] != '\0')
    snprintf (key, sizeof (key), "%s.%016llx", r->key, (unsigned long long)body_hash (r));
  bill_key (team, key[0] != '\0' ? key : NULL, r->id, bill->key);
  snprintf (bill->request, sizeof (bill->request), "%s", r->id);
  snprintf (bill->team, sizeof (bill->team), "%s", team);
  snprintf (bill->asked, sizeof (bill->asked), "%s", r->asked);
  bill->config = r->snapshot->config->number;
  bill->at_ms = clock_wall_ms ();
}

static PrepareResult
claim_answered (GateRequest *r, ClaimOutcome *outcome)
{
  if (outcome->answer.len == 0)
    {
      refusal_set (&r->refusal, REFUSAL_CLAIM_NOT_KEPT, REQUEST_UNKNOWN, "request.claim", NULL);
      return PREPARE_REFUSED;
    }
  r->http_status = outcome->http_status;
  snprintf (r->answer_type, sizeof (r->answer_type), "%s", outcome->content_type);
  buffer_add (&r->out, outcome->answer.data, outcome->answer.len);
  counter_add (COUNTER_GATE_REPLAYED, 1);
  return PREPARE_ANSWERED;
}

static PrepareResult
take_claim (GateRequest *r)
{
  Gate *gate = r->gate;
  ClaimOutcome outcome = { 0 };
  PrepareResult result = PREPARE_REFUSED;
  Status st = { 0 };

  claim_take (gate->group, gate->platform, gate_request_team (r)->name, r->key, body_hash (r),
              &outcome, &st);
  switch (outcome.result)
    {
    case CLAIM_TAKEN:
      r->claim = outcome.claim;
      r->claimed = true;
      result = PREPARE_READY;
      break;
    case CLAIM_ANSWERED:
      result = claim_answered (r, &outcome);
      break;
    case CLAIM_IN_PROGRESS:
      refusal_set (&r->refusal, REFUSAL_CLAIM_IN_PROGRESS, REQUEST_UNKNOWN, "request.claim", NULL);
      break;
    case CLAIM_MISMATCH:
      refuse (r, REFUSAL_CLAIM_MISMATCH, "request.claim");
      break;
    case CLAIM_UNAVAILABLE:
      if (outcome.outcome_unknown)
        claim_releaser_add (gate->releaser, &outcome.claim);
      refusal_set (&r->refusal, REASON_CLAIM_UNAVAILABLE, REQUEST_NOT_RUN, "request.claim",
                   "%s: %s", refusal_text (REASON_CLAIM_UNAVAILABLE), st.message);
      break;
    }
  claim_outcome_clear (&outcome);
  return result;
}

/* Refuses a request that has crashed servers before: a caller's retry would crash one more. */
static bool
check_quarantine (GateRequest *r)
{
  r->fingerprint = quarantine_fingerprint (gate_request_team (r)->name,
                                           r->body.data != NULL ? r->body.data : "", r->body.len);
  if (!gate_request_quarantined (r))
    return true;
  return refuse (r, REASON_QUARANTINED, "request.quarantine");
}

PrepareResult
gate_prepare (GateRequest *r)
{
  if (!admit (r))
    return PREPARE_REFUSED;
  if (!(r->kind == REQUEST_CHAT ? plan_chat (r) : plan_service (r)))
    return PREPARE_REFUSED;
  if (!check_quarantine (r))
    return PREPARE_REFUSED;
  if (r->kind == REQUEST_CHAT && !gate_limit_admit (r))
    return PREPARE_REFUSED;
  r->excluded = memory_array (r->snapshot->config->server_count + 1, 1);
  start_bill (r);
  if (!r->idempotent && r->key[0] != '\0')
    return take_claim (r);
  return PREPARE_READY;
}
