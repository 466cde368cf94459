/**
 * Ground truth that the policies under test do not know: the quality of each answer; and the
 * oracle, which decides by it.
 */
#include "model_site.h"

#include "util_id.h"
#include <math.h>
#include <string.h>

#define DIFFICULTY_SHARE    0.7  /**< weight of a request's difficulty against chance */
#define FAIL_SCORE_MAX      0.5  /**< upper bound of a bad answer's true rating */
#define DIRECT_CLASS        2    /**< class by which requests that name a model are rated */
#define ORACLE_SAMPLES      4000 /**< simulated requests by which a plan is evaluated */
#define ORACLE_SEED         17
#define ORACLE_STAGES_MAX   3
#define ORACLE_CACHE_CREDIT 1.0  /**< load, in batches, that a cached prompt prefix makes up for */
#define RATING_COST         0.02 /**< of rating an answer */
#define TWO_TO_53           9007199254740992.0

/** Share of answers that are good, by kind and class; classes in order of their names. */
static const double pass_chances[MODEL_KINDS][CLASSES_COUNT] = {
  /* issue, query, report, wording */
  [KIND_SMALL] = { 0.5, 0.85, 0.62, 0.30 },     [KIND_MEDIUM] = { 0.7, 0.94, 0.84, 0.60 },
  [KIND_LARGE] = { 0.9, 0.98, 0.95, 0.93 },     [KIND_LEDGER] = { 0.95, 0.9, 0.9, 0.9 },
  [KIND_CANDIDATE] = { 0.5, 0.85, 0.62, 0.30 },
};

/** Uniformly distributed in [0, 1); the same for the same request and salt. */
static double
uniform (uint64_t seed, uint64_t salt)
{
  return (double)(id_hash (&seed, sizeof seed, salt) >> 11) / TWO_TO_53;
}

/** Quantile p of DIFFICULTY_SHARE * U1 + (1 - DIFFICULTY_SHARE) * U2, with U1 and U2 uniform. */
static double
difficulty_quantile (double p)
{
  double a = 1 - DIFFICULTY_SHARE, b = DIFFICULTY_SHARE;
  double corner = a / (2 * b);

  if (p <= corner)
    return sqrt (2 * a * b * p);
  if (p >= 1 - corner)
    return 1 - sqrt (2 * a * b * (1 - p));
  return p * b + a / 2;
}

ModelKind
quality_kind (const Config *config, unsigned version)
{
  const ConfigVersion *v = &config->versions[version];
  const char *model = config->models[v->model].name;

  if (strcmp (model, "draft-s") == 0)
    return strcmp (v->name, "v2") == 0 ? KIND_CANDIDATE : KIND_SMALL;
  if (strcmp (model, "draft-m") == 0)
    return KIND_MEDIUM;
  return strcmp (model, "ledger") == 0 ? KIND_LEDGER : KIND_LARGE;
}

/** True rating of an answer that is good with the given chance: at least target if it is good, else
 *  below FAIL_SCORE_MAX. */
static double
score_of (double chance, double target, uint64_t seed, ModelKind kind)
{
  double x = DIFFICULTY_SHARE * uniform (seed, 1)
             + (1 - DIFFICULTY_SHARE) * uniform (seed, 2 + (uint64_t)kind);
  double spread = uniform (seed, 2 + MODEL_KINDS + (uint64_t)kind);

  if (x < difficulty_quantile (chance))
    return target + (1 - target) * spread;
  return FAIL_SCORE_MAX * spread;
}

static double
score_in_class (const ModelSite *site,
                uint64_t seed,
                unsigned version,
                int class_index,
                double factor)
{
  ModelKind kind = quality_kind (site->config, version);
  double chance = pass_chances[kind][class_index] * site->quality[kind] * factor;

  return score_of (chance, site->config->classes[class_index].quality_target, seed, kind);
}

double
quality_score (const ModelSite *site, const ModelRequest *request, unsigned version)
{
  int class_index = request->class_index < 0 ? DIRECT_CLASS : request->class_index;
  ModelKind kind = quality_kind (site->config, version);
  double factor
      = kind == KIND_CANDIDATE && request->team == site->bad_team ? site->bad_team_quality : 1;

  return score_in_class (site, request->quality_seed, version, class_index, factor);
}

