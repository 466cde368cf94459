/**
 * Deaths of backend servers, and the requests that they were running: a request that is there at
 * every death is what kills them.
 */
#ifndef FRONT_DEATHS_H
#define FRONT_DEATHS_H

#include "front.h"

/** A connection on which the server was running this request was cut. */
void front_deaths_check (Front *front, FrontServer *server, uint64_t fingerprint);

#endif
