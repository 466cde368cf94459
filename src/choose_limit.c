/**
 * Admission control by team limits and fair shares.
 */
#include "choose_limit.h"

#include "choose_limit_share.h"
#include "choose_limit_team.h"
#include "util_assert.h"
#include "util_memory.h"
#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S          1000.0
#define SUM_INTERVAL_MS   100    /**< shortest interval between sums over the active teams */
#define FIXED_POINT_SCALE 1000.0 /**< atomic sums are integers, in thousandths */
#define DEVIATIONS        2.0    /**< standard deviations of the other teams' requests kept free */
#define PEAK_FAIR_SHARES  3.0    /**< fair shares allowed in a short peak, plus one request */
#define FLOOD_FACTOR      2.0    /**< multiple of its long-term mean beyond which a team floods */

struct Limiter
{
  LimitSettings settings;
  LimitTeams teams;
  atomic_long in_progress;
  atomic_long weights;  /**< sum over the active teams */
  atomic_long expected; /**< recent mean requests in progress of the active teams, each capped at
                           its fair share */
  atomic_long sum_ms;   /**< time of the latest sums */
  LimitShares shares;
};

static LimitVerdict admit_fair (Limiter *limiter, const LimitQuery *query);
static LimitVerdict admit_none (Limiter *limiter, const LimitQuery *query);
static LimitVerdict admit_first_come (Limiter *limiter, const LimitQuery *query);

const LimitSettings limit_settings_default = {
  .settle_ms = 6000,
  .active_ms = 5000,
  .best_effort_share = 0.7,
  .burst_s = 2,
  .retry_after_ms = 1000,
};

const LimitPolicy limit_policy_default = { .name = "fair", .admit = admit_fair };

static const LimitPolicy policies[] = {
  { .name = "fair", .admit = admit_fair },
  { .name = "none", .admit = admit_none },
  { .name = "first-come", .admit = admit_first_come },
};

const LimitPolicy *
limit_policy_find (const char *name)
{
  size_t i;

  for (i = 0; i < sizeof policies / sizeof policies[0]; i++)
    {
      if (strcmp (policies[i].name, name) == 0)
        return &policies[i];
    }
  return NULL;
}

Limiter *
limiter_new (const LimitSettings *settings)
{
  Limiter *limiter = memory_alloc (sizeof *limiter);

  limiter->settings = *settings;
  limit_shares_init (&limiter->shares, settings->settle_ms);
  limit_teams_init (&limiter->teams);
  return limiter;
}

void
limiter_free (Limiter *limiter)
{
  limit_teams_clear (&limiter->teams);
  limit_shares_clear (&limiter->shares);
  free (limiter);
}

void
limiter_set_view (Limiter *limiter, unsigned members, int rank, int64_t now_ms)
{
  limit_shares_set_view (&limiter->shares, members, rank, now_ms);
}

/** Retry-after time for a caller refused by a team limit: while the view is unsettled, the time
 *  until it is settled. */
static int64_t
limit_retry_after_ms (Limiter *limiter, int64_t now_ms)
{
  int64_t unsettled_ms = limit_shares_unsettled_ms (&limiter->shares, now_ms);

  return unsettled_ms > limiter->settings.retry_after_ms ? unsettled_ms
                                                         : limiter->settings.retry_after_ms;
}

/** Updates the sums over the active teams, at most every SUM_INTERVAL_MS. */
static void
sum_active (Limiter *limiter, const LimitQuery *query)
{
  long last = atomic_load (&limiter->sum_ms);
  LimitActive teams[LIMIT_TEAMS_MAX];
  double weights = 0, expected = 0;
  unsigned i, count;

  if (last != 0 && query->now_ms - last < SUM_INTERVAL_MS)
    return;
  if (!atomic_compare_exchange_strong (&limiter->sum_ms, &last, query->now_ms))
    return;
  count = limit_teams_active (&limiter->teams, query->now_ms, limiter->settings.active_ms, teams);
  for (i = 0; i < count; i++)
    weights += teams[i].weight;
  for (i = 0; i < count; i++)
    expected += fmin (teams[i].mean, query->capacity * teams[i].weight / weights);
  atomic_store (&limiter->weights, (long)(weights * FIXED_POINT_SCALE));
  atomic_store (&limiter->expected, (long)(expected * FIXED_POINT_SCALE));
}

