/**
 * HTTP API of the stand-in engine, specified in docs/PLATFORM.md.
 */
#ifndef ENGINE_CALLS_H
#define ENGINE_CALLS_H

#include "common_http.h"

extern const StandinRoutes engine_routes;

#endif
