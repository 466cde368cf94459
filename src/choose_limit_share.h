/**
 * This gate's part of site-wide limits, by its place in the view; private to choose_limit.c.
 */
#ifndef CHOOSE_LIMIT_SHARE_H
#define CHOOSE_LIMIT_SHARE_H

#include "choose_limit.h"
#include <pthread.h>

/** A place in one view. */
typedef struct
{
  unsigned members; /**< 0: none yet, and so no part */
  int rank;
  int64_t until_ms; /**< of a former place: how long it still counts */
} LimitPosition;

#define LIMIT_POSITIONS_MAX 16

/** Why the parts of gates with unlike views never add up to more than the limit: each gate goes by
 * the least of its parts in the newest view and in those that it held within the last settle_ms. A
 * gate that holds a grant has learned of each view within less than that. So at any time there is a
 * view that all gates with a grant are bound by, and the parts in one view add up to the limit. */
typedef struct
{
  pthread_mutex_t lock;
  int64_t settle_ms;
  LimitPosition now;
  LimitPosition former[LIMIT_POSITIONS_MAX];
  unsigned former_count;
  int64_t settled_ms;
} LimitShares;

void limit_shares_init (LimitShares *shares, int64_t settle_ms);
void limit_shares_clear (LimitShares *shares);
void limit_shares_set_view (LimitShares *shares, unsigned members, int rank, int64_t now_ms);
int64_t limit_shares_count (LimitShares *shares, int64_t limit, int64_t now_ms);
double limit_shares_rate (LimitShares *shares, double limit, int64_t now_ms);
/** Milliseconds until the view is settled; 0 or less if it is. */
int64_t limit_shares_unsettled_ms (LimitShares *shares, int64_t now_ms);

#endif
