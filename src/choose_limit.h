/**
 * Admission at one gate: each team's share of its limits, a fair part of the gate's capacity when
 * that is short, and early refusal of what can't end in time. A refusal is given at once and says
 * when to come back.
 */
#ifndef CHOOSE_LIMIT_H
#define CHOOSE_LIMIT_H

#include "choose.h"

typedef struct
{
  int64_t settle_ms; /**< how long others may still go by another view; above the grant's bound */
  int64_t active_ms; /**< a team has a claim on a fair part this long after it asked */
  double best_effort_share; /**< of the capacity beyond which work without a deadline is refused */
  double burst_s;           /**< seconds of its token rate that a team may save up */
  int64_t retry_after_ms;   /**< told when nothing better is known */
} LimitSettings;

extern const LimitSettings limit_settings_default;

typedef struct Limiter Limiter;

/** Thread-safe: teams are in shards, each under its own lock. */
Limiter *limiter_new (const LimitSettings *settings);
void limiter_free (Limiter *limiter);

/** This gate's place in the newest view: rank (0 to members - 1, or -1 if not known) among members
 *  live VMs. A larger share than before counts only after settle_ms, when no gate that goes by the
 *  view before can still take new work; a smaller one at once. A gate that has just started has no
 *  part until then: the others go by a view without it. */
void limiter_set_view (Limiter *limiter, unsigned members, int rank, int64_t now_ms);

/** What is asked for. */
typedef struct
{
  const Config *config;
  unsigned team;
  int64_t tokens;    /**< expected, prompt included */
  unsigned capacity; /**< requests in progress that this gate's part of the pool can bear */
  int64_t wait_ms;   /**< expected until the first token */
  int64_t work_ms;   /**< expected from then until the end */
  int64_t now_ms;
  int64_t deadline_ms; /**< 0: none: such work is refused first when capacity is short */
} LimitQuery;

typedef struct
{
  Reason reason; /**< REASON_NONE, REASON_TEAM_LIMIT, REASON_OVERLOAD, REASON_DEADLINE_PAST */
  int64_t retry_after_ms; /**< of a refusal; 0: coming back would not help */
  bool beyond_fair_share; /**< admitted beyond the team's fair part: engines take it after other
                             work */
} LimitVerdict;

typedef struct
{
  const char *name; /**< "fair"; the baselines "none", "first-come" */
  LimitVerdict (*admit) (Limiter *limiter, const LimitQuery *query);
} LimitPolicy;

extern const LimitPolicy limit_policy_default;
/** NULL if there is none of that name. */
const LimitPolicy *limit_policy_find (const char *name);

/** Ends what was admitted, with the tokens that it was admitted for and those that it used. */
void
limiter_end (Limiter *limiter, const Config *config, unsigned team, int64_t tokens, int64_t used);

/** The part of a site-wide limit that one of members gates may use: the parts of all ranks add up
 * to the limit. rank -1: the part that any rank has at least. */
int64_t limit_share (int64_t limit, unsigned members, int rank);

#endif
