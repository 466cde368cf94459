/**
 * Reads by GET at one address over connections that are kept. Only GET can be asked here: neon
 * repeats a request by itself when a kept connection turns out to be closed, so that a request may
 * reach the server twice. A read has no effect and may be repeated; anything else goes through
 * http_client.h, which gives each exchange a connection of its own.
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
  const char *path;       /**< with query, escaped as URIs are */
  int connect_timeout_ms; /**< rounded up to whole seconds: neon takes nothing finer */
  int read_timeout_ms;    /**< silence before the read is given up; rounded up likewise */
  int total_timeout_ms;   /**< of the whole read, checked between blocks; 0: none */
  size_t answer_max;      /**< bytes; a longer answer is an error; 0: no bound */
} HttpRead;

/** Keeps at most idle_max connections between reads. address is an IP number. */
HttpReader *http_reader_new (const char *address, int port, unsigned idle_max);
/** No read may be in progress. */
void http_reader_free (HttpReader *reader);
bool http_reader_has_address (const HttpReader *reader, const char *address, int port);
/**
 * One GET; the answer's body is added to *answer, its status goes to *http_status. Any number of
 * threads may read at once, each on a connection of its own. STATUS_UNAVAILABLE: the server could
 * not be reached; STATUS_UNKNOWN: it was, but no whole answer came; STATUS_INVALID: a path that
 * can't be sent. A connection is kept after a whole answer only.
 */
StatusCode http_reader_get (HttpReader *reader,
                            const HttpRead *read,
                            int *http_status,
                            Buffer *answer,
                            Status *st);

#endif