/** Evaluates the mean true rating and cost of a set of stages, tried in the order of the array. */
static void
evaluate_plan (const ModelSite *site,
               int class_index,
               const unsigned *versions,
               size_t count,
               double *quality,
               double *cost)
{
  double target = site->config->classes[class_index].quality_target;
  unsigned n;
  size_t i;

  *quality = 0;
  *cost = 0;
  for (n = 0; n < ORACLE_SAMPLES; n++)
    {
      uint64_t seed = id_hash (&n, sizeof n, ORACLE_SEED);
      double score = 0;

      for (i = 0; i < count; i++)
        {
          bool last = i + 1 == count;

          score = score_in_class (site, seed, versions[i], class_index, 1);
          *cost += site->config->versions[versions[i]].cost_per_1k + (last ? 0 : RATING_COST);
          if (score >= target)
            break;
        }
      *quality += score;
    }
  *quality /= ORACLE_SAMPLES;
  *cost /= ORACLE_SAMPLES;
}

/** A set of stages with its true mean rating and cost. */
typedef struct
{
  ChoosePlan plan;
  double quality, cost;
} EvaluatedPlan;

/** Lists all sets of stages that miss the target by no more than the learned policy accepts in a
 *  mixture; returns their number. */
static unsigned
evaluate_plans (const ModelSite *site, const ChoosePlan *candidates, EvaluatedPlan *evaluated)
{
  double quality_min = candidates->quality_target - cascade_settings_default.mix_shortfall_max;
  unsigned stages_max = candidates->idempotent && site->rating_available ? ORACLE_STAGES_MAX : 1;
  unsigned mask, n = 0;

  for (mask = 1; mask < 1U << candidates->count; mask++)
    {
      EvaluatedPlan *entry = &evaluated[n];
      size_t i;

      entry->plan = *candidates;
      entry->plan.count = 0;
      for (i = 0; i < candidates->count; i++)
        {
          if ((mask >> i & 1) != 0)
            entry->plan.versions[entry->plan.count++] = candidates->versions[i];
        }
      entry->plan.rated = entry->plan.count > 1;
      if (entry->plan.count > stages_max)
        continue;
      evaluate_plan (site, candidates->class_index, entry->plan.versions, entry->plan.count,
                     &entry->quality, &entry->cost);
      n += entry->quality >= quality_min;
    }
  return n;
}

/** The cheapest plan, or mixture of two, whose mean rating meets the target. The candidates must be
 *  in order of rising cost, as in the simulated configuration. */
static OraclePlan
search_plans (const ModelSite *site, const ChoosePlan *candidates)
{
  EvaluatedPlan evaluated[1 << CHOOSE_STAGES_MAX];
  unsigned count = evaluate_plans (site, candidates, evaluated);
  double target = candidates->quality_target;
  OraclePlan best = { .above = *candidates };
  double cost_min = INFINITY;
  unsigned i, j;

  for (i = 0; i < count; i++)
    {
      if (evaluated[i].quality < target)
        continue;
      for (j = 0; j < count; j++)
        {
          bool mixed = evaluated[j].quality < target;
          double surplus = evaluated[i].quality - target;
          double share = mixed ? surplus / (evaluated[i].quality - evaluated[j].quality) : 0;
          double cost = share * evaluated[j].cost + (1 - share) * evaluated[i].cost;

          if (cost >= cost_min)
            continue;
          cost_min = cost;
          best = (OraclePlan){ evaluated[i].plan, evaluated[j].plan, share };
        }
    }
  return best;
}

Reason
quality_oracle_plan (ModelSite *site, const ChooseRequest *request, ChoosePlan *plan)
{
  Reason reason = choose_candidates (request, plan);
  int class_index = plan->class_index;
  OraclePlan *oracle;

  if (reason != REASON_NONE || class_index < 0)
    return reason;
  oracle = &site->oracle_plans[class_index][site->rating_available];
  if (!site->oracle_known[class_index][site->rating_available])
    *oracle = search_plans (site, plan);
  site->oracle_known[class_index][site->rating_available] = true;
  *plan = gsl_rng_uniform (site->policy_rng) < oracle->share ? oracle->below : oracle->above;
  return REASON_NONE;
}

int
quality_oracle_server (const ModelSite *site, const ServerQuery *query)
{
  double load_min = INFINITY;
  int best = -1;
  unsigned i;

  for (i = 0; i < site->engine_count; i++)
    {
      const ModelEngine *engine = &site->engines[i];
      double load;

      if (!engine->up || !server_usable (query, i))
        continue;
      load = engine->slowness * (engine_load (engine) + 1) / engine->slots;
      if (query->prefix_hash != 0 && engine_has_prefix (engine, query->prefix_hash)
          && engine_load (engine) < engine->slots)
        load -= ORACLE_CACHE_CREDIT;
      if (load >= load_min)
        continue;
      load_min = load;
      best = (int)i;
    }
  return best;
}
