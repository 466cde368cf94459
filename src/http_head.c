#include "http_head.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define END_OF_HEAD "\r\n\r\n"

/* Hop-by-hop fields (RFC 9110, 7.6.1), in addition to those named by Connection. */
static const char *const hop_by_hop_fields[] = {
  "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "TE", "Transfer-Encoding",
  "Trailer",    "Upgrade",    "Expect",
};

size_t
http_head_length (const char *data, size_t len)
{
  const char *end = len ? memmem (data, len, END_OF_HEAD, strlen (END_OF_HEAD)) : NULL;

  return end ? (size_t)(end - data) + strlen (END_OF_HEAD) : 0;
}

static bool
has_bare_line_feed (const char *data, size_t len)
{
  for (size_t i = 0; i < len; i++)
    {
      if (data[i] == '\n' && (i == 0 || data[i - 1] != '\r'))
        return true;
    }
  return false;
}

bool
http_head_is_malformed (const char *data, size_t len)
{
  if (len > 0 && (unsigned char)data[0] <= ' ')
    return true;
  return has_bare_line_feed (data, len) || memchr (data, '\0', len);
}

/* A token as defined by RFC 9110: the syntax of a field name. */
static bool
is_token (Span span)
{
  for (size_t i = 0; i < span.len; i++)
    {
      unsigned char c = (unsigned char)span.text[i];

      if (c <= ' ' || c >= 0x7f || strchr ("\"(),/:;<=>?@[\\]{}", c))
        return false;
    }
  return span.len > 0;
}

static bool
is_value (Span span)
{
  for (size_t i = 0; i < span.len; i++)
    {
      unsigned char c = (unsigned char)span.text[i];

      if ((c < ' ' && c != '\t') || c == 0x7f)
        return false;
    }
  return true;
}

static bool
field_parse (HttpHead *head, Span line)
{
  HttpField *field;
  Span name = span_cut (&line, ':');

  if (head->count == HTTP_FIELDS_MAX || !line.text || !is_token (name) || !is_value (line))
    return false;
  field = &head->fields[head->count++];
  field->name = name;
  field->value = span_trim (line);
  return true;
}

static bool
lines_parse (HttpHead *head)
{
  Span rest = { .text = head->text, .len = head->len - strlen ("\r\n") };

  head->start_line = span_cut (&rest, '\n');
  head->start_line.len--;
  if (!is_value (head->start_line))
    return false;
  while (rest.len > 0)
    {
      Span line = span_cut (&rest, '\n');

      line.len--;
      if (!field_parse (head, line))
        return false;
    }
  return true;
}

bool
http_head_parse (HttpHead *head, const char *data, size_t len)
{
  memset (head, 0, sizeof *head);
  if (http_head_is_malformed (data, len))
    return false;
  head->text = memory_alloc (len + 1);
  head->len = len;
  memcpy (head->text, data, len);
  if (lines_parse (head))
    return true;
  http_head_clear (head);
  return false;
}

void
http_head_clear (HttpHead *head)
{
  free (head->text);
  memset (head, 0, sizeof *head);
}

Span
http_head_get (const HttpHead *head, const char *name)
{
  for (unsigned i = 0; i < head->count; i++)
    {
      if (span_is_nocase (head->fields[i].name, name))
        return head->fields[i].value;
    }
  return (Span){ 0 };
}

unsigned
http_head_count (const HttpHead *head, const char *name)
{
  unsigned count = 0;

  for (unsigned i = 0; i < head->count; i++)
    count += span_is_nocase (head->fields[i].name, name);
  return count;
}

static bool
named_by_connection (const HttpHead *head, Span name)
{
  for (unsigned i = 0; i < head->count; i++)
    {
      Span rest = head->fields[i].value;

      if (!span_is_nocase (head->fields[i].name, "Connection"))
        continue;
      while (rest.text)
        {
          Span option = span_trim (span_cut (&rest, ','));

          if (option.len == name.len && strncasecmp (option.text, name.text, name.len) == 0)
            return true;
        }
    }
  return false;
}

bool
http_head_is_hop_by_hop (const HttpHead *head, Span name)
{
  for (size_t i = 0; i < sizeof hop_by_hop_fields / sizeof hop_by_hop_fields[0]; i++)
    {
      if (span_is_nocase (name, hop_by_hop_fields[i]))
        return true;
    }
  return named_by_connection (head, name);
}
