/**
 * An HTTP server on loopback with persistent connections that counts connections and requests, and
 * answers each GET with the same text. It can be stopped, which closes all connections, and started
 * again on the same port.
 */
#ifndef FAKE_HTTP_SERVER_H
#define FAKE_HTTP_SERVER_H

#include <stdbool.h>

typedef struct FakeHttpServer FakeHttpServer;

/** The text is borrowed. */
FakeHttpServer *fake_http_server_new (const char *text);
void fake_http_server_free (FakeHttpServer *server);
int fake_http_server_port (const FakeHttpServer *server);
void fake_http_server_stop (FakeHttpServer *server);
/** False if the port is not available. */
bool fake_http_server_start (FakeHttpServer *server);
/** With drop set, connections are closed without an answer to their requests. */
void fake_http_server_drop (FakeHttpServer *server, bool drop);

/** Counts since fake_http_server_new. */
int fake_http_server_connections (const FakeHttpServer *server);
int fake_http_server_requests (const FakeHttpServer *server);
/** Number of connections open now. */
int fake_http_server_open (const FakeHttpServer *server);

#endif
