#include "front_brittle_services.h"
#include <stddef.h>

static BrittleService *
find (BrittleServices *services, uint64_t service)
{
  for (unsigned i = 0; i < BRITTLE_SERVICES_MAX; i++)
    {
      if (services->services[i].service == service)
        return &services->services[i];
    }
  return NULL;
}

static BrittleService *
get (BrittleServices *services, uint64_t service)
{
  BrittleService *found = find (services, service);

  if (found)
    return found;
  found = &services->services[0];
  for (unsigned i = 1; i < BRITTLE_SERVICES_MAX; i++)
    {
      if (services->services[i].named_ms < found->named_ms)
        found = &services->services[i];
    }
  *found = (BrittleService){ .service = service };
  return found;
}

bool
brittle_services_named (BrittleServices *services, uint64_t service, double per_s, int64_t now_ms)
{
  BrittleService *entry = get (services, service);
  bool was_named = entry->is_named;

  entry->is_named = true;
  entry->per_s = per_s;
  entry->named_ms = now_ms;
  return !was_named;
}

void
brittle_services_absent (BrittleServices *services, uint64_t service)
{
  BrittleService *entry = find (services, service);

  if (entry)
    entry->is_named = false;
}

void
brittle_services_apply (const BrittleServices *services,
                        uint64_t service,
                        ServerBrittle *brittle,
                        int64_t now_ms)
{
  for (unsigned i = 0; i < BRITTLE_SERVICES_MAX; i++)
    {
      const BrittleService *entry = &services->services[i];

      if (entry->service == service && entry->is_named && !brittle->is_named)
        server_brittle_named (brittle, entry->per_s, now_ms);
    }
}
