/**
 * Queues answers and refusals as libmicrohttpd responses.
 */
#ifndef GATE_RESPOND_H
#define GATE_RESPOND_H

#include "gate_request.h"

enum MHD_Result gate_respond_refusal (GateRequest *r);
/** Responds with the complete answer in r->out. */
enum MHD_Result gate_respond_complete (GateRequest *r);
/** Responds with r->out and then with the events from gate_run_next, each flushed at once. */
enum MHD_Result gate_respond_stream (GateRequest *r);

/** libmicrohttpd counts the time in which the gate waits for an engine towards the connection's
 * idle time-out. Between these two calls the time-out is off. */
void gate_respond_pause_timeout (GateRequest *r);
void gate_respond_resume_timeout (GateRequest *r);
unsigned gate_idle_timeout_s (const Gate *gate);

#endif
