/**
 * The callers' sockets: listens, ends TLS, and hands each connection through a filter of malformed
 * requests to libmicrohttpd. One thread with an event loop, which does nothing but move bytes.
 */
#ifndef GATE_CALLERS_H
#define GATE_CALLERS_H

#include "gate_filter.h"
#include "settings.h"
#include "util_status.h"
#include <microhttpd.h>

typedef struct GateCallers GateCallers;

/** Nothing is listened to yet; NULL, and *st, when the certificate can't be used. */
GateCallers *
gate_callers_new (const SettingsGate *settings, const GateFilterLimits *limits, Status *st);
/** Listens, and hands connections to the daemon. False, and *st, when the address can't be had. */
bool gate_callers_start (GateCallers *callers, struct MHD_Daemon *daemon, Status *st);
/** The link of a connection that the daemon has just been given, held for the caller of this
 *  function; NULL if fd is none. */
GateLink *gate_callers_link (GateCallers *callers, int fd);
/** Takes no further connections; those that are open go on. When it returns, the daemon is given
 *  none any more. */
void gate_callers_stop_accepting (GateCallers *callers);
/** Sends what is written, for a bounded time, and ends all connections. */
void gate_callers_free (GateCallers *callers);

#endif
