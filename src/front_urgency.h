/**
 * Ranks requests by urgency for the queues of backend servers and for those of this front: first by
 * the priority of the team, within a team by the route. No I/O.
 */
#ifndef FRONT_URGENCY_H
#define FRONT_URGENCY_H

#include <stdbool.h>
#include <stdint.h>

#define URGENCY_RANK_MAX      9  /**< last; 0 is first */
#define URGENCY_LEVELS        3  /**< of the routes of a service */
#define URGENCY_PRIORITIES    10 /**< of teams: 0, the most urgent, to 9 */
#define URGENCY_KINDS_MAX     64 /**< of the routes of a service; those beyond are on level 0 */
#define URGENCY_PRIORITY_NONE (-1)

/** What the level of a route depends on. */
typedef struct
{
  int64_t priority;     /**< 0 is the most urgent */
  int64_t timeout_ms;   /**< longest time that its callers wait */
  int64_t objective_ms; /**< within which its answers should begin */
} UrgencyRoute;

/** How many teams have each priority. */
typedef struct
{
  unsigned counts[URGENCY_PRIORITIES];
} UrgencyTeams;

/** Sets the level of each route, 0 to URGENCY_LEVELS - 1, among all that are given, which compete
 *  for the same servers. A route comes after a more urgent one only if its callers can wait for
 *  twice the objective of that one without a late answer; otherwise they would be served late, or
 *  leave unserved, while it is busy. */
void front_urgency_levels (const UrgencyRoute *routes, unsigned count, unsigned *levels);
/** Counts a team; a priority out of range counts as none. True if it is in range or none. */
bool front_urgency_add_team (UrgencyTeams *teams, int64_t priority);
/** The place of a team among the priorities in use, from 0; that of the middle team for a request
 *  without a team, and for a team whose priority is none or out of range. */
unsigned front_urgency_team_place (const UrgencyTeams *teams, int64_t priority);
/** Rank of a request, 0 to URGENCY_RANK_MAX. */
unsigned front_urgency_rank (unsigned team_place, unsigned level);
/** Rank of a request that comes after those of the same rank: that of the next one. */
unsigned front_urgency_rank_behind (unsigned rank);
/** True if a service whose answers begin so many milliseconds late counts as loaded for a route. */
bool front_urgency_is_loaded (double late_ms, int64_t objective_ms);
/** True if a request has waited for so long, compared with the time that is left until its caller
 *  leaves, that it comes before others when it is sent again. */
bool front_urgency_is_pressed (int64_t waited_ms, int64_t left_ms);
/** True if requests of the route at this place can be ranked one behind: their callers can wait for
 *  all routes up to the next level. */
bool front_urgency_may_yield (const UrgencyRoute *routes,
                              const unsigned *levels,
                              unsigned count,
                              unsigned at);

#endif
