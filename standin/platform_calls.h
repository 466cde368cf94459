/**
 * HTTP API of the stand-in platform, specified in docs/PLATFORM.md.
 */
#ifndef PLATFORM_CALLS_H
#define PLATFORM_CALLS_H

#include "common_http.h"
#include <stdint.h>

extern const StandinRoutes platform_routes;

/** Sets the noise that is added to ratings: its standard deviation, and the generator's seed. */
void platform_set_rate_noise (double deviation, uint64_t seed);
/** POST /v1/rate */
enum MHD_Result platform_rate (StandinRequest *request);

#endif
