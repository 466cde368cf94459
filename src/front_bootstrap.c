#include "front_bootstrap.h"

/* Times are milliseconds since the start of the process. */
/* Wait for the list of fronts. The store answers within 10 ms; if it doesn't, only the other fronts
 * can be asked. */
#define LIST_WAIT_MS 300
/* Fronts that lost power at one moment return within 300 ms of each other, so that a registered
 * front that refuses connections may be about to start. */
#define RETURN_MS 300
/* At the first start of a site no front is registered, and the fronts of a failure domain learn of
 * each other by messages: three rounds of 500 ms. This delays no caller, as nothing can be served
 * before the first configuration. */
#define FIRST_START_MS 1500
/* Failed requests to other fronts after which a front asks the store, though not before RETURN_MS.
 */
#define FAILURES_MAX 6

BootstrapStep
front_bootstrap_step (const BootstrapView *view)
{
  bool list_is_due = view->list_known || view->list_lost || view->age_ms >= LIST_WAIT_MS;
  int64_t wait_ms = view->has_registered || view->list_lost ? RETURN_MS : FIRST_START_MS;

  if (view->failures >= FAILURES_MAX && view->age_ms >= RETURN_MS)
    return BOOTSTRAP_ASK_STORE;
  if (view->has_informed)
    return BOOTSTRAP_ASK_INFORMED;
  if (!list_is_due)
    return BOOTSTRAP_WAIT;
  if (view->is_registered)
    return BOOTSTRAP_ASK_STORE;
  return view->age_ms < wait_ms ? BOOTSTRAP_WAIT : BOOTSTRAP_ASK_RANKED;
}
