/**
 * Runs one request: admission, session, plan, claim, attempts and usage record.
 */
#ifndef GATE_RUN_H
#define GATE_RUN_H

#include "gate_request.h"

typedef enum
{
  RUN_REFUSED,    /**< r->refusal says why */
  RUN_COMPLETE,   /**< the answer is in r->out and its usage record is durable */
  RUN_STREAM,     /**< the first events are in r->out; gate_run_next gets the rest */
  RUN_CALLER_LEFT /**< the caller has left */
} RunResult;

/** Runs the request until its complete answer or its first events are available. */
RunResult gate_run (GateRequest *r);
/** Replaces r->out with the next events and sets r->phase. False: the caller has left. */
bool gate_run_next (GateRequest *r);
/**
 * Ends the current attempt when the caller has left: the engine's answer is cancelled and its
 * tokens so far are billed. A claimed request runs to its end, so that a caller's retry finds its
 * answer.
 */
void gate_run_abandon (GateRequest *r);

#endif
