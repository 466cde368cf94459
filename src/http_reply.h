/**
 * Incremental parser of one answer from a backend server's connection. Performs no I/O.
 * Distinguishes complete answers from truncated ones: an answer without a length ends when its
 * connection is closed; any other is truncated if the connection is closed before its end.
 */
#ifndef HTTP_REPLY_H
#define HTTP_REPLY_H

#include "http_head.h"
#include "util_buffer.h"
#include <http_parser.h>

/** Bytes of an answer's head and of the interim answers before it; far above what servers send. */
#define HTTP_REPLY_HEAD_MAX 65536

typedef struct
{
  http_parser parser;
  Buffer raw;           /**< bytes of an incomplete head */
  size_t interim_bytes; /**< of the interim answers so far */
  HttpHead head;
  Buffer body; /**< received but not yet consumed by the caller (buffer_consume) */
  int status;  /**< HTTP status; 0 until the head is complete */
  bool complete;
  bool broken;       /**< malformed or truncated */
  bool may_continue; /**< the end of the complete answer was shown by a length or by chunks, and the
                        server doesn't ask to close the connection */
  bool surplus;      /**< bytes followed the complete answer; they belong to no request */
} HttpReply;

void http_reply_init (HttpReply *reply);
void http_reply_feed (HttpReply *reply, const char *data, size_t len);
/** To be called when the peer has closed the connection in an orderly way (no reset). */
void http_reply_end (HttpReply *reply);
void http_reply_clear (HttpReply *reply);

#endif
