/**
 * A piece of text that somebody else owns.
 */
#ifndef UTIL_SPAN_H
#define UTIL_SPAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  const char *text; /**< not NUL-terminated; NULL: absent */
  size_t len;       /**< bytes */
} Span;

Span span_of (const char *text); /**< NULL gives an absent span */
bool span_is (Span span, const char *text);
bool span_is_nocase (Span span, const char *text);
bool span_equal (Span a, Span b);
/** Without spaces and tabs at both ends. */
Span span_trim (Span span);
/** Cuts off and returns what stands before the first separator; the rest stays in *rest. */
Span span_cut (Span *rest, char separator);
/** False if the span is no decimal number without sign that fits. */
bool span_number (Span span, int64_t *out);
/** Freed with free; NULL for an absent span. */
char *span_dup (Span span);
/** 64-bit hash, the same in every process. */
uint64_t span_hash (Span span);

#endif
