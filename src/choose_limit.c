/**
 * Admission by team limits and fair parts.
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

#define MS_PER_S    1000.0
#define SUM_MS      100    /**< between sums over the active teams */
#define UNIT        1000.0 /**< sums are kept in thousandths */
#define DEVIATIONS  2.0
#define PEAK_PARTS  3.0 /**< a passing peak may hold this many fair parts and one more */
#define USUAL_PARTS 2.0 /**< of its usual use that a team may hold before it is taken to flood */

struct Limiter
{
  LimitSettings settings;
  LimitTeams teams;
  atomic_long in_progress;
  atomic_long weights;  /**< of the active teams */
  atomic_long expected; /**< places that the active teams hold as a rule, within their parts */
  atomic_long sum_ms;   /**< when they were summed */
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

/** Told to a client whom a limit stops: while the view is unsettled, when it will be. */
static int64_t
come_back_ms (Limiter *limiter, int64_t now_ms)
{
  int64_t unsettled_ms = limit_shares_unsettled_ms (&limiter->shares, now_ms);

  return unsettled_ms > limiter->settings.retry_after_ms ? unsettled_ms
                                                         : limiter->settings.retry_after_ms;
}

/** Sums over the active teams, at most every SUM_MS. */
static void
sum_active (Limiter *limiter, const LimitQuery *query)
{
  long last = atomic_load (&limiter->sum_ms);
  LimitActive teams[LIMIT_TEAMS_MAX];
  double weights = 0, expected = 0;
  unsigned i, count;

  if (last != 0 && query->now_ms - last < SUM_MS)
    return;
  if (!atomic_compare_exchange_strong (&limiter->sum_ms, &last, query->now_ms))
    return;
  count = limit_teams_active (&limiter->teams, query->now_ms, limiter->settings.active_ms, teams);
  for (i = 0; i < count; i++)
    weights += teams[i].weight;
  for (i = 0; i < count; i++)
    expected += fmin (teams[i].mean, query->capacity * teams[i].weight / weights);
  atomic_store (&limiter->weights, (long)(weights * UNIT));
  atomic_store (&limiter->expected, (long)(expected * UNIT));
}

static LimitVerdict
refuse (Reason reason, int64_t retry_after_ms)
{
  return (LimitVerdict){ .reason = reason, .retry_after_ms = retry_after_ms };
}

/** The team's own limits. */
static LimitVerdict
check_limits (Limiter *limiter, const LimitQuery *query, LimitTeam *team)
{
  const ConfigTeam *config = &query->config->teams[query->team];
  double rate;

  if (config->concurrent > 0
      && team->in_progress
             >= limit_shares_count (&limiter->shares, config->concurrent, query->now_ms))
    return refuse (REASON_TEAM_LIMIT, come_back_ms (limiter, query->now_ms));
  if (config->tokens_per_s <= 0)
    return refuse (REASON_NONE, 0);
  rate = limit_shares_rate (&limiter->shares, (double)config->tokens_per_s, query->now_ms);
  if (rate <= 0)
    return refuse (REASON_TEAM_LIMIT, come_back_ms (limiter, query->now_ms));
  limit_team_refill (team, rate, limiter->settings.burst_s, query->now_ms);
  /* A request may overdraw, or one larger than the burst could never run; what follows waits. */
  if (team->tokens <= 0)
    return refuse (REASON_TEAM_LIMIT, 1 + (int64_t)(-team->tokens / rate * MS_PER_S));
  return refuse (REASON_NONE, 0);
}

/** The team's fair part of the capacity, by the weights of the teams that ask. */
static double
fair_part (Limiter *limiter, const LimitQuery *query, const LimitTeam *team)
{
  double weights = (double)atomic_load (&limiter->weights) / UNIT;

  return fmax (1, query->capacity * team->weight / fmax (weights, team->weight));
}

/** True if a place for a team beyond its part is one that the others are likely to want: what they
 *  hold as a rule within their own parts, and two standard deviations more, as requests come
 *  independently; out of the capacity, or out of open_part of it for one that holds more than
 * usual. */
static bool
others_need (Limiter *limiter,
             const LimitQuery *query,
             const LimitTeam *team,
             double part,
             bool usual)
{
  double expected = (double)atomic_load (&limiter->expected) / UNIT;
  double others = fmax (0, expected - fmin (team->mean, part));
  double usable = query->capacity * (usual ? 1 : limiter->settings.best_effort_share);

  return (double)team->in_progress + 1 + others + DEVIATIONS * sqrt (others) > usable;
}

/** The gate's capacity. A team gets a place as long as there is one if it holds no more than its
 * fair part, now or as a rule: passing peaks of three parts are no one's loss. One that is beyond
 * it as a rule gets only what the others are not likely to want, so that it can't starve them; and
 * one that floods, beyond what is usual for it too, gets that much less, and its work comes after
 * the others'. */
static LimitVerdict
check_capacity (Limiter *limiter, const LimitQuery *query, const LimitTeam *team)
{
  double busy = (double)atomic_load (&limiter->in_progress);
  double part = fair_part (limiter, query, team);
  double holds = (double)team->in_progress + 1;
  bool beyond = holds > part && (team->mean > part + 1 || holds > PEAK_PARTS * part + 1);
  bool usual = holds <= USUAL_PARTS * team->long_mean + 1;
  LimitVerdict verdict = refuse (REASON_OVERLOAD, limiter->settings.retry_after_ms);

  if (busy >= query->capacity)
    return verdict;
  if (query->deadline_ms == 0 && busy >= query->capacity * limiter->settings.best_effort_share)
    return verdict;
  if (beyond && others_need (limiter, query, team, part, usual))
    return verdict;
  verdict = refuse (REASON_NONE, 0);
  verdict.beyond_fair_share = beyond && !usual;
  return verdict;
}

/** What can't end by its deadline is refused before it takes anyone's place. */
static LimitVerdict
check_deadline (const LimitQuery *query)
{
  if (query->deadline_ms == 0)
    return refuse (REASON_NONE, 0);
  if (query->now_ms >= query->deadline_ms)
    return refuse (REASON_DEADLINE_PAST, 0);
  if (query->now_ms + query->wait_ms + query->work_ms > query->deadline_ms)
    return refuse (REASON_OVERLOAD, query->wait_ms > 0 ? query->wait_ms : 1);
  return refuse (REASON_NONE, 0);
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
      return refuse (REASON_OVERLOAD, limiter->settings.retry_after_ms);
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
take (Limiter *limiter, const LimitQuery *query)
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

/** A baseline: everything is admitted. */
static LimitVerdict
admit_none (Limiter *limiter, const LimitQuery *query)
{
  take (limiter, query);
  return refuse (REASON_NONE, 0);
}

/** A baseline: up to the capacity, whoever comes first. */
static LimitVerdict
admit_first_come (Limiter *limiter, const LimitQuery *query)
{
  if ((unsigned long)atomic_load (&limiter->in_progress) >= query->capacity)
    return refuse (REASON_OVERLOAD, limiter->settings.retry_after_ms);
  take (limiter, query);
  return refuse (REASON_NONE, 0);
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
