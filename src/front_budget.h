/**
 * Retry budget: limits how often requests for a backend service are sent again. Over all fronts and
 * in any window, additional sends stay within a share of the service's requests plus a fixed
 * allowance. Each front applies the share to its own requests and takes its share of the allowance,
 * so fronts need to know nothing of each other but their number. No I/O.
 */
#ifndef FRONT_BUDGET_H
#define FRONT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct FrontBudget FrontBudget;

typedef struct
{
  double share;      /**< additional sends allowed per request */
  double extra;      /**< additional sends allowed on top, over all fronts */
  int64_t window_ms; /**< the limit holds for any time span of this length */
} BudgetSettings;

/** Reason for an additional send. A request without an answer takes precedence over one whose
 *  answer would only improve. */
typedef enum
{
  BUDGET_RETRY,   /**< an attempt failed; without another one the caller gets no answer */
  BUDGET_CASCADE, /**< a smaller model has answered; a larger model's answer would be better */
  BUDGET_HEDGE,   /**< an answer is late; a copy of the request may be answered sooner */
} BudgetUse;

FrontBudget *front_budget_new (const BudgetSettings *settings);
void front_budget_free (FrontBudget *budget);
/** Number of live fronts, this one included; 1 initially. */
void front_budget_set_fronts (FrontBudget *budget, unsigned fronts);
/** Counts a request for the service. */
void front_budget_count_request (FrontBudget *budget, const char *service, int64_t now_ms);
/** Takes one additional send; false if none is left for this use. */
bool front_budget_take (FrontBudget *budget, const char *service, BudgetUse use, int64_t now_ms);
/** Counts a refusal. Returns the milliseconds after which the caller may retry: longer the more of
 *  the service's recent requests were refused, so that their callers' retries don't
 *  overload it again. */
int64_t front_budget_count_refusal (FrontBudget *budget, const char *service, int64_t now_ms);

#endif