static LimitVerdict
make_verdict (Reason reason, int64_t retry_after_ms)
{
  return (LimitVerdict){ .reason = reason, .retry_after_ms = retry_after_ms };
}

/** Checks the team's configured limits. */
static LimitVerdict
check_limits (Limiter *limiter, const LimitQuery *query, LimitTeam *team)
{
  const ConfigTeam *config = &query->config->teams[query->team];
  double rate;

  if (config->concurrent > 0
      && team->in_progress
             >= limit_shares_count (&limiter->shares, config->concurrent, query->now_ms))
    return make_verdict (REASON_TEAM_LIMIT, limit_retry_after_ms (limiter, query->now_ms));
  if (config->tokens_per_s <= 0)
    return make_verdict (REASON_NONE, 0);
  rate = limit_shares_rate (&limiter->shares, (double)config->tokens_per_s, query->now_ms);
  if (rate <= 0)
    return make_verdict (REASON_TEAM_LIMIT, limit_retry_after_ms (limiter, query->now_ms));
  limit_team_refill (team, rate, limiter->settings.burst_s, query->now_ms);
  /* A request may overdraw the bucket, or one larger than the burst could never run; the team's
     next requests wait. */
  if (team->tokens <= 0)
    return make_verdict (REASON_TEAM_LIMIT, 1 + (int64_t)(-team->tokens / rate * MS_PER_S));
  return make_verdict (REASON_NONE, 0);
}

/** The team's fair share of the capacity, by weight among the active teams; at least one
 *  request. */
static double
fair_share (Limiter *limiter, const LimitQuery *query, const LimitTeam *team)
{
  double weights = (double)atomic_load (&limiter->weights) / FIXED_POINT_SCALE;

  return fmax (1, query->capacity * team->weight / fmax (weights, team->weight));
}

/** True if one more request of a team beyond its fair share would use capacity that the other teams
 *  probably need: their recent mean within their fair shares, and two standard deviations more, as
 *  requests arrive independently. For a team that exceeds its long-term mean only the
 *  best_effort_share of the capacity counts. */
static bool
needed_by_others (Limiter *limiter,
                  const LimitQuery *query,
                  const LimitTeam *team,
                  double share,
                  bool within_long_mean)
{
  double expected = (double)atomic_load (&limiter->expected) / FIXED_POINT_SCALE;
  double others = fmax (0, expected - fmin (team->recent_mean, share));
  double usable = query->capacity * (within_long_mean ? 1 : limiter->settings.best_effort_share);

  return (double)team->in_progress + 1 + others + DEVIATIONS * sqrt (others) > usable;
}

/** Checks the gate's capacity. While there is capacity, a team is admitted if it has no more than
 *  its fair share in progress, now or in the recent mean: short peaks of up to three shares harm no
 *  other team. A team that is beyond its share in the recent mean gets only what the others
 *  probably don't need, so that it can't starve them. A team that floods, which also exceeds its
 *  long-term mean, gets less still, and its requests run after the others'. */
static LimitVerdict
check_capacity (Limiter *limiter, const LimitQuery *query, const LimitTeam *team)
{
  double busy = (double)atomic_load (&limiter->in_progress);
  double share = fair_share (limiter, query, team);
  double wanted = (double)team->in_progress + 1;
  bool beyond
      = wanted > share && (team->recent_mean > share + 1 || wanted > PEAK_FAIR_SHARES * share + 1);
  bool within_long_mean = wanted <= FLOOD_FACTOR * team->long_mean + 1;
  LimitVerdict verdict = make_verdict (REASON_OVERLOAD, limiter->settings.retry_after_ms);

  if (busy >= query->capacity)
    return verdict;
  if (query->deadline_ms == 0 && busy >= query->capacity * limiter->settings.best_effort_share)
    return verdict;
  if (beyond && needed_by_others (limiter, query, team, share, within_long_mean))
    return verdict;
  verdict = make_verdict (REASON_NONE, 0);
  verdict.beyond_fair_share = beyond && !within_long_mean;
  return verdict;
}

