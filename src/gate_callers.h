/**
 * Accepts callers' connections, terminates TLS, and hands each connection to libmicrohttpd through
 * a filter that stops malformed requests. Runs one thread with an event loop that only copies
 * bytes.
 */
#ifndef GATE_CALLERS_H
#define GATE_CALLERS_H

#include "gate_filter.h"
#include "settings.h"
#include "util_status.h"
#include <microhttpd.h>

typedef struct GateCallers GateCallers;

/** Does not listen yet. NULL, with *st set, if the certificate or its key cannot be used. */
GateCallers *gate_callers_new (const SettingsGate *settings,
                               const GateFilterLimits *limits,
                               GateMemory *memory,
                               Status *st);
/** Starts to listen and to hand connections to the daemon. False, with *st set, if the address
 * cannot be bound. */
bool gate_callers_start (GateCallers *callers, struct MHD_Daemon *daemon, Status *st);
/** Returns, once, the link of a connection that has just been handed to the daemon as fd, with a
 * reference for the function's caller; NULL if there is none. */
GateLink *gate_callers_take_link (GateCallers *callers, int fd);
/** A connection that the daemon had has ended. May be called in any thread. */
void gate_callers_connection_ended (GateCallers *callers);
/** Stops accepting connections; open ones continue. After it returns, the daemon gets no more. */
void gate_callers_stop_accepting (GateCallers *callers);
/** Flushes pending output for a bounded time, closes all connections and frees callers. */
void gate_callers_free (GateCallers *callers);

#endif
