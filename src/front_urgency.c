#include "front_urgency.h"
#include <stddef.h>

/* Time for a more urgent route, in its objectives: one for its requests, one for their own. */
#define WAIT_OBJECTIVES 2
/* Share of the objective by which answers begin late before their service counts as loaded. */
#define LOADED_SHARE 0.25

/* Callers who wait for the other route are still there afterwards. */
static bool
outlasts (const UrgencyRoute *route, const UrgencyRoute *other)
{
  return route->timeout_ms >= WAIT_OBJECTIVES * other->objective_ms;
}

/* Their answers may even begin in time. */
static bool
can_wait_for (const UrgencyRoute *route, const UrgencyRoute *urgent)
{
  return outlasts (route, urgent) && route->objective_ms >= WAIT_OBJECTIVES * urgent->objective_ms;
}

/* Level of a route, if those of all more urgent ones are set. */
static unsigned
level_of (const UrgencyRoute *routes, unsigned count, unsigned at, const unsigned *levels)
{
  unsigned level = 0, level_max = URGENCY_LEVELS - 1;

  for (unsigned i = 0; i < count; i++)
    {
      if (routes[i].priority >= routes[at].priority)
        continue;
      if (can_wait_for (&routes[at], &routes[i]))
        level = levels[i] + 1 > level ? levels[i] + 1 : level;
      else if (levels[i] < level_max)
        level_max = levels[i];
    }
  return level < level_max ? level : level_max;
}

/* Finds the lowest priority above *after; the lowest of all if that is NULL. False: there is none.
 */
static bool
next_priority (const UrgencyRoute *routes, unsigned count, const int64_t *after, int64_t *next)
{
  bool found = false;

  for (unsigned i = 0; i < count; i++)
    {
      if ((after && routes[i].priority <= *after) || (found && routes[i].priority >= *next))
        continue;
      *next = routes[i].priority;
      found = true;
    }
  return found;
}

void
front_urgency_levels (const UrgencyRoute *routes, unsigned count, unsigned *levels)
{
  int64_t priority = 0, after;
  const int64_t *known = NULL;

  while (next_priority (routes, count, known, &priority))
    {
      for (unsigned i = 0; i < count; i++)
        {
          if (routes[i].priority == priority)
            levels[i] = level_of (routes, count, i, levels);
        }
      after = priority;
      known = &after;
    }
}

static bool
is_in_range (int64_t priority)
{
  return priority >= 0 && priority < URGENCY_PRIORITIES;
}

bool
front_urgency_add_team (UrgencyTeams *teams, int64_t priority)
{
  if (is_in_range (priority))
    teams->counts[priority]++;
  return is_in_range (priority) || priority == URGENCY_PRIORITY_NONE;
}

/* Priority of the middle one of the teams that have any. */
static int64_t
middle_priority (const UrgencyTeams *teams)
{
  unsigned all = 0, passed = 0;

  for (unsigned i = 0; i < URGENCY_PRIORITIES; i++)
    all += teams->counts[i];
  for (unsigned i = 0; i < URGENCY_PRIORITIES; i++)
    {
      passed += teams->counts[i];
      if (2 * passed >= all && teams->counts[i] > 0)
        return i;
    }
  return 0;
}

unsigned
front_urgency_team_place (const UrgencyTeams *teams, int64_t priority)
{
  int64_t own = is_in_range (priority) ? priority : middle_priority (teams);
  unsigned place = 0;

  for (int64_t i = 0; i < own; i++)
    place += teams->counts[i] > 0;
  return place;
}

static unsigned
bounded (unsigned rank)
{
  return rank < URGENCY_RANK_MAX ? rank : URGENCY_RANK_MAX;
}

unsigned
front_urgency_rank (unsigned team_place, unsigned level)
{
  return bounded (URGENCY_LEVELS * team_place + level);
}

unsigned
front_urgency_rank_behind (unsigned rank)
{
  return bounded (rank + 1);
}

bool
front_urgency_is_loaded (double late_ms, int64_t objective_ms)
{
  return late_ms > 0 && late_ms >= LOADED_SHARE * (double)objective_ms;
}

/* Not as soon as it is late: under a burst of the least urgent kind most of its requests are, and
 * would come beside the most urgent ones. */
bool
front_urgency_is_pressed (int64_t waited_ms, int64_t left_ms)
{
  return waited_ms >= left_ms;
}

bool
front_urgency_may_yield (const UrgencyRoute *routes,
                         const unsigned *levels,
                         unsigned count,
                         unsigned at)
{
  for (unsigned i = 0; i < count; i++)
    {
      if (levels[i] <= levels[at] + 1 && !outlasts (&routes[at], &routes[i]))
        return false;
    }
  return true;
}
