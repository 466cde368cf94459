/**
 * The way of one request: admission, session, plan, claim, attempts, usage record.
 */
#ifndef GATE_RUN_H
#define GATE_RUN_H

#include "gate_request.h"

typedef enum
{
  RUN_REFUSED,    /**< r->refusal says why */
  RUN_COMPLETE,   /**< the answer is in r->out and its usage record is durable */
  RUN_STREAM,     /**< the first events are in r->out; gate_run_next gives the rest */
  RUN_CALLER_LEFT /**< the caller has left */
} RunResult;

/** Runs the request until its answer or its first event is there. */
RunResult gate_run (GateRequest *r);
/** Adds the next events to r->out and sets r->phase; false: the caller has left. */
bool gate_run_next (GateRequest *r);
/** Ends what is still open when the caller has left: the engine's answer is cancelled and what was
 *  generated is billed; a claimed request is run to its end, so that a re-send finds its answer. */
void gate_run_abandon (GateRequest *r);

#endif
