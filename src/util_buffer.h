/**
 * A growable byte buffer whose contents are followed by a terminating NUL.
 */
#ifndef UTIL_BUFFER_H
#define UTIL_BUFFER_H

#include "util_span.h"
#include <stddef.h>

typedef struct
{
  char *data; /**< NULL until the first addition */
  size_t len; /**< bytes, without the terminating NUL */
  size_t cap; /**< bytes allocated */
} Buffer;

/** Appends len bytes. The process aborts if memory cannot be allocated. */
void buffer_add (Buffer *buf, const void *data, size_t len);
void buffer_add_string (Buffer *buf, const char *s);
void buffer_printf (Buffer *buf, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
/** The bytes so far, which later additions may move; absent until the first addition. */
Span buffer_span (const Buffer *buf);
/** Removes the first len bytes. */
void buffer_consume (Buffer *buf, size_t len);
/** Empties the buffer and keeps its memory. */
void buffer_clear (Buffer *buf);
/** Frees the memory; the buffer can be used again. */
void buffer_free (Buffer *buf);

#endif
