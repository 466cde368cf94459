/**
 * An HTTP server on the event loop for short requests without a body: the health check, metrics,
 * and rows for other fronts. What its callers can make it hold is bounded: the number of
 * connections, the head of a request, and one unread answer for each connection.
 */
#ifndef FRONT_HTTP_H
#define FRONT_HTTP_H

#include "util_buffer.h"
#include <event2/event.h>
#include <stdint.h>

typedef struct FrontHttp FrontHttp;
typedef struct FrontHttpConn FrontHttpConn;

typedef struct
{
  unsigned connections_max;
  /** A request has arrived; it is answered now or later. path ends with a NUL. */
  void (*request) (FrontHttpConn *conn, const char *path, void *user);
  /** The connection of a request that was not answered yet has ended; NULL: all are answered at
   *  once. */
  void (*closed) (FrontHttpConn *conn, void *user);
  void *user;
} FrontHttpOptions;

/** Listens at "IP:PORT"; NULL if the address is not valid or can't be bound. */
FrontHttp *
front_http_new (struct event_base *base, const char *address, const FrontHttpOptions *options);
/** Closes all connections; closed is not called. */
void front_http_free (FrontHttp *http);
/** Closes connections that are idle, or whose callers send or take nothing, for too long. */
void front_http_sweep (FrontHttp *http, int64_t now_ms);
/** Answers the request of a connection. fields: header fields, each with its line end, or NULL.
 * body may be NULL. */
void front_http_answer (FrontHttpConn *conn, int status, const char *fields, const Buffer *body);
unsigned front_http_count (const FrontHttp *http);

#endif
