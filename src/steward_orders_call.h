/**
 * HTTP calls to an engine: sends an order, and reads back what the engine has loaded.
 */
#ifndef STEWARD_ORDERS_CALL_H
#define STEWARD_ORDERS_CALL_H

#include "config.h"
#include "steward_duty.h"
#include <json-c/json.h>

/** Sends an order. STATUS_OK if the engine accepted it, STATUS_DENIED if the engine has seen a
 * newer fencing number. The order is not completed if the duty is not held directly before its
 * last byte. */
StatusCode
orders_send (const ConfigServer *server, struct json_object *order, StewardDuty *duty, Status *st);
/** Reads the engine's load report, which lists its loaded models; the caller releases *out. */
StatusCode orders_read_back (const ConfigServer *server, struct json_object **out, Status *st);

#endif
