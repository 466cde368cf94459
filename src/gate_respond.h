/**
 * Hands answers and refusals to libmicrohttpd.
 */
#ifndef GATE_RESPOND_H
#define GATE_RESPOND_H

#include "gate_request.h"

enum MHD_Result gate_respond_refusal (GateRequest *r);
/** The whole answer in r->out. */
enum MHD_Result gate_respond_complete (GateRequest *r);
/** r->out first, then what gate_run_next gives, each event flushed. */
enum MHD_Result gate_respond_stream (GateRequest *r);

/** libmicrohttpd counts the time that we wait for an engine as the caller's idleness; between
 *  these two calls it does not. */
void gate_respond_pause_timeout (GateRequest *r);
void gate_respond_resume_timeout (GateRequest *r);
unsigned gate_idle_timeout_s (const Gate *gate);

#endif
