/**
 * Admission control at one gate: each team's limits, fair shares of the gate's capacity when it is
 * short, and early refusal of requests that can't finish by their deadline. A refusal is immediate
 * and has a retry-after time.
 */
#ifndef CHOOSE_LIMIT_H
#define CHOOSE_LIMIT_H

#include "choose.h"

typedef struct
{
  int64_t settle_ms; /**< how long other gates may still apply an earlier view; above the time for
                        which a grant is valid */
  int64_t active_ms; /**< a team is counted in fair shares this long after its latest request */
  double best_effort_share; /**< share of the capacity beyond which requests without a deadline are
                               refused */
  double burst_s;           /**< size of a team's token bucket, in seconds of its token rate */
  int64_t retry_after_ms;   /**< sent to refused callers when no better estimate is known */
} LimitSettings;

extern const LimitSettings limit_settings_default;

typedef struct Limiter Limiter;

/** Thread-safe: teams are in shards, each with its own lock. */
Limiter *limiter_new (const LimitSettings *settings);
void limiter_free (Limiter *limiter);

/** Sets this gate's position in the newest view: rank (0 to members - 1, or -1 if unknown) among
 *  members live VMs. A larger share than before takes effect only after settle_ms, when no gate
 *  that applies the previous view can still admit requests; a smaller one takes effect at once. A
 *  gate that has just started has no share until then, because the other gates still apply a view
 *  without it. */
void limiter_set_view (Limiter *limiter, unsigned members, int rank, int64_t now_ms);

/** A request for admission. */
typedef struct
{
  const Config *config;
  unsigned team;
  int64_t tokens;    /**< expected tokens of request and answer */
  unsigned capacity; /**< requests in progress that this gate's share of the backend servers can
                        handle */
  int64_t wait_ms;   /**< expected time until the first token */
  int64_t work_ms;   /**< expected time from the first token until the end */
  int64_t now_ms;
  int64_t deadline_ms; /**< boot-time clock, as now_ms; 0: none, and refused first when capacity is
                          short */
} LimitQuery;

typedef struct
{
  Reason reason; /**< REASON_NONE, REASON_TEAM_LIMIT, REASON_OVERLOAD, REASON_DEADLINE_PAST */
  int64_t retry_after_ms; /**< of a refusal; 0: sending again would not help */
  bool beyond_fair_share; /**< admitted beyond the team's fair share and its long-term mean: engines
                             run it after other requests */
} LimitVerdict;

typedef struct
{
  const char *name; /**< "fair"; the baselines "none", "first-come" */
  LimitVerdict (*admit) (Limiter *limiter, const LimitQuery *query);
} LimitPolicy;

extern const LimitPolicy limit_policy_default;
/** NULL if there is none of that name. */
const LimitPolicy *limit_policy_find (const char *name);

/** Ends an admitted request: tokens is the number that it was admitted with, used the number that
 *  it used. */
void
limiter_end (Limiter *limiter, const Config *config, unsigned team, int64_t tokens, int64_t used);

/** The share of a site-wide limit that the gate of this rank may use; the shares of all ranks add
 *  up to the limit. rank -1: the smallest share of any rank. */
int64_t limit_share (int64_t limit, unsigned members, int rank);

#endif
