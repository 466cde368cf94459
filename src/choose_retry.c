/**
 * Retry budget. It is a single number under one lock, which is held for a few instructions; shards
 * would each run out at different times.
 */
#include "choose_retry.h"

#include "util_memory.h"
#include <math.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

/** The share of failed requests is computed over at least so many more first attempts than
 *  failures, so that a few early failures don't count as overload. */
#define EXTRA_FIRST_ATTEMPTS_MIN 10

struct RetryBudget
{
  RetrySettings settings;
  pthread_mutex_t lock;
  double available;       /**< retries available now */
  double first_attempts;  /**< first attempts, decayed */
  double failed_requests; /**< requests that failed without a retry, decayed */
  int64_t decayed_ms;
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
  budget->available = settings->burst;
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
decay_counts (RetryBudget *budget, int64_t now_ms)
{
  double kept
      = exp2 (-(double)(now_ms - budget->decayed_ms) / (double)budget->settings.half_life_ms);

  budget->first_attempts *= kept;
  budget->failed_requests *= kept;
  budget->decayed_ms = now_ms;
}

void
retry_budget_add_first (RetryBudget *budget, int64_t now_ms)
{
  pthread_mutex_lock (&budget->lock);
  decay_counts (budget, now_ms);
  budget->first_attempts += 1;
  budget->available += budget->settings.fraction;
  if (budget->available > budget->settings.burst)
    budget->available = budget->settings.burst;
  pthread_mutex_unlock (&budget->lock);
}

/** Retry-after time for a caller whose request fails. Callers' retries are outside the budget, and
 *  if all came after the same short time they would keep a pool overloaded, just as the gates' own
 *  retries would; so the time grows with the share of recent requests that failed. */
static int64_t
caller_retry_after_ms (RetryBudget *budget, int64_t now_ms)
{
  const RetrySettings *settings = &budget->settings;
  double share;

  pthread_mutex_lock (&budget->lock);
  decay_counts (budget, now_ms);
  budget->failed_requests += 1;
  share = budget->failed_requests
          / fmax (budget->first_attempts, budget->failed_requests + EXTRA_FIRST_ATTEMPTS_MIN);
  pthread_mutex_unlock (&budget->lock);
  return settings->retry_after_min_ms
         + (int64_t)(share * (double)(settings->retry_after_max_ms - settings->retry_after_min_ms));
}

static bool
budget_take (RetryBudget *budget)
{
  bool taken;

  pthread_mutex_lock (&budget->lock);
  taken = budget->available >= 1;
  if (taken)
    budget->available -= 1;
  pthread_mutex_unlock (&budget->lock);
  return taken;
}

/** The verdict that forbids a retry regardless of the budget; RETRY_NOW if none does. */
static RetryVerdict
retry_forbidden (const RetryBudget *budget, const RetryQuery *query)
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

/** An answer without a retry has a retry-after time unless the request may have run and must not be
 *  sent again, or could not finish before its deadline. */
static RetryAnswer
make_answer (RetryBudget *budget, const RetryQuery *query, RetryVerdict verdict)
{
  bool useful
      = verdict == RETRY_ATTEMPTS || verdict == RETRY_NO_SERVER || verdict == RETRY_NO_BUDGET;

  return (RetryAnswer){
    .verdict = verdict,
    .retry_after_ms = useful ? caller_retry_after_ms (budget, query->now_ms) : 0,
  };
}

static RetryAnswer
decide_budget (RetryBudget *budget, const RetryQuery *query)
{
  RetryVerdict verdict = retry_forbidden (budget, query);

  if (verdict == RETRY_NOW && !budget_take (budget))
    verdict = RETRY_NO_BUDGET;
  return make_answer (budget, query, verdict);
}

/** Baseline: retries whatever may be retried, without a budget. */
static RetryAnswer
decide_always (RetryBudget *budget, const RetryQuery *query)
{
  return make_answer (budget, query, retry_forbidden (budget, query));
}

/** Baseline: never retries. */
static RetryAnswer
decide_never (RetryBudget *budget, const RetryQuery *query)
{
  RetryVerdict verdict = retry_forbidden (budget, query);

  return make_answer (budget, query, verdict == RETRY_NOW ? RETRY_ATTEMPTS : verdict);
}
