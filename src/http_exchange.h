/**
 * Internals of an HTTP exchange, shared by http_client.c and http_upload.c only.
 */
#ifndef HTTP_EXCHANGE_H
#define HTTP_EXCHANGE_H

#include "http_client.h"
#include <ne_request.h>
#include <ne_session.h>
#include <stdint.h>

typedef struct HttpUpload HttpUpload;

struct HttpExchange
{
  ne_session *session;
  ne_request *request;
  char peer[STATUS_PEER_MAX];
  const char *body;
  char *body_copy;  /**< copy for an upload, which may outlive the caller's body; NULL: none */
  size_t body_len;  /**< bytes */
  size_t body_sent; /**< bytes given to neon */
  bool (*may_finish) (void *context);
  void *context;
  HttpUpload *upload; /**< the upload thread; NULL: the caller's thread sends the request */
  bool connected;     /**< the connection was established */
  bool finished;      /**< the end of the request was passed to neon */
  bool body_written;  /**< all bytes of the body were written to the connection */
  bool refused;       /**< may_finish returned false */
  bool untrusted;     /**< the peer's certificate was refused, before anything was sent */
  bool no_body;       /**< the answer to HEAD has none */
  size_t answer_max;  /**< bytes; 0: no limit */
  size_t answer_len;  /**< bytes read so far */
  int64_t end_ms;     /**< when the exchange must be complete, boot-time clock; 0: no limit */
};

#endif
