/**
 * Retries within a budget. The budget is one number, so one lock that is held for a few
 * instructions; shards would each run dry at other times.
 */
#include "choose_retry.h"

#include "util_memory.h"
#include <math.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define FIRSTS_LEAST 10 /**< a few requests given up at first are no collapse */

struct RetryBudget
{
  RetrySettings settings;
  pthread_mutex_t lock;
  double saved;    /**< retries that may be made now */
  double firsts;   /**< first attempts lately */
  double given_up; /**< of them, that were given up */
  int64_t faded_ms;
};

static RetryAnswer decide_budget (RetryBudget *budget, const RetryQuery *query);
static RetryAnswer decide_always (RetryBudget *budget, const RetryQuery *query);
static RetryAnswer decide_never (RetryBudget *budget, const RetryQuery *query);

const RetrySettings retry_settings_default = {
  .fraction = 0.1,
  .burst = 10,
  .attempts_max = 3,
  .retry_after_min_ms = 2000,
  .retry_after_max_ms = 60000,
  .half_life_ms = 10000,
};

const RetryPolicy retry_policy_default = { .name = "budget", .decide = decide_budget };

static const RetryPolicy policies[] = {
  { .name = "budget", .decide = decide_budget },
  { .name = "always", .decide = decide_always },
  { .name = "never", .decide = decide_never },
};

static const char *const verdict_names[RETRY_VERDICT_COUNT] = {
  [RETRY_NOW] = "now",
  [RETRY_NOT_IDEMPOTENT] = "not_idempotent",
  [RETRY_ATTEMPTS] = "attempts",
  [RETRY_DEADLINE] = "deadline",
  [RETRY_NO_SERVER] = "no_server",
  [RETRY_NO_BUDGET] = "no_budget",
};

const char *
retry_verdict_name (RetryVerdict verdict)
{
  if ((unsigned)verdict >= RETRY_VERDICT_COUNT)
    return "unknown";
  return verdict_names[verdict];
}

const RetryPolicy *
retry_policy_find (const char *name)
{
  size_t i;

  for (i = 0; i < sizeof policies / sizeof policies[0]; i++)
    {
      if (strcmp (policies[i].name, name) == 0)
        return &policies[i];
    }
  return NULL;
}

RetryBudget *
retry_budget_new (const RetrySettings *settings)
{
  RetryBudget *budget = memory_alloc (sizeof *budget);

  budget->settings = *settings;
  budget->saved = settings->burst;
  pthread_mutex_init (&budget->lock, NULL);
  return budget;
}

void
retry_budget_free (RetryBudget *budget)
{
  pthread_mutex_destroy (&budget->lock);
  free (budget);
}

static void
fade (RetryBudget *budget, int64_t now_ms)
{
  double kept = exp2 (-(double)(now_ms - budget->faded_ms) / (double)budget->settings.half_life_ms);

  budget->firsts *= kept;
  budget->given_up *= kept;
  budget->faded_ms = now_ms;
}

void
retry_budget_add_first (RetryBudget *budget, int64_t now_ms)
{
  pthread_mutex_lock (&budget->lock);
  fade (budget, now_ms);
  budget->firsts += 1;
  budget->saved += budget->settings.fraction;
  if (budget->saved > budget->settings.burst)
    budget->saved = budget->settings.burst;
  pthread_mutex_unlock (&budget->lock);
}

/** When a client that is given up is to come back. Clients that all come back after the same short
 *  time are retries that no budget of ours bounds, and hold a pool in collapse like our own; so the
 *  time grows with the share of requests that were given up lately. */
static int64_t
come_back_ms (RetryBudget *budget, int64_t now_ms)
{
  const RetrySettings *settings = &budget->settings;
  double share;

  pthread_mutex_lock (&budget->lock);
  fade (budget, now_ms);
  budget->given_up += 1;
  share = budget->given_up / fmax (budget->firsts, budget->given_up + FIRSTS_LEAST);
  pthread_mutex_unlock (&budget->lock);
  return settings->retry_after_min_ms
         + (int64_t)(share * (double)(settings->retry_after_max_ms - settings->retry_after_min_ms));
}

static bool
budget_take (RetryBudget *budget)
{
  bool taken;

  pthread_mutex_lock (&budget->lock);
  taken = budget->saved >= 1;
  if (taken)
    budget->saved -= 1;
  pthread_mutex_unlock (&budget->lock);
  return taken;
}

/** What forbids a retry whatever the budget says; RETRY_NOW if nothing does. */
static RetryVerdict
retry_barred (const RetryBudget *budget, const RetryQuery *query)
{
  if (!query->idempotent)
    return RETRY_NOT_IDEMPOTENT;
  if (query->attempts >= budget->settings.attempts_max)
    return RETRY_ATTEMPTS;
  if (query->deadline_ms != 0 && query->now_ms + query->expected_ms >= query->deadline_ms)
    return RETRY_DEADLINE;
  if (!query->server_left)
    return RETRY_NO_SERVER;
  return RETRY_NOW;
}

/** The client is told at once when to come back; a request that may have run is not to be sent
 *  again, and one whose deadline is past has no use of it. */
static RetryAnswer
answer (RetryBudget *budget, const RetryQuery *query, RetryVerdict verdict)
{
  bool useful
      = verdict == RETRY_ATTEMPTS || verdict == RETRY_NO_SERVER || verdict == RETRY_NO_BUDGET;

  return (RetryAnswer){
    .verdict = verdict,
    .retry_after_ms = useful ? come_back_ms (budget, query->now_ms) : 0,
  };
}

static RetryAnswer
decide_budget (RetryBudget *budget, const RetryQuery *query)
{
  RetryVerdict verdict = retry_barred (budget, query);

  if (verdict == RETRY_NOW && !budget_take (budget))
    verdict = RETRY_NO_BUDGET;
  return answer (budget, query, verdict);
}

/** A baseline: retries whatever may be retried. */
static RetryAnswer
decide_always (RetryBudget *budget, const RetryQuery *query)
{
  return answer (budget, query, retry_barred (budget, query));
}

/** A baseline: never retries. */
static RetryAnswer
decide_never (RetryBudget *budget, const RetryQuery *query)
{
  RetryVerdict verdict = retry_barred (budget, query);

  return answer (budget, query, verdict == RETRY_NOW ? RETRY_ATTEMPTS : verdict);
}
