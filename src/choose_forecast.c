/**
 * Forecasts from learned estimates and configured priors.
 */
#include "choose_forecast.h"

#include "util_assert.h"
#include "util_id.h"
#include <math.h>

#define PASS_MARGIN 0.01 /**< prior probabilities are kept this far from 0 and 1 */
#define MS_PER_S    1000.0
#define TOKENS_1K   1000.0

/** Estimate keys of one request's candidates. */
typedef struct
{
  const CascadeQuery *query;
  double target;
  uint64_t class_key;
  uint64_t team_key;
  uint64_t version_keys[CHOOSE_STAGES_MAX];
  double failure_ratio; /**< see class_failure_ratio */
} Keys;

/** Assumed ratings without any evidence. */
typedef struct
{
  double pass, pass_score, fail_score;
} Prior;

static double
clamp (double x, double low, double high)
{
  return fmin (fmax (x, low), high);
}

uint64_t
forecast_version_key (const Config *config, unsigned version)
{
  const ConfigVersion *v = &config->versions[version];

  return id_hash_string (v->name, id_hash_string (config->models[v->model].name, 0));
}

/** Combines an estimate with its prior, which counts as prior_weight ratings. */
static ForecastRating
blend (const Estimate *e, const Prior *prior, double prior_weight)
{
  double total = e->weight + prior_weight;
  double passes = e->weight * e->pass;
  double fails = e->weight - passes;
  double pass_score
      = (passes * e->pass_score + prior_weight * prior->pass_score) / (passes + prior_weight);
  double fail_score
      = (fails * e->fail_score + prior_weight * prior->fail_score) / (fails + prior_weight);
  double pass = (passes + prior_weight * prior->pass) / total;

  return (ForecastRating){
    .pass = pass,
    .pass_score = pass_score,
    .mean = pass * pass_score + (1 - pass) * fail_score,
    .variance = pass * (1 - pass) / total,
    .spread = pass_score - fail_score,
    .error = sqrt (pass * (1 - pass) / total) * (pass_score - fail_score),
    .weight = e->weight,
  };
}

/** Derives a prior from the configured prior quality, which is a mean rating: answers that pass are
 *  assumed to be rated halfway between the target and 1, those that fail at a third of the
 *  target. */
static Prior
prior_of_version (double quality, double target)
{
  Prior prior = { .pass_score = (1 + target) / 2, .fail_score = target / 3 };
  double pass = (quality - prior.fail_score) / (prior.pass_score - prior.fail_score);

  prior.pass = clamp (pass, PASS_MARGIN, 1 - PASS_MARGIN);
  return prior;
}

static Estimate
read_estimate (const Keys *keys, size_t stage, uint64_t previous_key, uint64_t team_key)
{
  const CascadeQuery *query = keys->query;
  EstimateKey key = {
    .class_key = keys->class_key,
    .version_key = keys->version_keys[stage],
    .previous_key = previous_key,
    .team_key = team_key,
  };

  return estimates_read_next (query->estimates, &key, query->request->now_ms,
                              query->rating_available);
}

/** The ratio of observed to prior failures of this class, averaged over its versions with enough
 *  ratings; 1 if there are none. A class that proves easy for one version is easy for the others
 *  too. Without this ratio a version's prior would be compared with the observed rating of another,
 *  and a version that looks worse by its prior might never be tried. */
static double
class_failure_ratio (const Keys *keys, const Forecast *forecast, const Estimate *all)
{
  const CascadeQuery *query = keys->query;
  double sum = 0;
  unsigned i, n = 0;

  for (i = 0; i < forecast->count; i++)
    {
      const ConfigVersion *version = &query->request->config->versions[forecast->stages[i].version];
      Prior prior;

      if (all[i].weight < query->settings->evidence_weight_min)
        continue;
      prior = prior_of_version (version->prior_quality, keys->target);
      sum += (1 - all[i].pass) / (1 - prior.pass);
      n++;
    }
  return n > 0 ? sum / n : 1;
}

/** The rating as the first stage: the team's own ratings, with those of all teams as their prior,
 *  which in turn have the configured prior. */
