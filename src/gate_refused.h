/**
 * Counts and logs refusals.
 */
#ifndef GATE_REFUSED_H
#define GATE_REFUSED_H

#include "gate_request.h"

/** Counts r->refusal by its reason and logs it, within a limit of lines per second. */
void gate_refused_record (const GateRequest *r);
/** Appends a "gate_refused_REASON count" line for each reason to out. */
void gate_refused_metrics (Buffer *out);

#endif
