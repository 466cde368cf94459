/**
 * Each team's usage at one gate.
 */
#include "choose_limit_team.h"

#include "util_id.h"
#include <math.h>

#define RECENT_HALF_LIFE_MS 10000.0
#define LONG_HALF_LIFE_MS   600000.0
#define MS_PER_S            1000.0
#define SHARD_SHIFT         8 /**< low bits of the key that are not used to select the shard */

void
limit_teams_init (LimitTeams *teams)
{
  unsigned i;

  for (i = 0; i < LIMIT_SHARDS; i++)
    pthread_mutex_init (&teams->shards[i].lock, NULL);
}

void
limit_teams_clear (LimitTeams *teams)
{
  unsigned i;

  for (i = 0; i < LIMIT_SHARDS; i++)
    pthread_mutex_destroy (&teams->shards[i].lock);
}

uint64_t
limit_team_key (const Config *config, unsigned team)
{
  return id_hash_string (config->teams[team].name, 0) | 1;
}

LimitShard *
limit_teams_shard (LimitTeams *teams, uint64_t key)
{
  return &teams->shards[(key >> SHARD_SHIFT) % LIMIT_SHARDS];
}

LimitTeam *
limit_shard_team (LimitShard *shard, uint64_t key)
{
  LimitTeam *found = NULL;
  unsigned i;

  for (i = 0; i < LIMIT_SHARD_TEAMS; i++)
    {
      LimitTeam *team = &shard->teams[i];

      if (team->key == key)
        return team;
      if (team->in_progress > 0)
        continue;
      if (found == NULL
          || (found->key != 0
              && (team->key == 0 || team->last_request_ms < found->last_request_ms)))
        found = team;
    }
  if (found != NULL)
    *found = (LimitTeam){ .key = key, .refilled_ms = INT64_MIN };
  return found;
}

static double
decayed_mean (double mean, double value, int64_t ms, double half_life_ms)
{
  double kept = exp2 (-(double)ms / half_life_ms);

  return kept * mean + (1 - kept) * value;
}

static void
update_mean (LimitTeam *team, int64_t now_ms)
{
  double in_progress = (double)team->in_progress;
  int64_t ms = now_ms - team->mean_ms;

  team->recent_mean = decayed_mean (team->recent_mean, in_progress, ms, RECENT_HALF_LIFE_MS);
  /* On the first call there is no previous sample to measure the interval from. */
  if (team->mean_ms != 0)
    team->long_mean = decayed_mean (team->long_mean, in_progress, ms, LONG_HALF_LIFE_MS);
  team->mean_ms = now_ms;
}

unsigned
limit_teams_active (LimitTeams *teams, int64_t now_ms, int64_t active_ms, LimitActive *out)
{
  unsigned i, j, n = 0;

  for (i = 0; i < LIMIT_SHARDS; i++)
    {
      LimitShard *shard = &teams->shards[i];

      pthread_mutex_lock (&shard->lock);
      for (j = 0; j < LIMIT_SHARD_TEAMS; j++)
        {
          LimitTeam *team = &shard->teams[j];

          if (team->key == 0 || now_ms - team->last_request_ms >= active_ms)
            continue;
          update_mean (team, now_ms);
          out[n++] = (LimitActive){ team->weight, team->recent_mean };
        }
      pthread_mutex_unlock (&shard->lock);
    }
  return n;
}

void
limit_team_refill (LimitTeam *team, double rate, double burst_s, int64_t now_ms)
{
  double max_tokens = rate * burst_s;

  if (team->refilled_ms == INT64_MIN)
    team->tokens = max_tokens;
  else
    team->tokens += rate * (double)(now_ms - team->refilled_ms) / MS_PER_S;
  team->refilled_ms = now_ms;
  if (team->tokens > max_tokens)
    team->tokens = max_tokens;
}
