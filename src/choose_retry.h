/**
 * Whether a failed attempt is tried again at another backend server. A budget, a fraction of the
 * live traffic, keeps retries from holding a pool in collapse after the overload that began it.
 */
#ifndef CHOOSE_RETRY_H
#define CHOOSE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  RETRY_NOW,            /**< at a server that was not tried before */
  RETRY_NOT_IDEMPOTENT, /**< it may have run: never again by us */
  RETRY_ATTEMPTS,       /**< tried often enough */
  RETRY_DEADLINE,       /**< could not end before the deadline */
  RETRY_NO_SERVER,      /**< all that carry the version were tried */
  RETRY_NO_BUDGET,      /**< too many others are being retried */
  RETRY_VERDICT_COUNT
} RetryVerdict;

const char *retry_verdict_name (RetryVerdict verdict);

typedef struct
{
  double fraction;            /**< retries for each first attempt */
  double burst;               /**< most retries saved up */
  unsigned attempts_max;      /**< of one stage, the first included */
  int64_t retry_after_min_ms; /**< told to a client that is given up, when few are */
  int64_t retry_after_max_ms; /**< told when nearly all are */
  int64_t half_life_ms;       /**< of what counts as lately */
} RetrySettings;

extern const RetrySettings retry_settings_default;

typedef struct RetryBudget RetryBudget;

RetryBudget *retry_budget_new (const RetrySettings *settings);
void retry_budget_free (RetryBudget *budget);
/** A first attempt was sent; adds its fraction to the budget. */
void retry_budget_add_first (RetryBudget *budget, int64_t now_ms);

typedef struct
{
  bool idempotent;
  unsigned attempts;   /**< of this stage, already made */
  bool server_left;    /**< one that is usable and was not tried */
  int64_t expected_ms; /**< of one attempt; 0: not known */
  int64_t now_ms;
  int64_t deadline_ms; /**< 0: none */
} RetryQuery;

typedef struct
{
  RetryVerdict verdict;
  int64_t retry_after_ms; /**< for the client, when we give up; 0: coming back would not help */
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
