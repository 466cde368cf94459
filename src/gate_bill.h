/**
 * Writes the usage record of a finished request and settles or releases its claim.
 */
#ifndef GATE_BILL_H
#define GATE_BILL_H

#include "gate_request.h"

/** For a claimed request, appends r->out to r->kept, the copy of the answer that is stored with the
 * claim. An answer longer than CLAIM_ANSWER_MAX bytes is not stored. */
void gate_bill_keep_answer (GateRequest *r);
/** Makes the usage record durable and, if the request was answered, settles its claim in the same
 * write. Called at most once for a request. */
void gate_bill_commit (GateRequest *r, BillOutcome outcome);
/** Handles a refused request: releases the claim if the request did not run; otherwise writes a
 * usage record at no cost. */
void gate_bill_refused (GateRequest *r);

#endif