/** Refuses requests that can't finish by their deadline before they use capacity. */
static LimitVerdict
check_deadline (const LimitQuery *query)
{
  if (query->deadline_ms == 0)
    return make_verdict (REASON_NONE, 0);
  if (query->now_ms >= query->deadline_ms)
    return make_verdict (REASON_DEADLINE_PAST, 0);
  if (query->now_ms + query->wait_ms + query->work_ms > query->deadline_ms)
    return make_verdict (REASON_OVERLOAD, query->wait_ms > 0 ? query->wait_ms : 1);
  return make_verdict (REASON_NONE, 0);
}

static LimitVerdict
admit_fair (Limiter *limiter, const LimitQuery *query)
{
  uint64_t key = limit_team_key (query->config, query->team);
  LimitShard *shard = limit_teams_shard (&limiter->teams, key);
  LimitVerdict verdict = check_deadline (query);
  LimitTeam *team;

  if (verdict.reason != REASON_NONE)
    return verdict;
  sum_active (limiter, query);
  pthread_mutex_lock (&shard->lock);
  team = limit_shard_team (shard, key);
  if (team == NULL)
    {
      pthread_mutex_unlock (&shard->lock);
      return make_verdict (REASON_OVERLOAD, limiter->settings.retry_after_ms);
    }
  team->weight = query->config->teams[query->team].weight;
  team->last_request_ms = query->now_ms;
  verdict = check_limits (limiter, query, team);
  if (verdict.reason == REASON_NONE)
    verdict = check_capacity (limiter, query, team);
  if (verdict.reason == REASON_NONE)
    {
      team->in_progress++;
      team->tokens -= (double)query->tokens;
      atomic_fetch_add (&limiter->in_progress, 1);
    }
  pthread_mutex_unlock (&shard->lock);
  return verdict;
}

static void
count_request (Limiter *limiter, const LimitQuery *query)
{
  uint64_t key = limit_team_key (query->config, query->team);
  LimitShard *shard = limit_teams_shard (&limiter->teams, key);
  LimitTeam *team;

  pthread_mutex_lock (&shard->lock);
  team = limit_shard_team (shard, key);
  if (team != NULL)
    team->in_progress++;
  pthread_mutex_unlock (&shard->lock);
  atomic_fetch_add (&limiter->in_progress, 1);
}

/** Baseline: admits everything. */
static LimitVerdict
admit_none (Limiter *limiter, const LimitQuery *query)
{
  count_request (limiter, query);
  return make_verdict (REASON_NONE, 0);
}

/** Baseline: admits up to the capacity, first come, first served. */
static LimitVerdict
admit_first_come (Limiter *limiter, const LimitQuery *query)
{
  if ((unsigned long)atomic_load (&limiter->in_progress) >= query->capacity)
    return make_verdict (REASON_OVERLOAD, limiter->settings.retry_after_ms);
  count_request (limiter, query);
  return make_verdict (REASON_NONE, 0);
}

void
limiter_end (Limiter *limiter,
             const Config *config,
             unsigned team_index,
             int64_t tokens,
             int64_t used)
{
  uint64_t key = limit_team_key (config, team_index);
  LimitShard *shard = limit_teams_shard (&limiter->teams, key);
  LimitTeam *team;

  pthread_mutex_lock (&shard->lock);
  team = limit_shard_team (shard, key);
  INVARIANT (team != NULL && team->in_progress > 0, "team=\"%s\"", config->teams[team_index].name);
  team->in_progress--;
  team->tokens += (double)(tokens - used);
  pthread_mutex_unlock (&shard->lock);
  atomic_fetch_sub (&limiter->in_progress, 1);
}
