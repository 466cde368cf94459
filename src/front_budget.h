/**
 * Retries allowed at each backend service: a share of the requests for it. All fronts draw on one
 * bound; a share of one's own requests adds up to it without any news between them.
 */
#ifndef FRONT_BUDGET_H
#define FRONT_BUDGET_H

#include "choose_retry.h"

typedef struct FrontBudget FrontBudget;

/** share: retries for each request; burst: retries that may be saved up. */
FrontBudget *front_budget_new (double share, double burst);
void front_budget_free (FrontBudget *budget);
/** The service's budget, made if there is none yet. */
RetryBudget *front_budget_of (FrontBudget *budget, const char *service);

#endif
