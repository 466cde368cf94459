/**
 * Handling of one request by a gate: admission, plan, stages, ratings, answer or refusal.
 */
#include "model_site.h"

#include "choose_breaker.h"
#include "util_id.h"

#define US_PER_MS              1000
#define RATING_MS              150  /**< time of the rating service for an answer */
#define RATING_FLIP_SHARE      0.02 /**< share of ratings that are wrong */
#define FLIPPED_PASS_SCORE     0.95 /**< wrong rating of an answer below FLIP_THRESHOLD */
#define FLIPPED_FAIL_SCORE     0.2  /**< wrong rating of other answers */
#define FLIP_THRESHOLD         0.6
#define SAMPLE_SHARE           0.1 /**< of the answers of stages without rating */
#define CALLER_RETRIES_MAX     3
#define CALLER_RETRY_JITTER    0.2  /**< largest share added to the retry-after time */
#define RESEND_MS              5000 /**< until a request that crashes engines is sent again */
#define FLOOD_TEAM             0    /**< subject of the scenarios' FAULT_FLOOD */
#define CAPACITY_FACTOR        1.1  /**< of the slots: requests that may run or wait */
#define EXPECTED_WORK_MS       2500 /**< time of an answer that the limiter assumes */
#define EXPECTED_OUTPUT_TOKENS 150
#define LATENCY_WEIGHT         0.05 /**< of a new sample in a moving average */

bool
request_measured (const ModelSite *site, const ModelRequest *request)
{
  return request->submitted_us >= site->scenario->warm_ms * US_PER_MS;
}

static void release_admission (ModelSite *site, ModelRequest *request);

static void
finish_answered (ModelSite *site, ModelRequest *request, int64_t first_us)
{
  ModelResult *result = &site->result;
  double first_ms = (double)(first_us - request->submitted_us) / US_PER_MS;
  double whole_ms = (double)(site->now_us - request->submitted_us) / US_PER_MS;

  request->ended = true;
  release_admission (site, request);
  rollout_record_delivered (site, request);
  if (!request_measured (site, request))
    return;
  result->answered++;
  result->in_time += site->now_us <= request->deadline_us;
  times_add (&result->first, first_ms);
  times_add (&result->whole, whole_ms);
  if (request->team != FLOOD_TEAM)
    times_add (&result->others, first_ms);
  if (request->class_index < 0)
    return;
  result->with_class++;
  result->good += request->score >= request->plan.quality_target;
  result->by_class[request->class_index]++;
  result->over_target[request->class_index] += request->score - request->plan.quality_target;
}

/** A caller sends a refused request again after retry_after_ms, if that is before its deadline. */
static bool
caller_retries_later (const ModelSite *site, const ModelRequest *request, int64_t retry_after_ms)
{
  if (retry_after_ms <= 0 || site->scenario->no_caller_retries)
    return false;
  return request->caller_retries < CALLER_RETRIES_MAX
         && site->now_us + retry_after_ms * US_PER_MS < request->deadline_us;
}

void
request_refuse (ModelSite *site, unsigned index, Reason reason, int64_t retry_after_ms)
{
  ModelRequest *request = site->requests[index];
  double wait_us;

  release_admission (site, request);
  if (caller_retries_later (site, request, retry_after_ms))
    {
      request->caller_retries++;
      site->result.caller_retries += request_measured (site, request);
      wait_us = (double)(retry_after_ms * US_PER_MS)
                * (1 + CALLER_RETRY_JITTER * gsl_rng_uniform (site->policy_rng));
      site_push (site, (int64_t)wait_us, EVENT_SUBMIT, index);
      return;
    }
  if (request->resends > 0)
    {
      request->resends--;
      request->deadline_us += (int64_t)RESEND_MS * US_PER_MS;
      site_push (site, (int64_t)RESEND_MS * US_PER_MS, EVENT_SUBMIT, index);
      return;
    }
  request->ended = true;
  if (!request_measured (site, request))
    return;
  site->result.false_quarantines += reason == REASON_QUARANTINED && !request->crashes;
  site->result.others_refused += request->team != FLOOD_TEAM;
  if (reason == REASON_NONE)
    site->result.failed++;
  else
    site->result.refused[reason]++;
}

