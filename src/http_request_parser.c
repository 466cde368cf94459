#include "http_request_parser.h"
#include <string.h>

#define STATUS_BAD_REQUEST    400
#define STATUS_BODY_TOO_LARGE 413
#define STATUS_HEAD_TOO_LARGE 431

static int
on_body (http_parser *parser, const char *data, size_t len)
{
  HttpRequestParser *request = parser->data;

  if (request->body.len + len > request->limits.body_max)
    {
      request->refuse_status = STATUS_BODY_TOO_LARGE;
      return 1;
    }
  buffer_add (&request->body, data, len);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  HttpRequestParser *request = parser->data;

  request->complete = true;
  request->keep_alive = http_should_keep_alive (parser) != 0;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
http_request_parser_init (HttpRequestParser *request, const HttpRequestLimits *limits)
{
  memset (request, 0, sizeof *request);
  request->limits = *limits;
  http_parser_init (&request->parser, HTTP_REQUEST);
  request->parser.data = request;
}

bool
http_request_parser_started (const HttpRequestParser *request)
{
  return request->raw.len > 0 || request->in_body;
}

void
http_request_parser_reset (HttpRequestParser *request)
{
  HttpRequestLimits limits = request->limits;

  buffer_free (&request->raw);
  buffer_free (&request->body);
  http_head_clear (&request->head);
  http_request_parser_init (request, &limits);
}

static HttpParseResult
refuse (HttpRequestParser *request, int status)
{
  if (request->refuse_status == 0)
    request->refuse_status = status;
  return HTTP_PARSE_REFUSED;
}

/* Refuses heads whose framing has two interpretations, which request smuggling depends on: both a
 * length and chunks, an unknown transfer coding, two hosts. */
static bool
framing_is_unambiguous (const HttpRequestParser *request)
{
  const HttpHead *head = &request->head;
  Span coding = http_head_get (head, "Transfer-Encoding");
  Span length = http_head_get (head, "Content-Length");
  int64_t number;

  if (http_head_count (head, "Host") != 1 || http_head_get (head, "Host").len == 0)
    return false;
  if (http_head_count (head, "Transfer-Encoding") > 1
      || http_head_count (head, "Content-Length") > 1)
    return false;
  if (coding.text && (length.text || !span_is_nocase (coding, "chunked")))
    return false;
  return !length.text || span_number (length, &number);
}

static bool
split_start_line (HttpRequestParser *request)
{
  Span rest = request->head.start_line;

  request->method = span_cut (&rest, ' ');
  request->target = span_cut (&rest, ' ');
  return span_is (rest, "HTTP/1.1") || span_is (rest, "HTTP/1.0");
}

/* Feeds the parser; bytes after the end of the request are not used. */
static HttpParseResult
feed_parser (HttpRequestParser *request, const char *data, size_t len, size_t *used)
{
  *used = http_parser_execute (&request->parser, &callbacks, data, len);
  if (request->complete)
    return HTTP_PARSE_DONE;
  if (HTTP_PARSER_ERRNO (&request->parser) != HPE_OK)
    return refuse (request, STATUS_BAD_REQUEST);
  return HTTP_PARSE_MORE;
}

static HttpParseResult
process_head (HttpRequestParser *request)
{
  size_t used;
  HttpParseResult result;
  int64_t length;

  if (!http_head_parse (&request->head, request->raw.data, request->raw.len)
      || !split_start_line (request) || !framing_is_unambiguous (request))
    return refuse (request, STATUS_BAD_REQUEST);
  if (span_number (http_head_get (&request->head, "Content-Length"), &length)
      && (uint64_t)length > request->limits.body_max)
    return refuse (request, STATUS_BODY_TOO_LARGE);
  result = feed_parser (request, request->raw.data, request->raw.len, &used);
  buffer_free (&request->raw);
  request->in_body = true;
  request->wants_continue
      = result == HTTP_PARSE_MORE
        && span_is_nocase (http_head_get (&request->head, "Expect"), "100-continue");
  return result;
}

static HttpParseResult
feed_head (HttpRequestParser *request, const char *data, size_t len, size_t *used)
{
  size_t before = request->raw.len, head_len;

  buffer_add (&request->raw, data, len);
  head_len = http_head_length (request->raw.data, request->raw.len);
  *used = head_len ? head_len - before : len;
  if (head_len > request->limits.head_max
      || (!head_len && request->raw.len > request->limits.head_max))
    return refuse (request, STATUS_HEAD_TOO_LARGE);
  if (head_len)
    {
      request->raw.len = head_len;
      return process_head (request);
    }
  if (http_head_is_malformed (request->raw.data, request->raw.len))
    return refuse (request, STATUS_BAD_REQUEST);
  return HTTP_PARSE_MORE;
}

HttpParseResult
http_request_parser_feed (HttpRequestParser *request, const char *data, size_t len, size_t *used)
{
  size_t body_used;
  HttpParseResult result;

  *used = 0;
  if (request->in_body)
    return feed_parser (request, data, len, used);
  result = feed_head (request, data, len, used);
  if (result != HTTP_PARSE_MORE || !request->in_body || *used == len)
    return result;
  result = feed_parser (request, data + *used, len - *used, &body_used);
  *used += body_used;
  return result;
}
