/**
 * Parses a text/event-stream into events. No I/O.
 */
#ifndef GATE_SSE_H
#define GATE_SSE_H

#include "util_buffer.h"
#include <stdbool.h>
#include <stdint.h>

#define SSE_EVENT_NAME_MAX 32 /**< bytes, with the final NUL; longer names are truncated */

typedef struct
{
  int64_t id; /**< -1: the event has no id */
  char name[SSE_EVENT_NAME_MAX];
  Buffer data; /**< lines joined by '\n' */
} SseEvent;

typedef struct
{
  Buffer pending;   /**< bytes fed that belong to no event returned yet */
  size_t event_max; /**< longest incomplete event in bytes; a longer one is an error */
  bool malformed;
} SseParser;

typedef enum
{
  SSE_NONE, /**< more bytes are needed */
  SSE_EVENT,
  SSE_MALFORMED /**< an id that is not a number, or an event that is too long */
} SseResult;

void sse_parser_init (SseParser *parser, size_t event_max);
void sse_parser_feed (SseParser *parser, const char *data, size_t len);
/** Moves the next complete event to *event, which is overwritten; its data buffer is reused. */
SseResult sse_parser_next (SseParser *parser, SseEvent *event);
/** Discards pending bytes and clears an error, e.g. before a resumed stream. */
void sse_parser_reset (SseParser *parser);
void sse_parser_free (SseParser *parser);
void sse_event_free (SseEvent *event);

#endif
