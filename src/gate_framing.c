/* Two parsers that read one head differently let a caller hide a request within another, and
 * libmicrohttpd takes heads (a folded line, a NUL) whose other reading it doesn't show, or answers
 * them twice (a negative length, no host). Such heads must end before it sees their last line. */
#include "gate_framing.h"
#include <stdint.h>
#include <string.h>

#define STATUS_HEAD_TOO_LARGE 431

void
gate_framing_init (GateFraming *framing, size_t head_max)
{
  /* Bodies are bounded behind this, where their refusal is written. */
  HttpRequestLimits limits = { .head_max = head_max, .body_max = SIZE_MAX };

  http_request_parser_init (&framing->intake, &limits);
  framing->passed = 0;
}

/* Whole lines go on at once, so that a head that comes slowly is seen to be on its way. */
static void
pass_lines (GateFraming *framing, Buffer *pass)
{
  const Buffer *raw = &framing->intake.raw;
  const char *end = memrchr (raw->data, '\n', raw->len);
  size_t len = end ? (size_t)(end + 1 - raw->data) : 0;

  if (len <= framing->passed)
    return;
  buffer_add (pass, raw->data + framing->passed, len - framing->passed);
  framing->passed = len;
}

static void
pass_head (GateFraming *framing, Buffer *pass)
{
  const HttpHead *head = &framing->intake.head;

  buffer_add (pass, head->text + framing->passed, head->len - framing->passed);
  framing->passed = head->len;
}

static void
next_request (GateFraming *framing)
{
  http_request_parser_reset (&framing->intake);
  framing->passed = 0;
}

FramingResult
gate_framing_feed (GateFraming *framing, const char *data, size_t len, size_t *used, Buffer *pass)
{
  HttpRequestParser *intake = &framing->intake;
  bool was_in_body = intake->in_body;
  size_t head_had = intake->raw.len;
  size_t body_start = 0;
  HttpParseResult result = http_request_parser_feed (intake, data, len, used);

  if (result == HTTP_PARSE_REFUSED)
    return FRAMING_FAULT;
  buffer_clear (&intake->body);
  if (!intake->in_body)
    {
      pass_lines (framing, pass);
      return FRAMING_MORE;
    }
  if (!was_in_body)
    {
      pass_head (framing, pass);
      body_start = intake->head.len - head_had;
    }
  buffer_add (pass, data + body_start, *used - body_start);
  if (result == HTTP_PARSE_MORE)
    return FRAMING_MORE;
  next_request (framing);
  return FRAMING_DONE;
}

int
gate_framing_fault (const GateFraming *framing)
{
  return framing->intake.refuse_status == STATUS_HEAD_TOO_LARGE ? REFUSAL_HEAD_TOO_LARGE
                                                                : REFUSAL_MALFORMED;
}

void
gate_framing_clear (GateFraming *framing)
{
  http_request_parser_reset (&framing->intake);
}
