/**
 * Roll-out of draft-s from v1 to v2, with gates and stewards simulated around the module under
 * test.
 */
#include "model_site.h"

#include <string.h>

#define CONTROL_INTERVAL_MS 1000 /**< between two merges of the gates' evidence */
#define IN_FORCE_MS         3000 /**< from a decision until it is in force at all gates */
#define US_PER_MS           1000
#define SLOW_DEVIATIONS     2    /**< standard deviations over the old mean: a slow answer */
#define OLD_COUNT_MAX       1000 /**< weight of the past in the old version's running mean */
#define BAD_SCORE           0.6  /**< true rating below which an answer is bad */
#define EXPOSED             1    /**< bit of ModelSite.exposed: got an answer of the candidate */
#define EXPOSED_BAD         2    /**< bit of ModelSite.exposed: got a bad one */

void
rollout_prepare (ModelSite *site)
{
  if (site->config->rollout_count == 0)
    return;
  site->config->rollouts[0].state = ROLLOUT_BACKED_OUT;
  site->test = rollout_test_new (&rollout_settings_default, site->config->team_count, 0);
  site_push (site, (int64_t)CONTROL_INTERVAL_MS * US_PER_MS, EVENT_CONTROL, 0);
}

void
rollout_start (ModelSite *site)
{
  ConfigRollout *rollout = &site->config->rollouts[0];

  rollout->state = ROLLOUT_RUNNING;
  rollout->stage = 0;
  site->rollout_ms = site_ms (site);
  rollout_test_begin_stage (site->test, 0, site->rollout_ms);
}

/** Moves the evidence of all gates into the test. */
static void
merge_evidence (ModelSite *site)
{
  size_t cells = site->config->team_count * REQUEST_KINDS;
  size_t i;
  unsigned gate;

  for (gate = 0; gate < site->scenario->gates; gate++)
    {
      ModelGate *g = &site->gates[gate];

      for (i = 0; i < cells; i++)
        {
          g->candidate[i].team = g->control[i].team = (unsigned)(i / REQUEST_KINDS);
          g->candidate[i].request_kind = g->control[i].request_kind = (unsigned)(i % REQUEST_KINDS);
          rollout_test_add_control (site->test, &g->control[i]);
          rollout_test_add (site->test, &g->candidate[i]);
        }
      memset (g->candidate, 0, cells * sizeof (RolloutEvidence));
      memset (g->control, 0, cells * sizeof (RolloutEvidence));
    }
}

static void
apply_verdict (ModelSite *site)
{
  ConfigRollout *rollout = &site->config->rollouts[0];
  double since_s = (double)(site_ms (site) - site->rollout_ms) / 1000;

  if (site->verdict == ROLLOUT_BRAKE)
    {
      site->braked[rollout->to] = true;
      rollout->state = ROLLOUT_BACKED_OUT;
      site->result.brake_s = since_s;
    }
  else if (rollout->stage + 1 < rollout->stage_count)
    rollout_test_begin_stage (site->test, ++rollout->stage, site_ms (site));
  if (rollout->state == ROLLOUT_RUNNING && rollout->stages[rollout->stage] >= 1
      && site->result.done_s == 0)
    site->result.done_s = since_s;
  site->verdict = ROLLOUT_WAIT;
}

void
rollout_control (ModelSite *site)
{
  RolloutDecision decision;

  site_push (site, (int64_t)CONTROL_INTERVAL_MS * US_PER_MS, EVENT_CONTROL, 0);
  merge_evidence (site);
  if (site->config->rollouts[0].state != ROLLOUT_RUNNING)
    return;
  if (site->verdict != ROLLOUT_WAIT)
    {
      if (site_ms (site) >= site->verdict_ms)
        apply_verdict (site);
      return;
    }
  if (site->policy->rollout == NULL)
    return;
  decision = site->policy->rollout->decide (site->test, site_ms (site));
  site->verdict = decision.verdict;
  site->verdict_ms = site_ms (site) + IN_FORCE_MS;
}

/** The gate's evidence to which the request's present stage counts, or NULL. */
static RolloutEvidence *
stage_evidence (ModelSite *site, const ModelRequest *request)
{
  ModelGate *gate = &site->gates[request->gate];
  unsigned cell = request->team * REQUEST_KINDS + (unsigned)(request->class_index + 1);

  if (site->test == NULL || request->stage != 0)
    return NULL;
  switch (quality_kind (site->config, request->plan.versions[0]))
    {
    case KIND_SMALL:
      return &gate->control[cell];
    case KIND_CANDIDATE:
      return &gate->candidate[cell];
    default:
      return NULL;
    }
}

void
rollout_record_answer (ModelSite *site, const ModelRequest *request, double ms)
{
  RolloutEvidence *evidence = stage_evidence (site, request);
  ModelGate *gate = &site->gates[request->gate];
  double deviation;

  if (evidence == NULL)
    return;
  evidence->answers++;
  /* The time of an answer grows with its length, so times per token are compared. */
  deviation = ms / request->output_tokens - gate->old_mean;
  if (gate->old_count > 0)
    evidence->slow
        += deviation > 0
           && deviation * deviation > SLOW_DEVIATIONS * SLOW_DEVIATIONS * gate->old_variance;
  if (quality_kind (site->config, request->plan.versions[0]) != KIND_SMALL)
    return;
  gate->old_count += gate->old_count < OLD_COUNT_MAX;
  gate->old_mean += deviation / gate->old_count;
  gate->old_variance += (deviation * deviation - gate->old_variance) / gate->old_count;
}

void
rollout_record_rating (ModelSite *site, const ModelRequest *request, double score)
{
  RolloutEvidence *evidence = stage_evidence (site, request);

  if (evidence == NULL)
    return;
  evidence->rated++;
  evidence->rating_sum += score;
  evidence->rating_square_sum += score * score;
}

void
rollout_record_delivered (ModelSite *site, const ModelRequest *request)
{
  unsigned char *exposure
      = &site->exposed[request->team * site->scenario->callers + request->caller];
  unsigned version = request->plan.versions[request->stage];

  if (quality_kind (site->config, version) != KIND_CANDIDATE)
    return;
  if ((*exposure & EXPOSED) == 0)
    site->result.exposed++;
  *exposure |= EXPOSED;
  if (request->score >= BAD_SCORE || (*exposure & EXPOSED_BAD) != 0)
    return;
  *exposure |= EXPOSED_BAD;
  site->result.exposed_bad++;
}
