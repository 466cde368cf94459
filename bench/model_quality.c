/**
 * The truth that the policies under test don't know: how good each answer is, and the oracle that
 * decides by it.
 */
#include "model_site.h"

#include "util_id.h"
#include <math.h>
#include <string.h>

#define DIFFICULTY_SHARE  0.7 /**< of what decides whether an answer is good; the rest is chance */
#define FAIL_SCORE_MAX    0.5
#define DIRECT_CLASS      2 /**< as which requests that name a model are rated */
#define ORACLE_DRAWS      4000
#define ORACLE_SEED       17
#define ORACLE_STAGES_MAX 3
#define ORACLE_CACHED     1.0 /**< load of a batch that a cached prompt beginning is worth */
#define RATING_COST       0.02
#define TWO_TO_53         9007199254740992.0

/** Share of answers that are good, by kind and by class in name order. */
static const double pass_chances[MODEL_KINDS][CLASSES_COUNT] = {
  /* issue, query, report, wording */
  [KIND_SMALL] = { 0.5, 0.85, 0.62, 0.30 },     [KIND_MEDIUM] = { 0.7, 0.94, 0.84, 0.60 },
  [KIND_LARGE] = { 0.9, 0.98, 0.95, 0.93 },     [KIND_LEDGER] = { 0.95, 0.9, 0.9, 0.9 },
  [KIND_CANDIDATE] = { 0.5, 0.85, 0.62, 0.30 },
};

/** Uniform in [0, 1), the same for the same request and salt. */
static double
uniform (uint64_t draw, uint64_t salt)
{
  return (double)(id_hash (&draw, sizeof draw, salt) >> 11) / TWO_TO_53;
}

/** The x below which a share p lies of DIFFICULTY_SHARE * U1 + (1 - DIFFICULTY_SHARE) * U2. */
static double
threshold (double p)
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

static double
score_of (double chance, double target, uint64_t draw, ModelKind kind)
{
  double x = DIFFICULTY_SHARE * uniform (draw, 1)
             + (1 - DIFFICULTY_SHARE) * uniform (draw, 2 + (uint64_t)kind);
  double spread = uniform (draw, 2 + MODEL_KINDS + (uint64_t)kind);

  if (x < threshold (chance))
    return target + (1 - target) * spread;
  return FAIL_SCORE_MAX * spread;
}

static double
score_in_class (const ModelSite *site,
                uint64_t draw,
                unsigned version,
                int class_index,
                double factor)
{
  ModelKind kind = quality_kind (site->config, version);
  double chance = pass_chances[kind][class_index] * site->quality[kind] * factor;

  return score_of (chance, site->config->classes[class_index].quality_target, draw, kind);
}

double
quality_score (const ModelSite *site, const ModelRequest *request, unsigned version)
{
  int class_index = request->class_index < 0 ? DIRECT_CLASS : request->class_index;
  ModelKind kind = quality_kind (site->config, version);
  double factor
      = kind == KIND_CANDIDATE && request->team == site->bad_team ? site->bad_team_quality : 1;

  return score_in_class (site, request->draw, version, class_index, factor);
}

/** Mean rating and cost of a set of stages, tried in the order of the array. */
static void
truth_of_plan (const ModelSite *site,
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
  for (n = 0; n < ORACLE_DRAWS; n++)
    {
      uint64_t draw = id_hash (&n, sizeof n, ORACLE_SEED);
      double score = 0;

      for (i = 0; i < count; i++)
        {
          bool last = i + 1 == count;

          score = score_in_class (site, draw, versions[i], class_index, 1);
          *cost += site->config->versions[versions[i]].cost_per_1k + (last ? 0 : RATING_COST);
          if (score >= target)
            break;
        }
      *quality += score;
    }
  *quality /= ORACLE_DRAWS;
  *cost /= ORACLE_DRAWS;
}

/** One set of stages with its truth. */
typedef struct
{
  ChoosePlan plan;
  double quality, cost;
} Truth;

/** All sets of stages that miss the target by at most what the learned policy may mix in. */
static unsigned
list_truths (const ModelSite *site, const ChoosePlan *candidates, Truth *truths)
{
  double least = candidates->quality_target - cascade_settings_default.mix_shortfall_max;
  unsigned most = candidates->idempotent && site->rating_up ? ORACLE_STAGES_MAX : 1;
  unsigned mask, n = 0;

  for (mask = 1; mask < 1U << candidates->count; mask++)
    {
      Truth *truth = &truths[n];
      size_t i;

      truth->plan = *candidates;
      truth->plan.count = 0;
      for (i = 0; i < candidates->count; i++)
        {
          if ((mask >> i & 1) != 0)
            truth->plan.versions[truth->plan.count++] = candidates->versions[i];
        }
      truth->plan.rated = truth->plan.count > 1;
      if (truth->plan.count > most)
        continue;
      truth_of_plan (site, candidates->class_index, truth->plan.versions, truth->plan.count,
                     &truth->quality, &truth->cost);
      n += truth->quality >= least;
    }
  return n;
}

/** The cheapest plan or mixture of two whose mean rating meets the target; the candidates are by
 *  rising cost, as the model's configuration lists them. */
static OraclePlan
search_plans (const ModelSite *site, const ChoosePlan *candidates)
{
  Truth truths[1 << CHOOSE_STAGES_MAX];
  unsigned count = list_truths (site, candidates, truths);
  double target = candidates->quality_target;
  OraclePlan best = { .above = *candidates };
  double least = INFINITY;
  unsigned i, j;

  for (i = 0; i < count; i++)
    {
      if (truths[i].quality < target)
        continue;
      for (j = 0; j < count; j++)
        {
          bool mixed = truths[j].quality < target;
          double spare = truths[i].quality - target;
          double share = mixed ? spare / (truths[i].quality - truths[j].quality) : 0;
          double cost = share * truths[j].cost + (1 - share) * truths[i].cost;

          if (cost >= least)
            continue;
          least = cost;
          best = (OraclePlan){ truths[i].plan, truths[j].plan, share };
        }
    }
  return best;
}

Reason
quality_oracle_plan (ModelSite *site, const ChooseRequest *ask, ChoosePlan *plan)
{
  Reason reason = choose_candidates (ask, plan);
  int class_index = plan->class_index;
  OraclePlan *oracle;

  if (reason != REASON_NONE || class_index < 0)
    return reason;
  oracle = &site->oracle_plans[class_index][site->rating_up];
  if (!site->oracle_known[class_index][site->rating_up])
    *oracle = search_plans (site, plan);
  site->oracle_known[class_index][site->rating_up] = true;
  *plan = gsl_rng_uniform (site->choices) < oracle->share ? oracle->below : oracle->above;
  return REASON_NONE;
}

int
quality_oracle_server (const ModelSite *site, const ServerQuery *query)
{
  double least = INFINITY;
  int best = -1;
  unsigned i;

  for (i = 0; i < site->engine_count; i++)
    {
      const ModelEngine *engine = &site->engines[i];
      double load;

      if (!engine->up || !server_usable (query, i))
        continue;
      load = engine->slowness * (engine_load (engine) + 1) / engine->slots;
      if (query->prefix_hash != 0 && engine_holds (engine, query->prefix_hash)
          && engine_load (engine) < engine->slots)
        load -= ORACLE_CACHED;
      if (load >= least)
        continue;
      least = load;
      best = (int)i;
    }
  return best;
}
