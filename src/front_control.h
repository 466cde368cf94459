/**
 * What this process answers to the balancer, to monitoring and to other fronts.
 */
#ifndef FRONT_CONTROL_H
#define FRONT_CONTROL_H

#include "front.h"

/** NULL if an address can't be bound. */
FrontControl *front_control_new (Front *front);
void front_control_free (FrontControl *control);
/** Answers the questions of other fronts that news has come for, or that have waited long enough.
 */
void front_control_tick (FrontControl *control, int64_t now_ms);

#endif
