/**
 * A text of known length in memory that the span does not own.
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
/** Below, at or above 0 as a sorts before b, is the same or sorts behind it, by bytes; an absent
 * span is like an empty one. */
int span_compare (Span a, Span b);
/** The span without leading and trailing spaces and tabs. */
Span span_trim (Span span);
/** Returns the text before the first separator and sets *rest to the text after it. Without a
 *  separator returns everything, and *rest becomes absent. */
Span span_cut (Span *rest, char separator);
/** Parses an unsigned decimal number of at most 18 digits; false if the span is anything else. */
bool span_number (Span span, int64_t *out);
/** Parses an unsigned decimal number, "3" or "1.75", with at most 18 digits; false if the span is
 *  anything else. */
bool span_decimal (Span span, double *out);
/** NUL-terminated copy, freed with free; NULL for an absent span. */
char *span_dup (Span span);
/** 64-bit hash, equal in every process. */
uint64_t span_hash (Span span);

#endif
