#include "fake_order.h"

#define TEAM "dispatch"
#define KEY  "order-17"

OrderSite
order_site_new (void)
{
  Platform *p = fake_platform_new ();
  PlatformGroup *group = platform_group_new (p, 0, 64, 1000);

  /* Each attempt must reach the platform: with a threshold the group would refuse calls for a while
     after injected faults. */
  platform_group_set_failure_threshold (group, 0);
  return (OrderSite){ .p = p, .group = group };
}

void
order_site_free (OrderSite *site)
{
  platform_group_free (site->group);
  platform_free (site->p);
}

ClaimResult
order_claim (const OrderSite *site, uint64_t body, ClaimOutcome *out)
{
  claim_take (site->group, site->p, TEAM, KEY, body, out, NULL);
  return out->result;
}

ClaimResult
order_caller_retry (const OrderSite *site)
{
  ClaimOutcome out;
  ClaimResult result = order_claim (site, ORDER_BODY, &out);

  claim_outcome_clear (&out);
  return result;
}
