/**
 * Prefix cache of the stand-in engine: the most recently used prefixes, and the events that report
 * which ones were added and evicted. The faults late_events and gappy_events delay or omit events.
 */
#ifndef ENGINE_CACHE_H
#define ENGINE_CACHE_H

#include "common_http.h"
#include <stdbool.h>
#include <stdint.h>

/** Adds the prefix, evicting the least recently used one if the cache is full. Returns true if it
 *  was cached already. */
bool cache_use (uint64_t prefix);
/** GET /v1/cache_events?from=N: the events from sequence number N on. */
enum MHD_Result cache_events (StandinRequest *request);

#endif
