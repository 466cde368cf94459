/**
 * Reads the load reports of the engines that this gate watches, over a persistent connection to
 * each: each engine about once a second, or in turn if that would exceed GATE_POLL_READS_MAX reads
 * per second.
 */
#ifndef GATE_POLL_H
#define GATE_POLL_H

#include "gate.h"

/** Reads per second, on average over several seconds and for any number of engines. Bounds the
 * network traffic for control. */
#define GATE_POLL_READS_MAX 32

typedef struct GatePoll GatePoll;

GatePoll *gate_poll_start (Gate *gate);
void gate_poll_stop (GatePoll *poll);

#endif
