/**
 * Forecasts a cascade's expected cost, time and quality; private to choose_cascade.c and
 * choose_search.c.
 */
#ifndef CHOOSE_FORECAST_H
#define CHOOSE_FORECAST_H

#include "choose_cascade.h"

/** Expected rating of one version's answers. */
typedef struct
{
  double pass;       /**< probability that an answer passes */
  double pass_score; /**< mean rating of answers that pass */
  double mean;       /**< mean rating of all answers */
  double variance;   /**< variance of the estimate of pass */
  double spread;     /**< difference between the mean ratings of answers that pass and of those that
                        fail */
  double error;      /**< standard error of mean */
  double weight;     /**< number of ratings, without the prior */
} ForecastRating;

typedef struct
{
  unsigned version;
  double cost;
  double duration_ms;
  double duration_high_ms;                 /**< duration_ms plus one standard deviation */
  ForecastRating first;                    /**< rating as the first stage */
  ForecastRating after[CHOOSE_STAGES_MAX]; /**< rating after another stage's answer failed, by that
                                              stage's index in Forecast.stages */
} ForecastStage;

typedef struct
{
  ForecastStage stages[CHOOSE_STAGES_MAX]; /**< in ascending order of cost */
  size_t count;
  unsigned useful; /**< bit set of the stages that may improve a plan */
  double rating_cost;
  double rating_ms;
  double wait_cost_per_ms;
} Forecast;

/** A plan: the stages of a bit set (bit i for Forecast.stages[i]), tried in ascending order of
 *  cost. */
typedef struct
{
  unsigned mask;
  double cost;
  double quality;          /**< mean rating of the answers that callers get */
  double error;            /**< standard error of quality */
  double duration_high_ms; /**< time if every stage has to run */
} ForecastPlan;

/** The stages of a plan before its last one. */
typedef struct
{
  unsigned mask;
  unsigned count;
  unsigned previous;        /**< index of the latest stage in Forecast.stages */
  double reach_probability; /**< probability that no stage has passed */
  double cost, duration_high_ms;
  double passed; /**< probability that one has passed */
  double scores; /**< mean rating of the passed answers times that probability */
  const ForecastRating *ratings[CHOOSE_STAGES_MAX];
  double reach_probabilities[CHOOSE_STAGES_MAX]; /**< probability that each stage is reached */
} ForecastPath;

/** Stable hash of MODEL@VERSION. */
uint64_t forecast_version_key (const Config *config, unsigned version);

/** Builds the forecast of the candidates from their estimates. */
void forecast_read (const CascadeQuery *query, const ChoosePlan *candidates, Forecast *out);
/** Appends a stage whose answer is rated. */
void forecast_extend (const Forecast *forecast, ForecastPath *path, unsigned stage);
/** The plan of the path's stages and a last stage, whose answer is not rated. */
ForecastPlan forecast_finish (const Forecast *forecast, const ForecastPath *path, unsigned stage);
/** The plan of the stages in mask, of which there must be at least one. */
ForecastPlan forecast_plan (const Forecast *forecast, unsigned mask);

#endif