static unsigned
pick_gate (ModelSite *site)
{
  unsigned i;

  for (i = 0; i < site->scenario->gates; i++)
    {
      unsigned gate = site->next_gate++ % site->scenario->gates;

      if (site->gates[gate].up)
        return gate;
    }
  return 0;
}

static const char *
direct_model (const ModelSite *site)
{
  return site->scenario->direct_model != NULL ? site->scenario->direct_model : "draft-m";
}

static Reason
make_plan (ModelSite *site, ModelRequest *request)
{
  ChooseRequest choose = {
    .config = site->config,
    .team = request->team,
    .model = request->class_index < 0 ? direct_model (site)
                                      : site->config->classes[request->class_index].name,
    .braked = site->braked,
    .caller = id_hash (&request->caller, sizeof request->caller, request->team),
    .now_ms = site_ms (site),
    .deadline_ms = request->deadline_us / US_PER_MS,
  };
  CascadeQuery query = {
    .request = &choose,
    .estimates = site_gate (site, request)->estimates,
    .settings = &cascade_settings_default,
    .rating_available = site->rating_available,
    .rating_ms = RATING_MS,
    .random = site_random (site),
  };

  if (site->policy->cascade == NULL)
    return quality_oracle_plan (site, &choose, &request->plan);
  return site->policy->cascade->plan (&query, &request->plan);
}

/** Expected wait for a slot, from the load by which the engines that the gate watches exceed their
 *  slots. */
static int64_t
expected_wait_ms (ModelSite *site, const ModelGate *gate)
{
  ServerQuery query = { .config = site->config, .views = gate->views, .now_ms = site_ms (site) };
  const IndexList *list = &gate->index->versions[0];
  double overload = 0;
  unsigned i;

  for (i = 0; i < list->count; i++)
    {
      double slots = (double)site->config->servers[list->servers[i]].slots;
      double load = server_load (&query, list->servers[i]);

      overload += load > slots ? (load - slots) / slots : 0;
    }
  return list->count > 0 ? (int64_t)(overload / list->count * EXPECTED_WORK_MS) : 0;
}

static LimitVerdict
admit (ModelSite *site, ModelRequest *request)
{
  ModelGate *gate = site_gate (site, request);
  unsigned slots = site->scenario->config.draft_engines * site->scenario->config.slots;
  LimitQuery query = {
    .config = site->config,
    .team = request->team,
    .tokens = request->prompt_tokens + EXPECTED_OUTPUT_TOKENS,
    .capacity = (unsigned)(CAPACITY_FACTOR * slots / site->scenario->gates),
    .wait_ms = expected_wait_ms (site, gate),
    .work_ms = EXPECTED_WORK_MS,
    .now_ms = site_ms (site),
    .deadline_ms = request->deadline_us / US_PER_MS,
  };
  LimitVerdict verdict = site->policy->limit->admit (gate->limiter, &query);

  request->admitted = verdict.reason == REASON_NONE;
  request->beyond_fair_share = verdict.beyond_fair_share;
  request->tokens = query.tokens;
  return verdict;
}

static void
release_admission (ModelSite *site, ModelRequest *request)
{
  if (!request->admitted)
    return;
  request->admitted = false;
  limiter_end (site_gate (site, request)->limiter, site->config, request->team, request->tokens,
               request->prompt_tokens + request->output_tokens);
}

void
request_submit (ModelSite *site, unsigned index)
{
  ModelRequest *request = site->requests[index];
  Reason reason;

  request->gate = pick_gate (site);
  if (!request->submitted)
    site->result.submitted += request_measured (site, request);
  if (!request->submitted && request->team != FLOOD_TEAM)
    site->result.others_submitted += request_measured (site, request);
  request->submitted = true;
  if (site->policy->quarantine
      && quarantine_contains (site_gate (site, request)->quarantine, request->fingerprint,
                              site_ms (site)))
    {
      request_refuse (site, index, REASON_QUARANTINED, 0);
      return;
    }
  if (site->policy->limit != NULL)
    {
      LimitVerdict verdict = admit (site, request);

      if (verdict.reason != REASON_NONE)
        {
          request_refuse (site, index, verdict.reason, verdict.retry_after_ms);
          return;
        }
    }
  reason = make_plan (site, request);
  request->stage = 0;
  if (reason != REASON_NONE)
    {
      request_refuse (site, index, reason, 0);
      return;
    }
  attempt_start_stage (site, index);
}

