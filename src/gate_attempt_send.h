/**
 * Sends one attempt's request to its backend server.
 */
#ifndef GATE_ATTEMPT_SEND_H
#define GATE_ATTEMPT_SEND_H

#include "gate_attempt.h"

/** Sends the request, calls gate_guard before its last byte, and reads the head of the response.
 * Returns the codes of http_exchange_begin. */
StatusCode gate_attempt_send (GateAttempt *a, Status *st);

#endif
