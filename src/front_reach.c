#include "front_reach.h"
#include <stddef.h>

/* Milliseconds between two requests that try servers of a service that isn't good. */
#define TRY_INTERVAL_MS 500
/* Milliseconds for which an opened connection shows that the service is reached: other fronts have
 * to find a cut within seconds. */
#define REACHED_MS 1000

static ReachService *
find (FrontReach *reach, uint64_t service)
{
  for (unsigned i = 0; i < REACH_SERVICES_MAX; i++)
    {
      if (reach->services[i].service == service)
        return &reach->services[i];
    }
  return NULL;
}

static ReachService *
get (FrontReach *reach, uint64_t service, int64_t now_ms)
{
  ReachService *found = find (reach, service);

  if (!found)
    {
      found = &reach->services[0];
      for (unsigned i = 1; i < REACH_SERVICES_MAX; i++)
        {
          if (reach->services[i].used_ms < found->used_ms)
            found = &reach->services[i];
        }
      *found = (ReachService){ .service = service };
    }
  found->used_ms = now_ms;
  return found;
}

static bool
has_failed (const ReachService *service, uint64_t server)
{
  for (unsigned i = 0; i < service->failed; i++)
    {
      if (service->servers[i] == server)
        return true;
    }
  return false;
}

bool
front_reach_failed (FrontReach *reach, const ReachTry *attempt, int64_t now_ms)
{
  ReachService *service = get (reach, attempt->service, now_ms);
  ReachState before = service->state;

  service->tried_ms = now_ms;
  if (service->state == REACH_LOST)
    return false;
  if (!has_failed (service, attempt->server))
    service->servers[service->failed++] = attempt->server;
  if (service->failed == REACH_SERVERS_MIN || service->failed >= attempt->servers)
    service->state = REACH_LOST;
  return service->state != before;
}

bool
front_reach_connected (FrontReach *reach, const ReachTry *attempt, int64_t now_ms)
{
  ReachService *service = get (reach, attempt->service, now_ms);
  ReachState before = service->state;

  service->failed = 0;
  service->reached_ms = now_ms;
  service->state = REACH_GOOD;
  return before != REACH_UNKNOWN && service->state != before;
}

ReachState
front_reach_state (const FrontReach *reach, uint64_t service)
{
  for (unsigned i = 0; i < REACH_SERVICES_MAX; i++)
    {
      if (reach->services[i].service == service)
        return reach->services[i].state;
    }
  return REACH_UNKNOWN;
}

const char *
front_reach_state_name (ReachState state)
{
  static const char *const names[] = {
    [REACH_UNKNOWN] = "unknown",
    [REACH_GOOD] = "back",
    [REACH_LOST] = "lost",
  };

  return names[state];
}

bool
front_reach_should_try (FrontReach *reach, uint64_t service, int64_t now_ms)
{
  ReachService *found = find (reach, service);

  if (!found || found->state != REACH_LOST || now_ms - found->tried_ms < TRY_INTERVAL_MS)
    return false;
  found->tried_ms = now_ms;
  return true;
}

unsigned
front_reach_report (const FrontReach *reach, ReachReport *out, int64_t now_ms)
{
  unsigned count = 0;

  for (unsigned i = 0; i < REACH_SERVICES_MAX; i++)
    {
      const ReachService *service = &reach->services[i];

      if (service->service == 0)
        continue;
      out[count++] = (ReachReport){
        .service = service->service,
        .is_reached = service->state == REACH_GOOD && service->reached_ms != 0
                      && now_ms - service->reached_ms < REACHED_MS,
        .is_lost = service->state == REACH_LOST,
      };
    }
  return count;
}
