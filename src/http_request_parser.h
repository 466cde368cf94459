/**
 * Reads one request at a time from the bytes of a caller's connection: head, then the whole body,
 * framed by a length or in chunks. No I/O. Framing is http_parser's; what it lets through and
 * another parser might frame differently is refused here.
 */
#ifndef HTTP_REQUEST_PARSER_H
#define HTTP_REQUEST_PARSER_H

#include "http_head.h"
#include "util_buffer.h"
#include <http_parser.h>

typedef struct
{
  size_t head_max; /**< bytes */
  size_t body_max; /**< bytes */
} HttpRequestLimits;

typedef enum
{
  HTTP_PARSE_MORE,
  HTTP_PARSE_DONE,   /**< head and body are there */
  HTTP_PARSE_REFUSED /**< refuse_status says how; the connection can't be used any further */
} HttpParseResult;

typedef struct
{
  HttpRequestLimits limits;
  http_parser parser;
  Buffer raw; /**< head, while it is not whole */
  HttpHead head;
  Buffer body;
  bool in_body;
  bool complete;
  bool keep_alive;
  bool wants_continue; /**< the caller waits for 100 before it sends the body */
  int refuse_status;   /**< 400, 413 or 431 */
  Span method, target; /**< of the start line, as they came */
} HttpRequestParser;

void http_request_parser_init (HttpRequestParser *intake, const HttpRequestLimits *limits);
/** Takes bytes up to the end of one request; *used tells how many. */
HttpParseResult
http_request_parser_feed (HttpRequestParser *intake, const char *data, size_t len, size_t *used);
/** True once the first byte of a request has come. */
bool http_request_parser_started (const HttpRequestParser *intake);
/** Ready for the next request of the same connection; frees what this one held. */
void http_request_parser_reset (HttpRequestParser *intake);

#endif
