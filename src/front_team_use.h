/**
 * Finds the teams that send far more to a loaded service than others, by what this front received
 * lately. Each team has requests in turn up to its part; those beyond it come behind the other
 * teams' requests. Each front gets a random sample of the callers, so fronts need not tell each
 * other. No I/O.
 */
#ifndef FRONT_TEAM_USE_H
#define FRONT_TEAM_USE_H

#include <stdbool.h>
#include <stdint.h>

#define TEAM_USES_MAX 128 /**< teams of services kept; that with the fewest requests yields */

/** Decaying counts of the requests of a team for a service. */
typedef struct
{
  uint64_t service; /**< hash of the name */
  uint64_t team;    /**< hash of the name; 0: unused */
  double received;
  double in_turn; /**< of these, not ranked behind others */
  int64_t at_ms;  /**< time as of which the counts hold */
} TeamUse;

typedef struct
{
  TeamUse uses[TEAM_USES_MAX];
} FrontTeamUse;

/** Counts a request. True if it comes in turn; always if the service isn't loaded. */
bool front_team_use_add (FrontTeamUse *use,
                         uint64_t service,
                         uint64_t team,
                         bool is_loaded,
                         int64_t now_ms);

#endif
