#include "front_bootstrap.h"

/* Milliseconds, since the start of the process. */
/* The store answers within 10; if it is silent, the other fronts are all that can be asked. */
#define LIST_MS 300
/* All that lost power at one moment are back within 300 of each other, so that a registered front
 * that refuses connections may be one that is about to start. */
#define RETURN_MS 300
/* At the first start of a site nobody is registered, and the fronts of a failure domain learn of
 * each other by messages in turn: three rounds of 500. Nobody is kept waiting by that, as there is
 * nothing to serve before a first configuration. */
#define HEAR_MS 1500
/* A front that has asked so many others in vain, and still later, asks the store. */
#define FAILURES_MOST 6

BootstrapStep
front_bootstrap_step (const BootstrapView *view)
{
  bool list_is_due = view->list_known || view->list_lost || view->age_ms >= LIST_MS;
  int64_t patience_ms = view->has_registered || view->list_lost ? RETURN_MS : HEAR_MS;

  if (view->failures >= FAILURES_MOST && view->age_ms >= RETURN_MS)
    return BOOTSTRAP_ASK_STORE;
  if (view->has_informed)
    return BOOTSTRAP_ASK_INFORMED;
  if (!list_is_due)
    return BOOTSTRAP_WAIT;
  if (view->is_registered)
    return BOOTSTRAP_ASK_STORE;
  return view->age_ms < patience_ms ? BOOTSTRAP_WAIT : BOOTSTRAP_ASK_RANKED;
}
