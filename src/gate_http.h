/**
 * Serves HTTP to callers with libmicrohttpd, with one thread per connection.
 */
#ifndef GATE_HTTP_H
#define GATE_HTTP_H

#include "gate.h"
#include "util_status.h"

typedef struct GateHttp GateHttp;

GateHttp *gate_http_start (Gate *gate, Status *st);
/** Stops accepting connections, waits up to half a second for requests that are arriving or being
 * answered, and closes all connections. Call it when no admitted request is in progress. */
void gate_http_stop (GateHttp *http);

#endif