static ForecastRating
first_rating (const Keys *keys, size_t stage, const Estimate *all, double prior_quality)
{
  const CascadeSettings *settings = keys->query->settings;
  Prior prior = prior_of_version (prior_quality, keys->target);
  ForecastRating pooled, out;
  Estimate own;

  /* Good ratings of other versions do not justify forwarding this version's answers unrated, so
     the ratio only ever raises the failures. */
  prior.pass
      = clamp (1 - (1 - prior.pass) * fmax (keys->failure_ratio, 1), PASS_MARGIN, 1 - PASS_MARGIN);
  pooled = blend (all, &prior, settings->prior_weight);
  own = read_estimate (keys, stage, 0, keys->team_key);
  if (own.weight < 1)
    return pooled;
  prior = (Prior){ .pass = pooled.pass, .pass_score = pooled.pass_score };
  prior.fail_score = pooled.pass_score - pooled.spread;
  out = blend (&own, &prior, settings->team_weight);
  out.variance = fmin (out.variance, pooled.variance);
  out.error = sqrt (out.variance) * out.spread;
  out.weight = pooled.weight;
  return out;
}

/** The rating after another version's answer failed. Without evidence the worst case is assumed:
 *  this version passes all answers that the other passes, so only the rest of its passes is
 *  left. */
static ForecastRating
after_rating (const Keys *keys, const Forecast *forecast, size_t stage, size_t previous)
{
  const CascadeSettings *settings = keys->query->settings;
  const ForecastRating *self = &forecast->stages[stage].first;
  const ForecastRating *other = &forecast->stages[previous].first;
  Estimate e = read_estimate (keys, stage, keys->version_keys[previous], 0);
  Prior prior = { .pass_score = self->pass_score, .fail_score = keys->target / 3 };
  double fail = 1 - self->pass;

  if (self->weight < settings->evidence_weight_min)
    fail *= fmin (keys->failure_ratio, 1);
  if (other->pass < 1)
    prior.pass = 1 - fail / (1 - other->pass);
  prior.pass = clamp (prior.pass, PASS_MARGIN, 1 - PASS_MARGIN);
  return blend (&e, &prior, settings->prior_weight);
}

static void
read_stage (const Keys *keys, size_t stage, const Estimate *all, ForecastStage *out)
{
  const CascadeQuery *query = keys->query;
  const ConfigVersion *version = &query->request->config->versions[out->version];
  bool seen = all->run_weight >= 1;
  double tokens = seen ? all->tokens : query->settings->default_tokens;

  out->cost = version->cost_per_1k * tokens / TOKENS_1K;
  out->duration_ms = seen ? all->duration_ms : query->settings->default_duration_ms;
  out->duration_high_ms = out->duration_ms + (seen ? all->duration_dev_ms : 0);
  out->first = first_rating (keys, stage, all, version->prior_quality);
}

static void
sort_by_cost (const Config *config, const ChoosePlan *candidates, Forecast *out)
{
  size_t i, j;

  out->count = candidates->count;
  for (i = 0; i < candidates->count; i++)
    {
      unsigned version = candidates->versions[i];
      double cost = config->versions[version].cost_per_1k;

      for (j = i; j > 0; j--)
        {
          if (config->versions[out->stages[j - 1].version].cost_per_1k <= cost)
            break;
          out->stages[j].version = out->stages[j - 1].version;
        }
      out->stages[j].version = version;
    }
}

/** All stages except those with enough ratings that pass no more often than a cheaper one. (That
 *  such a stage may pass answers where the cheaper one failed is ignored.) */
static unsigned
useful_stages (const Forecast *forecast, double enough)
{
  unsigned useful = 0;
  double best = -1;
  unsigned i;

  /* Stages are in ascending order of cost. */
  for (i = 0; i < forecast->count; i++)
    {
      const ForecastRating *first = &forecast->stages[i].first;

      if (first->weight >= enough && first->pass <= best)
        continue;
      useful |= 1U << i;
      if (first->weight >= enough)
        best = first->pass;
    }
  return useful;
}

static void
read_after (const Keys *keys, Forecast *out)
{
  unsigned i, j;

  for (i = 1; i < out->count; i++)
    {
      for (j = 0; j < i && (out->useful >> i & 1) != 0; j++)
        {
          if ((out->useful >> j & 1) != 0)
            out->stages[i].after[j] = after_rating (keys, out, i, j);
        }
    }
}

