/**
 * Idle connections to backend servers, which further requests may use. A connection that its server
 * closes, or on which any byte arrives, is closed at once.
 */
#ifndef FRONT_POOL_H
#define FRONT_POOL_H

#include "front_servers.h"
#include <event2/bufferevent.h>

typedef struct FrontPool FrontPool;

/** max: connections kept at the most. */
FrontPool *front_pool_new (unsigned max);
void front_pool_free (FrontPool *pool);
/** Takes over a connection on which no request is open, until until_ms. */
void
front_pool_add (FrontPool *pool, struct bufferevent *bev, FrontServer *server, int64_t until_ms);
/** The connection to this start of the server that was used last, without callbacks; NULL if there
 *  is none. */
struct bufferevent *front_pool_take (FrontPool *pool, FrontServer *server, int64_t now_ms);
/** Closes connections that were idle for too long, and those to servers that take no more work. */
void front_pool_sweep (FrontPool *pool, int64_t now_ms);
/** Closes those to this server. */
void front_pool_forget (FrontPool *pool, const FrontServer *server);
/** Closes all. */
void front_pool_clear (FrontPool *pool);
unsigned front_pool_count (const FrontPool *pool);

#endif
