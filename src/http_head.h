/**
 * Parser of the start line and fields of an HTTP/1.1 message. Stricter than the RFC requires: it
 * refuses everything that parsers are known to interpret differently (a bare line feed, a folded
 * line, a control character, white space before the colon) to prevent request smuggling.
 */
#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H

#include "util_span.h"

#define HTTP_FIELDS_MAX 64 /**< a head with more fields is refused */

typedef struct
{
  Span name;
  Span value; /**< without leading and trailing white space */
} HttpField;

typedef struct
{
  char *text; /**< owned; all spans point into it */
  size_t len; /**< bytes, with the empty line */
  Span start_line;
  unsigned count;
  HttpField fields[HTTP_FIELDS_MAX];
} HttpHead;

/** Length of the head at the start of data, including its empty line; 0 if it is incomplete. */
size_t http_head_length (const char *data, size_t len);
/** True if data, which may be an incomplete head, already violates the syntax. */
bool http_head_is_malformed (const char *data, size_t len);
/** Copies and parses a complete head. Returns false, with nothing to clear, if it is malformed. */
bool http_head_parse (HttpHead *head, const char *data, size_t len);
void http_head_clear (HttpHead *head);
/** Value of the first field with this name (case-insensitive); an absent span if there is none. */
Span http_head_get (const HttpHead *head, const char *name);
/** Number of fields with this name. */
unsigned http_head_count (const HttpHead *head, const char *name);
/** True for a hop-by-hop field, which a proxy must not forward. */
bool http_head_is_hop_by_hop (const HttpHead *head, Span name);

#endif
