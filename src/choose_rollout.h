/**
 * When a roll-out goes to its next stage and when it is braked: a sequential test of the new
 * version against the one that it replaces, on evidence merged over nodes. Pure state: the clock is
 * an argument; one test belongs to one owner (or to a lock of the owner's).
 */
#ifndef CHOOSE_ROLLOUT_H
#define CHOOSE_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ROLLOUT_TEAMS_MAX 256
#define ROLLOUT_KINDS_MAX 32 /**< kinds of request; see RolloutEvidence.request_kind */
#define ROLLOUT_WHY_MAX   128

/** Sums over answers of one version to one team since the last evidence; sums of nodes add up. */
typedef struct
{
  unsigned team;
  unsigned request_kind; /**< 0: names a model; else 1 + index of the class. Only like is compared
                              with like, since classes are not rated alike nor as often. */
  unsigned answers;
  unsigned errors; /**< of them, that the backend server failed */
  unsigned slow;   /**< of them, that took longer than the old version's mean and two deviations */
  unsigned rated;
  double rating_sum;
  double rating_square_sum;
} RolloutEvidence;

typedef struct
{
  double alarm_threshold; /**< how strong the evidence of badness must be: its logarithm */
  double pass;            /**< as strong that the version is as good as the old one */
  double
      stage_tolerances[4]; /**< by which a version may be worse unseen, by stage; the last stands */
  int64_t stage_min_ms;    /**< no stage is shorter */
  double control_weight_max; /**< answers that the old version's figures count at most */
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
  char why[ROLLOUT_WHY_MAX]; /**< for the audit trail: what was found, with its figures */
} RolloutDecision;

typedef struct RolloutTest RolloutTest;

RolloutTest *rollout_test_new (const RolloutSettings *settings, size_t teams, int64_t now_ms);
void rollout_test_free (RolloutTest *test);
/** Evidence of the old version in the same time. */
void rollout_test_add_control (RolloutTest *test, const RolloutEvidence *evidence);
/** Evidence of the new version. */
void rollout_test_add (RolloutTest *test, const RolloutEvidence *evidence);
/** A stage begins: what shows that the version is good has to be gathered anew. */
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
