/**
 * Decides whether a failed attempt is retried at another backend server. A budget, a fraction of
 * the first attempts, prevents retries from keeping a pool overloaded after the cause of the
 * overload has ended.
 */
#ifndef CHOOSE_RETRY_H
#define CHOOSE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  RETRY_NOW,            /**< retry at a server that was not tried before */
  RETRY_NOT_IDEMPOTENT, /**< the attempt may have run and must not run twice */
  RETRY_ATTEMPTS,       /**< the limit of attempts is reached */
  RETRY_DEADLINE,       /**< a retry could not finish before the deadline */
  RETRY_NO_SERVER,      /**< all usable servers of the version were tried */
  RETRY_NO_BUDGET,      /**< the retry budget is used up */
  RETRY_VERDICT_COUNT
} RetryVerdict;

const char *retry_verdict_name (RetryVerdict verdict);

typedef struct
{
  double fraction;            /**< retries earned by each first attempt */
  double burst;               /**< most retries that the budget holds */
  unsigned attempts_max;      /**< attempts of one stage, the first included */
  int64_t retry_after_min_ms; /**< sent to a caller whose request fails, when few requests fail */
  int64_t retry_after_max_ms; /**< the same, when nearly all requests fail */
  int64_t half_life_ms;       /**< of the counts of first attempts and failed requests */
} RetrySettings;

extern const RetrySettings retry_settings_default;

typedef struct RetryBudget RetryBudget;

RetryBudget *retry_budget_new (const RetrySettings *settings);
void retry_budget_free (RetryBudget *budget);
/** Records that a first attempt was sent, which adds RetrySettings.fraction to the budget. */
void retry_budget_add_first (RetryBudget *budget, int64_t now_ms);

typedef struct
{
  bool idempotent;
  unsigned attempts;   /**< attempts already made in this stage */
  bool server_left;    /**< a usable server that was not tried is left */
  int64_t expected_ms; /**< expected duration of one attempt; 0: unknown */
  int64_t now_ms;
  int64_t deadline_ms; /**< 0: none */
} RetryQuery;

typedef struct
{
  RetryVerdict verdict;
  int64_t retry_after_ms; /**< for the caller, without a retry; 0: sending again would not help */
} RetryAnswer;

typedef struct
{
  const char *name; /**< "budget"; the baselines "always" and "never" */
  RetryAnswer (*decide) (RetryBudget *budget, const RetryQuery *query);
} RetryPolicy;

extern const RetryPolicy retry_policy_default;
/** NULL if there is none of that name. */
const RetryPolicy *retry_policy_find (const char *name);

#endif
