#include "http_request_parser.h"
#include <string.h>

static int
on_body (http_parser *parser, const char *data, size_t len)
{
  HttpRequestParser *request_parser = parser->data;

  if (request_parser->body.len + len > request_parser->limits.body_max)
    {
      request_parser->refuse_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
      return 1;
    }
  buffer_add (&request_parser->body, data, len);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  HttpRequestParser *request_parser = parser->data;

  request_parser->complete = true;
  request_parser->keep_alive = http_should_keep_alive (parser) != 0;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
http_request_parser_init (HttpRequestParser *request_parser, const HttpRequestLimits *limits)
{
  memset (request_parser, 0, sizeof *request_parser);
  request_parser->limits = *limits;
  http_parser_init (&request_parser->parser, HTTP_REQUEST);
  request_parser->parser.data = request_parser;
}

bool
http_request_parser_started (const HttpRequestParser *request_parser)
{
  return request_parser->raw.len > 0 || request_parser->in_body;
}

void
http_request_parser_reset (HttpRequestParser *request_parser)
{
  HttpRequestLimits limits = request_parser->limits;

  buffer_free (&request_parser->raw);
  buffer_free (&request_parser->body);
  http_head_clear (&request_parser->head);
  http_request_parser_init (request_parser, &limits);
}

static HttpParseResult
refuse (HttpRequestParser *request_parser, int status)
{
  if (request_parser->refuse_status == 0)
    request_parser->refuse_status = status;
  return HTTP_PARSE_REFUSED;
}

/* Refuses heads whose framing has two interpretations, which request smuggling depends on: both a
 * length and chunks, an unknown transfer coding, two hosts. */
static bool
framing_is_unambiguous (const HttpRequestParser *request_parser)
{
  const HttpHead *head = &request_parser->head;
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
has_body (const HttpRequestParser *request_parser)
{
  const HttpHead *head = &request_parser->head;
  int64_t length;

  return http_head_get (head, "Transfer-Encoding").text
         || (span_number (http_head_get (head, "Content-Length"), &length) && length > 0);
}

/* To be asked when the parser ends a request with its head. After CONNECT it takes all that follows
 * for another protocol, whatever the head says of a body: read on from there, that would be the
 * next request. */
static bool
is_followed_by_content (const HttpRequestParser *request_parser)
{
  return request_parser->parser.method == HTTP_CONNECT || has_body (request_parser);
}

static bool
split_start_line (HttpRequestParser *request_parser)
{
  Span rest = request_parser->head.start_line;

  request_parser->method = span_cut (&rest, ' ');
  request_parser->target = span_cut (&rest, ' ');
  return span_is (rest, "HTTP/1.1") || span_is (rest, "HTTP/1.0");
}

/* Feeds the parser; bytes after the end of the request are not used. */
static HttpParseResult
feed_parser (HttpRequestParser *request_parser, const char *data, size_t len, size_t *used)
{
  *used = http_parser_execute (&request_parser->parser, &callbacks, data, len);
  if (request_parser->complete)
    return HTTP_PARSE_DONE;
  if (HTTP_PARSER_ERRNO (&request_parser->parser) != HPE_OK)
    return refuse (request_parser, HTTP_STATUS_BAD_REQUEST);
  return HTTP_PARSE_MORE;
}

static HttpParseResult
process_head (HttpRequestParser *request_parser)
{
  size_t used;
  HttpParseResult result;
  int64_t length;

  if (!http_head_parse (&request_parser->head, request_parser->raw.data, request_parser->raw.len)
      || !split_start_line (request_parser) || !framing_is_unambiguous (request_parser))
    return refuse (request_parser, HTTP_STATUS_BAD_REQUEST);
  if (span_number (http_head_get (&request_parser->head, "Content-Length"), &length)
      && (uint64_t)length > request_parser->limits.body_max)
    return refuse (request_parser, HTTP_STATUS_PAYLOAD_TOO_LARGE);
  result = feed_parser (request_parser, request_parser->raw.data, request_parser->raw.len, &used);
  buffer_free (&request_parser->raw);
  if (result == HTTP_PARSE_DONE && is_followed_by_content (request_parser))
    return refuse (request_parser, HTTP_STATUS_BAD_REQUEST);
  request_parser->in_body = true;
  request_parser->wants_continue
      = result == HTTP_PARSE_MORE
        && span_is_nocase (http_head_get (&request_parser->head, "Expect"), "100-continue");
  return result;
}

static HttpParseResult
feed_head (HttpRequestParser *request_parser, const char *data, size_t len, size_t *used)
{
  size_t before = request_parser->raw.len, head_len;

  buffer_add (&request_parser->raw, data, len);
  head_len = http_head_length (request_parser->raw.data, request_parser->raw.len);
  *used = head_len ? head_len - before : len;
  if (head_len > request_parser->limits.head_max
      || (!head_len && request_parser->raw.len > request_parser->limits.head_max))
    return refuse (request_parser, HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE);
  if (head_len)
    {
      request_parser->raw.len = head_len;
      return process_head (request_parser);
    }
  if (http_head_is_malformed (request_parser->raw.data, request_parser->raw.len))
    return refuse (request_parser, HTTP_STATUS_BAD_REQUEST);
  return HTTP_PARSE_MORE;
}

HttpParseResult
http_request_parser_feed (HttpRequestParser *request_parser,
                          const char *data,
                          size_t len,
                          size_t *used)
{
  size_t body_used;
  HttpParseResult result;

  *used = 0;
  if (request_parser->in_body)
    return feed_parser (request_parser, data, len, used);
  result = feed_head (request_parser, data, len, used);
  if (result != HTTP_PARSE_MORE || !request_parser->in_body || *used == len)
    return result;
  result = feed_parser (request_parser, data + *used, len - *used, &body_used);
  *used += body_used;
  return result;
}
