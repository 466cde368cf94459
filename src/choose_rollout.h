/**
 * Decides when a roll-out advances to its next stage and when its version is braked: a sequential
 * test of the new version against the one that it replaces, on evidence merged over all VMs. No I/O
 * and no locks: the clock is an argument, and the owner of a test serialises its calls.
 */
#ifndef CHOOSE_ROLLOUT_H
#define CHOOSE_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ROLLOUT_TEAMS_MAX 256 /**< teams tested separately */
#define ROLLOUT_KINDS_MAX 32  /**< number of request kinds; see RolloutEvidence.request_kind */
#define ROLLOUT_WHY_MAX   128 /**< bytes with the final NUL */
/** Sums over the answers of one version to one team since the last evidence; the sums of several
 *  VMs can be added. */
typedef struct
{
  unsigned team;
  unsigned request_kind; /**< 0: the request names a model; else 1 + index of its class. Only
                            requests of one kind are compared, since classes differ in how strictly
                            and how often they are rated. */
  unsigned answers;
  unsigned errors; /**< answers in which the backend server failed */
  unsigned slow;   /**< answers counted as slow, by the same limit for both versions */
  unsigned rated;
  double rating_sum;
  double rating_square_sum;
} RolloutEvidence;

typedef struct
{
  double alarm_threshold; /**< log likelihood ratio of a worse version at which the new version is
                             braked */
  double pass_threshold;  /**< log likelihood ratio of an equally good version at which a stage
                             passes */
  double stage_tolerances[4]; /**< by how much a version may be worse without failing the stage, by
                                 stage; the last one holds for all further stages */
  int64_t stage_min_ms;       /**< shortest duration of a stage */
  double control_weight_max;  /**< most answers that the old version's sums count for */
} RolloutSettings;

extern const RolloutSettings rollout_settings_default;

typedef enum
{
  ROLLOUT_WAIT,
  ROLLOUT_NEXT_STAGE,
  ROLLOUT_BRAKE
} RolloutVerdict;

typedef struct
{
  RolloutVerdict verdict;
  char why[ROLLOUT_WHY_MAX]; /**< for the audit trail: the finding, with its figures */
} RolloutDecision;

typedef struct RolloutTest RolloutTest;

RolloutTest *rollout_test_new (const RolloutSettings *settings, size_t teams, int64_t now_ms);
void rollout_test_free (RolloutTest *test);
/** Adds evidence of the old version from the same period. */
void rollout_test_add_control (RolloutTest *test, const RolloutEvidence *evidence);
/** Adds evidence of the new version. */
void rollout_test_add (RolloutTest *test, const RolloutEvidence *evidence);
/** Begins a stage: evidence that the version is good is collected anew. */
void rollout_test_begin_stage (RolloutTest *test, size_t stage, int64_t now_ms);

typedef struct
{
  const char *name; /**< "sequential"; the baselines "timer", "threshold" */
  RolloutDecision (*decide) (const RolloutTest *test, int64_t now_ms);
} RolloutPolicy;

extern const RolloutPolicy rollout_policy_default;
/** NULL if there is none of that name. */
const RolloutPolicy *rollout_policy_find (const char *name);

#endif
