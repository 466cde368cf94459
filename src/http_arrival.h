/**
 * The pace at which requests have to arrive while there is no room for all of them. Callers send a
 * request as fast as the network takes it; one that arrives more slowly than any network in use is
 * held back by its caller. No I/O.
 */
#ifndef HTTP_ARRIVAL_H
#define HTTP_ARRIVAL_H

#include <stddef.h>
#include <stdint.h>

/** Milliseconds that any request may take: a lost packet is sent again after a second at most. */
#define HTTP_ARRIVAL_GRACE_MS 1000
/** Bytes a millisecond that have to arrive besides: half of a link of 1 Mbit/s. */
#define HTTP_ARRIVAL_BYTES_PER_MS 64

/** Milliseconds by which a request is late of which so many bytes have arrived in passed_ms; 0 or
 * less: it isn't. */
int64_t http_arrival_late_ms (int64_t passed_ms, size_t received);

#endif
