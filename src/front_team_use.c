#include "front_team_use.h"
#include <math.h>
#include <stddef.h>

/* Milliseconds in which a count halves: a team that sends less is in turn again after some of
 * them. */
#define HALF_LIFE_MS 2000.0
/* Requests below which a team is never beyond its part, and a count below which it isn't active. */
#define REQUESTS_MIN 8.0
#define ACTIVE_MIN   0.5
/* Part of what a loaded service is asked for that it is assumed to serve. */
#define SERVED_SHARE 0.75
/* A team is beyond its part only if it also sends this many times the mean of the others. */
#define FAR_MORE 3.0
/* Halvings of the interval in which the equal part lies. */
#define STEPS 12

/* The active teams of a service. */
typedef struct
{
  unsigned teams;
  double received;
  double most; /* of one team */
} ServiceUse;

static void
decay (TeamUse *use, int64_t now_ms)
{
  double factor;

  if (now_ms <= use->at_ms)
    return;
  factor = exp2 (-(double)(now_ms - use->at_ms) / HALF_LIFE_MS);
  use->received *= factor;
  use->in_turn *= factor;
  use->at_ms = now_ms;
}

/* The record of the team, in place of the least used one if it is new. All are brought up to
 * date. */
static TeamUse *
find (FrontTeamUse *use, uint64_t service, uint64_t team, int64_t now_ms)
{
  TeamUse *least = &use->uses[0];

  for (unsigned i = 0; i < TEAM_USES_MAX; i++)
    decay (&use->uses[i], now_ms);
  for (unsigned i = 0; i < TEAM_USES_MAX; i++)
    {
      TeamUse *known = &use->uses[i];

      if (known->service == service && known->team == team)
        return known;
      if (known->received < least->received)
        least = known;
    }
  *least = (TeamUse){ .service = service, .team = team, .at_ms = now_ms };
  return least;
}

static bool
is_active (const TeamUse *use, uint64_t service)
{
  return use->team != 0 && use->service == service && use->received >= ACTIVE_MIN;
}

static ServiceUse
sum_of (const FrontTeamUse *use, uint64_t service)
{
  ServiceUse sum = { 0 };

  for (unsigned i = 0; i < TEAM_USES_MAX; i++)
    {
      if (!is_active (&use->uses[i], service))
        continue;
      sum.teams++;
      sum.received += use->uses[i].received;
      sum.most = fmax (sum.most, use->uses[i].received);
    }
  return sum;
}

static double
served_up_to (const FrontTeamUse *use, uint64_t service, double part)
{
  double served = 0;

  for (unsigned i = 0; i < TEAM_USES_MAX; i++)
    {
      if (is_active (&use->uses[i], service))
        served += fmin (use->uses[i].received, part);
    }
  return served;
}

/* The max-min part: if no team got more than this, what is served would be given out. */
static double
equal_part (const FrontTeamUse *use, uint64_t service, const ServiceUse *sum)
{
  double low = 0, high = sum->most;

  for (unsigned i = 0; i < STEPS; i++)
    {
      double middle = (low + high) / 2;

      if (served_up_to (use, service, middle) < SERVED_SHARE * sum->received)
        low = middle;
      else
        high = middle;
    }
  return high;
}

static bool
is_in_turn (const FrontTeamUse *use, const TeamUse *own)
{
  ServiceUse sum;
  double others, part;

  if (own->received < REQUESTS_MIN)
    return true;
  sum = sum_of (use, own->service);
  if (sum.teams < 2)
    return true;
  others = (sum.received - own->received) / (sum.teams - 1);
  part = fmax (equal_part (use, own->service, &sum), FAR_MORE * others);
  /* By chance, a front gets more or less of a team's requests by about the root of their number. */
  return own->in_turn < fmax (part + sqrt (part), REQUESTS_MIN);
}

bool
front_team_use_add (FrontTeamUse *use,
                    uint64_t service,
                    uint64_t team,
                    bool is_loaded,
                    int64_t now_ms)
{
  TeamUse *own = find (use, service, team, now_ms);
  bool in_turn;

  own->received++;
  in_turn = !is_loaded || is_in_turn (use, own);
  own->in_turn += in_turn;
  return in_turn;
}
