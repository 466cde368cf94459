/**
 * A TCP server that counts the HTTP requests it gets and answers each with the same bytes, right or
 * wrong, then closes the connection.
 */
#ifndef FAKE_SERVER_H
#define FAKE_SERVER_H

#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  const char *text;  /**< NULL: no answer at all */
  size_t len;        /**< 0: the whole text */
  size_t pause_at;   /**< after so many bytes it waits for fake_server_resume; 0: never */
  int byte_delay_ms; /**< pause before each byte; 0: all at once */
  bool keep_open;    /**< the connection is left open until the client closes it */
} FakeAnswer;

typedef struct FakeServer FakeServer;

FakeServer *fake_server_new (const FakeAnswer *answer);
void fake_server_free (FakeServer *server);
int fake_server_port (const FakeServer *server);
/** For the connections that come from now on. */
void fake_server_answer (FakeServer *server, const FakeAnswer *answer);
/** Lets an answer that waits at pause_at go on. */
void fake_server_resume (FakeServer *server);

int fake_server_connections (FakeServer *server);
/** Requests whose end was seen. */
int fake_server_requests (FakeServer *server);
/** Body bytes of the newest connection, without the chunked coding's own. */
size_t fake_server_body (FakeServer *server);
/** Connections whose client closed before the answer's end. */
int fake_server_aborted (FakeServer *server);

#endif
