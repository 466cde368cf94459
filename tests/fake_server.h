/**
 * A TCP server that counts HTTP requests and answers each with the same given bytes, valid or not,
 * then closes the connection.
 */
#ifndef FAKE_SERVER_H
#define FAKE_SERVER_H

#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  const char *text;   /**< NULL: no answer at all */
  size_t len;         /**< 0: the complete text */
  size_t pause_at;    /**< bytes after which the server waits for fake_server_resume; 0: never */
  int byte_delay_ms;  /**< pause before each byte; 0: all at once */
  const char *before; /**< complete answer to the first request of each connection; the second one
                         gets text. NULL: none */
  bool reset;         /**< the connection is reset after the answer, not closed */
  bool keep_open;     /**< the connection is left open until the client closes it */
} FakeAnswer;

typedef struct FakeServer FakeServer;

FakeServer *fake_server_new (const FakeAnswer *answer);
void fake_server_free (FakeServer *server);
int fake_server_port (const FakeServer *server);
/** Sets the answer for connections accepted from now on. */
void fake_server_answer (FakeServer *server, const FakeAnswer *answer);
/** Continues an answer that waits at pause_at. */
void fake_server_resume (FakeServer *server);

int fake_server_connections (FakeServer *server);
/** Requests received completely. */
int fake_server_requests (FakeServer *server);
/** Body bytes received on the newest connection; 0 for a chunked body. */
size_t fake_server_body (FakeServer *server);
/** Connections that the client closed before the end of the answer. */
int fake_server_aborted (FakeServer *server);

#endif