static CascadeOutcome
make_outcome (const ModelSite *site, const ModelRequest *request)
{
  unsigned stage = request->stage;

  return (CascadeOutcome){
    .config = site->config,
    .class_index = request->class_index,
    .team = request->team,
    .version = request->plan.versions[stage],
    .previous = stage > 0 ? (int)request->plan.versions[stage - 1] : -1,
    .quality_target = request->plan.quality_target,
    .now_ms = site_ms (site),
  };
}

/** Rating of the stage's answer by the rating service, which is wrong for a share of answers. */
static double
draw_rating (ModelSite *site, const ModelRequest *request)
{
  if (gsl_rng_uniform (site->policy_rng) >= RATING_FLIP_SHARE)
    return request->score;
  return request->score >= FLIP_THRESHOLD ? FLIPPED_FAIL_SCORE : FLIPPED_PASS_SCORE;
}

static void
record_answer (ModelSite *site, ModelRequest *request)
{
  CascadeOutcome outcome = make_outcome (site, request);
  ModelGate *gate = site_gate (site, request);
  ServerView *view = &gate->views[request->engine];
  const ConfigVersion *version = &site->config->versions[outcome.version];
  double tokens = request->prompt_tokens + request->output_tokens;
  double first_ms = (double)(request->first_us - request->sent_us) / US_PER_MS;
  double delta = first_ms - view->latency_ms;

  double token_ms = (double)(site->now_us - request->first_us) / US_PER_MS / request->output_tokens;

  breaker_success (view);
  if (view->token_ms == 0)
    view->token_ms = token_ms;
  view->token_ms += LATENCY_WEIGHT * (token_ms - view->token_ms);
  view->latency_ms += LATENCY_WEIGHT * delta;
  view->latency_var = (1 - LATENCY_WEIGHT) * (view->latency_var + LATENCY_WEIGHT * delta * delta);
  if (request_measured (site, request))
    site->result.cost += version->cost_per_1k * tokens / 1000;
  cascade_record_run (gate->estimates, &outcome, tokens,
                      (double)(site->now_us - request->sent_us) / US_PER_MS);
}

/** Rates a sample of the answers of stages without rating, to learn from them; all answers of a
 *  candidate are rated. */
static void
sample_rating (ModelSite *site, const ModelRequest *request, const CascadeOutcome *outcome)
{
  bool candidate = quality_kind (site->config, outcome->version) == KIND_CANDIDATE;
  double score;

  if (!site->rating_available || (gsl_rng_uniform (site->policy_rng) >= SAMPLE_SHARE && !candidate))
    return;
  score = draw_rating (site, request);
  rollout_record_rating (site, request, score);
  cascade_record_rating (site_gate (site, request)->estimates, outcome, score);
}

void
request_answered (ModelSite *site, unsigned index)
{
  ModelRequest *request = site->requests[index];
  CascadeOutcome outcome = make_outcome (site, request);

  request->score = quality_score (site, request, outcome.version);
  record_answer (site, request);
  rollout_record_answer (site, request, (double)(site->now_us - request->sent_us) / US_PER_MS);
  attempt_end (site, request);
  if (request->plan.rated && request->stage + 1 < request->plan.count)
    {
      site_push (site, (int64_t)RATING_MS * US_PER_MS, EVENT_RATED, index);
      return;
    }
  sample_rating (site, request, &outcome);
  /* The answer of a stage without rating is streamed, so that it begins with its first token. */
  finish_answered (site, request, request->first_us);
}

void
request_rated (ModelSite *site, const Event *event)
{
  ModelRequest *request = site->requests[event->subject];
  CascadeOutcome outcome = make_outcome (site, request);
  double score;

  if (site->rating_available)
    {
      score = draw_rating (site, request);
      rollout_record_rating (site, request, score);
      cascade_record_rating (site_gate (site, request)->estimates, &outcome, score);
      if (cascade_passes (&request->plan, score))
        {
          finish_answered (site, request, site->now_us);
          return;
        }
    }
  request->stage++;
  attempt_start_stage (site, event->subject);
}