void
forecast_read (const CascadeQuery *query, const ChoosePlan *candidates, Forecast *out)
{
  const Config *config = query->request->config;
  Keys keys = {
    .query = query,
    .target = candidates->quality_target,
    .class_key = id_hash_string (config->classes[candidates->class_index].name, 0),
    .team_key = id_hash_string (config->teams[query->request->team].name, 0),
  };
  Estimate all[CHOOSE_STAGES_MAX];
  size_t i;

  sort_by_cost (config, candidates, out);
  out->rating_ms = query->rating_ms;
  out->wait_cost_per_ms = query->settings->wait_cost_per_s / MS_PER_S;
  for (i = 0; i < out->count; i++)
    keys.version_keys[i] = forecast_version_key (config, out->stages[i].version);
  estimates_begin (query->estimates, keys.class_key);
  for (i = 0; i < out->count; i++)
    all[i] = read_estimate (&keys, i, 0, 0);
  keys.failure_ratio = class_failure_ratio (&keys, out, all);
  for (i = 0; i < out->count; i++)
    read_stage (&keys, i, &all[i], &out->stages[i]);
  out->rating_cost = out->count > 0 ? query->settings->rating_cost_share * out->stages[0].cost : 0;
  out->useful = useful_stages (out, query->settings->evidence_weight_min);
  if (query->rating_available && candidates->idempotent)
    read_after (&keys, out);
  estimates_end (query->estimates, keys.class_key);
}

/** The rating of a stage that follows the path. */
static const ForecastRating *
path_rating (const Forecast *forecast, const ForecastPath *path, unsigned stage)
{
  const ForecastStage *s = &forecast->stages[stage];

  return path->count == 0 ? &s->first : &s->after[path->previous];
}

void
forecast_extend (const Forecast *forecast, ForecastPath *path, unsigned stage)
{
  const ForecastStage *s = &forecast->stages[stage];
  const ForecastRating *rating = path_rating (forecast, path, stage);

  path->ratings[path->count] = rating;
  path->reach_probabilities[path->count++] = path->reach_probability;
  /* A rated answer is held back until it is complete, so the caller waits for all of it. */
  path->cost += path->reach_probability
                * (s->cost + forecast->rating_cost
                   + forecast->wait_cost_per_ms * (s->duration_ms + forecast->rating_ms));
  path->duration_high_ms += s->duration_high_ms + forecast->rating_ms;
  path->passed += path->reach_probability * rating->pass;
  path->scores += path->reach_probability * rating->pass * rating->pass_score;
  path->reach_probability *= 1 - rating->pass;
  path->previous = stage;
  path->mask |= 1U << stage;
}

/** A second lower bound of a cascade's quality, which needs no evidence about stages in
 *  combination. The last stage answers a request as it would alone, whatever was tried before, so
 *  the cascade passes at least where the last stage alone passes. It can only lose the difference
 *  by which the last stage's good answers are rated above those of the stages before. */
static void
apply_last_stage_bound (const ForecastRating *last, const ForecastPath *path, ForecastPlan *plan)
{
  double loss = path->passed * last->pass_score - path->scores;
  double quality = last->mean - (loss > 0 ? loss : 0);

  if (quality - last->error <= plan->quality - plan->error)
    return;
  plan->quality = quality;
  plan->error = last->error;
}

/** Computes quality and standard error from the last stage backwards: an error in a stage's pass
 *  probability affects the plan's quality by the difference between the rating of the answers that
 *  pass there and the expected rating if the following stages run. */
ForecastPlan
forecast_finish (const Forecast *forecast, const ForecastPath *path, unsigned stage)
{
  const ForecastRating *rating = path_rating (forecast, path, stage);
  ForecastPlan plan = {
    .mask = path->mask | 1U << stage,
    .cost = path->cost + path->reach_probability * forecast->stages[stage].cost,
    .duration_high_ms = path->duration_high_ms + forecast->stages[stage].duration_high_ms,
  };
  double error = path->reach_probability * rating->error;
  double variance = error * error;
  double value = rating->mean;
  unsigned i;

  for (i = path->count; i > 0; i--)
    {
      rating = path->ratings[i - 1];
      error = path->reach_probabilities[i - 1] * (rating->pass_score - value);
      variance += error * error * rating->variance;
      value = rating->pass * rating->pass_score + (1 - rating->pass) * value;
    }
  plan.quality = value;
  plan.error = sqrt (variance);
  if (path->count > 0)
    apply_last_stage_bound (&forecast->stages[stage].first, path, &plan);
  return plan;
}

ForecastPlan
forecast_plan (const Forecast *forecast, unsigned mask)
{
  ForecastPath path = { .reach_probability = 1 };
  unsigned i;

  INVARIANT (mask != 0 && mask >> forecast->count == 0, "mask=%u", mask);
  for (i = 0; mask >> (i + 1) != 0; i++)
    {
      if ((mask >> i & 1) != 0)
        forecast_extend (forecast, &path, i);
    }
  return forecast_finish (forecast, &path, i);
}
