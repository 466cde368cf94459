/**
 * The search among all sets of stages.
 */
#include "choose_search.h"

#include <math.h>

#define RANDOM_PARTS 65536
#define MANY_STAGES  5

/** The quality that a plan has but for bad luck. */
static double
plan_low (const Search *search, const ForecastPlan *plan)
{
  return plan->quality - search->query->settings->confidence * plan->error;
}

static void
search_consider (Search *search, const ForecastPlan *plan)
{
  const CascadeSettings *settings = search->query->settings;
  double low = plan_low (search, plan);
  bool late = search->time_ms != 0 && plan->ms_high > (double)search->time_ms;

  if (plan->quality + settings->unreachable * plan->error >= search->target)
    search->reachable = true;
  if (search->closest.mask == 0 || low > plan_low (search, &search->closest))
    search->closest = *plan;
  if (low < search->target)
    {
      if (!late && low >= search->target - settings->mix_shortfall_max)
        search->below[search->below_count++] = *plan;
      return;
    }
  if (search->fastest.mask == 0 || plan->ms_high < search->fastest.ms_high)
    search->fastest = *plan;
  if (late)
    return;
  search->above[search->above_count++] = *plan;
  if (search->cheapest.mask == 0 || plan->cost < search->cheapest.cost)
    search->cheapest = *plan;
}

/** All plans of up to stages_max stages that begin with the path and go on from start. */
static void
search_from (Search *search, const ForecastPath *path, unsigned start, unsigned stages_max)
{
  unsigned useful = search->forecast->useful;
  unsigned i;

  for (i = start; useful >> i != 0; i++)
    {
      ForecastPlan plan;
      ForecastPath longer;

      if ((useful >> i & 1) == 0)
        continue;
      plan = forecast_finish (search->forecast, path, i);
      search_consider (search, &plan);
      if (path->count + 1 >= stages_max || useful >> (i + 1) == 0)
        continue;
      longer = *path;
      forecast_extend (search->forecast, &longer, i);
      search_from (search, &longer, i + 1, stages_max);
    }
}

/** Among many stages, most of which are then little known, chains of two are enough. */
static unsigned
stages_most (const Search *search)
{
  unsigned most = search->query->settings->stages_max;

  if (search->single)
    return 1;
  if (__builtin_popcount (search->forecast->useful) > MANY_STAGES && most > 2)
    return 2;
  return most;
}

void
search_run (Search *search)
{
  ForecastPath path = { .reach = 1 };

  search_from (search, &path, 0, stages_most (search));
}

bool
search_may_explore (const CascadeQuery *query)
{
  return (double)(query->random % RANDOM_PARTS)
         < query->settings->explore_share * (double)RANDOM_PARTS;
}

/* A version with little evidence that would make the plan cheaper if it were as good as it may be.
 *  It is put before the plan: its answer is rated, so that only cost and time are risked. Returns
 *  the plan's mask with it, or 0. */
unsigned
search_explore (const CascadeQuery *query, const Forecast *forecast, const ForecastPlan *found)
{
  double least = found->cost;
  unsigned mask_found = 0;
  unsigned i;

  for (i = 0; i < forecast->count; i++)
    {
      Forecast hoped = *forecast;
      ForecastRating *first = &hoped.stages[i].first;
      unsigned mask = found->mask | 1U << i;
      ForecastPlan with;

      if (first->weight >= query->settings->evidence_weight_min)
        continue;
      if ((found->mask & ((1U << i) - 1)) != 0 || mask == found->mask)
        continue;
      first->pass = fmin (1, first->pass + query->settings->unreachable * sqrt (first->variance));
      with = forecast_plan (&hoped, mask);
      if (with.cost >= least)
        continue;
      least = with.cost;
      mask_found = mask;
    }
  return mask_found;
}

/** The share of a plan below the target that may be mixed with one above it, so that the mean of
 *  both still meets the target. */
static double
mix_share (const Search *search, const ForecastPlan *below, const ForecastPlan *above)
{
  double spare = plan_low (search, above) - search->target;
  double lack = search->target - plan_low (search, below);

  return spare / (spare + lack);
}

/** The target is a mean over requests: when one plan is a little below it and cheap and another
 * well above it and expensive, a mixture of both meets it at less cost than the second alone.
 * Returns the plan that this request's random bits give. */
static ForecastPlan
search_mix (const Search *search)
{
  ForecastPlan chosen_above = search->cheapest;
  ForecastPlan chosen_below = { .mask = 0 };
  double least = search->cheapest.cost;
  double share = 0;
  unsigned i, j;

  for (i = 0; i < search->below_count; i++)
    {
      const ForecastPlan *below = &search->below[i];

      if (below->cost >= least)
        continue;
      for (j = 0; j < search->above_count; j++)
        {
          const ForecastPlan *above = &search->above[j];
          double part = mix_share (search, below, above);
          double cost = part * below->cost + (1 - part) * above->cost;

          if (cost >= least)
            continue;
          least = cost;
          share = part;
          chosen_below = *below;
          chosen_above = *above;
        }
    }
  if ((double)(search->query->random >> 32 & (RANDOM_PARTS - 1)) < share * RANDOM_PARTS)
    return chosen_below;
  return chosen_above;
}

ForecastPlan
search_result (const Search *search, ChoosePlan *plan)
{
  if (search->cheapest.mask != 0)
    return search_mix (search);
  if (search->fastest.mask != 0)
    {
      plan->late = true;
      return search->fastest;
    }
  plan->below_target = true;
  return search->closest;
}
