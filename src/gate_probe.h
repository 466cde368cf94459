/**
 * Checks whether a backend server's port refuses connections.
 */
#ifndef GATE_PROBE_H
#define GATE_PROBE_H

#include <stdbool.h>

/** Connects once and closes the connection. True only if it was refused: a server that hangs or
 * cannot be reached may still be alive. Takes at most timeout_ms. */
bool gate_probe_refused (const char *address, int port, int timeout_ms);

#endif
