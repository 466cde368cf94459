/**
 * Estimates the load of one backend server by other fronts, which report it when they send
 * requests: prompts that wait to be read, and requests that run. Both decrease as time passes, so
 * the end of a request need not be reported, and errors from a lost message or a dead front
 * disappear soon. A front itself sees only a small part of its servers' load. No I/O.
 */
#ifndef FRONT_PEER_LOAD_H
#define FRONT_PEER_LOAD_H

#include <stdint.h>

typedef struct
{
  double read_ms; /**< milliseconds of queued reading, as of at_ms */
  double running; /**< running requests, weighted by model; as of at_ms */
  int64_t at_ms;
} FrontPeerLoad;

/** Adds load reported by another front; values that are not positive numbers add nothing. */
void front_peer_load_add (FrontPeerLoad *load, double read_ms, double running, int64_t now_ms);
/** Milliseconds of reading that remain. */
double front_peer_load_read_ms (const FrontPeerLoad *load, int64_t now_ms);
/** Running requests that are assumed to remain, weighted by model. */
double front_peer_load_running (const FrontPeerLoad *load, int64_t now_ms);

#endif
