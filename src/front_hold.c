#include "front_hold.h"
#include <math.h>

/* Gap after the first request that is turned away: a single one delays nobody. */
#define GAP_FIRST_MS 10.0
/* A front of a site with the fewest requests sends some per second even then. */
#define GAP_MAX_MS 250.0
/* Below it, a gap is less than the time between two requests. */
#define GAP_MIN_MS 4.0
/* With these, one of five is turned away while there is too little room: the pace follows the room,
 * and servers reject few. */
#define GAP_GROWTH    1.5
#define GAP_REDUCTION 0.90
/* Milliseconds without a rejection in which the gap halves: as long as a long answer holds its
 * slot. */
#define GAP_HALF_LIFE_MS 500.0
/* Share by which one answer corrects a need: a burst changes it within a second or two. */
#define NEED_STEP 0.04
/* Largest need, as a part of the caller's time: where answers end with servers that are lost, they
 * say nothing of the others. */
#define NEED_SHARE_MAX 0.5
/* Milliseconds before a request is sent again, doubled each time. */
#define AGAIN_FIRST_MS  50
#define AGAIN_MAX_TIMES 4
#define SPREAD_SHARE    0.5
/* The pace doubles within half a second without rejections, so that half of a long wait is
 * doubtful.
 */
#define SURE_SHARE 0.5
/* Callers wait as told for at most this part of the time that they have left. */
#define ACCEPTED_SHARE     (1.0 / 3)
#define RETRY_AFTER_MIN_MS 250.0
#define RETRY_AFTER_SPREAD 0.25
/* Share of that time for routes of the highest priority. */
#define URGENT_SHARE 0.25

/* When the request should go out at the latest. */
static double
turn_ms (const HoldTurn *turn)
{
  double begin_ms = (double)(turn->end_ms - turn->arrived_ms) - turn->need_ms;
  double wait_ms = fmax (fmin ((double)turn->objective_ms, begin_ms), 0);
  double share = turn->priority <= 0 ? URGENT_SHARE : 1;

  return (double)turn->arrived_ms + share * wait_ms;
}

bool
front_hold_is_before (const HoldTurn *turn, const HoldTurn *other)
{
  if (turn->rank != other->rank)
    return turn->rank < other->rank;
  return turn_ms (turn) < turn_ms (other);
}

double
front_hold_gap_ms (const HoldPace *pace, int64_t now_ms)
{
  double gap_ms = pace->gap_ms * exp2 (-(double)(now_ms - pace->full_ms) / GAP_HALF_LIFE_MS);

  return gap_ms >= GAP_MIN_MS ? gap_ms : 0;
}

/* The gap is kept as of the last rejection, from which on it decays. */
void
front_hold_turned_away (HoldPace *pace, int64_t now_ms)
{
  double gap_ms = front_hold_gap_ms (pace, now_ms);

  pace->gap_ms = fmin (gap_ms > 0 ? gap_ms * GAP_GROWTH : GAP_FIRST_MS, GAP_MAX_MS);
  pace->full_ms = now_ms;
  if (pace->next_ms < now_ms + (int64_t)pace->gap_ms)
    pace->next_ms = now_ms + (int64_t)pace->gap_ms;
}

void
front_hold_taken (HoldPace *pace, int64_t now_ms)
{
  if (front_hold_gap_ms (pace, now_ms) > 0)
    pace->gap_ms *= GAP_REDUCTION;
}

bool
front_hold_is_due (const HoldPace *pace, int64_t now_ms)
{
  return front_hold_gap_ms (pace, now_ms) <= 0 || now_ms >= pace->next_ms;
}

void
front_hold_sent (HoldPace *pace, int64_t now_ms)
{
  int64_t gap_ms = (int64_t)front_hold_gap_ms (pace, now_ms);

  /* One late tick is made up for, a longer pause isn't. */
  if (pace->next_ms < now_ms - gap_ms)
    pace->next_ms = now_ms - gap_ms;
  pace->next_ms += gap_ms;
}

void
front_hold_need_add (HoldNeed *need, double ms, bool is_whole)
{
  if (!isfinite (ms) || ms <= 0)
    return;
  if (need->ms <= 0)
    need->ms = ms;
  else if (is_whole && ms < need->ms)
    need->ms *= 1 - NEED_STEP;
  else
    need->ms *= 1 + NEED_STEP;
}

double
front_hold_need_ms (const HoldNeed *need, int64_t all_ms)
{
  return fmin (need->ms, NEED_SHARE_MAX * (double)all_ms);
}

int64_t
front_hold_longest_ms (const HoldRequest *request)
{
  double longest_ms = (double)request->left_ms - request->need_ms;

  if (request->may_have_run || longest_ms <= 0 || SURE_SHARE * request->wait_ms > longest_ms)
    return 0;
  return (int64_t)longest_ms;
}

int64_t
front_hold_again_ms (unsigned turned_away, double spread)
{
  unsigned times = turned_away > 0 ? turned_away - 1 : 0;
  int64_t wait_ms = AGAIN_FIRST_MS << (times < AGAIN_MAX_TIMES ? times : AGAIN_MAX_TIMES);

  return (int64_t)((double)wait_ms * (1 + SPREAD_SHARE * spread));
}

int64_t
front_hold_retry_after_ms (const HoldRequest *request, double spread)
{
  double wait_ms = fmax (request->wait_ms, RETRY_AFTER_MIN_MS) * (1 + RETRY_AFTER_SPREAD * spread);
  double longest_ms = fmax (ACCEPTED_SHARE * (double)request->left_ms, 1);

  return (int64_t)fmin (wait_ms, longest_ms);
}
