#include "http_reply.h"
#include <string.h>

/* Status codes. Those of interim answers are below STATUS_FINAL_MIN; others are no answer. */
#define STATUS_MIN       100
#define STATUS_FINAL_MIN 200
#define STATUS_MAX       599

static int
on_body (http_parser *parser, const char *data, size_t len)
{
  HttpReply *reply = parser->data;

  buffer_add (&reply->body, data, len);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  HttpReply *reply = parser->data;

  reply->complete = true;
  reply->may_continue = http_should_keep_alive (parser) != 0;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
http_reply_init (HttpReply *reply)
{
  memset (reply, 0, sizeof *reply);
  http_parser_init (&reply->parser, HTTP_RESPONSE);
  reply->parser.data = reply;
}

void
http_reply_clear (HttpReply *reply)
{
  buffer_free (&reply->raw);
  buffer_free (&reply->body);
  http_head_clear (&reply->head);
}

/* For compatibility http_parser accepts two lengths, and a length together with chunks. Whether an
 * answer with such framing is complete cannot be determined. */
static bool
framing_is_unambiguous (const HttpHead *head)
{
  Span length = http_head_get (head, "Content-Length");
  int64_t number;

  if (http_head_count (head, "Content-Length") > 1
      || http_head_count (head, "Transfer-Encoding") > 1)
    return false;
  return !length.text
         || (!http_head_get (head, "Transfer-Encoding").text && span_number (length, &number));
}

static void
feed_parser (HttpReply *reply, const char *data, size_t len)
{
  size_t used = http_parser_execute (&reply->parser, &callbacks, data, len);

  if (reply->complete)
    reply->surplus = used < len;
  else if (HTTP_PARSER_ERRNO (&reply->parser) != HPE_OK)
    reply->broken = true;
}

/* Discards an interim answer (1xx); the final one follows. */
static void
skip_interim (HttpReply *reply, size_t head_len)
{
  reply->interim_bytes += head_len;
  http_head_clear (&reply->head);
  http_parser_init (&reply->parser, HTTP_RESPONSE);
  reply->complete = false;
  reply->may_continue = false;
}

static void
process_head (HttpReply *reply, size_t head_len)
{
  if (!http_head_parse (&reply->head, reply->raw.data, head_len)
      || !framing_is_unambiguous (&reply->head))
    {
      reply->broken = true;
      return;
    }
  feed_parser (reply, reply->raw.data, head_len);
  if (reply->parser.status_code < STATUS_MIN || reply->parser.status_code > STATUS_MAX)
    {
      reply->broken = true;
      reply->complete = false;
    }
  if (reply->broken)
    return;
  if (reply->parser.status_code < STATUS_FINAL_MIN)
    skip_interim (reply, head_len);
  else
    reply->status = reply->parser.status_code;
}

void
http_reply_feed (HttpReply *reply, const char *data, size_t len)
{
  size_t head_len;

  if (reply->broken || len == 0)
    return;
  if (reply->complete)
    {
      reply->surplus = true;
      return;
    }
  if (reply->status)
    {
      feed_parser (reply, data, len);
      return;
    }
  buffer_add (&reply->raw, data, len);
  while (!reply->broken && !reply->status
         && (head_len = http_head_length (reply->raw.data, reply->raw.len)) > 0)
    {
      process_head (reply, head_len);
      buffer_consume (&reply->raw, head_len);
    }
  if (reply->interim_bytes + reply->raw.len > HTTP_REPLY_HEAD_MAX
      || (!reply->status && http_head_is_malformed (reply->raw.data, reply->raw.len)))
    reply->broken = true;
  if (!reply->status || reply->raw.len == 0)
    return;
  http_reply_feed (reply, reply->raw.data, reply->raw.len);
  buffer_free (&reply->raw);
}

void
http_reply_end (HttpReply *reply)
{
  if (!reply->complete && !reply->broken && reply->status)
    http_parser_execute (&reply->parser, &callbacks, NULL, 0);
  reply->broken = !reply->complete;
}
