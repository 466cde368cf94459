#include "front_reach.h"
#include <stddef.h>

/* Milliseconds between two requests that try a lost service's servers. */
#define TRY_INTERVAL_MS 500

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

  if (service->is_lost)
    {
      service->tried_ms = now_ms;
      return false;
    }
  if (!has_failed (service, attempt->server))
    service->servers[service->failed++] = attempt->server;
  service->is_lost = service->failed == REACH_SERVERS_MIN || service->failed >= attempt->servers;
  service->tried_ms = now_ms;
  return service->is_lost;
}

bool
front_reach_connected (FrontReach *reach, const ReachTry *attempt)
{
  ReachService *service = find (reach, attempt->service);
  bool was_lost = service && service->is_lost;

  if (service)
    *service = (ReachService){ 0 };
  return was_lost;
}

bool
front_reach_is_lost (const FrontReach *reach, uint64_t service)
{
  for (unsigned i = 0; i < REACH_SERVICES_MAX; i++)
    {
      if (reach->services[i].service == service)
        return reach->services[i].is_lost;
    }
  return false;
}

bool
front_reach_should_try (FrontReach *reach, uint64_t service, int64_t now_ms)
{
  ReachService *found = find (reach, service);

  if (!found || !found->is_lost || now_ms - found->tried_ms < TRY_INTERVAL_MS)
    return false;
  found->tried_ms = now_ms;
  return true;
}

unsigned
front_reach_lost (const FrontReach *reach, uint64_t *out, unsigned max)
{
  unsigned count = 0;

  for (unsigned i = 0; i < REACH_SERVICES_MAX && count < max; i++)
    {
      if (reach->services[i].is_lost)
        out[count++] = reach->services[i].service;
    }
  return count;
}
