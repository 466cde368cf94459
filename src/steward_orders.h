/**
 * Orders to engines, by the holder of the roll-out duty: which versions each is to carry, as the
 * configuration says. Orders are statements of the desired state under the duty's fencing number,
 * made anew by each holder and for each configuration, and read back; routing never relies on one
 * having worked.
 */
#ifndef STEWARD_ORDERS_H
#define STEWARD_ORDERS_H

#include "steward.h"
#include "steward_duty.h"

typedef struct StewardOrders StewardOrders;

/** Starts the thread that sends them; it is idle while the duty is not held here. */
StewardOrders *steward_orders_start (Steward *s, StewardDuty *duty);
void steward_orders_stop (StewardOrders *o);
/** Whether every engine that serves the version was told so by this holder since that
 *  configuration, be it that the engine took the order or not. */
bool steward_orders_sent (StewardOrders *o, const Config *config, unsigned version);

#endif
