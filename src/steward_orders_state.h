/**
 * The versions that an engine is to load, and whether it has loaded them. No I/O.
 */
#ifndef STEWARD_ORDERS_STATE_H
#define STEWARD_ORDERS_STATE_H

#include "config.h"
#include <json-c/json.h>

/** The order {"fence","load","unload"} for a server; freed with json_object_put. load: the versions
 * that it serves and that are not withdrawn. unload: the withdrawn ones, once the configuration is
 * in force on all members; before that a gate might still send work to them. */
struct json_object *
orders_desired (const Config *config, const ConfigServer *server, int64_t fence, bool in_force);
/** True if an engine that reports these models ({"models":[…]}) is in the desired state. */
bool orders_met (struct json_object *desired, struct json_object *report);

#endif
