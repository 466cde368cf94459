/**
 * Raises a brake at this steward: adds it to the set, writes an audit entry and broadcasts it to
 * the other members at once.
 */
#ifndef STEWARD_BRAKE_H
#define STEWARD_BRAKE_H

#include "steward.h"

ClusterBrakeResult steward_brake_raise (Steward *s, const ClusterBrake *brake);

#endif
