/**
 * Orders to engines, sent by the holder of the roll-out duty: which versions each engine is to
 * load, as the configuration says. An order states the desired state under the duty's fencing
 * number. Each holder sends its own for each configuration and reads the engine's state back;
 * routing never relies on an order having worked.
 */
#ifndef STEWARD_ORDERS_H
#define STEWARD_ORDERS_H

#include "steward.h"
#include "steward_duty.h"

typedef struct StewardOrders StewardOrders;

/** Starts the thread that sends orders; it is idle while the duty is not held here. */
StewardOrders *steward_orders_start (Steward *s, StewardDuty *duty);
void steward_orders_stop (StewardOrders *o);
/** True if this holder has sent its order to every engine that serves the version, for this
 * configuration or a newer one. Whether the engine accepted the order doesn't matter. */
bool steward_orders_sent (StewardOrders *o, const Config *config, unsigned version);

#endif
