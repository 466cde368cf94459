/**
 * Each team's usage at one gate; private to choose_limit.c.
 */
#ifndef CHOOSE_LIMIT_TEAM_H
#define CHOOSE_LIMIT_TEAM_H

#include "config.h"
#include <pthread.h>

#define LIMIT_SHARDS      16
#define LIMIT_SHARD_TEAMS 64 /**< teams per shard */
#define LIMIT_TEAMS_MAX   (LIMIT_SHARDS * LIMIT_SHARD_TEAMS)

/** One team's usage, by the hash of its name, so that it stays valid when the configuration
 *  changes. */
typedef struct
{
  uint64_t key; /**< 0: free */
  int64_t in_progress;
  double tokens;       /**< token bucket: tokens available now; below 0: overdrawn */
  int64_t refilled_ms; /**< when the bucket was last refilled; INT64_MIN: never */
  int64_t last_request_ms;
  double weight;
  double recent_mean; /**< recent mean of in_progress (half-life 10 s) */
  int64_t mean_ms;    /**< when the means were last updated */
  double long_mean;   /**< long-term mean of in_progress (half-life 10 min), starting from 0 at the
                         team's first request */
} LimitTeam;

typedef struct
{
  pthread_mutex_t lock;
  LimitTeam teams[LIMIT_SHARD_TEAMS];
} LimitShard;

typedef struct
{
  LimitShard shards[LIMIT_SHARDS];
} LimitTeams;

/** A team with a recent request. */
typedef struct
{
  double weight, mean;
} LimitActive;

void limit_teams_init (LimitTeams *teams);
void limit_teams_clear (LimitTeams *teams);
uint64_t limit_team_key (const Config *config, unsigned team);
LimitShard *limit_teams_shard (LimitTeams *teams, uint64_t key);
/** The team's entry in its shard, whose lock the caller holds. A new one takes a free entry, or
 *  that of the team whose latest request is oldest and that has none in progress; NULL if there is
 *  neither. */
LimitTeam *limit_shard_team (LimitShard *shard, uint64_t key);
/** Lists the teams with a request within active_ms and updates their means; out has LIMIT_TEAMS_MAX
 *  entries. */
unsigned
limit_teams_active (LimitTeams *teams, int64_t now_ms, int64_t active_ms, LimitActive *out);
/** Refills the token bucket for the time since its last refill, up to burst_s seconds of rate. */
void limit_team_refill (LimitTeam *team, double rate, double burst_s, int64_t now_ms);

#endif
