/**
 * How often requests for a backend service may be sent again. The bound holds over all fronts: a
 * share of the requests for the service in any window, and a few more. Each front keeps to the
 * share of its own requests, and to its part of the few more, so the sum holds without any news
 * between them but their number. No I/O.
 */
#ifndef FRONT_BUDGET_H
#define FRONT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct FrontBudget FrontBudget;

typedef struct
{
  double share;      /**< sends beyond the first, for each request */
  double extra;      /**< those allowed besides, over all fronts */
  int64_t window_ms; /**< any span of this length counts */
} BudgetSettings;

/** Why a request is sent once more. What a caller waits for goes before what is only better. */
typedef enum
{
  BUDGET_RETRY,   /**< an attempt failed; without another the caller gets nothing */
  BUDGET_CASCADE, /**< a smaller model's answer is there; a larger one's would be better */
} BudgetUse;

FrontBudget *front_budget_new (const BudgetSettings *settings);
void front_budget_free (FrontBudget *budget);
/** How many fronts are known to live, this one included; 1 at first. */
void front_budget_set_fronts (FrontBudget *budget, unsigned fronts);
/** A request for the service has come. */
void front_budget_count_request (FrontBudget *budget, const char *service, int64_t now_ms);
/** Takes one more send; false if there is none left for this use. */
bool front_budget_take (FrontBudget *budget, const char *service, BudgetUse use, int64_t now_ms);
/** Milliseconds after which a caller that is refused may come back: the longer, the more of the
 *  service's requests were refused lately, so that those who come back are not the next overload.
 */
int64_t front_budget_count_refusal (FrontBudget *budget, const char *service, int64_t now_ms);

#endif
