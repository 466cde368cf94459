/**
 * Incremental parser of the requests on a caller's connection, one at a time: the head, then the
 * body, framed by a length or in chunks. Performs no I/O. The http_parser library does the framing;
 * heads that it accepts but other parsers may frame differently are refused here.
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
  HTTP_PARSE_MORE,   /**< the request is incomplete */
  HTTP_PARSE_DONE,   /**< head and body are complete */
  HTTP_PARSE_REFUSED /**< see refuse_status; the connection must be closed */
} HttpParseResult;

typedef struct
{
  HttpRequestLimits limits;
  http_parser parser;
  Buffer raw; /**< bytes of an incomplete head */
  HttpHead head;
  Buffer body;
  bool in_body;
  bool complete;
  bool keep_alive;
  bool wants_continue; /**< the caller waits for "100 Continue" before it sends the body */
  int refuse_status;   /**< HTTP status of the refusal: 400, 413 or 431; 0: none */
  Span method, target; /**< of the start line, unchanged */
} HttpRequestParser;

void http_request_parser_init (HttpRequestParser *request_parser, const HttpRequestLimits *limits);
/** Consumes bytes up to the end of one request; *used is their number. */
HttpParseResult http_request_parser_feed (HttpRequestParser *request_parser,
                                          const char *data,
                                          size_t len,
                                          size_t *used);
/** True once the first byte of a request has been received. */
bool http_request_parser_started (const HttpRequestParser *request_parser);
/** Frees the request and prepares for the next one on the same connection. */
void http_request_parser_reset (HttpRequestParser *request_parser);

#endif
