/**
 * Decides whether a copy of a request whose answer is late goes to another server, so that the
 * caller gets the answer that comes first. The operator limits the copies to a share of a service's
 * requests. No I/O.
 */
#ifndef FRONT_HEDGE_H
#define FRONT_HEDGE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct FrontHedge FrontHedge;

/** Whether a copy is sent, or why not. */
typedef enum
{
  HEDGE_SEND,
  HEDGE_OFF,            /**< the operator allows none */
  HEDGE_NOT_REPEATABLE, /**< the request may run only once */
  HEDGE_TOO_EARLY,      /**< its answer is not late yet */
  HEDGE_QUARANTINED,    /**< servers die under it */
  HEDGE_ATTEMPTS,       /**< it was sent to as many servers as the route allows */
  HEDGE_ROLLOUT,        /**< its session runs on the version that a roll-out replaces */
  HEDGE_SERVICE_FULL,   /**< servers have turned requests away for lack of room */
  HEDGE_LIMIT,          /**< the service's copies have reached the operator's limit */
  HEDGE_NO_SERVER,      /**< no other server may get one */
  HEDGE_NOT_SOONER, /**< the answer is expected as soon without one, or the caller leaves first */
  HEDGE_NO_BUDGET,  /**< what is left of the retry budget is kept for failures */
  HEDGE_VERDICTS
} HedgeVerdict;

/** Answers that are compared with each other: those to one route's requests by one service. */
typedef struct
{
  const char *service;
  uint64_t route; /**< hash of its name */
} HedgeKind;

/** What is known of the server that would get a copy. */
typedef struct
{
  bool has_server; /**< if not, the other fields mean nothing */
  bool is_full;    /**< all its slots are taken */
  double extra_ms; /**< by which its answer is predicted to begin later than a typical one */
} HedgeForecast;

/** A request whose answer has not begun. */
typedef struct
{
  HedgeKind kind;
  int64_t objective_ms;
  bool is_idempotent;
  bool is_quarantined;
  bool has_attempts;   /**< the route allows another attempt */
  bool is_in_rollout;  /**< a roll-out replaces its version */
  double elapsed_ms;   /**< since it was sent */
  double remaining_ms; /**< until its caller leaves */
  /** Chooses the server of a copy. Called only if a copy is considered. */
  HedgeForecast (*forecast) (void *user);
  /** Takes a copy from the retry budget. Called last. */
  bool (*take_budget) (void *user);
  void *user;
} HedgeCase;

/** seed: differs between fronts and their runs. */
FrontHedge *front_hedge_new (uint64_t seed);
void front_hedge_free (FrontHedge *hedge);
/** Additional sends as a share of a service's requests; 0: none. Applies to the next decision. */
void front_hedge_set_share (FrontHedge *hedge, double share);
bool front_hedge_is_on (const FrontHedge *hedge);
/** Counts a request that a caller sent to this front. */
void front_hedge_count_request (FrontHedge *hedge, const char *service, int64_t now_ms);
/** A server of the service turned a request away for lack of room. */
void front_hedge_count_full (FrontHedge *hedge, const char *service, int64_t now_ms);

/** Adds the time of an answer that has begun. Returns a number for front_hedge_replace. */
uint64_t front_hedge_answered (FrontHedge *hedge, const HedgeKind *kind, double ms);
/** Replaces a time that was added as a lower bound. */
void front_hedge_replace (FrontHedge *hedge, const HedgeKind *kind, uint64_t number, double ms);

/** Milliseconds from sending after which a request gets a copy if its answer has not begun. */
double front_hedge_delay_ms (FrontHedge *hedge, const HedgeKind *kind, int64_t objective_ms);
/** Milliseconds that an answer of the kind is expected to take from now on. */
double front_hedge_left_ms (FrontHedge *hedge, const HedgeKind *kind, double elapsed_ms);
/** True if a request with this verdict is considered again when its answer is later still. */
bool front_hedge_is_provisional (HedgeVerdict verdict);
/** Milliseconds after which it is considered again. */
double front_hedge_again_ms (FrontHedge *hedge, const HedgeKind *kind, double elapsed_ms);
/** Decides; HEDGE_SEND counts as a copy. */
HedgeVerdict front_hedge_decide (FrontHedge *hedge, const HedgeCase *c, int64_t now_ms);
/** True once in each window in which the limit withholds copies of the service. */
bool front_hedge_limit_is_news (FrontHedge *hedge, const char *service, int64_t now_ms);
/** Lower-case name, as in logs. */
const char *front_hedge_verdict_name (HedgeVerdict verdict);

#endif
