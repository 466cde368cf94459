/**
 * The roll-out of draft-s from v1 to v2, as gates and stewards drive it by the module under test.
 */
#include "model_site.h"

#include <string.h>

#define CONTROL_MS    1000 /**< gates report their evidence */
#define IN_FORCE_MS   3000 /**< until a decision is in force everywhere */
#define US_PER_MS     1000
#define SLOW_DEVS     2
#define OLD_COUNT_MAX 1000
#define BAD_SCORE     0.6 /**< good answers are rated above, bad ones below */
#define EXPOSED       1
#define EXPOSED_BAD   2

void
rollout_prepare (ModelSite *site)
{
  if (site->config->rollout_count == 0)
    return;
  site->config->rollouts[0].state = ROLLOUT_BACKED_OUT;
  site->test = rollout_test_new (&rollout_settings_default, site->config->team_count, 0);
  site_push (site, (int64_t)CONTROL_MS * US_PER_MS, EVENT_CONTROL, 0);
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

/** Moves every gate's evidence to the test. */
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
          g->fresh[i].team = g->control[i].team = (unsigned)(i / REQUEST_KINDS);
          g->fresh[i].request_kind = g->control[i].request_kind = (unsigned)(i % REQUEST_KINDS);
          rollout_test_add_control (site->test, &g->control[i]);
          rollout_test_add (site->test, &g->fresh[i]);
        }
      memset (g->fresh, 0, cells * sizeof (RolloutEvidence));
      memset (g->control, 0, cells * sizeof (RolloutEvidence));
    }
}

static void
apply_change (ModelSite *site)
{
  ConfigRollout *rollout = &site->config->rollouts[0];
  double since_s = (double)(site_ms (site) - site->rollout_ms) / 1000;

  if (site->change == ROLLOUT_BRAKE)
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
  site->change = ROLLOUT_WAIT;
}

void
rollout_control (ModelSite *site)
{
  RolloutDecision decision;

  site_push (site, (int64_t)CONTROL_MS * US_PER_MS, EVENT_CONTROL, 0);
  merge_evidence (site);
  if (site->config->rollouts[0].state != ROLLOUT_RUNNING)
    return;
  if (site->change != ROLLOUT_WAIT)
    {
      if (site_ms (site) >= site->change_ms)
        apply_change (site);
      return;
    }
  if (site->policy->rollout == NULL)
    return;
  decision = site->policy->rollout->decide (site->test, site_ms (site));
  site->change = decision.verdict;
  site->change_ms = site_ms (site) + IN_FORCE_MS;
}

/** Where the evidence of the request's present stage belongs, or NULL. */
static RolloutEvidence *
evidence_of (ModelSite *site, const ModelRequest *request)
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
      return &gate->fresh[cell];
    default:
      return NULL;
    }
}

void
rollout_note_answer (ModelSite *site, const ModelRequest *request, double ms)
{
  RolloutEvidence *evidence = evidence_of (site, request);
  ModelGate *gate = &site->gates[request->gate];
  double apart;

  if (evidence == NULL)
    return;
  evidence->answers++;
  /* The time of an answer follows its length, so it is compared for each token. */
  apart = ms / request->output_tokens - gate->old_mean;
  if (gate->old_count > 0)
    evidence->slow += apart > 0 && apart * apart > SLOW_DEVS * SLOW_DEVS * gate->old_variance;
  if (quality_kind (site->config, request->plan.versions[0]) != KIND_SMALL)
    return;
  gate->old_count += gate->old_count < OLD_COUNT_MAX;
  gate->old_mean += apart / gate->old_count;
  gate->old_variance += (apart * apart - gate->old_variance) / gate->old_count;
}

void
rollout_note_rating (ModelSite *site, const ModelRequest *request, double score)
{
  RolloutEvidence *evidence = evidence_of (site, request);

  if (evidence == NULL)
    return;
  evidence->rated++;
  evidence->rating_sum += score;
  evidence->rating_square_sum += score * score;
}

void
rollout_note_delivered (ModelSite *site, const ModelRequest *request)
{
  unsigned char *mark = &site->exposed[request->team * site->scenario->callers + request->caller];
  unsigned version = request->plan.versions[request->stage];

  if (quality_kind (site->config, version) != KIND_CANDIDATE)
    return;
  if ((*mark & EXPOSED) == 0)
    site->result.exposed++;
  *mark |= EXPOSED;
  if (request->score >= BAD_SCORE || (*mark & EXPOSED_BAD) != 0)
    return;
  *mark |= EXPOSED_BAD;
  site->result.exposed_bad++;
}
