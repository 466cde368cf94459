/**
 * A daemon's local HTTP server: /healthz (the process runs), /readyz (the load balancer may send
 * requests) and /metrics (counters and gauges as text).
 */
#ifndef HTTP_LOCAL_H
#define HTTP_LOCAL_H

#include "util_buffer.h"
#include "util_status.h"
#include <stdbool.h>

typedef struct
{
  /** True if ready; otherwise the reason is appended to why. NULL: always ready. */
  bool (*ready) (void *context, Buffer *why);
  /** Appends gauges as "name value" lines; may be NULL. */
  void (*gauges) (void *context, Buffer *out);
  void *context;
} HttpLocalOps;

typedef struct HttpLocal HttpLocal;

/** Starts the server in its own thread; NULL with *st filled on failure. address is an IPv4
 * address. */
HttpLocal *http_local_start (const char *address, int port, const HttpLocalOps *ops, Status *st);
void http_local_stop (HttpLocal *local);

#endif
