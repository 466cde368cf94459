/**
 * GET requests to one address over a pool of persistent connections. Only GET is offered: neon
 * repeats a request automatically if a persistent connection turns out to be closed, so the server
 * may receive it twice. That is harmless for reads; all other requests use http_client.h, which
 * opens a new connection for each exchange.
 */
#ifndef HTTP_READER_H
#define HTTP_READER_H

#include "util_buffer.h"
#include "util_status.h"
#include <stdbool.h>
#include <stddef.h>

typedef struct HttpReader HttpReader;

typedef struct
{
  const char *path;       /**< with query, percent-encoded */
  int connect_timeout_ms; /**< rounded up to whole seconds, neon's resolution */
  int read_timeout_ms;    /**< without received data; rounded up likewise */
  int total_timeout_ms;   /**< of the complete read, checked between blocks; 0: none */
  size_t answer_max;      /**< bytes; a longer answer is an error; 0: no limit */
} HttpRead;

/** Keeps at most idle_max idle connections. address is an IP address. */
HttpReader *http_reader_new (const char *address, int port, unsigned idle_max);
/** Must not be called while a read is in progress. NULL is allowed. */
void http_reader_free (HttpReader *reader);
bool http_reader_has_address (const HttpReader *reader, const char *address, int port);
/**
 * Sends one GET, appends the answer's body to *answer and sets *http_status. Thread-safe:
 * concurrent reads use separate connections. STATUS_UNAVAILABLE: the server could not be reached;
 * STATUS_UNKNOWN: it was reached but no complete answer arrived; STATUS_INVALID: invalid path. A
 * connection is reused only after a complete answer.
 */
StatusCode http_reader_get (HttpReader *reader,
                            const HttpRead *read,
                            int *http_status,
                            Buffer *answer,
                            Status *st);

#endif
