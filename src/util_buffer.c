#include "util_buffer.h"
#include "util_assert.h"
#include "util_memory.h"
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUFFER_MIN_CAP 64 /* bytes allocated first */

/* Ensures capacity for len more bytes and the terminating NUL. */
static void
buffer_reserve (Buffer *buf, size_t len)
{
  size_t cap = buf->cap ? buf->cap : BUFFER_MIN_CAP;

  INVARIANT (len < SIZE_MAX / 4 - buf->len, "len=\"%zu\" more=\"%zu\"", buf->len, len);
  while (cap < buf->len + len + 1)
    cap *= 2;
  if (cap == buf->cap)
    return;
  buf->data = memory_grow (buf->data, cap, 1);
  buf->cap = cap;
}

void
buffer_add (Buffer *buf, const void *data, size_t len)
{
  buffer_reserve (buf, len);
  if (len)
    memcpy (buf->data + buf->len, data, len);
  buf->len += len;
  buf->data[buf->len] = '\0';
}

void
buffer_add_string (Buffer *buf, const char *s)
{
  buffer_add (buf, s, strlen (s));
}

void
buffer_printf (Buffer *buf, const char *format, ...)
{
  va_list args;
  va_list args_copy;
  int len;

  INVARIANT (format, "len=\"%zu\"", buf->len);
  va_start (args, format);
  va_copy (args_copy, args);
  len = vsnprintf (NULL, 0, format, args);
  va_end (args);
  INVARIANT (len >= 0, "format=\"%s\"", format);
  buffer_reserve (buf, (size_t)len);
  vsnprintf (buf->data + buf->len, (size_t)len + 1, format, args_copy);
  va_end (args_copy);
  buf->len += (size_t)len;
}

Span
buffer_span (const Buffer *buf)
{
  return (Span){ .text = buf->data, .len = buf->len };
}

void
buffer_consume (Buffer *buf, size_t len)
{
  INVARIANT (len <= buf->len, "len=\"%zu\" consume=\"%zu\"", buf->len, len);
  if (!len)
    return;
  memmove (buf->data, buf->data + len, buf->len - len + 1);
  buf->len -= len;
}

void
buffer_clear (Buffer *buf)
{
  buf->len = 0;
  if (buf->data)
    buf->data[0] = '\0';
}

void
buffer_free (Buffer *buf)
{
  free (buf->data);
  *buf = (Buffer){ 0 };
}
