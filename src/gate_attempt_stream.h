/**
 * Reads, resumes and cancels an engine's answer over HTTP: the GateStreamOps of an attempt.
 */
#ifndef GATE_ATTEMPT_STREAM_H
#define GATE_ATTEMPT_STREAM_H

#include "gate_attempt.h"

#define ATTEMPT_CONNECT_TIMEOUT_MS 1000
#define ATTEMPT_ANSWER_MAX         (64UL * 1024 * 1024) /**< bytes */

/** The context argument is the GateAttempt. */
extern const GateStreamOps gate_attempt_stream_ops;

#endif
