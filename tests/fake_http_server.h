/**
 * An HTTP server on loopback that keeps connections, counts them and the requests, and answers each
 * GET with the same text. It can be stopped, which closes all connections, and started again at its
 * port.
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
/** False if the port could not be had again. */
bool fake_http_server_start (FakeHttpServer *server);
/** Requests from now on are not answered: their connection is closed. */
void fake_http_server_drop (FakeHttpServer *server, bool drop);

/** Since fake_http_server_new. */
int fake_http_server_connections (const FakeHttpServer *server);
int fake_http_server_requests (const FakeHttpServer *server);
/** Open now. */
int fake_http_server_open (const FakeHttpServer *server);

#endif
