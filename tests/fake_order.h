/**
 * A platform on which one dispatch order is claimed repeatedly.
 */
#ifndef FAKE_ORDER_H
#define FAKE_ORDER_H

#include "claim_row.h"
#include "fake_platform.h"

/** Hash of the order's body. */
#define ORDER_BODY 0xfedcba9876543210U

typedef struct
{
  Platform *p;
  PlatformGroup *group;
} OrderSite;

OrderSite order_site_new (void);
void order_site_free (OrderSite *site);
/** Claims the order with a body of that hash. */
ClaimResult order_claim (const OrderSite *site, uint64_t body, ClaimOutcome *out);
/** Claims the order again, as a caller's retry at another VM; only the result is returned. */
ClaimResult order_caller_retry (const OrderSite *site);

#endif
