/**
 * Updates statistics with the outcome of r->attempt: the estimates by which the stages of a
 * cascade are ordered, and the evidence about versions that the steward merges over all gates.
 */
#ifndef GATE_LEARN_H
#define GATE_LEARN_H

#include "gate_request.h"

/** Records a complete answer. A sampled answer is queued for the rating service too, unless it was
 * rated already. */
void gate_learn_answer (GateRequest *r);
/**
 * Records that the version or its server gave no complete answer. Does nothing for plain services.
 */
void gate_learn_error (GateRequest *r);
/** Records the score of an answer that was rated before it was relayed. */
void gate_learn_rating (GateRequest *r, double score);

#endif
