/**
 * Estimates learned from answers: how often an answer of a version passes its rating, what it costs
 * and how long it takes, by class, version, preceding stage and team. Old observations decay, since
 * a version's behaviour can change at any time.
 */
#ifndef CHOOSE_ESTIMATE_H
#define CHOOSE_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct Estimates Estimates;

typedef struct
{
  int64_t half_life_ms; /**< after which an observation counts half */
  double weight_max; /**< most ratings or answers that one cell counts for, so that it can follow a
                        change */
} EstimateSettings;

extern const EstimateSettings estimate_settings_default;

/** Key of a cell: hashes of names, so that a cell stays valid when the configuration changes. */
typedef struct
{
  uint64_t class_key;
  uint64_t version_key;  /**< of MODEL@VERSION */
  uint64_t previous_key; /**< version of the stage before, whose answer failed its rating; 0: first
                            stage */
  uint64_t team_key;     /**< 0: all teams */
} EstimateKey;

typedef struct
{
  double weight;          /**< number of ratings, decayed; 0: none */
  double pass;            /**< share of the ratings that passed */
  double pass_score;      /**< mean rating of the answers that passed */
  double fail_score;      /**< mean rating of the answers that failed */
  double run_weight;      /**< number of answers with known tokens and time, decayed; 0: none */
  double tokens;          /**< mean tokens of an answer, prompt included */
  double duration_ms;     /**< mean time until the answer is complete */
  double duration_dev_ms; /**< standard deviation of that time */
} Estimate;

/** Thread-safe: cells are in shards by class, each with its own lock. */
Estimates *estimates_new (const EstimateSettings *settings);
void estimates_free (Estimates *estimates);

void estimates_add_rating (Estimates *estimates,
                           const EstimateKey *key,
                           double score,
                           bool passed,
                           int64_t now_ms);
void estimates_add_run (Estimates *estimates,
                        const EstimateKey *key,
                        double tokens,
                        double ms,
                        int64_t now_ms);
/** All zero if there is no such cell. decayed false: without decay since the last rating, for use
 *  while the rating service is unavailable. */
Estimate
estimates_read (Estimates *estimates, const EstimateKey *key, int64_t now_ms, bool decayed);

/** Several reads of one class under one lock: estimates_begin, any number of estimates_read_next
 *  with that class, estimates_end. */
void estimates_begin (Estimates *estimates, uint64_t class_key);
Estimate
estimates_read_next (Estimates *estimates, const EstimateKey *key, int64_t now_ms, bool decayed);
void estimates_end (Estimates *estimates, uint64_t class_key);

#endif
