#include "util_span.h"
#include "util_memory.h"
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#define DECIMAL    10
#define DIGITS_MAX 18 /* every number of 18 digits fits in an int64_t */

Span
span_of (const char *text)
{
  return (Span){ .text = text, .len = text ? strlen (text) : 0 };
}

bool
span_is (Span span, const char *text)
{
  return span.text && strlen (text) == span.len && memcmp (span.text, text, span.len) == 0;
}

bool
span_is_nocase (Span span, const char *text)
{
  return span.text && strlen (text) == span.len && strncasecmp (span.text, text, span.len) == 0;
}

bool
span_equal (Span a, Span b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.text, b.text, a.len) == 0);
}

int
span_compare (Span a, Span b)
{
  size_t common = a.len < b.len ? a.len : b.len;
  int order = common > 0 ? memcmp (a.text, b.text, common) : 0;

  return order != 0 ? order : (a.len > b.len) - (a.len < b.len);
}

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

Span
span_trim (Span span)
{
  while (span.len > 0 && is_blank (span.text[0]))
    {
      span.text++;
      span.len--;
    }
  while (span.len > 0 && is_blank (span.text[span.len - 1]))
    span.len--;
  return span;
}

Span
span_cut (Span *rest, char separator)
{
  const char *at = rest->len ? memchr (rest->text, separator, rest->len) : NULL;
  Span first = *rest;

  if (!at)
    {
      *rest = (Span){ 0 };
      return first;
    }
  first.len = (size_t)(at - rest->text);
  rest->text = at + 1;
  rest->len -= first.len + 1;
  return first;
}

bool
span_number (Span span, int64_t *out)
{
  int64_t value = 0;

  if (span.len == 0 || span.len > DIGITS_MAX)
    return false;
  for (size_t i = 0; i < span.len; i++)
    {
      if (span.text[i] < '0' || span.text[i] > '9')
        return false;
      value = value * DECIMAL + (span.text[i] - '0');
    }
  *out = value;
  return true;
}

bool
span_decimal (Span span, double *out)
{
  Span whole = span_cut (&span, '.');
  int64_t units, fraction = 0;
  double scale = 1;

  if (!span_number (whole, &units) || whole.len + span.len > DIGITS_MAX)
    return false;
  if (span.text && !span_number (span, &fraction))
    return false;
  for (size_t i = 0; i < span.len; i++)
    scale *= DECIMAL;
  *out = (double)units + (double)fraction / scale;
  return true;
}

char *
span_dup (Span span)
{
  char *copy;

  if (!span.text)
    return NULL;
  copy = memory_alloc (span.len + 1);
  memcpy (copy, span.text, span.len);
  return copy;
}

uint64_t
span_hash (Span span)
{
  return XXH3_64bits (span.text ? span.text : "", span.len);
}
