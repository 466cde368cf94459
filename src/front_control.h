/**
 * HTTP servers: the health check for the load balancer, the metrics, and rows for other fronts.
 */
#ifndef FRONT_CONTROL_H
#define FRONT_CONTROL_H

#include "front.h"

/** NULL if an address can't be bound. */
FrontControl *front_control_new (Front *front);
void front_control_free (FrontControl *control);
/** Answers the held long polls for which there are changes or that have timed out. */
void front_control_tick (FrontControl *control, int64_t now_ms);

#endif
