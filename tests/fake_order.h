/**
 * A site on which one dispatch order is claimed again and again.
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
/** An attempt with a body of that hash. */
ClaimResult order_claim (const OrderSite *site, uint64_t body, ClaimOutcome *out);
/** A re-send at another VM, of which only the result matters. */
ClaimResult order_resend (const OrderSite *site);

#endif
