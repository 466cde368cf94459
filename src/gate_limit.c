#include "gate_limit.h"
#include "gate_request.h"
#include "util_clock.h"
#include "util_memory.h"
#include <stdlib.h>

#define CAPACITY_FACTOR      1.1 /* of the engines' slots; requests beyond the slots wait */
#define REFRESH_INTERVAL_MS  50  /* shortest interval between computations of the capacity */
#define BYTES_PER_TOKEN      4
#define OUTPUT_TOKENS        256     /* assumed if the caller sets no smaller max_tokens */
#define ANSWER_TIME_FIRST_MS 1000    /* assumed until answers have been measured */
#define SMOOTHING            0.05    /* weight of the newest answer in the moving average */
#define CAPACITY_UNKNOWN     100000U /* effectively no limit */

/** Sums over the usable engines that this gate watches. */
typedef struct
{
  double slots;
  double load;         /**< requests in progress from all gates, as estimated by server_load */
  double own;          /**< of these, the requests of this gate */
  double least_excess; /**< requests waiting for each slot at the least loaded one; -1: no engine */
} PoolSums;

void
gate_limit_init (GateLimit *limit)
{
  *limit = (GateLimit){ .answer_time_ms = ANSWER_TIME_FIRST_MS };
  limit->limiter = limiter_new (&limit_settings_default);
  pthread_mutex_init (&limit->lock, NULL);
}

void
gate_limit_clear (GateLimit *limit)
{
  limiter_free (limit->limiter);
  pthread_mutex_destroy (&limit->lock);
}

void
gate_limit_set_view (GateLimit *limit, unsigned members, int rank)
{
  int64_t now_ms = clock_boot_ms ();

  limiter_set_view (limit->limiter, members, rank, now_ms);
  if (members > 0 && __atomic_load_n (&limit->first_view_ms, __ATOMIC_RELAXED) == 0)
    __atomic_store_n (&limit->first_view_ms, now_ms, __ATOMIC_RELAXED);
}

bool
gate_limit_settled (GateLimit *limit, const Config *config)
{
  int64_t first_ms = __atomic_load_n (&limit->first_view_ms, __ATOMIC_RELAXED);
  bool limits = false;

  for (size_t i = 0; i < config->team_count; i++)
    limits = limits || config->teams[i].concurrent > 0 || config->teams[i].tokens_per_s > 0;
  return !limits
         || (first_ms > 0 && clock_boot_ms () >= first_ms + limit_settings_default.settle_ms);
}

static PoolSums
sum_pool (const GateSnapshot *snapshot, int64_t now_ms)
{
  const Config *config = snapshot->config;
  ServerView *views = memory_array (config->server_count + 1, sizeof (*views));
  ServerQuery query = { .config = config, .views = views, .now_ms = now_ms };
  PoolSums sums = { .least_excess = -1 };

  for (unsigned i = 0; i < config->server_count; i++)
    {
      double slots = (double)config->servers[i].slots;
      double load;
      double excess;
      if (!snapshot->index->watched[i] || config->servers[i].kind != SERVER_ENGINE
          || config->servers[i].leaving)
        continue;
      gate_server_copy_view (snapshot->servers[i], &views[i]);
      if (views[i].draining || views[i].open_until_ms > now_ms)
        continue;
      load = server_load (&query, i);
      excess = load > slots ? (load - slots) / slots : 0;
      sums.slots += slots;
      sums.load += load;
      sums.own += (double)views[i].in_flight;
      if (sums.least_excess < 0 || excess < sums.least_excess)
        sums.least_excess = excess;
    }
  free (views);
  return sums;
}

/*
 * Recomputes capacity: an equal share of the slots or, if the balancer sends this gate more than
 * other gates, its own requests plus the slots that the engines report as free, whichever is
 * larger. Done at most every REFRESH_INTERVAL_MS, since it reads the state of each engine.
 */
static void
refresh (GateLimit *limit, const GateRequest *r, int64_t now_ms)
{
  int64_t members = __atomic_load_n (&r->gate->grant.members, __ATOMIC_RELAXED);
  PoolSums sums;
  double usable_slots;
  double equal_share;
  double with_free;

  if (limit->at_ms > 0 && now_ms - limit->at_ms < REFRESH_INTERVAL_MS)
    return;
  sums = sum_pool (r->snapshot, now_ms);
  usable_slots = sums.slots * CAPACITY_FACTOR;
  equal_share = usable_slots / (double)(members > 0 ? members : 1);
  with_free = sums.own + (usable_slots > sums.load ? usable_slots - sums.load : 0);
  limit->at_ms = now_ms;
  limit->capacity = (unsigned)(equal_share > with_free ? equal_share : with_free) + 1;
  /*
   * Without a usable engine, planning or the choice of the server gives a better reason to refuse.
   */
  if (sums.least_excess < 0)
    limit->capacity = CAPACITY_UNKNOWN;
  limit->wait_ms = sums.least_excess > 0 ? (int64_t)(sums.least_excess * limit->answer_time_ms) : 0;
}

static int64_t
expected_tokens (const GateRequest *r)
{
  struct json_object *max;
  int64_t output = OUTPUT_TOKENS;

  if (json_object_object_get_ex (r->json, "max_tokens", &max)
      && json_object_get_int64 (max) < output)
    output = json_object_get_int64 (max);
  return (int64_t)(r->body.len / BYTES_PER_TOKEN) + output;
}

bool
gate_limit_admit (GateRequest *r)
{
  GateLimit *limit = &r->gate->limit;
  LimitQuery query = {
    .config = r->snapshot->config,
    .team = r->team,
    .tokens = expected_tokens (r),
    .now_ms = clock_boot_ms (),
    .deadline_ms = r->deadline_ms,
  };
  LimitVerdict verdict;

  pthread_mutex_lock (&limit->lock);
  refresh (limit, r, query.now_ms);
  query.capacity = limit->capacity;
  query.wait_ms = limit->wait_ms;
  pthread_mutex_unlock (&limit->lock);
  verdict = limit_policy_default.admit (limit->limiter, &query);
  r->reserved_tokens = query.tokens;
  r->limiter_admitted = verdict.reason == REASON_NONE;
  r->beyond_fair_share = verdict.beyond_fair_share;
  if (r->limiter_admitted)
    return true;
  refusal_set (&r->refusal, verdict.reason, REQUEST_NOT_RUN, "request.limit", NULL);
  r->refusal.retry_after_ms = verdict.retry_after_ms;
  return false;
}

void
gate_limit_end (GateRequest *r)
{
  int64_t used = 0;

  if (!r->limiter_admitted)
    return;
  r->limiter_admitted = false;
  for (size_t i = 0; i < r->bill.attempt_count; i++)
    used += r->bill.attempts[i].prompt_tokens + r->bill.attempts[i].completion_tokens;
  limiter_end (r->gate->limit.limiter, r->snapshot->config, r->team, r->reserved_tokens, used);
}

void
gate_limit_record_time (GateLimit *limit, double ms)
{
  pthread_mutex_lock (&limit->lock);
  limit->answer_time_ms += SMOOTHING * (ms - limit->answer_time_ms);
  pthread_mutex_unlock (&limit->lock);
}
