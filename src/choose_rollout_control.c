/**
 * Figures of the version that a roll-out replaces.
 */
#include "choose_rollout_control.h"

#include "util_memory.h"
#include <math.h>
#include <stdlib.h>

#define RATE_MIN       0.01 /**< assumed rate of errors and of slow answers before any was observed */
#define RATE_MAX       0.55 /**< leaves room up to ROLLOUT_RATE_MAX for a worse version */
#define VARIANCE_MIN   0.01 /**< smallest assumed variance of one rating */
#define PRIOR_WEIGHT   20   /**< weight of the prior, in answers */
#define PRIOR_RATING   0.8  /**< mean rating assumed before any was observed */
#define PRIOR_VARIANCE 0.1  /**< variance of one rating, likewise */

/** Answers of the new version without one of the old version between them after which the old
 *  version counts as idle. */
#define LIVE_ANSWERS 200

void
rollout_control_init (RolloutControl *control, size_t teams, double weight_max)
{
  *control = (RolloutControl){ .teams = teams, .weight_max = weight_max };
  control->by_team = memory_array (teams * ROLLOUT_KINDS_MAX + 1, sizeof *control->by_team);
}

void
rollout_control_clear (RolloutControl *control)
{
  free (control->by_team);
}

static unsigned
kind_of_request (const RolloutEvidence *evidence)
{
  return evidence->request_kind < ROLLOUT_KINDS_MAX ? evidence->request_kind : 0;
}

/** One team's sums; NULL if its index is out of range. */
static RolloutSums *
team_sums (const RolloutControl *control, const RolloutEvidence *evidence)
{
  if (evidence->team >= control->teams)
    return NULL;
  return &control->by_team[evidence->team * ROLLOUT_KINDS_MAX + kind_of_request (evidence)];
}

static void
sums_add (RolloutSums *sums, const RolloutEvidence *evidence, double weight_max)
{
  double answers = sums->answers + evidence->answers;
  double rated = sums->rated + evidence->rated;
  double scale = answers > weight_max ? weight_max / answers : 1;
  double scale_rated = rated > weight_max ? weight_max / rated : 1;

  sums->answers = answers * scale;
  sums->errors = (sums->errors + evidence->errors) * scale;
  sums->slow = (sums->slow + evidence->slow) * scale;
  sums->rated = rated * scale_rated;
  sums->ratings = (sums->ratings + evidence->rating_sum) * scale_rated;
  sums->squares = (sums->squares + evidence->rating_square_sum) * scale_rated;
}

void
rollout_control_add (RolloutControl *control, const RolloutEvidence *evidence)
{
  RolloutSums *own = team_sums (control, evidence);

  if (evidence->answers > 0)
    control->answers_since = 0;
  sums_add (&control->pooled[kind_of_request (evidence)], evidence, control->weight_max);
  if (own != NULL)
    sums_add (own, evidence, control->weight_max);
}

bool
rollout_control_is_live (RolloutControl *control, unsigned answers)
{
  control->answers_since += answers;
  return control->answers_since < LIVE_ANSWERS;
}

/** A rate with a prior and one standard error added: uncertainty about the old version must not
 *  count against the new one. */
static double
cautious_rate (double count, double answers, double prior)
{
  double total = answers + PRIOR_WEIGHT;
  double rate = (count + PRIOR_WEIGHT * prior) / total;

  rate += sqrt (rate * (1 - rate) / total);
  return fmin (fmax (rate, RATE_MIN), RATE_MAX);
}

static RolloutExpected
expected_of (const RolloutSums *sums, const RolloutExpected *prior)
{
  double total = sums->rated + PRIOR_WEIGHT;
  double mean = (sums->ratings + PRIOR_WEIGHT * prior->mean) / total;
  double prior_square = prior->mean * prior->mean + prior->variance;
  double square = (sums->squares + PRIOR_WEIGHT * prior_square) / total;
  double variance = fmax (square - mean * mean, VARIANCE_MIN);

  return (RolloutExpected){
    .error_rate = cautious_rate (sums->errors, sums->answers, prior->error_rate),
    .slow_rate = cautious_rate (sums->slow, sums->answers, prior->slow_rate),
    .mean = mean,
    .variance = variance,
    .standard_error = sqrt (variance / total),
    .pooled_standard_error = sqrt (variance / total),
  };
}

/** One team's figures with those of all teams as their prior, which in turn have a fixed prior. */
RolloutExpected
rollout_control_expected (const RolloutControl *control, const RolloutEvidence *evidence)
{
  const RolloutExpected fixed_prior = {
    .error_rate = RATE_MIN,
    .slow_rate = RATE_MIN,
    .mean = PRIOR_RATING,
    .variance = PRIOR_VARIANCE,
  };
  RolloutExpected pooled = expected_of (&control->pooled[kind_of_request (evidence)], &fixed_prior);
  const RolloutSums *own = team_sums (control, evidence);
  RolloutExpected out = own != NULL ? expected_of (own, &pooled) : pooled;

  out.pooled_standard_error = pooled.standard_error;
  return out;
}
