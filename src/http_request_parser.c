#include "http_request_parser.h"
#include <string.h>

#define STATUS_BAD_REQUEST    400
#define STATUS_BODY_TOO_LARGE 413
#define STATUS_HEAD_TOO_LARGE 431

static int
on_body (http_parser *parser, const char *data, size_t len)
{
  HttpRequestParser *intake = parser->data;

  if (intake->body.len + len > intake->limits.body_max)
    {
      intake->refuse_status = STATUS_BODY_TOO_LARGE;
      return 1;
    }
  buffer_add (&intake->body, data, len);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  HttpRequestParser *intake = parser->data;

  intake->complete = true;
  intake->keep_alive = http_should_keep_alive (parser) != 0;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
http_request_parser_init (HttpRequestParser *intake, const HttpRequestLimits *limits)
{
  memset (intake, 0, sizeof *intake);
  intake->limits = *limits;
  http_parser_init (&intake->parser, HTTP_REQUEST);
  intake->parser.data = intake;
}

bool
http_request_parser_started (const HttpRequestParser *intake)
{
  return intake->raw.len > 0 || intake->in_body;
}

void
http_request_parser_reset (HttpRequestParser *intake)
{
  HttpRequestLimits limits = intake->limits;

  buffer_free (&intake->raw);
  buffer_free (&intake->body);
  http_head_clear (&intake->head);
  http_request_parser_init (intake, &limits);
}

static HttpParseResult
refuse (HttpRequestParser *intake, int status)
{
  if (intake->refuse_status == 0)
    intake->refuse_status = status;
  return HTTP_PARSE_REFUSED;
}

/* Refuses heads whose framing has two interpretations, which request smuggling depends on: both a
 * length and chunks, an unknown transfer coding, two hosts. */
static bool
framing_is_unambiguous (const HttpRequestParser *intake)
{
  const HttpHead *head = &intake->head;
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
split_start_line (HttpRequestParser *intake)
{
  Span rest = intake->head.start_line;

  intake->method = span_cut (&rest, ' ');
  intake->target = span_cut (&rest, ' ');
  return span_is (rest, "HTTP/1.1") || span_is (rest, "HTTP/1.0");
}

/* Feeds the parser; bytes after the end of the request are not used. */
static HttpParseResult
feed_parser (HttpRequestParser *intake, const char *data, size_t len, size_t *used)
{
  *used = http_parser_execute (&intake->parser, &callbacks, data, len);
  if (intake->complete)
    return HTTP_PARSE_DONE;
  if (HTTP_PARSER_ERRNO (&intake->parser) != HPE_OK)
    return refuse (intake, STATUS_BAD_REQUEST);
  return HTTP_PARSE_MORE;
}

static HttpParseResult
process_head (HttpRequestParser *intake)
{
  size_t used;
  HttpParseResult result;
  int64_t length;

  if (!http_head_parse (&intake->head, intake->raw.data, intake->raw.len)
      || !split_start_line (intake) || !framing_is_unambiguous (intake))
    return refuse (intake, STATUS_BAD_REQUEST);
  if (span_number (http_head_get (&intake->head, "Content-Length"), &length)
      && (uint64_t)length > intake->limits.body_max)
    return refuse (intake, STATUS_BODY_TOO_LARGE);
  result = feed_parser (intake, intake->raw.data, intake->raw.len, &used);
  buffer_free (&intake->raw);
  intake->in_body = true;
  intake->wants_continue
      = result == HTTP_PARSE_MORE
        && span_is_nocase (http_head_get (&intake->head, "Expect"), "100-continue");
  return result;
}

static HttpParseResult
feed_head (HttpRequestParser *intake, const char *data, size_t len, size_t *used)
{
  size_t before = intake->raw.len, head_len;

  buffer_add (&intake->raw, data, len);
  head_len = http_head_length (intake->raw.data, intake->raw.len);
  *used = head_len ? head_len - before : len;
  if (head_len > intake->limits.head_max
      || (!head_len && intake->raw.len > intake->limits.head_max))
    return refuse (intake, STATUS_HEAD_TOO_LARGE);
  if (head_len)
    {
      intake->raw.len = head_len;
      return process_head (intake);
    }
  if (http_head_is_malformed (intake->raw.data, intake->raw.len))
    return refuse (intake, STATUS_BAD_REQUEST);
  return HTTP_PARSE_MORE;
}

HttpParseResult
http_request_parser_feed (HttpRequestParser *intake, const char *data, size_t len, size_t *used)
{
  size_t body_used;
  HttpParseResult result;

  *used = 0;
  if (intake->in_body)
    return feed_parser (intake, data, len, used);
  result = feed_head (intake, data, len, used);
  if (result != HTTP_PARSE_MORE || !intake->in_body || *used == len)
    return result;
  result = feed_parser (intake, data + *used, len - *used, &body_used);
  *used += body_used;
  return result;
}
