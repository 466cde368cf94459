/**
 * HTTP client for the platform, backend servers and stewards, based on neon.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "util_buffer.h"
#include "util_status.h"
#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  const char *name;
  const char *value;
} HttpHeader;

typedef struct
{
  const char *method;
  const char *address; /**< IP address */
  int port;
  bool tls;               /**< HTTPS, with trust_file as trust store */
  const char *trust_file; /**< PEM file of the one certificate that the peer's must chain to */
  const char *path;       /**< with query, percent-encoded */
  const HttpHeader *headers;
  size_t header_count;
  const void *body;
  size_t body_len;        /**< bytes */
  int connect_timeout_ms; /**< rounded up to whole seconds, neon's resolution */
  int read_timeout_ms;    /**< without received data; rounded up likewise */
  int total_timeout_ms;   /**< of the complete exchange, checked between reads; 0: none */
  size_t answer_max;      /**< bytes; a longer answer is an error; 0: no limit */
  /**
   * Called when all of the body except its last byte has been sent; false aborts the request. A
   * server cannot execute a request whose body is incomplete, so an aborted request has certainly
   * not been executed. An empty body is sent chunked, and the call precedes its last chunk; for GET
   * and HEAD, which have no body, it precedes the connection. May be NULL.
   */
  bool (*may_finish) (void *context);
  void *context;
} HttpRequest;

typedef struct HttpExchange HttpExchange;

/**
 * Sends a request on a new connection and reads the answer's head. The request is never re-sent:
 * neon repeats a request if a persistent connection turns out to be stale, which could execute it
 * twice, so every exchange opens its own connection. STATUS_UNAVAILABLE: certainly not executed;
 * STATUS_UNKNOWN: may have been executed; STATUS_INVALID: the header, method, path or trust file
 * cannot be used.
 */
StatusCode http_exchange_begin (const HttpRequest *request, HttpExchange **out, Status *st);
int http_exchange_status (const HttpExchange *exchange);
/** Value of a header of the answer, or NULL. */
const char *http_exchange_header (const HttpExchange *exchange, const char *name);
/**
 * Reads up to len bytes. Returns the number read, 0 at the end of a complete answer, or -1 on error
 * with *st filled. The end of an answer that has neither a length nor chunked framing cannot be
 * verified and is an error.
 */
long http_exchange_read (HttpExchange *exchange, char *data, size_t len, Status *st);
/** Closes the connection, which cancels an incomplete answer. NULL is allowed. */
void http_exchange_free (HttpExchange *exchange);

/** Runs a complete exchange; appends the answer's body to *answer and sets *http_status. Returns
 * the codes of http_exchange_begin, and STATUS_UNKNOWN for an incomplete answer. */
StatusCode http_call (const HttpRequest *request, int *http_status, Buffer *answer, Status *st);

#endif
