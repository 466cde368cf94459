/**
 * Reads the version in force from the platform's store, by the calls that fronts use.
 */
#ifndef LINT_IN_FORCE_H
#define LINT_IN_FORCE_H

#include "util_buffer.h"
#include "util_status.h"

/** Appends the configuration's text; never writes to the store. address: IP:PORT. All of it takes
 *  at most timeout_ms. Returns STATUS_OK, or the error with step and peer in *st:
 *  STATUS_UNAVAILABLE: no whole answer, or one that refuses; STATUS_NOT_FOUND: the store has no
 *  configuration; STATUS_INVALID: the address or the answer can't be read. */
StatusCode lint_in_force_read (const char *address, int timeout_ms, Buffer *text, Status *st);

#endif
