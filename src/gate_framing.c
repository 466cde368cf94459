/* Guards against request smuggling: if two parsers read one head differently, a caller can hide a
 * request within another. libmicrohttpd accepts some ambiguous heads without an error (a
 * folded line, a NUL) and answers other heads twice (a negative length, no host). The last line of
 * an ambiguous head is therefore never forwarded to it. */
#include "gate_framing.h"
#include <stdint.h>
#include <string.h>

void
gate_framing_init (GateFraming *framing, size_t head_max)
{
  /* gate_http.c limits the body and writes the refusal of one that is too long. */
  HttpRequestLimits limits = { .head_max = head_max, .body_max = SIZE_MAX };

  http_request_parser_init (&framing->request_parser, &limits);
  framing->forwarded = 0;
}

/* Complete lines are forwarded at once, so that libmicrohttpd sees a slow head arrive. */
static void
forward_lines (GateFraming *framing, Buffer *forward)
{
  const Buffer *raw = &framing->request_parser.raw;
  const char *end = memrchr (raw->data, '\n', raw->len);
  size_t len = end ? (size_t)(end + 1 - raw->data) : 0;

  if (len <= framing->forwarded)
    return;
  buffer_add (forward, raw->data + framing->forwarded, len - framing->forwarded);
  framing->forwarded = len;
}

static void
forward_head (GateFraming *framing, Buffer *forward)
{
  const HttpHead *head = &framing->request_parser.head;

  buffer_add (forward, head->text + framing->forwarded, head->len - framing->forwarded);
  framing->forwarded = head->len;
}

static void
next_request (GateFraming *framing)
{
  http_request_parser_reset (&framing->request_parser);
  framing->forwarded = 0;
}

FramingResult
gate_framing_feed (GateFraming *framing,
                   const char *data,
                   size_t len,
                   size_t *used,
                   Buffer *forward)
{
  HttpRequestParser *request_parser = &framing->request_parser;
  bool was_in_body = request_parser->in_body;
  size_t earlier_len = request_parser->raw.len;
  size_t body_start = 0;
  HttpParseResult result = http_request_parser_feed (request_parser, data, len, used);

  if (result == HTTP_PARSE_REFUSED)
    return FRAMING_FAULT;
  buffer_clear (&request_parser->body);
  if (!request_parser->in_body)
    {
      forward_lines (framing, forward);
      return FRAMING_MORE;
    }
  if (!was_in_body)
    {
      forward_head (framing, forward);
      body_start = request_parser->head.len - earlier_len;
    }
  buffer_add (forward, data + body_start, *used - body_start);
  if (result == HTTP_PARSE_MORE)
    return FRAMING_MORE;
  next_request (framing);
  return FRAMING_DONE;
}

int
gate_framing_fault (const GateFraming *framing)
{
  return framing->request_parser.refuse_status == HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE
             ? REFUSAL_HEAD_TOO_LARGE
             : REFUSAL_MALFORMED;
}

void
gate_framing_clear (GateFraming *framing)
{
  http_request_parser_reset (&framing->request_parser);
}
