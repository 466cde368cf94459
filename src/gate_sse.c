#include "gate_sse.h"
#include <errno.h>
#include <stdlib.h>
#include <string.h>

static bool read_line (SseEvent *event, const char *line, size_t len);
static bool read_id (SseEvent *event, const char *value, size_t len);
static size_t event_length (const Buffer *buf, size_t *body);

void
sse_parser_init (SseParser *parser, size_t event_max)
{
  *parser = (SseParser){ .event_max = event_max };
}

void
sse_parser_feed (SseParser *parser, const char *data, size_t len)
{
  buffer_add (&parser->pending, data, len);
}

/* Length of the first event including the empty line that ends it, or 0 if it is incomplete; *body
   is its length without that line. */
static size_t
event_length (const Buffer *buf, size_t *body)
{
  size_t start = 0;
  const char *end;

  while (start < buf->len && (end = memchr (buf->data + start, '\n', buf->len - start)) != NULL)
    {
      size_t line = (size_t)(end - buf->data) - start;
      if (line == 0 || (line == 1 && buf->data[start] == '\r'))
        {
          *body = start;
          return (size_t)(end - buf->data) + 1;
        }
      start = (size_t)(end - buf->data) + 1;
    }
  return 0;
}

static bool
read_id (SseEvent *event, const char *value, size_t len)
{
  char text[24];
  char *end;

  if (len == 0 || len >= sizeof (text))
    return false;
  memcpy (text, value, len);
  text[len] = '\0';
  errno = 0;
  event->id = strtoll (text, &end, 10);
  return errno == 0 && *end == '\0' && event->id >= 0;
}

static bool
read_line (SseEvent *event, const char *line, size_t len)
{
  const char *colon = memchr (line, ':', len);
  const char *value;
  size_t name_len;
  size_t value_len;

  if (len > 0 && line[len - 1] == '\r')
    len--;
  if (len == 0 || colon == line)
    return true;
  name_len = colon != NULL ? (size_t)(colon - line) : len;
  value = colon != NULL ? colon + 1 : line + len;
  if (value < line + len && *value == ' ')
    value++;
  value_len = (size_t)(line + len - value);
  if (name_len == 2 && memcmp (line, "id", 2) == 0)
    return read_id (event, value, value_len);
  if (name_len == 5 && memcmp (line, "event", 5) == 0)
    {
      size_t n = value_len < SSE_EVENT_NAME_MAX - 1 ? value_len : SSE_EVENT_NAME_MAX - 1;
      memcpy (event->name, value, n);
      event->name[n] = '\0';
    }
  if (name_len == 4 && memcmp (line, "data", 4) == 0)
    {
      if (event->data.len > 0)
        buffer_add (&event->data, "\n", 1);
      buffer_add (&event->data, value, value_len);
    }
  return true;
}

SseResult
sse_parser_next (SseParser *parser, SseEvent *event)
{
  size_t body = 0;
  size_t len;
  const char *at;
  const char *stop;

  if (parser->malformed)
    return SSE_MALFORMED;
  do
    {
      len = event_length (&parser->pending, &body);
      if (len == 0)
        {
          parser->malformed = parser->pending.len > parser->event_max;
          return parser->malformed ? SSE_MALFORMED : SSE_NONE;
        }
      if (body == 0)
        buffer_consume (&parser->pending, len);
    }
  while (body == 0);
  event->id = -1;
  event->name[0] = '\0';
  buffer_clear (&event->data);
  at = parser->pending.data;
  stop = at + body;
  while (at < stop && !parser->malformed)
    {
      const char *end = memchr (at, '\n', (size_t)(stop - at));
      parser->malformed = !read_line (event, at, (size_t)(end - at));
      at = end + 1;
    }
  buffer_consume (&parser->pending, len);
  return parser->malformed ? SSE_MALFORMED : SSE_EVENT;
}

void
sse_parser_reset (SseParser *parser)
{
  buffer_clear (&parser->pending);
  parser->malformed = false;
}

void
sse_parser_free (SseParser *parser)
{
  buffer_free (&parser->pending);
}

void
sse_event_free (SseEvent *event)
{
  buffer_free (&event->data);
}
