/**
 * Initialisation and units of the neon HTTP library.
 */
#ifndef HTTP_NEON_H
#define HTTP_NEON_H

/** Initialises the library; repeated calls have no effect. Thread-safe. */
void http_neon_start (void);

/** Converts a time-out to whole seconds, neon's resolution: rounded up, and at least 1, because
 * neon does not accept 0. */
int http_neon_seconds (int ms);

#endif
