/**
 * Decides which requests wait at this front while the servers of their service turn requests away
 * for lack of room, how long, and at what pace they go out. No I/O.
 */
#ifndef FRONT_HOLD_H
#define FRONT_HOLD_H

#include <stdbool.h>
#include <stdint.h>

#define HOLD_MAX 512 /**< requests held at a front; the rest goes on as if none were held */

/** The pace at which the servers of a service take requests of this front. Zeroed at first. */
typedef struct
{
  double gap_ms;   /**< between two requests, as of full_ms; 0: none was turned away lately */
  int64_t full_ms; /**< when one was last turned away */
  int64_t next_ms; /**< from then on the next one may go out */
} HoldPace;

/** What the answers of one kind of request need, once sent. Zeroed at first. */
typedef struct
{
  double ms; /**< median; 0: not known */
} HoldNeed;

typedef struct
{
  bool may_have_run; /**< any attempt of it */
  int64_t left_ms;   /**< until its caller's deadline */
  double need_ms;    /**< HoldNeed.ms of its kind */
  double wait_ms;    /**< until those before it and it have gone out, at the present pace */
} HoldRequest;

/** What decides whose turn it is. */
typedef struct
{
  int64_t rank;       /**< in the servers' queues */
  int64_t priority;   /**< of the route */
  int64_t arrived_ms; /**< at this front */
  int64_t objective_ms;
  int64_t end_ms; /**< its caller's deadline */
  double need_ms; /**< HoldNeed.ms of its kind */
} HoldTurn;

/** True if the first request goes out before the second: by rank, and within a rank who should
 *  go out the sooner to begin in time, or for its answer to be whole before its caller leaves. A
 *  route of the highest priority has a part of that time. */
bool front_hold_is_before (const HoldTurn *turn, const HoldTurn *other);
/** A server of the service turned a request of this front away. */
void front_hold_turned_away (HoldPace *pace, int64_t now_ms);
/** A server of the service began to answer one. */
void front_hold_taken (HoldPace *pace, int64_t now_ms);
/** Milliseconds between two requests; 0: no request waits. */
double front_hold_gap_ms (const HoldPace *pace, int64_t now_ms);
/** True if a request may go out now. */
bool front_hold_is_due (const HoldPace *pace, int64_t now_ms);
/** A request goes out. */
void front_hold_sent (HoldPace *pace, int64_t now_ms);
/** An answer was whole so long after its request was sent, or wasn't yet when its caller left. */
void front_hold_need_add (HoldNeed *need, double ms, bool is_whole);
/** What a request needs whose caller waits for all_ms. */
double front_hold_need_ms (const HoldNeed *need, int64_t all_ms);
/** How long the request may be held at most; 0: not at all. */
int64_t front_hold_longest_ms (const HoldRequest *request);
/** Milliseconds until a request that was turned away so often, at least once, may be sent again.
 *  spread: random, 0 to 1. */
int64_t front_hold_again_ms (unsigned turned_away, double spread);
/** Retry-After of a request that is refused after all. spread: random, 0 to 1. */
int64_t front_hold_retry_after_ms (const HoldRequest *request, double spread);

#endif
