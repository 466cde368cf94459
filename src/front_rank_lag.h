/**
 * Measures how much later than predicted the answers of a service begin, by the rank of their
 * requests: servers serve the ranks in order, so under load the last ones wait while the first
 * don't. The median of the latest few answers, which one slow server of many doesn't change. No
 * I/O.
 */
#ifndef FRONT_RANK_LAG_H
#define FRONT_RANK_LAG_H

#include <stdint.h>

#define RANK_LAGS_MAX    40 /**< pairs of a service and a rank; the one not used longest yields */
#define RANK_LAG_SAMPLES 9

typedef struct
{
  uint64_t service; /**< hash of the name; 0: unused */
  int64_t rank;
  int64_t at_ms[RANK_LAG_SAMPLES]; /**< 0: no sample */
  double lags_ms[RANK_LAG_SAMPLES];
  unsigned next;
} RankLag;

typedef struct
{
  RankLag ranks[RANK_LAGS_MAX];
} FrontRankLag;

/** Records an answer that begins so much later than predicted. */
void front_rank_lag_add (FrontRankLag *lag,
                         uint64_t service,
                         int64_t rank,
                         double lag_ms,
                         int64_t now_ms);
/** Milliseconds by which the next answer of this rank is expected to begin later than predicted; 0
 *  if too little is known. */
double front_rank_lag_now (const FrontRankLag *lag, uint64_t service, int64_t rank, int64_t now_ms);

#endif
