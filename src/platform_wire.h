/**
 * JSON of the platform's protocol (docs/PLATFORM.md): functions that build requests and decode
 * answers. The decoders return false if the answer violates the protocol, and then leave nothing to
 * free.
 */
#ifndef PLATFORM_WIRE_H
#define PLATFORM_WIRE_H

#include "platform.h"
#include <json-c/json.h>

/** Parses an answer of len bytes; NULL if it is not a JSON object. Freed with json_object_put. */
struct json_object *platform_wire_parse (const char *text, size_t len);

/** Body of POST /v1/txn; freed with json_object_put. */
struct json_object *platform_wire_txn (const TxnOp *ops, size_t count);
/** Stores the results of a committed transaction in ops. */
bool platform_wire_results (struct json_object *answer, TxnOp *ops, size_t count);
bool platform_wire_row (struct json_object *answer, PlatformRow *row);
bool platform_wire_rows (struct json_object *answer, PlatformRows *rows);
bool platform_wire_vms (struct json_object *answer, PlatformVms *vms);
/** Body of POST /v1/rate; freed with json_object_put. */
struct json_object *
platform_wire_rate (const char *quality_class, const char *prompt, const char *answer);
/** Decodes a score; it must be between 0 and 1. */
bool platform_wire_score (struct json_object *answer, double *score);

#endif
