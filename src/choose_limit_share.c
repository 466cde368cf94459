/**
 * Shares of site-wide limits.
 */
#include "choose_limit_share.h"

#include <math.h>

int64_t
limit_share (int64_t limit, unsigned members, int rank)
{
  int64_t n = members > 0 ? members : 1;

  if (rank < 0 || rank >= n)
    return limit / n;
  return limit * (rank + 1) / n - limit * rank / n;
}

void
limit_shares_init (LimitShares *shares, int64_t settle_ms)
{
  *shares = (LimitShares){ .settle_ms = settle_ms };
  pthread_mutex_init (&shares->lock, NULL);
}

void
limit_shares_clear (LimitShares *shares)
{
  pthread_mutex_destroy (&shares->lock);
}

static void
drop_settled (LimitShares *shares, int64_t now_ms)
{
  unsigned i, kept = 0;

  for (i = 0; i < shares->former_count; i++)
    {
      if (shares->former[i].until_ms > now_ms)
        shares->former[kept++] = shares->former[i];
    }
  shares->former_count = kept;
}

/** Adds the newest position to the former ones. If there are too many to keep, they are
 *  replaced by one position without a share until the last of them is settled, which is safe. */
static void
add_former (LimitShares *shares)
{
  LimitPosition *last;

  if (shares->former_count == LIMIT_POSITIONS_MAX)
    {
      shares->former_count = 1;
      shares->former[0].members = 0;
      shares->former[0].until_ms = shares->settled_ms;
    }
  last = &shares->former[shares->former_count++];
  *last = shares->now;
  last->until_ms = shares->settled_ms;
}

void
limit_shares_set_view (LimitShares *shares, unsigned members, int rank, int64_t now_ms)
{
  pthread_mutex_lock (&shares->lock);
  if (members != shares->now.members || rank != shares->now.rank)
    {
      drop_settled (shares, now_ms);
      shares->settled_ms = now_ms + shares->settle_ms;
      add_former (shares);
      shares->now = (LimitPosition){ .members = members, .rank = rank };
    }
  pthread_mutex_unlock (&shares->lock);
}

static int64_t
position_count (const LimitPosition *position, int64_t limit)
{
  return position->members > 0 ? limit_share (limit, position->members, position->rank) : 0;
}

int64_t
limit_shares_count (LimitShares *shares, int64_t limit, int64_t now_ms)
{
  int64_t smallest;
  unsigned i;

  pthread_mutex_lock (&shares->lock);
  drop_settled (shares, now_ms);
  smallest = position_count (&shares->now, limit);
  for (i = 0; i < shares->former_count; i++)
    {
      int64_t share = position_count (&shares->former[i], limit);

      smallest = share < smallest ? share : smallest;
    }
  pthread_mutex_unlock (&shares->lock);
  return smallest;
}

static double
position_rate (const LimitPosition *position, double limit)
{
  return position->members > 0 ? limit / position->members : 0;
}

double
limit_shares_rate (LimitShares *shares, double limit, int64_t now_ms)
{
  double smallest;
  unsigned i;

  pthread_mutex_lock (&shares->lock);
  drop_settled (shares, now_ms);
  smallest = position_rate (&shares->now, limit);
  for (i = 0; i < shares->former_count; i++)
    smallest = fmin (smallest, position_rate (&shares->former[i], limit));
  pthread_mutex_unlock (&shares->lock);
  return smallest;
}

int64_t
limit_shares_unsettled_ms (LimitShares *shares, int64_t now_ms)
{
  int64_t ms;

  pthread_mutex_lock (&shares->lock);
  ms = shares->settled_ms - now_ms;
  pthread_mutex_unlock (&shares->lock);
  return ms;
}
