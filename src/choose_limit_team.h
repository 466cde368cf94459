/**
 * What a gate knows of each team's use; private to choose_limit.c.
 */
#ifndef CHOOSE_LIMIT_TEAM_H
#define CHOOSE_LIMIT_TEAM_H

#include "config.h"
#include <pthread.h>

#define LIMIT_SHARDS      16
#define LIMIT_SHARD_TEAMS 64
#define LIMIT_TEAMS_MAX   (LIMIT_SHARDS * LIMIT_SHARD_TEAMS)

/** One team at this gate, by the hash of its name, so that it outlives changes of configuration. */
typedef struct
{
  uint64_t key; /**< 0: free */
  int64_t in_progress;
  double tokens; /**< that may be used now; below 0: overdrawn */
  int64_t refilled_ms;
  int64_t last_request_ms;
  double weight;
  double mean; /**< in progress lately */
  int64_t mean_ms;
  double long_mean; /**< the same over tens of minutes, from nothing at the team's first request */
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

/** A team that asked lately. */
typedef struct
{
  double weight, mean;
} LimitActive;

void limit_teams_init (LimitTeams *teams);
void limit_teams_clear (LimitTeams *teams);
uint64_t limit_team_key (const Config *config, unsigned team);
LimitShard *limit_teams_shard (LimitTeams *teams, uint64_t key);
/** The team's entry in its locked shard. A new one takes a free place, or that of the team which
 *  asked longest ago and has nothing in progress; NULL if there is none. */
LimitTeam *limit_shard_team (LimitShard *shard, uint64_t key);
/** Lists the teams that asked within active_ms; out has LIMIT_TEAMS_MAX entries. */
unsigned
limit_teams_active (LimitTeams *teams, int64_t now_ms, int64_t active_ms, LimitActive *out);
/** Adds the tokens that came in since the last time, up to burst_s seconds' worth. */
void limit_team_refill (LimitTeam *team, double rate, double burst_s, int64_t now_ms);

#endif
