/**
 * The start line and the fields of an HTTP/1.1 message. Stricter than the RFC asks: whatever two
 * parsers might read differently (a bare line feed, a folded line, a control character, a blank
 * before the colon) is no head, so that no request can be hidden within another.
 */
#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H

#include "util_span.h"

#define HTTP_FIELDS_MAX 64

typedef struct
{
  Span name;
  Span value; /**< without blanks at its ends */
} HttpField;

typedef struct
{
  char *text; /**< owned; all spans point into it */
  size_t len;
  Span start_line;
  unsigned count;
  HttpField fields[HTTP_FIELDS_MAX];
} HttpHead;

/** Length of the head at the start of data, with its empty line; 0 if its end is not there yet. */
size_t http_head_length (const char *data, size_t len);
/** True if data, which has no whole head yet, can't become a good one. */
bool http_head_is_malformed (const char *data, size_t len);
/** Copies and splits a whole head; false, and nothing owned, if it is malformed. */
bool http_head_parse (HttpHead *head, const char *data, size_t len);
void http_head_clear (HttpHead *head);
/** Value of the first field of that name; an absent span if there is none. */
Span http_head_get (const HttpHead *head, const char *name);
unsigned http_head_count (const HttpHead *head, const char *name);
/** True for a field that concerns one connection only and is never passed on. */
bool http_head_is_hop_by_hop (const HttpHead *head, Span name);

#endif
