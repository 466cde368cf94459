#include "front_holding.h"

void
front_holding_init (FrontHolding *holding)
{
  CDS_INIT_LIST_HEAD (&holding->requests);
  holding->timer = NULL;
}

void
front_holding_clear (FrontHolding *holding)
{
  if (holding->timer)
    event_free (holding->timer);
  holding->timer = NULL;
}

HoldPace *
front_holding_pace (FrontHolding *holding, uint64_t service)
{
  HoldingService *oldest = &holding->services[0];

  for (unsigned i = 0; i < HOLDING_SERVICES_MAX; i++)
    {
      HoldingService *known = &holding->services[i];

      if (known->service == service)
        return &known->pace;
      if (known->pace.full_ms < oldest->pace.full_ms)
        oldest = known;
    }
  *oldest = (HoldingService){ .service = service };
  return &oldest->pace;
}

HoldNeed *
front_holding_need (FrontHolding *holding, uint64_t route)
{
  for (unsigned i = 0; i < HOLDING_KINDS_MAX; i++)
    {
      if (holding->kinds[i].route == 0)
        holding->kinds[i].route = route;
      if (holding->kinds[i].route == route)
        return &holding->kinds[i].need;
    }
  return NULL;
}
