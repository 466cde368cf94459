/**
 * This gate's share of site-wide limits, by its position in the view; private to choose_limit.c.
 */
#ifndef CHOOSE_LIMIT_SHARE_H
#define CHOOSE_LIMIT_SHARE_H

#include "choose_limit.h"
#include <pthread.h>

/** A gate's position in one view. */
typedef struct
{
  unsigned members; /**< live VMs in the view; 0: no view yet, and so no share */
  int rank;
  int64_t until_ms; /**< of a former position: time until which it still applies */
} LimitPosition;

#define LIMIT_POSITIONS_MAX 16 /**< former positions kept */

/** The shares of gates that have different views never add up to more than the limit: each gate
 *  applies the smallest of its shares in the newest view and in those that it held within the last
 *  settle_ms. A gate that holds a grant has received each view in less time than that. So at any
 *  time there is a view that binds all gates with a grant, and the shares within one view add up to
 *  the limit. */
typedef struct
{
  pthread_mutex_t lock;
  int64_t settle_ms;
  LimitPosition now;
  LimitPosition former[LIMIT_POSITIONS_MAX];
  unsigned former_count;
  int64_t settled_ms; /**< when the newest view is settled */
} LimitShares;

void limit_shares_init (LimitShares *shares, int64_t settle_ms);
void limit_shares_clear (LimitShares *shares);
/** Sets the gate's position in the newest view; see limiter_set_view. */
void limit_shares_set_view (LimitShares *shares, unsigned members, int rank, int64_t now_ms);
/** The gate's current share of a limit of requests in progress. */
int64_t limit_shares_count (LimitShares *shares, int64_t limit, int64_t now_ms);
/** The gate's current share of a limit per second. */
double limit_shares_rate (LimitShares *shares, double limit, int64_t now_ms);
/** Milliseconds until the newest view is settled; 0 or less if it is. */
int64_t limit_shares_unsettled_ms (LimitShares *shares, int64_t now_ms);

#endif
