/**
 * Searches all sets of stages for the cheapest plan; private to choose_cascade.c.
 */
#ifndef CHOOSE_SEARCH_H
#define CHOOSE_SEARCH_H

#include "choose_forecast.h"

#define SEARCH_PLANS_MAX (1 << CHOOSE_STAGES_MAX)

/** Input and results of a search. */
typedef struct
{
  const CascadeQuery *query;
  const Forecast *forecast;
  double target;
  int64_t time_ms;       /**< time left until the deadline; 0: no deadline */
  bool single;           /**< only plans of one stage */
  ForecastPlan cheapest; /**< cheapest plan that meets the target with the required confidence, and
                            the deadline; mask 0: none */
  ForecastPlan fastest;  /**< fastest plan that meets the target, in time or not; mask 0: none */
  ForecastPlan closest;  /**< plan with the highest lower bound of its quality */
  bool reachable;        /**< some plan possibly meets the target */
  ForecastPlan *below;   /**< plans that meet the deadline and miss the target by little;
                            SEARCH_PLANS_MAX, borrowed */
  ForecastPlan *above; /**< plans that meet both deadline and target; SEARCH_PLANS_MAX, borrowed */
  unsigned below_count, above_count;
} Search;

/** Runs a search whose query, forecast, target, time_ms, single, below and above are set. */
void search_run (Search *search);
/** The plan for this request; sets plan->late or plan->below_target if no plan meets the deadline
 *  or the target. */
ForecastPlan search_result (const Search *search, ChoosePlan *plan);
/** Looks for a version with little evidence that, tried before the plan found, would make it
 *  cheaper if the version's pass rate were at its upper confidence bound. Its answer is rated, so
 *  only cost and time are risked. Returns the new plan's mask, or 0. */
unsigned
search_explore (const CascadeQuery *query, const Forecast *forecast, const ForecastPlan *found);
/** True for at most a share explore_share of the requests, selected by their random bits. */
bool search_may_explore (const CascadeQuery *query);

#endif
