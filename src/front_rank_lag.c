#include "front_rank_lag.h"
#include <math.h>
#include <stddef.h>

/* Milliseconds for which an answer counts: queues drain in a few seconds once less is sent. */
#define AGE_MAX_MS 4000
/* Answers without which nothing is known. */
#define SAMPLES_MIN 4

static int64_t
used_ms (const RankLag *lag)
{
  return lag->at_ms[(lag->next + RANK_LAG_SAMPLES - 1) % RANK_LAG_SAMPLES];
}

static const RankLag *
find (const FrontRankLag *lag, uint64_t service, int64_t rank)
{
  for (unsigned i = 0; i < RANK_LAGS_MAX; i++)
    {
      if (lag->ranks[i].service == service && lag->ranks[i].rank == rank)
        return &lag->ranks[i];
    }
  return NULL;
}

static RankLag *
find_or_add (FrontRankLag *lag, uint64_t service, int64_t rank)
{
  const RankLag *known = find (lag, service, rank);
  RankLag *oldest = &lag->ranks[0];

  if (known)
    return &lag->ranks[known - lag->ranks];
  for (unsigned i = 1; i < RANK_LAGS_MAX; i++)
    {
      if (used_ms (&lag->ranks[i]) < used_ms (oldest))
        oldest = &lag->ranks[i];
    }
  *oldest = (RankLag){ .service = service, .rank = rank };
  return oldest;
}

void
front_rank_lag_add (FrontRankLag *lag,
                    uint64_t service,
                    int64_t rank,
                    double lag_ms,
                    int64_t now_ms)
{
  RankLag *own = find_or_add (lag, service, rank);

  own->lags_ms[own->next] = fmax (lag_ms, 0);
  own->at_ms[own->next] = now_ms;
  own->next = (own->next + 1) % RANK_LAG_SAMPLES;
}

/* Adds a value to a sorted list. */
static void
insert (double *sorted, unsigned count, double value)
{
  unsigned place = count;

  for (; place > 0 && sorted[place - 1] > value; place--)
    sorted[place] = sorted[place - 1];
  sorted[place] = value;
}

double
front_rank_lag_now (const FrontRankLag *lag, uint64_t service, int64_t rank, int64_t now_ms)
{
  const RankLag *own = find (lag, service, rank);
  double sorted[RANK_LAG_SAMPLES];
  unsigned count = 0;

  if (!own)
    return 0;
  for (unsigned i = 0; i < RANK_LAG_SAMPLES; i++)
    {
      if (own->at_ms[i] != 0 && now_ms - own->at_ms[i] <= AGE_MAX_MS)
        insert (sorted, count++, own->lags_ms[i]);
    }
  return count >= SAMPLES_MIN ? sorted[(count - 1) / 2] : 0;
}
