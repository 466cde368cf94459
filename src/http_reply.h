/**
 * Reads one answer from the bytes of a backend server's connection. No I/O. Tells a whole answer
 * from one that was cut: an answer without a length ends with its connection, any other is cut if
 * the connection ends first.
 */
#ifndef HTTP_REPLY_H
#define HTTP_REPLY_H

#include "http_head.h"
#include "util_buffer.h"
#include <http_parser.h>

#define HTTP_REPLY_HEAD_MAX 65536 /**< bytes; far above what servers send, bounds memory */

typedef struct
{
  http_parser parser;
  Buffer raw;
  HttpHead head;
  Buffer body; /**< what has come and was not taken yet; the user consumes it */
  int status;  /**< 0 until the head is whole */
  bool complete;
  bool broken;  /**< no HTTP, or cut */
  bool surplus; /**< bytes came behind the whole answer; they belong to no request */
} HttpReply;

void http_reply_init (HttpReply *reply);
void http_reply_feed (HttpReply *reply, const char *data, size_t len);
/** The connection was closed in order by its peer (not reset). */
void http_reply_end (HttpReply *reply);
void http_reply_clear (HttpReply *reply);

#endif
