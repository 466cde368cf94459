/**
 * Counts and logs refusals.
 */
#ifndef GATE_REFUSED_H
#define GATE_REFUSED_H

#include "gate_request.h"

/** Counts r->refusal by its reason, and logs it unless many were logged this second. */
void gate_refused_record (const GateRequest *r);
/** Adds a "gate_refused_REASON count" line for each reason. */
void gate_refused_metrics (Buffer *out);

#endif
